"""Tests that cold targets get few requests, from all instances together."""

import asyncio
import functools
import random
from unittest import mock

import ddt

from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import region_prompt_placer
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.cold_targets import cold_targets
from sycamorebeam.forwarding.cold_targets import counted_stage_calls
from sycamorebeam.forwarding.cold_targets import listed_ranks
from sycamorebeam.forwarding.cold_targets import rate_shares
from tests import base
from tests.forwarding import build
from tests.forwarding import test_forwarding
from tests.forwarding import test_prompt_streams
from tests.forwarding import test_send_permits
from tests.forwarding import windows
from tests.forwarding import wire

BOUNDS = rate_shares.Bounds(overshoot=1.5, tolerance=5.0)
MAX_PER_S = 17  # 8.3 * 1.5 + 5


class Fleet(test_send_permits.Network):
    """Instances of two regions that send prompts to six engines."""

    def __init__(self, count):
        self.random = random.Random(7)
        self.sent_s = {}
        self.placers = {}
        self.cold = {}
        self.refused = 0
        self.delays_s = [0.0, 0.05, 0.25, 0.6]
        super().__init__(count)

    def start(self, name, started=0):
        super().start(name, started)
        node = self.nodes[name]
        north = int(name[1:]) % 2 == 0
        region = 'north' if north else 'south'
        own = build.instance(name, region, started)
        node.members._own_entry = own
        clock = test_send_permits.VirtualClock()
        self.cold[name] = build.cold_targets(node.members, BOUNDS, clock)
        directory = target_directory.TargetDirectory()
        for n, zone in enumerate(['a1', 'a2', 'b1'] * 2):
            target = build.target(f'e{n}', zone, slots=64)
            directory.update(
                [target_directory.TargetEntry(f'e{n}', target)], 0
            )
        self.placers[name] = region_prompt_placer.RegionPromptPlacer(
            clock,
            node.members,
            node.links,
            directory,
            target_choice.TargetChooser('a1' if north else 'b1', build.ZONES),
            self.cold[name],
        )

    async def send(self, name, number):
        """Place a prompt, and send it after a while if that is allowed."""
        loop = asyncio.get_running_loop()
        chosen_ms = int(loop.time() * 1_000)
        prompt = test_prompt_streams.prompt(f'r{number}')
        target = await self.placers[name].place('engine', prompt, ())
        try:
            if target is None:
                raise cold_targets.SendsUsedUpError
            await asyncio.sleep(self.random.choice(self.delays_s))
            self.cold[name].check_send(target, chosen_ms)
        except cold_targets.SendsUsedUpError:
            self.refused += 1
        else:
            self.sent_s.setdefault(target.target_id, []).append(loop.time())

    async def load(self, seconds, per_s):
        """Send prompts from random instances at a rate."""
        tasks = []
        for number in range(int(seconds * per_s)):
            name = self.random.choice(list(self.nodes))
            tasks.append(asyncio.create_task(self.send(name, number)))
            await asyncio.sleep(self.random.expovariate(per_s))
        await asyncio.gather(*tasks)

    def worst(self):
        """Return the most requests that an engine got in one second."""
        return max(windows.largest(t, 1.0) for t in self.sent_s.values())

    def region_placers(self):
        names = ('i0', 'i1')
        return {self.nodes[name].members.placer('engine') for name in names}

    def list_without(self, hidden, observers):
        for name in observers:
            self.nodes[name].members.replace(
                node.members.own_entry
                for other, node in self.nodes.items()
                if other not in hidden
            )


def isolate_all(fleet):
    fleet.part_of = {name: name for name in fleet.part_of}


def split_at_random(fleet):
    for name in fleet.part_of:
        fleet.part_of[name] = fleet.random.randrange(4)


def restart_placers(fleet):
    placers = fleet.region_placers()
    for name in placers:
        fleet.start(name, started=1_010_000)
    fleet.list_without(set(), placers)


def stop_placers(fleet):
    """Stop the placers as planned: their entries are removed."""
    placers = fleet.region_placers()
    for name in placers:
        fleet.nodes[name].members.begin_leaving()
    fleet.list_without(placers, fleet.nodes)


def split_listings(fleet):
    """Let half of the instances not list one of the others."""
    split_at_random(fleet)
    fleet.list_without({'i9'}, list(fleet.nodes)[::2])


@ddt.ddt
class FleetTest(base.TestCase):
    @ddt.data(
        ('all in contact', lambda fleet: None),
        ('all isolated', isolate_all),
        ('four random parts', split_at_random),
        ('placers restarted', restart_placers),
        ('placers stopped as planned', stop_placers),
        ('listings that differ by an instance', split_listings),
    )
    @ddt.unpack
    async def test_no_engine_gets_more_than_the_rule_in_a_second(self, _, act):
        """Without shares, an overloaded engine that is cold would crash."""
        fleet = Fleet(84)
        await asyncio.sleep(9)
        await fleet.load(3, 240)
        act(fleet)
        await fleet.load(16, 240)
        self.assertLessEqual(fleet.worst(), MAX_PER_S)
        served = sum(len(times_s) for times_s in fleet.sent_s.values())
        self.assertGreater(served, 19 * 6)

    @ddt.data(('all in contact', 0, 0.0), ('placers lost', 2, 0.5))
    @ddt.unpack
    async def test_usual_load_is_served(self, _, lost, refused_share):
        """Shares that bind at two requests a second refuse usual load."""
        fleet = Fleet(84)
        fleet.delays_s = [0.0, 0.05]
        await asyncio.sleep(9)
        for region in ('i0', 'i1')[:lost]:
            fleet.down.add(fleet.nodes[region].members.placer('engine'))
        await fleet.load(20, 12)
        self.assertLessEqual(fleet.refused, refused_share * 20 * 12)


@ddt.ddt
class DecisionsTest(base.TestCase):
    @ddt.data(*range(0, 200, 7), 17)
    def test_all_shares_together_stay_within_the_limit(self, limit):
        for has_placers in (True, False):
            shares = rate_shares.divide(limit, has_placers=has_placers)
            for count in (1, 2, 5, 84):
                quotas = [shares.quota(n, n, count) for n in range(count)]
                self.assertLessEqual(sum(quotas), limit)

    def test_the_shares_are_those_in_the_design_note(self):
        shares = rate_shares.divide(BOUNDS.max_requests(8.3), has_placers=True)
        self.assertEqual(((7, 4, 2), 3), (shares.placers, shares.common))

    def counts(self, bounds=BOUNDS, listed=(), **service_fields):
        """Return a single instance that has been listed for a while."""
        clock = build.ManualClock()
        members = test_send_permits.membership.Membership(
            build.instance('i0', started=1), clock
        )
        members.replace(listed)
        cold = build.cold_targets(members, bounds, clock, **service_fields)
        clock.now_ms += listed_ranks.START_MS
        return cold, clock

    def test_an_instance_that_starts_has_no_share(self):
        """Its previous process may have used the share just now."""
        cold, clock = self.counts()
        clock.now_ms = rate_shares.COUNT_WINDOW_MS
        self.assertFalse(cold.take(build.target('t')))
        clock.now_ms = listed_ranks.START_MS
        self.assertTrue(cold.take(build.target('t')))

    @ddt.data((0, True), (1, False))
    @ddt.unpack
    def test_a_restarted_instance_soon_has_its_share_again(
        self, listed_start, may_send
    ):
        """Refusing all prompts for 8 s after a restart of all instances."""
        listed = [build.instance('i0', started=listed_start)]
        cold, clock = self.counts(listed=listed)
        clock.now_ms = rate_shares.COUNT_WINDOW_MS - 1
        self.assertFalse(cold.take(build.target('t')))
        clock.now_ms = rate_shares.COUNT_WINDOW_MS
        self.assertEqual(may_send, cold.take(build.target('t')))

    def test_a_warm_target_is_preferred_until_its_share_is_used_up(self):
        cold, clock = self.counts(has_engine=False)
        target = build.target('c', cold_remaining_ms=2_000.0)
        other = build.target('w')
        self.assertEqual([other], cold.preferred([target, other]))
        self.assertEqual({'c'}, cold.not_preferred([target, other], ()))
        while cold.take(other):
            pass
        self.assertEqual([target], cold.preferred([target, other]))
        clock.now_ms += 2_000
        self.assertEqual(2, len(cold.preferred([target, other])))
        cold.record_answer(other, 700.0)
        self.assertEqual([target], cold.preferred([target, other]))
        self.assertEqual(1, cold.known_cold_count())

    @ddt.data((None, 8.3), (BOUNDS, 0.0))
    @ddt.unpack
    def test_nothing_changes_without_cold_starts(self, bounds, cold_per_s):
        cold, _ = self.counts(bounds, cold_per_s=cold_per_s)
        targets = [build.target('c', cold_remaining_ms=9.0), build.target('w')]
        self.assertTrue(all(cold.take(targets[0]) for _ in range(100)))
        self.assertEqual(targets, cold.preferred(targets))
        self.assertEqual(set(), cold.not_preferred(targets, ()))
        self.assertEqual(0.0, cold.refusal_wait_ms('engine', targets, ()))
        cold.check_send(targets[0], -10_000)

    async def test_stage_calls_beyond_the_share_are_declined(self):
        """A stage service with cold targets gets calls from its queue."""
        cold, _ = self.counts(has_engine=False, batching=build.batching())
        directory = target_directory.TargetDirectory()
        directory.replace(
            [target_directory.TargetEntry('t', build.target('t'))], 0
        )
        calls = mock.Mock()
        calls.run = mock.AsyncMock(return_value=stages.CallCompleted(()))
        counted = counted_stage_calls.CountedStageCalls(calls, cold, directory)
        results = [await counted.run('a', 't', []) for _ in range(20)]
        self.assertLessEqual(calls.run.await_count, MAX_PER_S)
        self.assertIsInstance(results[-1], stages.CallDeclined)
        self.assertGreater(results[-1].feedback.backoff_ms, 0)


@ddt.ddt
class FailureTest(base.NetworkTestCase):
    @ddt.data(model.Kind.STREAM, model.Kind.IDEMPOTENT)
    async def test_an_instance_without_a_share_refuses_at_once(self, kind):
        """It has just started, so others may use its share."""
        counts = functools.partial(
            build.cold_targets,
            bounds=BOUNDS,
            has_engine=kind is model.Kind.STREAM,
        )
        async with wire.serving(test_forwarding.OK) as target:
            running = test_forwarding.running([target.address], kind=kind)
            with mock.patch.object(build, 'cold_targets', counts):
                async with running as setup:
                    response = await test_forwarding.call(setup.address)
        self.assertEqual(503, response.status)
        self.assertIn('retry-after', response.headers)

    @mock.patch.object(listed_ranks, 'START_MS', 0)
    @ddt.data(0, 1, 2)
    async def test_the_second_placer_is_asked_without_a_share(self, sender):
        """Guards against 503 while the first placer has no share left."""
        async with test_prompt_streams.fleet(
            *['north'] * 3, cold_bounds=BOUNDS
        ) as nodes:
            for target in nodes[0].directory.usable('engine'):
                while nodes[0].cold.take(target):
                    pass
            self.assertIsNotNone(
                await nodes[sender].prompt_placer.place(
                    'engine', test_prompt_streams.prompt('r0'), ()
                )
            )

    @mock.patch.object(listed_ranks, 'START_MS', 0)
    async def test_prompts_stay_within_the_shares_after_a_placer_is_lost(self):
        """The instances left must not each send as much as the placer."""
        async with test_prompt_streams.fleet(
            *['north'] * 4, cold_bounds=BOUNDS
        ) as nodes:
            sent = {}
            for index, node in enumerate(nodes[1:] * 40):
                if index == 30:
                    nodes[0].kill()
                target = await node.prompt_placer.place(
                    'engine', test_prompt_streams.prompt(f'r{index}'), ()
                )
                if target is not None:
                    now_s = asyncio.get_running_loop().time()
                    sent.setdefault(target.target_id, []).append(now_s)
            for times_s in sent.values():
                self.assertLessEqual(windows.largest(times_s, 1.0), MAX_PER_S)
            self.assertEqual(4, len(sent))
