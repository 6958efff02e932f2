"""End-to-end tests in separate processes with injected faults.

Each scenario injects a fault into a site under load, then compares the
answers that callers got with the runs that targets counted. The checks rest
on the guarantees, never on the speed of the machine.
"""

import asyncio
import pathlib
import random
import signal

import attrs
import ddt

from demo import load
from demo import sites
from demo import verification
from sycamorebeam import publishing
from tests import base

INSTANCES = [1, 2, 3]
RATE_PER_S = 20.0
LOAD_S = 6.0
LONG_LOAD_S = 14.0
MAX_DEADLINE_MS = 5_000
ACTION_MS = 300
LONG_TRY_TIMEOUT_S = 20.0
# Longer than every deadline.
OUTAGE_S = 6.0
SEED = 11


async def kill_instance(site):
    """Kill one instance with SIGKILL and start it again."""
    site.instances[1].signal(signal.SIGKILL)
    await site.instances[1].wait()
    await site.start_instance(1)
    await site.wait_ready(1)


async def drain_instances(site):
    """Restart every instance gracefully, one after another."""
    for number in INSTANCES:
        site.instances[number].signal(signal.SIGTERM)
        code = await site.instances[number].wait()
        assert code == 0, f'the planned stop ended with {code}'
        await site.start_instance(number)
        await site.wait_ready(number)


async def freeze_instance(site):
    """Pause one instance for longer than every deadline."""
    site.instances[1].signal(signal.SIGSTOP)
    await asyncio.sleep(MAX_DEADLINE_MS / 1000 + 2)
    site.instances[1].signal(signal.SIGCONT)


async def stop_log(site):
    """Take the log down for OUTAGE_S."""
    await site.post_platform('/standin/faults', {'down': True})
    await asyncio.sleep(OUTAGE_S)
    await site.post_platform('/standin/faults', {'down': False})


async def freeze_platform(site):
    """Pause the platform for OUTAGE_S; its connections stay open."""
    site.standins['platform'].signal(signal.SIGSTOP)
    await asyncio.sleep(OUTAGE_S)
    site.standins['platform'].signal(signal.SIGCONT)


async def lose_log_answers(site):
    """Lose the answers of appends that take effect at once or late."""
    for _ in range(3):
        faults = {'lose_answers': 2, 'late_appends': 2, 'late_by_ms': 1_500}
        await site.post_platform('/standin/faults', faults)
        await asyncio.sleep(1)


async def silence_targets(site):
    """Silence the open connections to some targets; new ones work."""
    for group in ('encoders', 'engines', 'crew-dispatch'):
        address = site.addresses(group)[0]
        await site.post(address, '/standin/faults', {'silent_all': 1})


async def corrupt_answers(site):
    """Make answers duplicate, late, truncated or for another request."""
    for address in site.addresses('engines'):
        faults = {'early_end': 2, 'doubled': 2, 'wrong_id': 1}
        await site.post(address, '/standin/faults', faults)
    for address in site.addresses('retrievers'):
        faults = {'errors': 2, 'wrong_id': 2, 'late': 2, 'late_by_ms': 900}
        await site.post(address, '/standin/faults', faults)
    for address in site.addresses('crew-dispatch'):
        await site.post(address, '/standin/faults', {'errors': 1, 'hang': 1})


async def lose_zone(site):
    """Kill the instance and pause the targets of one availability zone."""
    site.instances[1].signal(signal.SIGKILL)
    site.standins['targets-vah-1'].signal(signal.SIGSTOP)
    await site.instances[1].wait()


async def kill_while_log_is_down(site):
    """Kill an instance while the log is down; restart both."""
    await site.post_platform('/standin/faults', {'down': True})
    site.instances[2].signal(signal.SIGKILL)
    await site.instances[2].wait()
    await site.start_instance(2)
    await asyncio.sleep(1.5)
    await site.post_platform('/standin/faults', {'down': False})
    await site.wait_ready(2)


SCENARIOS = (
    kill_instance,
    drain_instances,
    freeze_instance,
    stop_log,
    freeze_platform,
    lose_log_answers,
    silence_targets,
    corrupt_answers,
    lose_zone,
    kill_while_log_is_down,
)

LONG_SCENARIOS = (drain_instances, lose_zone)
# Faults under which idempotent requests must all meet their deadlines.
HARMLESS_TO_IDEMPOTENT_REQUESTS = (
    drain_instances,
    stop_log,
    freeze_platform,
    lose_log_answers,
    silence_targets,
)


@ddt.ddt
class WholePathTest(base.NetworkTestCase):
    def setUp(self):
        super().setUp()
        folder = pathlib.Path(self.make_temp_dir())
        self.probes = None
        shift, guard = sites.reserve_port_shift('kovacik')
        self.addCleanup(guard.close)
        self.site = sites.Site('kovacik', folder, shift)

    async def start(self):
        self.generator = random.Random(SEED)
        await self.site.start(INSTANCES)
        callers = [self.site.callers_address(number) for number in INSTANCES]
        self.balancer = load.Balancer(callers)
        self.probes = asyncio.create_task(self.balancer.probe_forever())
        # Slow actions, so that some are in progress when the fault occurs.
        for group in ('station-control', 'crew-dispatch'):
            for address in self.site.addresses(group):
                await self.site.post(
                    address, '/standin/faults', {'delay_ms': ACTION_MS}
                )

    async def send_load(
        self, try_timeout_s=load.TRY_TIMEOUT_S, duration_s=LOAD_S
    ):
        rows = load.generate_requests(
            'kovacik',
            self.site.entries,
            self.generator,
            max_deadline_ms=MAX_DEADLINE_MS,
        )
        return await load.send_requests(
            self.balancer,
            rows,
            RATE_PER_S,
            duration_s,
            self.generator,
            try_timeout_s,
        )

    async def stop(self):
        if self.probes is not None:
            self.probes.cancel()
        await self.site.stop()

    @ddt.data(*SCENARIOS)
    async def test_guarantees_hold_under_faults(self, inject_fault):
        try:
            await self.start()
            # With a long timeout per try, the instances handle silent targets.
            waits_long = inject_fault is silence_targets
            try_timeout_s = (
                LONG_TRY_TIMEOUT_S if waits_long else load.TRY_TIMEOUT_S
            )
            duration_s = (
                LONG_LOAD_S if inject_fault in LONG_SCENARIOS else LOAD_S
            )
            sending = asyncio.create_task(
                self.send_load(try_timeout_s, duration_s)
            )
            await asyncio.sleep(1)
            await inject_fault(self.site)
            rows = await sending
            rows += await self.check_recovery()
            await self.resume_targets()
            runs = await self.site.action_runs()
        finally:
            await self.stop()
        broken = verification.violations(self.site.entries, rows, runs)
        self.assertEqual([], broken)
        complete = [row for row in rows if row.answer]
        self.assertGreater(len(complete), len(rows) / 2)
        if inject_fault in (drain_instances, silence_targets):
            unanswered = [row for row in rows if row.lost_tries]
            self.assertEqual([], unanswered)
        if inject_fault in HARMLESS_TO_IDEMPOTENT_REQUESTS:
            late = [row for row in rows if not (row.key or row.in_deadline)]
            self.assertEqual([], late)

    async def check_recovery(self):
        """Check that pipelines complete again after the fault."""
        rows_sent = []
        for name in ('alarm-explanation', 'pump-restart'):
            rows = load.generate_requests(
                'kovacik', self.site.entries, self.generator, [name]
            )
            row = next(rows)
            await load.send_with_retries(self.balancer, row)
            self.assertEqual('complete', row.outcome, row)
            rows_sent.append(row)
        return rows_sent

    async def resume_targets(self):
        """Resume paused targets, so that late runs of calls are counted."""
        for process in self.site.standins.values():
            process.signal(signal.SIGCONT)
        await asyncio.sleep(0.5)

    async def test_a_leaving_target_gets_no_new_work_after_three_seconds(self):
        try:
            await self.start()
            sending = asyncio.create_task(self.send_load())
            leaving = self.site.addresses('encoders')[0]
            await self.site.post(
                leaving, '/standin/faults', {'draining': True}
            )
            await asyncio.sleep(3)
            before = await self.site.get(leaving, '/standin/runs')
            rows = await sending
            after = await self.site.get(leaving, '/standin/runs')
        finally:
            await self.stop()
        self.assertEqual(before['calls'], after['calls'])
        self.assertEqual([], [row for row in rows if not row.answer])

    async def test_one_of_several_conflicting_changes_is_in_force_everywhere(
        self,
    ):
        try:
            await self.start()
            offsets = asyncio.create_task(self.watch_offsets())
            results = await asyncio.gather(
                *(self.change_limit(number) for number in range(4))
            )
            accepted = [
                result
                for result in results
                if isinstance(result, publishing.Accepted)
            ]
            await self.wait_in_force(accepted[0].offset)
            self.assertFalse(offsets.done(), 'an offset fell')
            offsets.cancel()
            states = [await self.catalogue(number) for number in INSTANCES]
        finally:
            await self.stop()
        self.assertEqual(1, len(accepted), results)
        for result in results:
            if isinstance(result, publishing.Rejected):
                self.assertEqual(accepted[0].offset, result.winner)
        self.assertEqual(1, len({state['digest'] for state in states}))

    async def change_limit(self, number):
        key = 'team/maintenance'
        entry = self.site.entries[key]
        limits = attrs.evolve(entry.limits, concurrency=10 + number)
        return await self.site.publish(
            {key: attrs.evolve(entry, limits=limits)}, {key: 0}
        )

    async def catalogue(self, number):
        status = await self.site.get(
            self.site.admin_address(number), '/admin/status'
        )
        return status['catalogue']

    async def wait_in_force(self, offset):
        async with asyncio.timeout(11):
            for number in INSTANCES:
                await self.wait_offset(number, offset)

    async def wait_offset(self, number, offset):
        reached = -1
        while reached < offset:
            reached = (await self.catalogue(number))['offset']
            await asyncio.sleep(0.05)

    async def watch_offsets(self):
        highest = dict.fromkeys(INSTANCES, -1)
        while True:
            for number in INSTANCES:
                offset = (await self.catalogue(number))['offset']
                self.assertGreaterEqual(offset, highest[number])
                highest[number] = offset
            await asyncio.sleep(0.05)
