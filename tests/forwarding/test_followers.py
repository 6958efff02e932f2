"""Tests of following the store, through outages and lost history."""

import asyncio

import attrs
import ddt

from sycamorebeam import clocks
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import store_outage
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.evacuation import evacuations
from sycamorebeam.forwarding.evacuation import zone_records
from tests import base
from tests.forwarding import build

DRAIN_MS = 2_500


class FakePlatform:
    """A store whose records and outages are set by tests."""

    def __init__(self):
        self.era = 0
        self.versions = [1]
        self.entries = {}
        self.changes = []
        self.instances = {}
        self.is_unavailable = False
        self.lost_history = 0
        self.calls = 0
        self.answer_delay_ms = 0
        self.transfer_ms = 0

    async def _call(self):
        self.calls += 1
        await asyncio.sleep(self.answer_delay_ms / 1_000)
        if self.is_unavailable:
            raise followers.ReadError('unavailable')

    async def _arrive(self, on_arriving):
        if on_arriving is not None and self.transfer_ms:
            for _ in range(0, self.transfer_ms, 100):
                on_arriving()
                await asyncio.sleep(0.1)

    def _state(self):
        return build.desired(version=self.versions[-1])

    def _record(self):
        return str(self.versions[-1]).encode()

    def decode_state(self, record):
        return build.desired(version=int(record))

    async def read_state(self, on_arriving=None):
        await self._call()
        await self._arrive(on_arriving)
        return followers.StateRead(
            self._state() if self.versions else None,
            len(self.versions),
            self._record() if self.versions else b'',
        )

    async def wait_state(self, position, wait_ms, on_arriving=None):
        await self._call()
        await self._arrive(on_arriving)
        self._lose_history()
        if len(self.versions) > position:
            return followers.StateRead(
                self._state(), len(self.versions), self._record()
            )
        await asyncio.sleep(wait_ms / 1_000)
        await self._call()
        return followers.StateRead(None, position)

    async def read_targets(self):
        await self._call()
        entries = tuple(
            target_directory.TargetEntry(name, target)
            for name, target in self.entries.items()
        )
        return followers.TargetsRead(entries, len(self.changes), is_whole=True)

    async def read_target_changes(self, position):
        await self._call()
        self._lose_history()
        return followers.TargetsRead(
            tuple(self.changes[position:]), len(self.changes)
        )

    async def read_instances(self):
        await self._call()
        return list(self.instances.values())

    async def renew_instance(self, entry):
        await self._call()
        self.instances[entry.instance_id] = entry

    async def remove_instance(self, instance_id):
        await self._call()
        self.instances.pop(instance_id, None)

    def change(self, name, target):
        self.changes.append(target_directory.TargetEntry(name, target))
        if target is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = target

    def _lose_history(self):
        if self.lost_history:
            self.lost_history -= 1
            raise followers.HistoryGoneError('gone')


def change_after(platform, delay_ms, zones):
    """Return a waiting read that a new version answers after a delay.

    With ``zones`` the change is a record of evacuated zones instead.
    """

    async def wait_state(position, wait_ms):
        if wait_ms and len(platform.versions) == 1:
            await asyncio.sleep(delay_ms / 1_000)
            platform.versions.append(2)
        is_changed = len(platform.versions) > position
        state = platform._state() if is_changed else None
        if not is_changed:
            await asyncio.sleep(wait_ms / 1_000)
        elif zones.has_record:
            return followers.StateRead(None, 2, evacuations=zones)
        return followers.StateRead(state, len(platform.versions))

    return wait_state


@ddt.ddt
class StateFollowerTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.platform = FakePlatform()
        self.state = active_state.ActiveState()
        self.lease = freshness.FreshnessLease(5_000, True)

    def follow(self):
        follower = followers.StateFollower(
            self.platform,
            build.LoopClock(),
            self.state,
            self.lease,
            store_outage.StoreRecovery(),
            evacuations.Evacuations(target_directory.TargetDirectory()),
        )
        return asyncio.create_task(follower.follow())

    def is_fresh(self):
        return self.lease.is_valid(build.LoopClock().boottime_ms())

    async def test_a_version_is_in_force_at_once(self):
        self.follow()
        await asyncio.sleep(3)
        self.platform.versions.append(5)
        await asyncio.sleep(followers.STATE_WAIT_MS / 1_000 + 0.1)
        self.assertEqual(5, self.state.desired.version)

    @ddt.data((0, True), (3_000, True), (5_000, False), (60_000, False))
    @ddt.unpack
    async def test_the_lease_ends_during_an_outage_of_the_store(
        self, outage_ms, is_fresh
    ):
        self.follow()
        await asyncio.sleep(followers.STATE_WAIT_MS / 1_000 + 0.05)
        self.platform.is_unavailable = True
        await asyncio.sleep(outage_ms / 1_000)
        self.assertEqual(is_fresh, self.is_fresh())
        self.assertEqual(1, self.state.desired.version)

    async def test_the_lease_is_valid_one_wait_after_an_outage(self):
        self.follow()
        await asyncio.sleep(1)
        self.platform.is_unavailable = True
        await asyncio.sleep(20)
        self.platform.is_unavailable = False
        await asyncio.sleep(store_outage.LONGEST_RETRY_MS / 1_000 + 0.1)
        await asyncio.sleep(followers.STATE_WAIT_MS / 1_000 + 0.1)
        self.assertTrue(self.is_fresh())

    async def test_the_lease_is_valid_right_after_an_outage(self):
        """The first read must not wait for a change, which takes longer."""
        self.follow()
        await asyncio.sleep(1)
        self.platform.is_unavailable = True
        await asyncio.sleep(20)
        self.platform.is_unavailable = False
        await asyncio.sleep(store_outage.LONGEST_RETRY_MS / 1_000 + 0.05)
        self.assertTrue(self.is_fresh())

    async def test_all_followers_wake_when_one_has_reached_the_store(self):
        recovery = store_outage.StoreRecovery()
        waits = [asyncio.create_task(recovery.wait(600)) for _ in range(3)]
        await asyncio.sleep(0.1)
        recovery.notify()
        async with asyncio.timeout(0.05):
            await asyncio.gather(*waits)

    @ddt.data({}, {'a1': True})
    async def test_a_change_after_a_long_wait_is_followed_by_a_read(
        self, has_record
    ):
        """The change shows the state only as of the start of the wait."""
        clock = build.LoopClock()
        zones = zone_records.ZoneChanges(has_record)
        self.platform.wait_state = change_after(self.platform, 1_200, zones)
        self.follow()
        await asyncio.sleep(1.25)
        version = self.state.desired.version
        self.assertEqual(1 if has_record else 2, version)
        age_ms = self.lease.age_ms(clock.boottime_ms())
        self.assertLess(age_ms, 100)

    async def test_the_lease_runs_from_the_start_of_a_slow_read(self):
        self.platform.answer_delay_ms = 4_700
        self.follow()
        await asyncio.sleep(4.8)
        self.assertEqual(1, self.state.desired.version)
        self.assertFalse(self.is_fresh())

    async def test_lost_history_leads_to_a_full_read(self):
        self.follow()
        await asyncio.sleep(1)
        self.platform.lost_history = 1
        self.platform.versions.append(9)
        await asyncio.sleep(followers.STATE_WAIT_MS / 1_000 + 0.6)
        self.assertEqual(9, self.state.desired.version)

    async def test_the_lease_runs_from_the_start_of_a_shared_read(self):
        """Another instance has read the store some time before."""
        clock = build.LoopClock()

        async def wait_state(position, wait_ms):
            await asyncio.sleep(wait_ms / 1_000)
            began_ms = clock.boottime_ms() - 4_000
            return followers.StateRead(None, position, as_of_ms=began_ms)

        self.platform.wait_state = wait_state
        self.follow()
        await asyncio.sleep(10.1)
        age_ms = self.lease.age_ms(clock.boottime_ms())
        self.assertGreaterEqual(age_ms, 4_000)
        self.assertLess(age_ms, 4_000 + followers.STATE_WAIT_MS)

    async def test_calls_to_the_store_are_bounded(self):
        self.follow()
        await asyncio.sleep(30)
        calls = self.platform.calls
        self.platform.is_unavailable = True
        await asyncio.sleep(30)
        # The fake counts two calls for each wait that ends without a change.
        self.assertLessEqual(calls, 45)
        self.assertLessEqual(self.platform.calls - calls, 60)


@ddt.ddt
class TargetsFollowerTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.platform = FakePlatform()
        self.platform.change('t1', build.target('t1'))
        self.directory = target_directory.TargetDirectory()

    def follow(self):
        follower = followers.TargetsFollower(
            self.platform,
            clocks.Clock(),
            self.directory,
            target_choice.TargetChooser('a1', build.ZONES),
            DRAIN_MS * followers.TARGETS_INTERVAL_SHARE,
            store_outage.StoreRecovery(),
        )
        return asyncio.create_task(follower.follow())

    def usable(self):
        return [t.target_id for t in self.directory.usable('engine')]

    @ddt.data('draining', 'gone')
    async def test_a_leaving_target_is_unusable_in_half_the_drain_timeout(
        self, how
    ):
        self.follow()
        await asyncio.sleep(5)
        self.assertEqual(['t1'], self.usable())
        leaving = build.target('t1', is_draining=True)
        self.platform.change('t1', leaving if how == 'draining' else None)
        await asyncio.sleep(DRAIN_MS / 2 / 1_000)
        self.assertEqual([], self.usable())

    async def test_targets_stay_usable_during_an_outage_of_the_store(self):
        self.follow()
        await asyncio.sleep(1)
        self.platform.is_unavailable = True
        self.platform.change('t1', None)
        await asyncio.sleep(30)
        self.assertEqual(['t1'], self.usable())
        self.platform.is_unavailable = False
        await asyncio.sleep(1)
        self.assertEqual(['t1'], self.usable())
        await asyncio.sleep(4)
        self.assertEqual([], self.usable())

    async def test_lost_history_leads_to_a_full_read(self):
        self.follow()
        await asyncio.sleep(1)
        self.platform.lost_history = 1
        self.platform.change('t1', None)
        self.platform.change('t2', build.target('t2'))
        await asyncio.sleep(DRAIN_MS / 2 / 1_000)
        self.assertEqual(['t2'], self.usable())


class InstancesFollowerTest(base.TestCase):
    async def test_an_instance_renews_its_entry_until_it_leaves(self):
        platform = FakePlatform()
        clock = clocks.Clock()
        own = membership.InstanceEntry(
            'i0', '127.0.0.1:1', 'north', True, 0, 0
        )
        members = membership.Membership(own, clock)
        follower = followers.InstancesFollower(
            platform, clock, members, store_outage.StoreRecovery()
        )
        task = asyncio.create_task(follower.follow())
        await asyncio.sleep(1)
        first = platform.instances['i0'].renewal
        interval_s = membership.RENEWAL_INTERVAL_MS / 1_000
        for _ in range(2):
            await asyncio.sleep(interval_s)
            renewal = platform.instances['i0'].renewal
            self.assertGreater(renewal, first)
            first = renewal
        await follower.leave()
        await asyncio.sleep(2 * interval_s)
        self.assertEqual({}, platform.instances)
        task.cancel()

    async def test_instances_that_start_together_soon_know_each_other(self):
        """The first listing shows their previous processes."""
        platform = FakePlatform()
        clock = clocks.Clock()
        own, other = (
            membership.InstanceEntry(name, 'x:1', 'north', True, 0, 0)
            for name in ('i0', 'i1')
        )
        platform.instances['i1'] = other
        members = membership.Membership(own, clock)
        follower = followers.InstancesFollower(
            platform, clock, members, store_outage.StoreRecovery()
        )
        task = asyncio.create_task(follower.follow())
        await asyncio.sleep(0.05)
        platform.instances['i1'] = attrs.evolve(other, address='x:2')
        await asyncio.sleep(1)
        self.assertEqual('x:2', members.address('i1'))
        calls = platform.calls
        await asyncio.sleep(60)
        # Reads and renewals at their usual intervals.
        pace_ms = followers.INSTANCES_INTERVAL_MS
        self.assertLess(platform.calls - calls, 60_000 / pace_ms * 1.5 + 5)
        task.cancel()

    async def test_instances_stay_known_during_an_outage_of_the_store(self):
        platform = FakePlatform()
        clock = clocks.Clock()
        own = membership.InstanceEntry(
            'i0', '127.0.0.1:1', 'north', True, 0, 0
        )
        members = membership.Membership(own, clock)
        other = membership.InstanceEntry(
            'i1', '127.0.0.1:2', 'north', True, 0, 0
        )
        platform.instances['i1'] = other
        follower = followers.InstancesFollower(
            platform, clock, members, store_outage.StoreRecovery()
        )
        task = asyncio.create_task(follower.follow())
        await asyncio.sleep(1)
        platform.is_unavailable = True
        await asyncio.sleep(60)
        self.assertEqual(2, members.count())
        task.cancel()
