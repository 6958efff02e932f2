"""Tests of planning the edits of a catalogue file."""

import pathlib

import ddt

from sycamorebeam import catalogue_edits
from sycamorebeam import catalogue_file
from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_records
from sycamorebeam import entries
from tests import base
from tests import catalogue_bench

SAMPLES = sorted(pathlib.Path('samples').glob('*/catalogue.jsonc'))


def carry_out(fold, plans):
    for number, edits in enumerate(plans):
        change = catalogue_bench.change(number, *edits)
        decided = fold.apply(fold.offset + 1, catalogue_bench.envelope(change))
        yield from (item.rejection for item in decided)


def teams(count):
    return {
        f'team/t{number}': entries.from_plain(
            'team', catalogue_bench.team(f't{number}')
        )
        for number in range(count)
    }


@ddt.ddt
class PlanTest(base.TestCase):
    @ddt.data(*SAMPLES)
    def test_samples_are_accepted_and_then_settled(self, path):
        wanted = catalogue_file.load_catalogue_file(path)
        fold = catalogue_fold.Fold()
        plans = catalogue_edits.plan(fold, wanted)
        self.assertEqual({None}, set(carry_out(fold, plans)))
        accepted = fold.catalogue().entries
        self.assertEqual(
            wanted, {key: accepted[key].entry for key in accepted}
        )
        self.assertEqual([], catalogue_edits.plan(fold, wanted, True))
        plans = catalogue_edits.plan(fold, {}, remove_others=True)
        self.assertEqual({None}, set(carry_out(fold, plans)))
        self.assertEqual({}, fold.store.stored)

    def test_large_plans_are_divided(self):
        fold = catalogue_fold.Fold()
        count = catalogue_records.MAX_EDITS + 1
        plans = catalogue_edits.plan(fold, teams(count))
        self.assertEqual([count - 1, 1], [len(edits) for edits in plans])
        self.assertEqual({None}, set(carry_out(fold, plans)))

    def test_others_stay_unless_asked(self):
        fold = catalogue_fold.Fold()
        list(carry_out(fold, catalogue_edits.plan(fold, teams(2))))
        self.assertEqual([], catalogue_edits.plan(fold, teams(1)))
        [edits] = catalogue_edits.plan(fold, teams(1), remove_others=True)
        self.assertEqual([catalogue_records.Edit('team/t1', 0, None)], edits)
