"""Tests of what an instance knows of its targets."""

import asyncio

import ddt

from sycamorebeam.clients import ports
from sycamorebeam.controllers import target_registry
from tests import base
from tests import build


class Loads:
    """Counts the questions for loads; all replicas give one report."""

    def __init__(self, draining=()):
        self.asked = []
        self._draining = draining

    async def load(self, replica):
        self.asked.append(replica.id)
        return ports.LoadReport(
            running=3,
            waiting=1,
            capacity=8,
            draining=replica.id in self._draining,
            age_ms=100,
        )


async def poll(known, client, duration_s):
    task = asyncio.create_task(known.poll_loads(client))
    await asyncio.sleep(duration_s)
    task.cancel()


@ddt.ddt
class LoadPollTest(base.TestCase):
    @ddt.data(3, 30, 300)
    async def test_the_pace_does_not_grow_with_the_replicas(self, count):
        replicas = [build.replica(f'r-{i}', f'g-{i}') for i in range(count)]
        known = build.new_target_registry(replicas)
        for states in known.groups.values():
            for state in states.values():
                state.used_at_ms = 10**9
        client = Loads()
        await poll(known, client, 60)
        self.assertLessEqual(len(client.asked), 60 * 2.5)
        if count <= 30:
            self.assertEqual(count, len(set(client.asked)))

    async def test_idle_replicas_are_not_asked(self):
        known = build.new_target_registry()
        client = Loads()
        await poll(known, client, 60)
        self.assertEqual([], client.asked)

    async def test_a_draining_report_stops_new_work(self):
        known = build.new_target_registry()
        state = known.groups['pool']['pool-1']
        state.in_flight = 1
        await poll(known, Loads(draining=['pool-1']), 2)
        names = [item.replica.id for item in known.candidates('pool')]
        self.assertEqual(['pool-2', 'pool-3'], sorted(names))


@ddt.ddt
class LeavingTest(base.TestCase):
    async def test_news_is_told_once_and_only_when_observed(self):
        known = build.new_target_registry()
        told = []
        known.on_leaving(told.append)
        known.mark_leaving('pool-1', observed=False)
        known.mark_leaving('pool-2')
        known.mark_leaving('pool-2')
        self.assertEqual(['pool-2'], told)

    async def test_a_mark_outlives_the_lag_of_the_list(self):
        known = build.new_target_registry()
        known.mark_leaving('pool-1')
        await asyncio.sleep(30)
        known.apply_list(build.REPLICAS)
        names = [item.replica.id for item in known.candidates('pool')]
        self.assertNotIn('pool-1', names)
        await asyncio.sleep(target_registry.LEAVING_MARK_MS / 1000)
        names = [item.replica.id for item in known.candidates('pool')]
        self.assertIn('pool-1', names)

    @ddt.data(('leaving', True), ('live', False))
    @ddt.unpack
    async def test_the_list_counts(self, _, leaving):
        replicas = [
            build.replica('pool-1', 'pool', leaving=leaving),
            build.replica('pool-2', 'pool'),
        ]
        known = build.new_target_registry(replicas)
        names = [item.replica.id for item in known.candidates('pool')]
        self.assertEqual(1 if leaving else 2, len(names))

    async def test_ejection_leaves_half_of_a_group_in_use(self):
        known = build.new_target_registry()
        now_ms = build.CLOCK.monotonic_ms()
        for state in known.groups['pool'].values():
            for _ in range(3):
                state.health.record_failure(now_ms)
        self.assertEqual(2, len(known.candidates('pool')))
