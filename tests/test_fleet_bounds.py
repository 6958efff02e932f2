"""Tests that an instance's appends and polls stay bounded in a fleet."""

import asyncio
import random

import ddt

from sycamorebeam import batching
from sycamorebeam import records
from sycamorebeam.controllers import claims_controller
from tests import base
from tests import build
from tests import claim_bench
from tests import fake_log
from tests import fake_targets

OWN_PER_S = 40.0
LIMIT_PER_S = 300.0
LOAD_S = 10
SEED = 3


class CountingTargets(fake_targets.FakeTargets):
    """Fake targets that count load polls by replica."""

    def __init__(self):
        super().__init__()
        self.polls = {}

    async def load(self, replica):
        self.polls[replica.id] = self.polls.get(replica.id, 0) + 1
        return await super().load(replica)


async def submit_records(appender, stream):
    """Submit one record after another until cancelled."""
    while True:
        await appender.submit(
            stream, records.Record('t', 1, {}), batching.Priority.CLAIM
        )
        await asyncio.sleep(0.005)


async def run_for(works, seconds):
    tasks = [asyncio.create_task(work) for work in works]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


@ddt.ddt
class FleetBoundsTest(base.TestCase):
    @ddt.data(1, 6, 60, 410)
    async def test_appends_stay_below_the_share_of_the_log(self, instances):
        log = fake_log.FakeLog()
        share_per_s = LIMIT_PER_S / instances
        appender = batching.new_appender(
            log,
            build.CLOCK,
            OWN_PER_S,
            0,
            random.Random(SEED),
            lambda: share_per_s,
        )
        await run_for(
            (submit_records(appender, f's{number}') for number in range(4)),
            LOAD_S,
        )
        limit = min(OWN_PER_S, share_per_s) * LOAD_S + batching.BURST_APPENDS
        self.assertLessEqual(log.append_calls, limit)
        self.assertGreaterEqual(log.append_calls, limit * 0.5)
        await appender.stop()

    async def test_an_outage_accumulates_no_burst(self):
        log = fake_log.FakeLog()
        log.down = True
        appender = batching.new_appender(
            log, build.CLOCK, OWN_PER_S, 0, random.Random(SEED), lambda: 1.0
        )
        await appender.submit(
            's', records.Record('t', 1, {}), batching.Priority.CLAIM
        )
        log.down = False
        log.append_calls = 0
        await run_for(
            (submit_records(appender, f's{number}') for number in range(4)), 1
        )
        self.assertLessEqual(log.append_calls, 2)
        await appender.stop()

    @ddt.data((4, 25), (27, 25), (200, 25))
    @ddt.unpack
    async def test_load_polls_are_bounded(self, replicas, limit):
        registry = build.new_target_registry(
            [
                build.replica(f'{group}-{number}', f'g{group}')
                for group in range(-(-replicas // 8))
                for number in range(min(8, replicas - group * 8))
            ]
        )
        for states in registry.groups.values():
            for state in states.values():
                state.in_flight = 1
        client = CountingTargets()
        await run_for([registry.poll_loads(client)], LOAD_S)
        self.assertEqual(
            min(replicas, sum(client.polls.values())), len(client.polls)
        )
        self.assertLessEqual(sum(client.polls.values()), limit + 1)
        self.assertGreaterEqual(sum(client.polls.values()), limit * 0.9)

    @ddt.data((1, 64), (9, 64), (40, 14), (90, 6))
    @ddt.unpack
    async def test_claim_ticks_are_shared_between_instances(
        self, instances, limit
    ):
        log = fake_log.FakeLog()
        appender = batching.new_appender(
            log, build.CLOCK, OWN_PER_S, 0, random.Random(SEED)
        )
        controller = claims_controller.new_claims_controller(
            log,
            appender,
            build.CLOCK,
            claim_bench.new_settings(claim_partitions=16),
            random.Random(SEED),
            live_instances=lambda: instances,
        )
        await controller.start()
        await asyncio.sleep(3_600)
        await controller.stop()
        await appender.stop()
        self.assertAlmostEqual(limit, log.append_calls, delta=limit * 0.4)

    async def test_live_instance_count_excludes_leaving_ones(self):
        registry = build.new_target_registry([])
        self.assertEqual(1, registry.live_instance_count)
        registry.apply_list(
            [
                build.replica(f'e{number}', 'entry', leaving=number == 2)
                for number in range(4)
            ]
        )
        self.assertEqual(3, registry.live_instance_count)
