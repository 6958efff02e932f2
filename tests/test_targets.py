"""Tests of the target registry: load polls and leaving replicas."""

import asyncio

import ddt

from sycamorebeam.clients import ports
from sycamorebeam.controllers import target_registry
from tests import base
from tests import build


class RecordingLoadClient:
    """A client that records load polls; all replicas report one load."""

    def __init__(self, draining=()):
        self.polled = []
        self._draining = draining

    async def load(self, replica):
        self.polled.append(replica.id)
        return ports.LoadReport(
            running=3,
            waiting=1,
            capacity=8,
            draining=replica.id in self._draining,
            age_ms=100,
        )


async def poll(registry, client, duration_s):
    task = asyncio.create_task(registry.poll_loads(client))
    await asyncio.sleep(duration_s)
    task.cancel()


@ddt.ddt
class LoadPollTest(base.TestCase):
    @ddt.data(3, 30, 300)
    async def test_the_poll_rate_does_not_grow_with_the_replicas(self, count):
        replicas = [build.replica(f'r-{i}', f'g-{i}') for i in range(count)]
        registry = build.new_target_registry(replicas)
        for states in registry.groups.values():
            for state in states.values():
                state.used_at_ms = 10**9
        client = RecordingLoadClient()
        await poll(registry, client, 60)
        self.assertLessEqual(len(client.polled), 60 * 2.5)
        if count <= 30:
            self.assertEqual(count, len(set(client.polled)))

    async def test_idle_replicas_are_not_polled(self):
        registry = build.new_target_registry()
        client = RecordingLoadClient()
        await poll(registry, client, 60)
        self.assertEqual([], client.polled)

    async def test_a_draining_report_stops_new_work(self):
        registry = build.new_target_registry()
        state = registry.groups['pool']['pool-1']
        state.in_flight = 1
        await poll(registry, RecordingLoadClient(draining=['pool-1']), 2)
        names = [item.replica.id for item in registry.candidates('pool')]
        self.assertEqual(['pool-2', 'pool-3'], sorted(names))


@ddt.ddt
class LeavingTest(base.TestCase):
    async def test_leaving_is_reported_once_and_only_when_observed(self):
        registry = build.new_target_registry()
        reported = []
        registry.on_leaving(reported.append)
        registry.mark_leaving('pool-1', observed=False)
        registry.mark_leaving('pool-2')
        registry.mark_leaving('pool-2')
        self.assertEqual(['pool-2'], reported)

    async def test_a_leaving_mark_outlasts_a_stale_list(self):
        registry = build.new_target_registry()
        registry.mark_leaving('pool-1')
        await asyncio.sleep(30)
        registry.apply_list(build.REPLICAS)
        names = [item.replica.id for item in registry.candidates('pool')]
        self.assertNotIn('pool-1', names)
        await asyncio.sleep(target_registry.LEAVING_MARK_MS / 1000)
        names = [item.replica.id for item in registry.candidates('pool')]
        self.assertIn('pool-1', names)

    @ddt.data(('leaving', True), ('live', False))
    @ddt.unpack
    async def test_replicas_listed_as_leaving_get_no_new_work(
        self, _, leaving
    ):
        replicas = [
            build.replica('pool-1', 'pool', leaving=leaving),
            build.replica('pool-2', 'pool'),
        ]
        registry = build.new_target_registry(replicas)
        names = [item.replica.id for item in registry.candidates('pool')]
        self.assertEqual(1 if leaving else 2, len(names))

    async def test_ejection_leaves_half_of_a_group_in_use(self):
        registry = build.new_target_registry()
        now_ms = build.CLOCK.monotonic_ms()
        for state in registry.groups['pool'].values():
            for _ in range(3):
                state.health.record_failure(now_ms)
        self.assertEqual(2, len(registry.candidates('pool')))
