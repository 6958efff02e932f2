"""Tests of the verdicts of the model checking tool."""

import attrs
import ddt

from tests import base
from tools import model

COMPLETE = '  12 states, stored\ndepth reached 9, errors: 0\n'
VIOLATED = 'pan:1: assertion violated (fence>=2) (at depth 4)\n'
# name, output of the verifier, verdict
OUTPUTS = [
    ['complete', COMPLETE, model.HOLDS],
    ['violated', VIOLATED + COMPLETE, 'assertion violated (fence>=2)'],
    ['cycle', 'pan:1: acceptance cycle (at depth 7)', 'acceptance cycle'],
    ['deadlock', 'pan:1: invalid end state (at depth 7)', 'invalid end state'],
    [
        'too_deep',
        'error: max search depth too small\n' + COMPLETE,
        model.INCOMPLETE,
    ],
    [
        'no_memory',
        'pan: reached -DMEMLIM bound\n' + COMPLETE,
        model.INCOMPLETE,
    ],
    [
        'many_processes',
        'pan: error: too many processes\n' + COMPLETE,
        model.INCOMPLETE,
    ],
    ['no_summary', '12 states, stored', model.BROKEN],
    ['other_errors', COMPLETE.replace('errors: 0', 'errors: 1'), model.BROKEN],
    ['nothing', '', model.BROKEN],
]
SPEC = model.Run('claims', 'safety')
MUTANT = attrs.evolve(SPEC, expected_violation='fence')
# name, run, verdict, whether it is the expected one
EXPECTED = [
    ['spec_holds', SPEC, model.HOLDS, True],
    ['spec_violated', SPEC, 'assertion violated (fence>=2)', False],
    ['spec_incomplete', SPEC, model.INCOMPLETE, False],
    ['spec_broken', SPEC, model.BROKEN, False],
    ['mutant_caught', MUTANT, 'assertion violated (fence>=2)', True],
    ['mutant_not_caught', MUTANT, model.HOLDS, False],
    ['mutant_caught_by_another', MUTANT, 'invalid end state', False],
    ['mutant_incomplete', MUTANT, model.INCOMPLETE, False],
]


@ddt.ddt
class VerdictTest(base.TestCase):
    @ddt.named_data(*OUTPUTS)
    def test_parses_verifier_output(self, output, verdict):
        self.assertEqual(verdict, model.verdict_of(output))

    @ddt.named_data(*EXPECTED)
    def test_detects_unexpected_verdict(self, run, verdict, expected):
        report = model.Report(run, verdict, '1', '1', 1)
        self.assertIs(expected, report.is_expected)


class RunsTest(base.TestCase):
    def test_names_every_mutant_of_the_specifications(self):
        named = {name for run in model.RUNS for name in run.defines}
        for path in model.MODEL_DIR.glob('*.pml'):
            text = path.read_text(encoding='utf-8')
            found = set(model.MUTANT.findall(text))
            self.assertEqual(set(), found - named, path.name)
