"""Tests of the catalogue's fold."""

import ddt
import msgpack
import testtools

from sycamorebeam import catalogue_exchange
from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_records
from sycamorebeam import errors
from sycamorebeam import records
from sycamorebeam import snapshots
from sycamorebeam.clients import results
from tests import base
from tests import catalogue_bench as bench

AB = (bench.team_edit('a'), bench.team_edit('b'))
GARBAGE = (b'', b'\xc1', b'text', msgpack.packb({'a': 1}))


def fold_of(*envelopes):
    fold = catalogue_fold.Fold()
    for data in envelopes:
        fold.apply(fold.offset + 1, data)
    return fold


def apply_records(fold, *items):
    return fold.apply(fold.offset + 1, bench.envelope(*items))


def level(number):
    return catalogue_records.FormatLevel(
        id=f'level-{number}', author='op', time_ms=1, level=number
    )


@ddt.ddt
class FoldTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.fold = fold_of(
            bench.envelope(bench.change(0, *AB)),
            bench.envelope(
                bench.change(
                    1,
                    bench.edit('target/t', value=bench.TARGET),
                    bench.edit(
                        'pipeline/p', value=bench.pipeline('t', teams=['a'])
                    ),
                )
            ),
        )

    def test_accepted_entry_has_the_revision_of_its_change(self):
        accepted = self.fold.catalogue()
        self.assertEqual(1, accepted.offset)
        self.assertEqual(0, accepted.entries['team/a'].revision)
        self.assertEqual('ops', accepted.team('a').owner)

    @ddt.unpack
    @ddt.data(
        ('stale base', [bench.team_edit('a', 7)], 0),
        ('exists', [bench.team_edit('a')], 0),
        ('absent', [bench.team_edit('c', 0)], bench.ABSENT),
        ('one of two', [bench.team_edit('c'), bench.team_edit('a', 9)], 0),
        ('twice', [bench.team_edit('c'), bench.team_edit('c')], None),
        ('bad key', [bench.edit('thing/x', value={})], None),
        ('bad value', [bench.team_edit('c', owner=3)], None),
        ('unknown field', [bench.team_edit('c', colour='red')], None),
        ('removes a referenced target', [bench.edit('target/t', 1)], None),
        ('removes a referenced team', [bench.edit('team/a', 0)], None),
        (
            'dangling',
            [bench.edit('pipeline/q', value=bench.pipeline('none'))],
            None,
        ),
        (
            'shared token',
            [bench.team_edit('c', token_sha256=[bench.token('a')])],
            None,
        ),
        (
            'shared in one change',
            [
                bench.team_edit('c'),
                bench.team_edit('d', token_sha256=[bench.token('c')]),
            ],
            None,
        ),
    )
    def test_rejects_the_whole_change(self, _, edits, winner):
        before = dict(self.fold.store.stored)
        [decision] = apply_records(self.fold, bench.change(5, *edits))
        self.assertFalse(decision.accepted)
        self.assertEqual(winner, decision.rejection.winner)
        self.assertEqual(before, self.fold.store.stored)
        self.assertEqual(decision, self.fold.find_decision('change-5'))

    @ddt.unpack
    @ddt.data(
        ('update', [bench.team_edit('a', 0, owner='x')]),
        ('remove', [bench.edit('team/b', 0)]),
        (
            'token moves',
            [
                bench.team_edit('c', token_sha256=[bench.token('b')]),
                bench.team_edit('b', 0, token_sha256=[bench.token('n')]),
            ],
        ),
        ('together', [bench.edit('pipeline/p', 1), bench.edit('target/t', 1)]),
    )
    def test_accepts(self, _, edits):
        [decision] = apply_records(self.fold, bench.change(5, *edits))
        self.assertIsNone(decision.rejection)

    def test_token_index_follows_a_moved_token(self):
        for order in (1, -1):
            fold = self.fold.copy()
            edits = [
                bench.team_edit('c', token_sha256=[bench.token('b')]),
                bench.edit('team/b', 0),
            ]
            apply_records(fold, bench.change(5, *edits[::order]))
            number = int(bench.token('b')[:15], 16)
            self.assertEqual('team/c', fold.store.team_of_token(number))

    def test_first_of_two_conflicting_changes_wins(self):
        first, second = apply_records(
            self.fold,
            bench.change(5, bench.team_edit('a', 0, owner='x')),
            bench.change(6, bench.team_edit('a', 0, owner='y')),
        )
        self.assertTrue(first.accepted)
        self.assertEqual(2, second.rejection.winner)
        self.assertIn('read it again', second.rejection.reason)

    @ddt.data(*GARBAGE, bench.record('odd', 1), bench.record('change', 1))
    def test_rejects_garbage_and_continues(self, data):
        [decision] = self.fold.apply(2, data)
        self.assertFalse(decision.accepted)
        self.assertEqual(2, self.fold.offset)

    @ddt.data(
        bench.record('change', 2, edits=[]),
        bench.record('odd', 2),
        msgpack.packb([2, 'a later envelope']),
    )
    def test_later_version_requires_its_format_level(self, data):
        [decision] = self.fold.apply(2, data)
        self.assertFalse(decision.accepted)
        apply_records(self.fold, level(2))
        self.assertRaises(errors.VersionError, self.fold.apply, 4, data)
        self.assertEqual(3, self.fold.offset)

    @ddt.data(1, 3, 99)
    def test_level_rises_by_one(self, number):
        [decision] = apply_records(self.fold, level(number))
        self.assertFalse(decision.accepted)
        self.assertEqual(1, self.fold.level)

    @ddt.data(0, 1, 3)
    def test_accepts_only_the_next_offset(self, offset):
        self.assertRaises(errors.GapError, self.fold.apply, offset, b'')

    def test_digest_does_not_depend_on_edit_order(self):
        other = fold_of(
            bench.envelope(bench.change(0, *reversed(AB))), b'', b''
        )
        same = fold_of(bench.envelope(bench.change(0, *AB)), b'', b'')
        self.assertEqual(same.digest, other.digest)
        self.assertNotEqual(same.digest, fold_of(b'', b'', b'').digest)

    def test_copy_is_independent(self):
        copy = self.fold.copy()
        apply_records(copy, bench.change(5, bench.edit('team/b', 0)))
        self.assertIn('team/b', self.fold.store.stored)
        self.assertNotEqual(copy.digest, self.fold.digest)

    async def test_snapshot_restores_the_fold(self):
        data = snapshots.pack_whole(snapshots.freeze(self.fold))
        restored = await snapshots.unpack_whole(data)
        self.assertEqual(self.fold.digest, restored.digest)
        self.assertEqual(self.fold.audit, restored.audit)
        next_ = bench.change(5, bench.team_edit('a', 0, owner='x'))
        self.assertEqual(
            apply_records(self.fold, next_), apply_records(restored, next_)
        )
        self.assertEqual(self.fold.digest, restored.digest)

    async def test_damaged_snapshot_is_an_error(self):
        data = bytearray(snapshots.pack_whole(snapshots.freeze(self.fold)))
        for position in range(0, len(data), 7):
            damaged = (
                bytes(data[:position]) + b'?' + bytes(data[position + 1 :])
            )
            if damaged == data:
                continue
            try:
                restored = await snapshots.unpack_whole(damaged)
            except (errors.DigestError, errors.VersionError):
                continue
            self.assertEqual(self.fold.digest, restored.digest)

    @ddt.data(
        lambda state: state.replace(b'owner\xa3ops', b'owner\xa3oqs'),
        lambda state: state.replace(b'team/n0', b'team/n2'),
        lambda state: state[:-1],
        lambda state: msgpack.packb(['tail', b'', 'x']),
        lambda state: msgpack.packb(['else', b'']),
        lambda state: msgpack.packb(7),
    )
    async def test_damaged_peer_state_is_rejected(self, damage):
        ahead = self.fold.copy()
        log_records = []
        for number in range(3):
            item = bench.change(number, bench.team_edit(f'n{number}'))
            record = results.LogRecord(
                ahead.offset + 1, 0, bench.envelope(item)
            )
            ahead.apply(record.offset, record.data)
            log_records.append(record)
        state = catalogue_exchange.pack(ahead, log_records, self.fold.offset)
        moved = await catalogue_exchange.unpack(self.fold, state)
        self.assertEqual(ahead.digest, moved.digest)
        before = self.fold.digest
        with testtools.ExpectedException(errors.DigestError):
            await catalogue_exchange.unpack(self.fold, damage(state))
        self.assertEqual(before, self.fold.digest)

    def test_change_record_round_trip(self):
        item = bench.change(1, *AB)
        [parsed] = catalogue_records.parse(bench.envelope(item), 1)
        self.assertEqual(item, parsed)

    def test_envelope_format_is_unchanged(self):
        self.assertEqual(1, records.ENVELOPE_FORMAT)
