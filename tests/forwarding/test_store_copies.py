"""Tests of a store restored from a copy that lacks its last records.

Offsets go back and are assigned again, and the era of the store increases.
"""

import asyncio
import contextlib

from aiohttp import web
import attrs
import ddt

from sycamorebeam import clocks
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import positions
from sycamorebeam.forwarding import read_cache
from sycamorebeam.forwarding import store_outage
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.evacuation import evacuations
from sycamorebeam.platform import store_client
from sycamorebeam.platform import store_platform
from tests import base
from tests.forwarding import build
from tests.forwarding import standin
from tests.forwarding import test_followers
from tests.forwarding import test_shared_reads


class CopiedPlatform(test_followers.FakePlatform):
    """A fake store that can be restored from a copy.

    Reads of changes since another era raise HistoryGoneError.
    """

    def __init__(self):
        super().__init__()
        self.full_read_eras = {}

    def save(self):
        return list(self.versions), dict(self.entries), dict(self.instances)

    def restore(self, copy):
        versions, self.entries, self.instances = copy
        self.versions = list(versions)
        self.changes = []
        self.era += 1

    async def read_state(self, on_arriving=None):
        self.full_read_eras['state'] = self.era
        return await super().read_state(on_arriving)

    async def wait_state(self, position, wait_ms, on_arriving=None):
        read = await super().wait_state(position, wait_ms, on_arriving)
        self.check('state')
        return read

    async def read_targets(self):
        self.full_read_eras['targets'] = self.era
        return await super().read_targets()

    async def read_target_changes(self, position):
        self.check('targets')
        return await super().read_target_changes(position)

    def check(self, part):
        if self.full_read_eras[part] != self.era:
            raise followers.HistoryGoneError('another era')


@contextlib.asynccontextmanager
async def stand_in():
    """Yield a stand-in store and the adapter that reads it."""
    store = standin.StandinStore()
    runner = web.ServerRunner(web.Server(store.handle, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    client = store_client.StoreClient(f'127.0.0.1:{runner.addresses[0][1]}')
    try:
        yield store, store_platform.StorePlatform(client)
    finally:
        await client.close()
        await runner.cleanup()


@ddt.ddt
class OffsetsTest(base.NetworkTestCase):
    @ddt.data(
        ('the last offsets are assigned again', 3, 1, 4),
        ('no record was lost', 3, 3, 0),
        ('all records were lost', 3, 0, 5),
    )
    @ddt.unpack
    async def test_a_position_of_another_era_leads_to_a_full_read(
        self, _, written, kept, written_again
    ):
        """Otherwise records at reassigned offsets would never be read."""
        async with stand_in() as (store, platform):
            topic = store_client.TARGETS_TOPIC
            for number in range(written):
                store.put(topic, f't{number}', {'n': number})
            read = await platform.read_targets()
            store.restore_from_copy({topic: kept})
            for number in range(written_again):
                store.put(topic, f'u{number}', {'n': number})
            with self.assertRaises(followers.HistoryGoneError):
                await platform.read_target_changes(read.position)
            again = await platform.read_targets()
            self.assertGreater(again.position, read.position)
            self.assertEqual(kept + written_again, len(again.entries))
            await platform.read_target_changes(again.position)

    async def test_a_restore_during_a_wait_is_noticed(self):
        async with stand_in() as (store, platform):
            read = await platform.read_state()
            waiting = asyncio.create_task(
                platform.wait_state(read.position, 300)
            )
            await asyncio.sleep(0.1)
            store.restore_from_copy({})
            with self.assertRaises(followers.HistoryGoneError):
                await waiting

    async def test_an_answer_of_an_earlier_era_is_refused(self):
        async with stand_in() as (store, platform):
            store.era = 3
            await platform.read_targets()
            store.era = 2
            with self.assertRaises(followers.ReadError):
                await platform.read_targets()
            self.assertEqual(3, platform.era)

    async def test_an_undecodable_era_is_an_error(self):
        async with stand_in() as (store, platform):
            store.era = 'x'
            with self.assertRaises(followers.ReadError):
                await platform.read_targets()


@ddt.ddt
class ReadCacheTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.cache = read_cache.ReadCache()
        rows = [read_cache.Row(name, b'1') for name in 'ab']
        self.cache.put(rows, positions.of(1, 57), True, 0)

    @ddt.data(57, 40, 90)
    def test_a_request_of_an_earlier_era_gets_all_rows(self, offset):
        rows = [read_cache.Row('a', b'1')]
        self.cache.put(rows, positions.of(2, 40), True, 10)
        position = positions.of(1, offset)
        self.assertTrue(self.cache.has_changes(position))
        changes = self.cache.changes_since(position)
        self.assertTrue(changes.is_whole)
        self.assertEqual(('a',), tuple(row.key for row in changes.rows))

    def test_a_read_of_an_earlier_era_is_ignored(self):
        rows = [read_cache.Row('c', b'1')]
        self.cache.put(rows, positions.of(0, 99), True, 10)
        changes = self.cache.changes_since(-1)
        self.assertEqual({'a', 'b'}, {row.key for row in changes.rows})


@ddt.ddt
class DirectoryTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = target_directory.TargetDirectory()
        self.put('t1', 't2')

    def put(self, *names, now_ms=0, **fields):
        self.directory.update(
            [self.entry(name, **fields) for name in names], now_ms
        )

    def entry(self, name, **fields):
        return target_directory.TargetEntry(name, build.target(name, **fields))

    def usable(self):
        return {item.target_id for item in self.directory.usable('engine')}

    def test_an_old_entry_does_not_make_a_draining_target_usable(self):
        self.put('t1', is_draining=True)
        entries = [self.entry('t1'), self.entry('t2')]
        self.directory.replace_from_copy(entries, 1_000)
        self.assertEqual({'t2'}, self.usable())
        self.put('t1', incarnation=9)
        self.assertEqual({'t1', 't2'}, self.usable())

    def test_a_gone_target_is_usable_after_it_reports_again(self):
        self.directory.update([target_directory.TargetEntry('t1', None)], 0)
        entries = [self.entry('t1'), self.entry('t2')]
        self.directory.replace_from_copy(entries, 1_000)
        self.assertEqual({'t2'}, self.usable())
        self.put('t1', now_ms=2_000)
        self.assertEqual({'t1', 't2'}, self.usable())

    def test_a_target_missing_in_the_copy_has_time_to_report(self):
        self.directory.replace_from_copy([self.entry('t2')], 1_000)
        self.directory.expire(2_900)
        self.assertEqual({'t1', 't2'}, self.usable())
        self.put('t1', now_ms=2_950)
        self.directory.expire(9_000)
        self.assertEqual({'t1', 't2'}, self.usable())

    def test_a_target_that_does_not_report_again_is_gone(self):
        self.directory.replace_from_copy([self.entry('t2')], 1_000)
        self.directory.expire(3_000)
        self.assertEqual({'t2'}, self.usable())


class FollowersTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.platform = CopiedPlatform()
        self.recovery = store_outage.StoreRecovery()
        self.state = active_state.ActiveState()
        self.lease = freshness.FreshnessLease(5_000, True)
        self.clock = build.LoopClock()

    def follow_state(self):
        return asyncio.create_task(
            followers.StateFollower(
                self.platform,
                self.clock,
                self.state,
                self.lease,
                self.recovery,
                evacuations.Evacuations(target_directory.TargetDirectory()),
            ).follow()
        )

    def age_ms(self):
        return self.lease.age_ms(self.clock.boottime_ms())

    async def test_an_older_version_does_not_come_into_force(self):
        self.follow_state()
        copy = self.platform.save()
        self.platform.versions.append(5)
        await asyncio.sleep(2)
        self.platform.restore(copy)
        await asyncio.sleep(2)
        self.assertEqual(5, self.state.desired.version)
        self.platform.versions.append(7)
        await asyncio.sleep(2)
        self.assertEqual(7, self.state.desired.version)

    async def test_a_copy_with_an_older_version_does_not_renew_the_lease(self):
        self.follow_state()
        copy = self.platform.save()
        self.platform.versions.append(5)
        await asyncio.sleep(2)
        self.platform.restore(copy)
        await asyncio.sleep(6)
        self.assertGreater(self.age_ms(), 5_000)
        self.platform.versions.append(5)
        await asyncio.sleep(3)
        self.assertLess(self.age_ms(), 3_000)

    async def test_a_copy_does_not_renew_the_lease_until_writes_are_repeated(
        self,
    ):
        """The copy may lack a version that this instance never read."""
        self.follow_state()
        await asyncio.sleep(2)
        before_ms = self.clock.boottime_ms()
        self.platform.restore(self.platform.save())
        await asyncio.sleep(followers.COPY_REWRITE_MS / 1_000 - 0.1)
        self.assertGreater(self.age_ms(), self.clock.boottime_ms() - before_ms)
        await asyncio.sleep(4)
        self.assertLess(self.age_ms(), 3_000)

    async def test_the_first_era_read_is_not_taken_for_a_restore(self):
        """A starting instance knows no version that a copy could lack."""
        read_state = self.platform.read_state

        async def first_read():
            # The era is known from the first answer.
            self.platform.era = 4
            return await read_state()

        self.platform.read_state = first_read
        self.follow_state()
        await asyncio.sleep(0.1)
        self.assertLess(self.age_ms(), 200)

    async def test_a_restore_leads_to_a_full_read_of_targets(self):
        directory = target_directory.TargetDirectory()
        follower = followers.TargetsFollower(
            self.platform,
            clocks.Clock(),
            directory,
            target_choice.TargetChooser('a1', build.ZONES),
            500,
            self.recovery,
        )
        self.platform.change('t1', build.target('t1'))
        copy = self.platform.save()
        task = asyncio.create_task(follower.follow())
        self.platform.change('t2', build.target('t2'))
        await asyncio.sleep(1)
        self.platform.restore(copy)
        self.platform.change('t3', build.target('t3'))
        await asyncio.sleep(1)
        usable = {item.target_id for item in directory.usable('engine')}
        self.assertEqual({'t1', 't2', 't3'}, usable)
        await asyncio.sleep(3)
        usable = {item.target_id for item in directory.usable('engine')}
        self.assertEqual({'t1', 't3'}, usable)
        task.cancel()

    async def test_instances_write_their_entries_again_and_stay_known(self):
        own, other = (
            membership.InstanceEntry(name, 'x:1', 'north', True, 0, 0)
            for name in ('i0', 'i1')
        )
        members = membership.Membership(own, clocks.Clock())
        follower = followers.InstancesFollower(
            self.platform, clocks.Clock(), members, self.recovery
        )
        copy = self.platform.save()
        self.platform.instances['i1'] = other
        task = asyncio.create_task(follower.follow())
        await asyncio.sleep(10)
        self.platform.restore(copy)
        # The follower of the desired state notices the restore first.
        self.recovery.notify()
        await asyncio.sleep(0.1)
        self.assertIn('i0', self.platform.instances)
        self.assertEqual(2, members.count())
        self.platform.instances['i1'] = attrs.evolve(other, renewal=1)
        await asyncio.sleep(followers.ENTRIES_REWRITE_MS / 1_000 + 5)
        self.assertEqual(2, members.count())
        del self.platform.instances['i1']
        await asyncio.sleep(5)
        self.assertEqual(1, members.count())
        task.cancel()


class SharedReadsTest(base.NetworkTestCase):
    async def test_an_older_version_of_a_copy_is_not_shared(self):
        """An instance that starts after a restore gets the newest version."""
        async with test_shared_reads.fleet(*['north'] * 3) as nodes:
            reader, asker, starting = nodes
            for node in nodes:
                node.platform.versions = [1, 5]
            await reader.reads.read_state()
            for node in nodes:
                node.platform.versions = [1]
            read = await reader.reads.read_state()
            self.assertEqual(1, read.state.version)
            for node in (asker, starting):
                read = await node.reads.read_state()
                self.assertEqual(5, read.state.version)
