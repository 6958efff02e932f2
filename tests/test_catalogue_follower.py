"""Tests of following the catalogue, cut off and not."""

import random

import ddt

from sycamorebeam import batching
from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import errors
from sycamorebeam import hashing
from sycamorebeam import snapshot_reader
from sycamorebeam import snapshot_writer
from sycamorebeam import snapshots
from sycamorebeam.clients import results
from sycamorebeam.controllers import readiness
from sycamorebeam.controllers import snapshot_scheduler
from tests import base
from tests import catalogue_bench
from tests import fake_log

STREAM = catalogue_records.STREAM
CLOCK = catalogue_bench.CLOCK
READY = readiness.Ready()
SETTLE_MS = 2_000
LOG_TIMEOUT_MS = 1_000
MAX_IN_FORCE_MS = 11_000
LEVEL_2 = catalogue_records.FormatLevel(
    id='level', author='op', time_ms=1, level=2
)


def put(log, number, *edits):
    edits = edits or [catalogue_bench.team_edit(f't{number}')]
    data = catalogue_bench.envelope(catalogue_bench.change(number, *edits))
    return log.put(STREAM, data)


def new_appender(log):
    return batching.new_appender(log, CLOCK, 40.0, 5, random.Random(1))


async def write_snapshot(log, offset):
    """Write the snapshot that covers ``offset``."""
    fold = catalogue_fold.Fold()
    for row in log.streams[STREAM][: offset + 1]:
        fold.apply(row.offset, row.data)
    frozen = snapshots.freeze(fold)
    return await snapshot_writer.write(new_appender(log), CLOCK, frozen)


class FollowerCase(base.TestCase):
    """A log with three changes that two instances follow."""

    async def prepare(self, changes=3):
        self.log = fake_log.FakeLog()
        for number in range(changes):
            put(self.log, number)

    async def follow(self, log=None, *others):
        self.bench = catalogue_bench.Bench(log or self.log, *others)
        self.follower = self.bench.start()
        await CLOCK.sleep_ms(SETTLE_MS)
        return self.follower

    def assert_not_ready(self, words):
        state = self.follower.readiness
        self.assertIsInstance(state, readiness.NotReady)
        self.assertIn(words, state.reason)


@ddt.ddt
class FollowTest(FollowerCase):
    async def test_follows_within_the_poll(self):
        await self.prepare()
        await self.follow()
        self.assertEqual((2, READY), (self.offset(), self.ready()))
        seen = []
        self.follower.subscribe(seen.append)
        put(self.log, 3)
        await CLOCK.sleep_ms(10)
        self.assertEqual([3], [item.offset for item in seen])
        self.assertIsNotNone(self.follower.catalogue.team('t3'))
        digest = catalogue_bench.token('t3')
        self.assertEqual('t3', self.follower.team_by_digest(digest))

    def offset(self):
        return self.follower.offset

    def ready(self):
        return self.follower.readiness

    async def test_catalogue_in_use_does_not_change(self):
        await self.prepare()
        await self.follow()
        before = self.follower.catalogue
        put(self.log, 3)
        await CLOCK.sleep_ms(10)
        self.assertIsNone(before.team('t3'))
        self.assertEqual(3, len(before.entries))

    async def test_failing_subscriber_does_not_stop_it(self):
        await self.prepare()
        await self.follow()
        self.follower.subscribe(lambda item: 1 / 0)
        put(self.log, 3)
        await CLOCK.sleep_ms(10)
        self.assertEqual(3, self.offset())

    async def test_empty_log_is_ready(self):
        await self.prepare(changes=0)
        await self.follow()
        self.assertEqual((-1, READY), (self.offset(), self.ready()))

    async def test_stop_ends_it(self):
        await self.prepare()
        await self.follow()
        await self.follower.stop()
        put(self.log, 3)
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual(2, self.offset())


@ddt.ddt
class CutOffTest(FollowerCase):
    async def test_goes_on_while_peers_answer(self):
        await self.prepare()
        other = catalogue_bench.Bench(self.log).start()
        await self.follow(None, other)
        self.log.down = True
        await CLOCK.sleep_ms(10 * catalogue_bench.STALE_MS)
        self.assertEqual(READY, self.follower.readiness)

    async def test_without_log_and_peers_turns_not_ready(self):
        await self.prepare()
        await self.follow()
        self.log.down = True
        await CLOCK.sleep_ms(catalogue_bench.STALE_MS - SETTLE_MS)
        self.assertEqual(READY, self.follower.readiness)
        await CLOCK.sleep_ms(catalogue_bench.STALE_MS)
        self.assert_not_ready('cut off')
        self.assertEqual(2, self.follower.offset)
        self.log.down = False
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual(READY, self.follower.readiness)

    async def test_takes_a_higher_offset_from_peers(self):
        await self.prepare()
        other = catalogue_bench.Bench(self.log).start()
        mine = fake_log.FakeLog()
        mine.streams[STREAM] = list(self.log.streams[STREAM])
        await self.follow(mine, other)
        mine.down = True
        await CLOCK.sleep_ms(SETTLE_MS * 4)
        put(self.log, 3)
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual(
            other.offset_and_digest(), self.follower.offset_and_digest()
        )
        self.assertLess(self.bench.peers.fetched_bytes, 1_000)

    async def test_start_from_peers_when_the_log_is_down(self):
        await self.prepare()
        other = catalogue_bench.Bench(self.log).start()
        await CLOCK.sleep_ms(SETTLE_MS)
        mine = fake_log.FakeLog()
        mine.down = True
        await self.follow(mine, other)
        self.assertEqual(READY, self.follower.readiness)
        self.assertEqual(
            other.offset_and_digest(), self.follower.offset_and_digest()
        )

    async def test_start_with_neither_is_not_ready(self):
        await self.prepare()
        self.log.down = True
        await self.follow()
        self.assert_not_ready('no catalogue has been read yet')

    @ddt.data(
        lambda state: state[:-1],
        lambda state: b'\xc1',
        lambda state: state[:-9] + b'?' + state[-8:],
        lambda state: state.replace(b'ops', b'oqs'),
    )
    async def test_damaged_state_is_an_alarm_and_not_used(self, damage):
        await self.prepare()
        other = catalogue_bench.Bench(self.log).start()
        mine = fake_log.FakeLog()
        mine.streams[STREAM] = self.log.streams[STREAM][:1]
        await self.follow(mine, other)
        self.bench.peers.damage = damage
        mine.down = True
        await CLOCK.sleep_ms(3 * catalogue_bench.STALE_MS)
        self.assertEqual(0, self.follower.offset)
        self.assertIn(
            errors.DigestError, catalogue_bench.alarm_kinds(self.bench)
        )
        self.assert_not_ready('cut off')

    async def test_peer_with_another_state_is_an_alarm(self):
        await self.prepare()
        differs = fake_log.FakeLog()
        for number in (0, 1, 7):
            put(differs, number)
        other = catalogue_bench.Bench(differs).start()
        await self.follow(None, other)
        self.log.down = True
        await CLOCK.sleep_ms(3 * catalogue_bench.STALE_MS)
        self.assertEqual(
            catalogue_bench.DIGEST_ALARM,
            catalogue_bench.alarm_kinds(self.bench),
        )
        self.assert_not_ready('cut off')

    async def test_never_takes_a_lower_offset(self):
        await self.prepare()
        behind = fake_log.FakeLog()
        behind.streams[STREAM] = self.log.streams[STREAM][:2]
        other = catalogue_bench.Bench(behind).start()
        await self.follow(None, other)
        self.log.down = True
        await CLOCK.sleep_ms(3 * SETTLE_MS)
        self.assertEqual(2, self.follower.offset)
        self.assertEqual([], self.bench.alarms)

    async def test_log_that_went_back_is_an_alarm(self):
        await self.prepare()
        await self.follow()
        del self.log.streams[STREAM][1:]
        await CLOCK.sleep_ms(2 * catalogue_bench.STALE_MS)
        self.assertEqual(2, self.follower.offset)
        self.assertIsInstance(self.follower.alarm, errors.PlatformError)
        self.assert_not_ready('the log ends at offset 1')


class FaultyLog(fake_log.FakeLog):
    """Answers reads of the catalogue as no log should."""

    def __init__(self, answer):
        super().__init__()
        self.answer = answer

    async def read(self, stream, start, limit=100, wait_ms=0):
        await CLOCK.sleep_ms(1)
        if stream == STREAM and start > 0:
            return self.answer()
        return await super().read(stream, start, limit, wait_ms)


@ddt.ddt
class FaultyLogTest(FollowerCase):
    @ddt.unpack
    @ddt.data(
        (lambda: results.LogPage(0, 9, ()), 'the log gave none'),
        (lambda: 1 / 0, 'division by zero'),
        (
            lambda: results.LogPage(0, 9, (results.LogRecord(7, 0, b''),)),
            'the next record is at 7',
        ),
    )
    async def test_turns_not_ready_and_says_why(self, answer, words):
        log = FaultyLog(answer)
        put(log, 0)
        await self.follow(log)
        await CLOCK.sleep_ms(2 * catalogue_bench.STALE_MS)
        self.assert_not_ready(words)
        self.assertEqual(0, self.follower.offset)


class SilentLog:
    """A way to the log whose connections go silent at a given time.

    Reads that are in progress then time out; new ones work again, unless
    the way stays cut.
    """

    def __init__(self, log, stays_cut):
        self._log = log
        self._stays_cut = stays_cut
        self._connections = 0
        self.cut = False

    def go_silent(self):
        self._connections += 1
        self.cut = self._stays_cut

    async def bounds(self, stream):
        return await self._log.bounds(stream)

    async def read(self, stream, start, limit=100, wait_ms=0):
        connection = self._connections
        began_ms = CLOCK.monotonic_ms()
        if not self.cut:
            page = await self._log.read(stream, start, limit, wait_ms)
            if connection == self._connections:
                return page
        taken_ms = CLOCK.monotonic_ms() - began_ms
        await CLOCK.sleep_ms(wait_ms + LOG_TIMEOUT_MS - taken_ms)
        return results.LogUnavailable('no answer')


@ddt.ddt
class InForceTest(FollowerCase):
    @ddt.data(*range(0, 4_000, 500))
    async def test_silent_connection_delays_by_less_than_11_s(self, at_ms):
        await self.prepare()
        await self.expect_in_force(SilentLog(self.log, False), at_ms)

    @ddt.data(*range(0, 4_000, 500))
    async def test_peers_help_within_11_s_when_it_stays_cut(self, at_ms):
        await self.prepare()
        other = catalogue_bench.Bench(self.log).start()
        await self.expect_in_force(SilentLog(self.log, True), at_ms, other)

    async def expect_in_force(self, silent, at_ms, *others):
        await self.follow(silent, *others)
        await CLOCK.sleep_ms(at_ms)
        silent.go_silent()
        put(self.log, 3)
        began_ms = CLOCK.monotonic_ms()
        while self.follower.offset < 3:
            await CLOCK.sleep_ms(50)
            taken_ms = CLOCK.monotonic_ms() - began_ms
            self.assertLess(taken_ms, MAX_IN_FORCE_MS)


@ddt.ddt
class VersionTest(FollowerCase):
    async def test_stops_before_a_version_it_cannot_read(self):
        await self.prepare()
        await self.follow()
        self.log.put(STREAM, catalogue_bench.envelope(LEVEL_2))
        self.log.put(STREAM, catalogue_bench.record('change', 2))
        put(self.log, 9)
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual(3, self.follower.offset)
        self.assertIsInstance(self.follower.obstacle, errors.VersionError)
        self.assertEqual(READY, self.follower.readiness)
        await CLOCK.sleep_ms(catalogue_bench.STALE_MS)
        self.assert_not_ready('run a newer version')
        self.assertEqual(3, self.follower.offset)

    async def test_later_writer_before_its_level_stops_nobody(self):
        await self.prepare()
        await self.follow()
        self.log.put(STREAM, catalogue_bench.record('change', 2))
        put(self.log, 9)
        await CLOCK.sleep_ms(catalogue_bench.STALE_MS * 2)
        self.assertEqual(4, self.follower.offset)
        self.assertEqual(READY, self.follower.readiness)


@ddt.ddt
class SnapshotTest(FollowerCase):
    async def test_start_from_snapshot_and_tail(self):
        await self.prepare(changes=6)
        await write_snapshot(self.log, 3)
        self.log.truncate(STREAM, 3)
        follower = await self.follow()
        self.assertEqual((5, READY), (follower.offset, follower.readiness))
        whole = catalogue_fold.Fold()
        for row in self.log.streams[STREAM]:
            whole.apply(row.offset, row.data)
        self.assertEqual((5, whole.digest), follower.offset_and_digest())
        self.assertEqual(whole.audit, follower.audit)

    async def test_gap_is_crossed_by_a_snapshot(self):
        await self.prepare(changes=6)
        truth = self.log.streams[STREAM]
        self.log.streams[STREAM] = truth[:2]
        follower = await self.follow()
        self.assertEqual(1, follower.offset)
        self.log.streams[STREAM] = truth
        self.log.truncate(STREAM, 4)
        await write_snapshot(self.log, 4)
        await CLOCK.sleep_ms(3 * SETTLE_MS)
        self.assertEqual((5, READY), (follower.offset, follower.readiness))

    async def test_gap_is_crossed_by_a_peer(self):
        await self.prepare(changes=6)
        other = catalogue_bench.Bench(self.log).start()
        await CLOCK.sleep_ms(SETTLE_MS)
        self.log.truncate(STREAM, 4)
        follower = await self.follow(None, other)
        self.assertEqual((5, READY), (follower.offset, follower.readiness))

    async def test_gap_without_a_way_is_not_ready(self):
        await self.prepare(changes=6)
        self.log.truncate(STREAM, 4)
        follower = await self.follow()
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual(-1, follower.offset)
        self.assertIsInstance(follower.obstacle, errors.GapError)
        self.assert_not_ready('the log keeps from 4')
        await write_snapshot(self.log, 4)
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual((5, READY), (follower.offset, follower.readiness))

    @ddt.data('lose_answers', 'late_appends')
    async def test_lost_answer_leaves_no_whole_snapshot(self, fault):
        await self.prepare()
        setattr(self.log, fault, 1)
        found = await write_snapshot(self.log, 2)
        self.assertIsInstance(found, snapshot_writer.NotWritten)
        loaded = await snapshot_reader.load_newest(self.log)
        self.assertEqual(snapshot_reader.NoSnapshot(), loaded)

    async def test_older_snapshot_serves_when_the_newest_is_damaged(self):
        await self.prepare(changes=6)
        await write_snapshot(self.log, 2)
        await write_snapshot(self.log, 5)
        rows = self.log.streams[snapshots.STREAM]
        chunk = rows[2]
        damaged = bytearray(chunk.data)
        damaged[-1] ^= 0xFF
        rows[2] = results.LogRecord(2, chunk.time_ms, bytes(damaged))
        self.log.truncate(STREAM, 3)
        follower = await self.follow()
        self.assertEqual((5, READY), (follower.offset, follower.readiness))
        self.assertEqual(
            catalogue_bench.DIGEST_ALARM,
            catalogue_bench.alarm_kinds(self.bench),
        )

    async def test_snapshot_with_a_false_digest_is_not_used(self):
        await self.prepare()
        differs = fake_log.FakeLog()
        for number in (0, 1, 7):
            put(differs, number)
        fold = catalogue_fold.Fold()
        for row in differs.streams[STREAM]:
            fold.apply(row.offset, row.data)
        frozen = snapshots.freeze(fold)
        frozen.stored['team/t7'] = catalogue_store.pack(
            2, catalogue_bench.team('t7', owner='x')
        )
        await snapshot_writer.write(new_appender(self.log), CLOCK, frozen)
        follower = await self.follow()
        self.assertIsNotNone(follower.catalogue.team('t2'))
        self.assertEqual(
            catalogue_bench.DIGEST_ALARM,
            catalogue_bench.alarm_kinds(self.bench),
        )

    async def test_snapshot_without_its_chunk_is_not_used(self):
        await self.prepare()
        await write_snapshot(self.log, 2)
        rows = self.log.streams[snapshots.STREAM]
        rows[0] = results.LogRecord(0, 0, b'')
        follower = await self.follow()
        self.assertIsNotNone(follower.catalogue.team('t2'))
        self.assertEqual(
            catalogue_bench.DIGEST_ALARM,
            catalogue_bench.alarm_kinds(self.bench),
        )

    async def test_two_writers_at_once_do_no_harm(self):
        await self.prepare()
        rows = self.log.streams
        await write_snapshot(self.log, 2)
        one = rows[snapshots.STREAM]
        other = [row.data for row in one]
        # Interleave a second snapshot that lacks its manifest.
        self.log.put(snapshots.STREAM, other[0])
        loaded = await snapshot_reader.load_newest(self.log)
        self.assertIsInstance(loaded, snapshot_reader.Loaded)
        self.assertEqual(2, loaded.fold.offset)


@ddt.ddt
class SnapshotSchedulerTest(FollowerCase):
    async def new_duty(self, instance_id='a', members=('a', 'b')):
        await self.follow()
        return snapshot_scheduler.new_snapshot_scheduler(
            instance_id,
            self.log,
            new_appender(self.log),
            CLOCK,
            self.follower,
            lambda: members,
            random.Random(1),
        )

    async def test_reads_a_manifest_only_when_the_stream_changed(self):
        await self.prepare()
        await write_snapshot(self.log, 2)
        duty = await self.new_duty()
        reads = []
        read = self.log.read

        async def counted(stream, *args, **fields):
            if stream == snapshots.STREAM:
                reads.append(args)
            return await read(stream, *args, **fields)

        self.log.read = counted
        for _ in range(3):
            await duty.check()
        self.assertEqual(1, len(reads))
        await write_snapshot(self.log, 2)
        await duty.check()
        self.assertEqual(2, len(reads))

    async def test_one_instance_writes_when_there_is_none(self):
        await self.prepare()
        found = []
        for instance_id in 'ab':
            duty = await self.new_duty(instance_id)
            found.append(await duty.check())
        written = [item for item in found if item is not None]
        self.assertEqual([snapshot_writer.Written(1)], written)

    async def test_others_take_over_after_a_time(self):
        await self.prepare()
        picked = hashing.pick(snapshot_scheduler.WRITER_KEY, 'ab')
        duty = await self.new_duty('b' if picked == 'a' else 'a')
        self.assertIsNone(await duty.check())
        await CLOCK.sleep_ms(snapshot_scheduler.TAKE_OVER_MS)
        self.assertEqual(snapshot_writer.Written(1), await duty.check())

    @ddt.unpack
    @ddt.data((-1, 0), (0, 1))
    async def test_writes_again_after_many_records(self, extra, snapshots_):
        await self.prepare(changes=1)
        duty = await self.new_duty(members=('a',))
        await duty.check()
        for _ in range(snapshot_scheduler.MAX_RECORDS_BEHIND + extra):
            self.log.put(STREAM, b'')
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual(snapshots_, 1 if await duty.check() else 0)

    async def test_cut_snapshot_is_written_again(self):
        await self.prepare()
        duty = await self.new_duty(members=('a',))
        await duty.check()
        self.log.truncate(snapshots.STREAM, 1)
        self.assertEqual(snapshot_writer.Written(3), await duty.check())

    async def test_other_digest_is_an_alarm(self):
        await self.prepare()
        duty = await self.new_duty()
        frozen = snapshots.freeze(self.follower.fold)
        fold = self.follower.fold.copy()
        fold.store.put('team/x', b'12345678\x81\xactoken_sha256\x90')
        frozen = snapshots.freeze(fold)
        await snapshot_writer.write(new_appender(self.log), CLOCK, frozen)
        await duty.check()
        self.assertEqual(
            catalogue_bench.DIGEST_ALARM,
            catalogue_bench.alarm_kinds(self.bench),
        )
