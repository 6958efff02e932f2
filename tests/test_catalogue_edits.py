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


def apply_changes(fold, changes):
    for number, edits in enumerate(changes):
        change = catalogue_bench.change(number, *edits)
        decisions = fold.apply(
            fold.offset + 1, catalogue_bench.envelope(change)
        )
        yield from (decision.rejection for decision in decisions)


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
    def test_samples_are_accepted_and_need_no_further_edits(self, path):
        wanted = catalogue_file.load_catalogue_file(path)
        fold = catalogue_fold.Fold()
        changes = catalogue_edits.plan_changes(fold, wanted)
        self.assertEqual({None}, set(apply_changes(fold, changes)))
        accepted = fold.catalogue().entries
        self.assertEqual(
            wanted, {key: accepted[key].entry for key in accepted}
        )
        self.assertEqual([], catalogue_edits.plan_changes(fold, wanted, True))
        changes = catalogue_edits.plan_changes(fold, {}, remove_missing=True)
        self.assertEqual({None}, set(apply_changes(fold, changes)))
        self.assertEqual({}, fold.store.stored)

    def test_large_plan_is_divided_into_changes(self):
        fold = catalogue_fold.Fold()
        count = catalogue_records.MAX_EDITS + 1
        changes = catalogue_edits.plan_changes(fold, teams(count))
        self.assertEqual([count - 1, 1], [len(edits) for edits in changes])
        self.assertEqual({None}, set(apply_changes(fold, changes)))

    def test_missing_entries_stay_unless_removal_is_requested(self):
        fold = catalogue_fold.Fold()
        list(apply_changes(fold, catalogue_edits.plan_changes(fold, teams(2))))
        self.assertEqual([], catalogue_edits.plan_changes(fold, teams(1)))
        [edits] = catalogue_edits.plan_changes(
            fold, teams(1), remove_missing=True
        )
        self.assertEqual([catalogue_records.Edit('team/t1', 0, None)], edits)
