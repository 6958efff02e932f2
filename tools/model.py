"""Runs the model checker over the specifications in ``model/``.

Each run generates a verifier with ``spin``, compiles it and searches all
states. A specification must have no violation. A mutant, the specification
with one mechanism removed, must show its expected violation. A search that
exceeds its limits counts as a failure.
"""

import concurrent.futures
import pathlib
import re
import subprocess
import sys
import tempfile
import time

import attrs

MODEL_DIR = pathlib.Path(__file__).resolve().parent.parent / 'model'
WORKERS = 2
MAX_MEMORY_MB = 1_800
MAX_DEPTH_STEPS = 100_000
MAX_RUN_S = 150
# The verifier needs one word of fairness counters per ten processes or so.
FAIRNESS_WORDS = 5

HOLDS = 'holds'
INCOMPLETE = 'incomplete'
BROKEN = 'broken'

MUTANT = re.compile(r'MUTANT_[A-Z_]+')
_STORED = re.compile(r'(\d[\d.e+]*) states, stored')
_DEPTH = re.compile(r'depth reached (\d+)')
_ERRORS = re.compile(r'errors: (\d+)')
_VIOLATION = re.compile(r'^pan:\d+: (.+?) \(at depth', re.MULTILINE)
_INCOMPLETE_MESSAGES = (
    'max search depth too small',
    'reached -DMEMLIM bound',
    'out of memory',
    'Search not completed',
    'too many processes',
)


@attrs.frozen
class Run:
    """One search: a specification, its defines and the expected verdict.

    ``expected_violation`` is a part of the verifier's message for a mutant,
    None for the specification itself. ``liveness`` searches for a cycle that
    violates the formula of the specification under weak fairness; otherwise
    assertions and deadlocks are checked.
    """

    spec: str
    title: str
    defines: tuple[str, ...] = ()
    expected_violation: str | None = None
    liveness: bool = False

    @property
    def expected_verdict(self) -> str:
        """The verdict that the run must have."""
        return self.expected_violation or HOLDS


@attrs.frozen
class Report:
    """The verdict and the size of a search; ``-`` where it gave no figure."""

    run: Run
    verdict: str
    states: str
    depth: str
    elapsed_ms: int

    @property
    def is_expected(self) -> bool:
        """Whether the verdict is the expected one."""
        if self.run.expected_violation is None:
            return self.verdict == HOLDS
        return self.run.expected_violation in self.verdict


ONE_DISPATCH = 'first_dispatch==15'
FALSE_NOT_RUN = 'believes_not_run'
ORPHAN = 'owner==15'
CYCLE = 'acceptance cycle'


def _claims(title: str, *defines: str) -> Run:
    return Run('claims', title, defines)


def _claims_mutant(name: str, expected_violation: str, *defines: str) -> Run:
    defines = defines or ('FAULTS=1',)
    return Run(
        'claims', name, (f'MUTANT_{name}', *defines), expected_violation
    )


def _mutant(spec: str, name: str, expected_violation: str) -> Run:
    return Run(spec, name, (f'MUTANT_{name}',), expected_violation)


def _liveness(
    spec: str, title: str, *defines: str, expected_violation: str | None = None
) -> Run:
    return Run(
        spec, title, ('LIVENESS', *defines), expected_violation, liveness=True
    )


AGEING = ('FAULTS=1', 'CRASHES=0', 'AGEING')
NO_FAULTS = ('FAULTS=0', 'CRASHES=0', 'AGEING')
FEW_READERS = ('OPERATORS=2', 'READERS=2')

RUNS = (
    _claims('safety: fault, crash', 'FAULTS=1'),
    _claims('safety: two faults', 'FAULTS=2', 'CRASHES=0'),
    _claims('safety: window, truncation', *AGEING),
    _claims('safety: three attempts', 'ATTEMPTS=3', 'FAULTS=0', 'CRASHES=0'),
    _liveness('claims', 'attempts end', 'FAULTS=1', 'CRASHES=0'),
    _claims_mutant('DISPATCH_ON_ANSWER', ONE_DISPATCH),
    _claims_mutant('NO_ABANDON', ORPHAN),
    _claims_mutant('LOST_RELEASE', ORPHAN),
    _claims_mutant('RESEND_CLAIM', ORPHAN),
    _claims_mutant('RESEND_DISPATCH', ONE_DISPATCH),
    _claims_mutant('RELEASE_BY_TIME', ONE_DISPATCH),
    _claims_mutant('RELEASE_KEEPS_PERMIT', FALSE_NOT_RUN),
    _claims_mutant('ATTEMPT_AS_KEY', FALSE_NOT_RUN),
    _claims_mutant('RELEASE_AS_KEY', FALSE_NOT_RUN),
    _claims_mutant('PROMOTE_LOSER', ORPHAN),
    _claims_mutant('DISPATCH_AFTER_CRASH', ONE_DISPATCH),
    _claims_mutant('NO_COVERAGE', ONE_DISPATCH, *AGEING),
    _claims_mutant('FIRST_IS_NEW', ONE_DISPATCH, *NO_FAULTS),
    Run('catalogue', 'safety'),
    _liveness(
        'catalogue', 'followers catch up', 'RETENTION_WAITS', *FEW_READERS
    ),
    _mutant('catalogue', 'NO_BASE_REVISION', 'accepted'),
    _mutant('catalogue', 'TORN_SNAPSHOT', 'seen_1'),
    _mutant('catalogue', 'SNAPSHOT_MOVES', 'seen_1'),
    _mutant('catalogue', 'WRONG_PREFIX', 'seen_0'),
    _mutant('catalogue', 'LOWER_OFFSET', 'fell'),
    _mutant('catalogue', 'SKIP_GAP', 'seen_'),
    _mutant('catalogue', 'RESEND_CHANGE', 'rejected'),
    _liveness(
        'catalogue', 'retention does not wait', *FEW_READERS,
        expected_violation=CYCLE,
    ),
    Run('leases', 'safety'),
    _liveness('leases', 'engines converge', 'LEASES=2'),
    _mutant('leases', 'WALL_CLOCK', 'highest_fence'),
    _mutant('leases', 'ENGINE_TRUSTS', 'highest_fence'),
    _mutant('leases', 'LOCAL_FENCE', 'fence_holder'),
    _mutant('leases', 'RELATIVE_ORDER', 'loaded'),
    _liveness(
        'leases', 'NO_READ_BACK', 'LEASES=2', 'MUTANT_NO_READ_BACK',
        expected_violation=CYCLE,
    ),
    _liveness(
        'leases', 'STALE_SENDER', 'LEASES=2', 'MUTANT_STALE_SENDER',
        expected_violation=CYCLE,
    ),
)  # fmt: skip


def check(run: Run) -> Report:
    """Generate, compile and run the verifier of one search."""
    started_s = time.monotonic()
    try:
        with tempfile.TemporaryDirectory(prefix='model-') as name:
            output = _search(run, pathlib.Path(name))
    except subprocess.SubprocessError as error:
        output = f'{BROKEN}: {error}'
    elapsed_ms = int((time.monotonic() - started_s) * 1000)
    return Report(
        run,
        verdict_of(output),
        _first_group(_STORED, output),
        _first_group(_DEPTH, output),
        elapsed_ms,
    )


def _search(run: Run, directory: pathlib.Path) -> str:
    defines = [f'-D{name}' for name in run.defines]
    spec = str(MODEL_DIR / f'{run.spec}.pml')
    _execute(['spin', *defines, '-a', spec], directory)
    mode = [f'-DNFAIR={FAIRNESS_WORDS}']
    options = ['-a', '-f']
    if not run.liveness:
        mode = ['-DSAFETY', '-DNOCLAIM']
        options = []
    memory = f'-DMEMLIM={MAX_MEMORY_MB}'
    compiler = ['gcc', '-O2', '-w', '-DCOLLAPSE', memory, *mode]
    _execute([*compiler, '-o', 'pan', 'pan.c'], directory)
    return _execute(['./pan', f'-m{MAX_DEPTH_STEPS}', *options], directory)


def _execute(command: list[str], directory: pathlib.Path) -> str:
    completed = subprocess.run(
        command,
        cwd=directory,
        check=True,
        capture_output=True,
        text=True,
        timeout=MAX_RUN_S,
    )
    return completed.stdout + completed.stderr


def verdict_of(output: str) -> str:
    """Return the violation, or whether the search was complete."""
    violation = _VIOLATION.search(output)
    if violation is not None:
        return violation.group(1)
    if any(message in output for message in _INCOMPLETE_MESSAGES):
        return INCOMPLETE
    if _first_group(_ERRORS, output) != '0':
        return BROKEN
    return HOLDS


def _first_group(pattern: re.Pattern[str], text: str) -> str:
    match = pattern.search(text)
    return match.group(1) if match else '-'


def _report_line(report: Report) -> str:
    run = report.run
    mark = 'ok' if report.is_expected else 'MISMATCH'
    states = f'{float(report.states):,.0f}' if report.states != '-' else '-'
    kind = 'liveness' if run.liveness else 'safety'
    return (
        f'{run.spec:<10} {run.title:<28} {kind:<8} {states:>12} '
        f'{report.depth:>6} {report.elapsed_ms / 1000:>7.1f} s  '
        f'{mark:<8} expected: {run.expected_verdict}; '
        f'found: {report.verdict[:60]}'
    )


def main() -> int:
    """Search all runs; return the number of unexpected verdicts."""
    started_s = time.monotonic()
    print(
        f'{"spec":<10} {"property or mutant":<28} {"kind":<8} '
        f'{"states":>12} {"depth":>6} {"time":>9}  verdict'
    )
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        reports = []
        for report in pool.map(check, RUNS):
            print(_report_line(report), flush=True)
            reports.append(report)
    unexpected = sum(not report.is_expected for report in reports)
    elapsed_s = time.monotonic() - started_s
    print(f'{len(reports)} runs, {unexpected} unexpected, {elapsed_s:.0f} s')
    return unexpected


if __name__ == '__main__':
    sys.exit(min(main(), 1))
