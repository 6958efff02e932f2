"""The runs and calls that a target's stand-in recorded."""

import collections
import enum
import time

import attrs

RUNS_KEPT = 100_000


class RunState(enum.Enum):
    """The progress of a run."""

    STARTED = 'started'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'


@attrs.define
class Run:
    """One run of an operation; ``key`` is the caller's ``input.key``."""

    id: str
    operation: str
    key: str | None
    at_ms: int
    state: RunState = RunState.STARTED


class Runs:
    """The latest runs, oldest first, and the counts of calls."""

    def __init__(self) -> None:
        self._runs: collections.deque[Run] = collections.deque(
            maxlen=RUNS_KEPT
        )
        self.calls = 0
        self.cancels = 0
        self.resumes = 0

    def start(self, run_id: str, operation: str, key: object = None) -> Run:
        """Record the start of a run."""
        caller_key = key if isinstance(key, str) else None
        run = Run(run_id, operation, caller_key, int(time.time() * 1000))
        self._runs.append(run)
        return run

    def of_id(self, run_id: str) -> list[Run]:
        """Return the runs with the id of one attempt."""
        return [run for run in self._runs if run.id == run_id]

    def of_key(self, key: str) -> list[Run]:
        """Return the runs for one of the caller's keys."""
        return [run for run in self._runs if run.key == key]

    def as_json(self) -> dict[str, object]:
        """Return the response to ``GET /standin/runs``."""
        return {
            'runs': [_run_as_json(run) for run in self._runs],
            'calls': self.calls,
            'cancels': self.cancels,
            'resumes': self.resumes,
        }


def _run_as_json(run: Run) -> dict[str, object]:
    return {
        'id': run.id,
        'operation': run.operation,
        'key': run.key,
        'at_ms': run.at_ms,
        'state': run.state.value,
    }
