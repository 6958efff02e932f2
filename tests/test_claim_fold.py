"""Tests of the rules of claims."""

import itertools

import ddt

from sycamorebeam import claim_fold
from sycamorebeam import claim_partition
from sycamorebeam import claim_records
from sycamorebeam import claims
from sycamorebeam import errors
from sycamorebeam import records
from tests import base
from tests import claim_bench

KEY = b'k' * 32
WINDOW_MS = 1_000
CREATED_MS = 50_000


def claim(claim_id, request=b'r'):
    return claim_records.Claim(
        key_digest=KEY,
        claim_id=claim_id,
        request_digest=request,
        deadline_ms=100,
        owner='a',
    )


def abandon(claim_id):
    return claim_records.Abandon(key_digest=KEY, claim_id=claim_id)


def release(claim_id):
    return claim_records.Release(key_digest=KEY, claim_id=claim_id)


def outcome(claim_id, known=True, output=None):
    return claim_records.Outcome(
        key_digest=KEY, claim_id=claim_id, known=known, output=output
    )


def fold(items, step_ms=1):
    state = None
    for offset, item in enumerate(items):
        position = claim_fold.Position(offset, 0, offset * step_ms)
        state = claim_fold.apply(state, item, position, WINDOW_MS)
    return state


@ddt.ddt
class ApplyTest(base.TestCase):
    @ddt.data(
        ([claim('a')], 'a', None),
        ([claim('a'), claim('b')], 'a', None),
        ([claim('a'), claim('b'), release('a')], None, None),
        ([claim('a'), release('b')], 'a', None),
        ([claim('a'), release('a'), claim('b')], 'b', None),
        ([claim('a'), release('a'), claim('b', b'other')], None, None),
        ([claim('a'), release('a'), claim('a')], None, None),
        ([abandon('a'), claim('a')], None, None),
        ([abandon('a'), claim('a'), claim('b')], 'b', None),
        ([abandon('a'), release('a'), claim('a')], None, None),
        ([claim('a'), abandon('a')], 'a', None),
        ([claim('a'), abandon('a'), release('a')], None, None),
        ([claim('a'), claim('b'), abandon('b'), release('b')], 'a', None),
        ([claim('a'), outcome('a')], 'a', True),
        ([claim('a'), outcome('b')], 'a', None),
        ([outcome('a'), claim('a')], 'a', None),
        ([claim('a'), outcome('a'), release('a')], 'a', True),
        ([claim('a'), outcome('a'), outcome('a', False)], 'a', True),
        ([claim('a'), outcome('a', False), outcome('a')], 'a', True),
        ([claim('a'), outcome('a', False), claim('b')], 'a', False),
    )
    @ddt.unpack
    def test_owner_and_outcome(self, items, owner, known):
        state = fold(items)
        found = getattr(state, 'outcome', None)
        self.assertEqual(
            (owner, known),
            (getattr(state, 'claim_id', None), found and found.known),
        )

    def test_first_known_outcome_is_kept(self):
        state = fold([claim('a'), outcome('a'), outcome('a', True, {'n': 1})])
        self.assertEqual(1, state.outcome.position.offset)

    def test_duplicates_of_ending_records_change_nothing(self):
        endings = (abandon('a'), release('a'), outcome('b'))
        items = [claim('a'), abandon('a'), release('a'), claim('b')]
        for repeats in itertools.product(endings, repeat=3):
            state = fold([*items, outcome('b'), *repeats])
            self.assertEqual('b', state.claim_id)
            self.assertEqual(4, state.outcome.position.offset)

    @ddt.data((1_000, 'a'), (1_001, 'b'))
    @ddt.unpack
    def test_a_key_expires_after_the_window(self, step_ms, owner):
        state = fold([claim('a'), claim('b')], step_ms)
        self.assertEqual(owner, state.claim_id)

    @ddt.data(
        ([], b'r', 0, claim_fold.Free()),
        ([abandon('a')], b'r', 0, claim_fold.Free()),
        ([claim('a')], b'x', 0, claim_fold.Mismatch()),
        ([claim('a')], b'r', 99, claim_fold.Open('a', 2_001)),
        ([claim('a')], b'r', 2_100, claim_fold.Overdue('a')),
        ([claim('a'), release('a')], b'r', 9_000, claim_fold.Free()),
        ([claim('a'), release('a')], b'x', 0, claim_fold.Mismatch()),
    )
    @ddt.unpack
    def test_key_status(self, items, request, now_ms, expected):
        found = claim_fold.key_status(fold(items), request, now_ms)
        self.assertEqual(expected, found)


@ddt.ddt
class CoverageTest(base.TestCase):
    SKEW_MS = claim_fold.KEY_CLOCK_SKEW_MS

    @ddt.data(
        # horizon offset, its time, key's creation, since offset, complete
        (None, None, None, None, True),
        (4, 10, None, None, False),
        (4, 10, None, 4, False),
        (4, 10, None, 5, True),
        (4, CREATED_MS, CREATED_MS, 9, False),
        (4, CREATED_MS - SKEW_MS, CREATED_MS, None, False),
        (4, CREATED_MS - SKEW_MS - 1, CREATED_MS, None, True),
        (4, None, CREATED_MS, 9, False),
    )
    @ddt.unpack
    def test_is_history_complete(
        self, offset, time_ms, created_ms, since, expected
    ):
        horizon = None
        if offset is not None:
            horizon = claim_fold.Horizon(offset, time_ms)
        found = claim_fold.is_history_complete(horizon, created_ms, since)
        self.assertEqual(expected, found)

    @ddt.data(
        (claim_bench.uuid7(CREATED_MS), CREATED_MS),
        (claim_bench.uuid7(CREATED_MS).upper(), None),
        ('9f1c2e9e-3c64-4c8e-9a51-0d3a6f3f5f11', None),
        ('order-17', None),
    )
    @ddt.unpack
    def test_creation_time_of_a_key(self, text, expected):
        key = claims.ClaimKey('team', 'pump', text)
        self.assertEqual(expected, claim_records.created_ms(key))

    def test_eviction_raises_the_horizon(self):
        state = claim_partition.new_partition_state(WINDOW_MS, max_keys=2)
        for offset in range(4):
            item = claim_records.Claim(
                key_digest=bytes([offset]),
                claim_id=str(offset),
                request_digest=b'r',
                deadline_ms=1,
                owner='a',
            )
            state.advance(offset, offset)
            position = claim_fold.Position(offset, 0, offset)
            state.fold(item, position)
        state.advance(4, 4)
        self.assertEqual(2, len(state))
        self.assertEqual(claim_fold.Horizon(1, 1), state.horizon)
        state.advance(5, WINDOW_MS + 3)
        self.assertEqual(claim_fold.Horizon(2, 2), state.horizon)

    def test_output_cache_is_bounded(self):
        outputs = claim_partition.OutputCache(max_bytes=100)
        for number in range(20):
            outputs.put(bytes([number]), {'pad': 'x' * 20})
        self.assertLessEqual(outputs.size_bytes, 100)
        self.assertIsNone(outputs.get(b'\x00'))
        self.assertEqual({'pad': 'x' * 20}, outputs.get(bytes([19])))


@ddt.ddt
class RecordTest(base.TestCase):
    @ddt.data(
        claim('a'),
        abandon('a'),
        release('a'),
        outcome('a', True, {'n': [1]}),
        claim_records.Tick(),
    )
    def test_round_trip(self, item):
        record = claim_records.to_record(item)
        record.fields['added_later'] = 1
        (record,) = records.unpack_envelope(records.pack_envelope([record]))
        self.assertEqual(item, claim_records.from_record(record))

    @ddt.data(
        records.Record('claim', 2, {}),
        records.Record('claim', 1, {}),
        records.Record('other', 1, {}),
    )
    def test_unknown_records_are_refused(self, record):
        self.assertRaises(
            errors.VersionError, claim_records.from_record, record
        )
