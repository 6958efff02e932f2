"""Tests of the catalogue follower and the snapshot scheduler."""

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


def append_change(log, number, *edits):
    edits = edits or [catalogue_bench.team_edit(f't{number}')]
    data = catalogue_bench.envelope(catalogue_bench.change(number, *edits))
    return log.put(STREAM, data)


def new_appender(log):
    return batching.new_appender(log, CLOCK, 40.0, 5, random.Random(1))


async def write_snapshot(log, offset):
    """Write the snapshot of the catalogue at ``offset``."""
    fold = catalogue_fold.Fold()
    for row in log.streams[STREAM][: offset + 1]:
        fold.apply(row.offset, row.data)
    frozen = snapshots.freeze(fold)
    return await snapshot_writer.write(new_appender(log), CLOCK, frozen)


class FollowerCase(base.TestCase):
    """Base class with a log of some changes and a follower of it."""

    async def prepare(self, changes=3):
        self.log = fake_log.FakeLog()
        for number in range(changes):
            append_change(self.log, number)

    async def follow(self, log=None, *others):
        self.bench = catalogue_bench.Bench(log or self.log, *others)
        self.follower = self.bench.start()
        await CLOCK.sleep_ms(SETTLE_MS)
        return self.follower

    def assert_not_ready(self, text):
        state = self.follower.readiness
        self.assertIsInstance(state, readiness.NotReady)
        self.assertIn(text, state.reason)


@ddt.ddt
class FollowTest(FollowerCase):
    async def test_applies_a_new_change_during_a_poll(self):
        await self.prepare()
        await self.follow()
        self.assertEqual((2, READY), (self.offset(), self.ready()))
        received = []
        self.follower.subscribe(received.append)
        append_change(self.log, 3)
        await CLOCK.sleep_ms(10)
        self.assertEqual([3], [item.offset for item in received])
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
        append_change(self.log, 3)
        await CLOCK.sleep_ms(10)
        self.assertIsNone(before.team('t3'))
        self.assertEqual(3, len(before.entries))

    async def test_failing_subscriber_does_not_stop_the_follower(self):
        await self.prepare()
        await self.follow()
        self.follower.subscribe(lambda catalogue: 1 / 0)
        append_change(self.log, 3)
        await CLOCK.sleep_ms(10)
        self.assertEqual(3, self.offset())

    async def test_empty_log_is_ready(self):
        await self.prepare(changes=0)
        await self.follow()
        self.assertEqual((-1, READY), (self.offset(), self.ready()))

    async def test_stop_ends_following(self):
        await self.prepare()
        await self.follow()
        await self.follower.stop()
        append_change(self.log, 3)
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual(2, self.offset())


@ddt.ddt
class CutOffTest(FollowerCase):
    async def test_stays_ready_while_peers_answer(self):
        await self.prepare()
        other = catalogue_bench.Bench(self.log).start()
        await self.follow(None, other)
        self.log.down = True
        await CLOCK.sleep_ms(10 * catalogue_bench.STALE_MS)
        self.assertEqual(READY, self.follower.readiness)

    async def test_without_log_and_peers_becomes_not_ready(self):
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

    async def test_adopts_a_higher_offset_from_peers(self):
        await self.prepare()
        other = catalogue_bench.Bench(self.log).start()
        own_log = fake_log.FakeLog()
        own_log.streams[STREAM] = list(self.log.streams[STREAM])
        await self.follow(own_log, other)
        own_log.down = True
        await CLOCK.sleep_ms(SETTLE_MS * 4)
        append_change(self.log, 3)
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual(
            other.offset_and_digest(), self.follower.offset_and_digest()
        )
        self.assertLess(self.bench.peers.fetched_bytes, 1_000)

    async def test_start_from_peers_when_the_log_is_down(self):
        await self.prepare()
        other = catalogue_bench.Bench(self.log).start()
        await CLOCK.sleep_ms(SETTLE_MS)
        own_log = fake_log.FakeLog()
        own_log.down = True
        await self.follow(own_log, other)
        self.assertEqual(READY, self.follower.readiness)
        self.assertEqual(
            other.offset_and_digest(), self.follower.offset_and_digest()
        )

    async def test_start_without_log_and_peers_is_not_ready(self):
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
    async def test_damaged_peer_state_is_rejected_with_an_alarm(self, damage):
        await self.prepare()
        other = catalogue_bench.Bench(self.log).start()
        own_log = fake_log.FakeLog()
        own_log.streams[STREAM] = self.log.streams[STREAM][:1]
        await self.follow(own_log, other)
        self.bench.peers.damage = damage
        own_log.down = True
        await CLOCK.sleep_ms(3 * catalogue_bench.STALE_MS)
        self.assertEqual(0, self.follower.offset)
        self.assertIn(
            errors.DigestError, catalogue_bench.alarm_kinds(self.bench)
        )
        self.assert_not_ready('cut off')

    async def test_peer_with_a_different_state_raises_an_alarm(self):
        await self.prepare()
        diverged_log = fake_log.FakeLog()
        for number in (0, 1, 7):
            append_change(diverged_log, number)
        other = catalogue_bench.Bench(diverged_log).start()
        await self.follow(None, other)
        self.log.down = True
        await CLOCK.sleep_ms(3 * catalogue_bench.STALE_MS)
        self.assertEqual(
            catalogue_bench.DIGEST_ALARM,
            catalogue_bench.alarm_kinds(self.bench),
        )
        self.assert_not_ready('cut off')

    async def test_never_adopts_a_lower_offset(self):
        await self.prepare()
        shorter_log = fake_log.FakeLog()
        shorter_log.streams[STREAM] = self.log.streams[STREAM][:2]
        other = catalogue_bench.Bench(shorter_log).start()
        await self.follow(None, other)
        self.log.down = True
        await CLOCK.sleep_ms(3 * SETTLE_MS)
        self.assertEqual(2, self.follower.offset)
        self.assertEqual([], self.bench.alarms)

    async def test_log_that_lost_its_end_raises_an_alarm(self):
        await self.prepare()
        await self.follow()
        del self.log.streams[STREAM][1:]
        await CLOCK.sleep_ms(2 * catalogue_bench.STALE_MS)
        self.assertEqual(2, self.follower.offset)
        self.assertIsInstance(self.follower.alarm, errors.PlatformError)
        self.assert_not_ready('the log ends at offset 1')


class FaultyLog(fake_log.FakeLog):
    """Returns ``answer()`` for catalogue reads past offset 0."""

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
    async def test_becomes_not_ready_with_a_reason(self, answer, text):
        log = FaultyLog(answer)
        append_change(log, 0)
        await self.follow(log)
        await CLOCK.sleep_ms(2 * catalogue_bench.STALE_MS)
        self.assert_not_ready(text)
        self.assertEqual(0, self.follower.offset)


class SilentLog:
    """A log client whose open connections stop responding on request.

    Reads in progress at that time time out. Later reads succeed, unless
    ``stays_cut``.
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
        elapsed_ms = CLOCK.monotonic_ms() - began_ms
        await CLOCK.sleep_ms(wait_ms + LOG_TIMEOUT_MS - elapsed_ms)
        return results.LogUnavailable('no answer')


@ddt.ddt
class InForceTest(FollowerCase):
    @ddt.data(*range(0, 4_000, 500))
    async def test_silent_connection_delays_by_less_than_11_s(self, at_ms):
        await self.prepare()
        await self.assert_in_force_in_time(SilentLog(self.log, False), at_ms)

    @ddt.data(*range(0, 4_000, 500))
    async def test_peers_deliver_within_11_s_when_the_log_stays_cut(
        self, at_ms
    ):
        await self.prepare()
        other = catalogue_bench.Bench(self.log).start()
        await self.assert_in_force_in_time(
            SilentLog(self.log, True), at_ms, other
        )

    async def assert_in_force_in_time(self, silent, at_ms, *others):
        await self.follow(silent, *others)
        await CLOCK.sleep_ms(at_ms)
        silent.go_silent()
        append_change(self.log, 3)
        began_ms = CLOCK.monotonic_ms()
        while self.follower.offset < 3:
            await CLOCK.sleep_ms(50)
            elapsed_ms = CLOCK.monotonic_ms() - began_ms
            self.assertLess(elapsed_ms, MAX_IN_FORCE_MS)


@ddt.ddt
class VersionTest(FollowerCase):
    async def test_stops_before_a_version_it_cannot_read(self):
        await self.prepare()
        await self.follow()
        self.log.put(STREAM, catalogue_bench.envelope(LEVEL_2))
        self.log.put(STREAM, catalogue_bench.record('change', 2))
        append_change(self.log, 9)
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual(3, self.follower.offset)
        self.assertIsInstance(self.follower.obstacle, errors.VersionError)
        self.assertEqual(READY, self.follower.readiness)
        await CLOCK.sleep_ms(catalogue_bench.STALE_MS)
        self.assert_not_ready('run a newer version')
        self.assertEqual(3, self.follower.offset)

    async def test_newer_record_without_its_format_level_is_skipped(self):
        await self.prepare()
        await self.follow()
        self.log.put(STREAM, catalogue_bench.record('change', 2))
        append_change(self.log, 9)
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

    async def test_gap_is_bridged_by_a_snapshot(self):
        await self.prepare(changes=6)
        all_records = self.log.streams[STREAM]
        self.log.streams[STREAM] = all_records[:2]
        follower = await self.follow()
        self.assertEqual(1, follower.offset)
        self.log.streams[STREAM] = all_records
        self.log.truncate(STREAM, 4)
        await write_snapshot(self.log, 4)
        await CLOCK.sleep_ms(3 * SETTLE_MS)
        self.assertEqual((5, READY), (follower.offset, follower.readiness))

    async def test_gap_is_bridged_by_a_peer(self):
        await self.prepare(changes=6)
        other = catalogue_bench.Bench(self.log).start()
        await CLOCK.sleep_ms(SETTLE_MS)
        self.log.truncate(STREAM, 4)
        follower = await self.follow(None, other)
        self.assertEqual((5, READY), (follower.offset, follower.readiness))

    async def test_gap_without_snapshot_or_peer_is_not_ready(self):
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
    async def test_lost_append_answer_leaves_no_complete_snapshot(self, fault):
        await self.prepare()
        setattr(self.log, fault, 1)
        result = await write_snapshot(self.log, 2)
        self.assertIsInstance(result, snapshot_writer.NotWritten)
        loaded = await snapshot_reader.load_newest(self.log)
        self.assertEqual(snapshot_reader.NoSnapshot(), loaded)

    async def test_older_snapshot_is_used_when_the_newest_is_damaged(self):
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

    async def test_snapshot_with_a_wrong_digest_is_not_used(self):
        await self.prepare()
        diverged_log = fake_log.FakeLog()
        for number in (0, 1, 7):
            append_change(diverged_log, number)
        fold = catalogue_fold.Fold()
        for row in diverged_log.streams[STREAM]:
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

    async def test_interleaved_incomplete_snapshot_is_ignored(self):
        await self.prepare()
        streams = self.log.streams
        await write_snapshot(self.log, 2)
        complete = streams[snapshots.STREAM]
        data = [row.data for row in complete]
        # Interleave a second snapshot that lacks its manifest.
        self.log.put(snapshots.STREAM, data[0])
        loaded = await snapshot_reader.load_newest(self.log)
        self.assertIsInstance(loaded, snapshot_reader.Loaded)
        self.assertEqual(2, loaded.fold.offset)


@ddt.ddt
class SnapshotSchedulerTest(FollowerCase):
    async def new_scheduler(self, instance_id='a', members=('a', 'b')):
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
        scheduler = await self.new_scheduler()
        reads = []
        read = self.log.read

        async def counting_read(stream, *args, **fields):
            if stream == snapshots.STREAM:
                reads.append(args)
            return await read(stream, *args, **fields)

        self.log.read = counting_read
        for _ in range(3):
            await scheduler.check()
        self.assertEqual(1, len(reads))
        await write_snapshot(self.log, 2)
        await scheduler.check()
        self.assertEqual(2, len(reads))

    async def test_one_instance_writes_the_first_snapshot(self):
        await self.prepare()
        write_results = []
        for instance_id in 'ab':
            scheduler = await self.new_scheduler(instance_id)
            write_results.append(await scheduler.check())
        written = [item for item in write_results if item is not None]
        self.assertEqual([snapshot_writer.Written(1)], written)

    async def test_other_instances_take_over_from_the_picked_one(self):
        await self.prepare()
        writer_id = hashing.pick(snapshot_scheduler.WRITER_KEY, 'ab')
        scheduler = await self.new_scheduler('b' if writer_id == 'a' else 'a')
        self.assertIsNone(await scheduler.check())
        await CLOCK.sleep_ms(snapshot_scheduler.TAKE_OVER_MS)
        self.assertEqual(snapshot_writer.Written(1), await scheduler.check())

    @ddt.unpack
    @ddt.data((-1, 0), (0, 1))
    async def test_writes_again_after_many_records(self, extra, written):
        await self.prepare(changes=1)
        scheduler = await self.new_scheduler(members=('a',))
        await scheduler.check()
        for _ in range(snapshot_scheduler.MAX_RECORDS_BEHIND + extra):
            self.log.put(STREAM, b'')
        await CLOCK.sleep_ms(SETTLE_MS)
        self.assertEqual(written, 1 if await scheduler.check() else 0)

    async def test_truncated_snapshot_is_written_again(self):
        await self.prepare()
        scheduler = await self.new_scheduler(members=('a',))
        await scheduler.check()
        self.log.truncate(snapshots.STREAM, 1)
        self.assertEqual(snapshot_writer.Written(3), await scheduler.check())

    async def test_snapshot_with_a_different_digest_raises_an_alarm(self):
        await self.prepare()
        scheduler = await self.new_scheduler()
        frozen = snapshots.freeze(self.follower.fold)
        fold = self.follower.fold.copy()
        fold.store.put('team/x', b'12345678\x81\xactoken_sha256\x90')
        frozen = snapshots.freeze(fold)
        await snapshot_writer.write(new_appender(self.log), CLOCK, frozen)
        await scheduler.check()
        self.assertEqual(
            catalogue_bench.DIGEST_ALARM,
            catalogue_bench.alarm_kinds(self.bench),
        )
