"""The whole path in separate processes, under faults of every kind.

Each scenario disturbs a site under load. Then what the callers were told
is held against what the targets counted. Verdicts rest on the promises,
never on how fast this machine is.
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
LONGEST_MS = 5_000
ACTION_MS = 300
PATIENT_S = 20.0
# Longer than every deadline.
OUTAGE_S = 6.0
SEED = 11


async def kill_instance(site):
    """One instance dies at once and comes back."""
    site.instances[1].signal(signal.SIGKILL)
    await site.instances[1].wait()
    await site.start_instance(1)
    await site.wait_ready(1)


async def drain_instances(site):
    """Every instance is replaced by a planned stop, one after another."""
    for number in INSTANCES:
        site.instances[number].signal(signal.SIGTERM)
        code = await site.instances[number].wait()
        assert code == 0, f'the planned stop ended with {code}'
        await site.start_instance(number)
        await site.wait_ready(number)


async def freeze_instance(site):
    """One instance is paused past every deadline, then goes on."""
    site.instances[1].signal(signal.SIGSTOP)
    await asyncio.sleep(LONGEST_MS / 1000 + 2)
    site.instances[1].signal(signal.SIGCONT)


async def stop_log(site):
    """The log is down for a while."""
    await site.post_platform('/standin/faults', {'down': True})
    await asyncio.sleep(OUTAGE_S)
    await site.post_platform('/standin/faults', {'down': False})


async def freeze_platform(site):
    """The platform's connections go silent for a while."""
    site.standins['platform'].signal(signal.SIGSTOP)
    await asyncio.sleep(OUTAGE_S)
    site.standins['platform'].signal(signal.SIGCONT)


async def lose_log_answers(site):
    """Appends take effect, at once or late, but their answers are lost."""
    for _ in range(3):
        faults = {'lose_answers': 2, 'late_appends': 2, 'late_by_ms': 1_500}
        await site.post_platform('/standin/faults', faults)
        await asyncio.sleep(1)


async def silence_targets(site):
    """Open connections to some targets go silent, new ones work."""
    for group in ('encoders', 'engines', 'crew-dispatch'):
        address = site.addresses(group)[0]
        await site.post(address, '/standin/faults', {'silent_all': 1})


async def spoil_answers(site):
    """Answers come doubled, late, cut off or for another request."""
    for address in site.addresses('engines'):
        faults = {'early_end': 2, 'doubled': 2, 'wrong_id': 1}
        await site.post(address, '/standin/faults', faults)
    for address in site.addresses('retrievers'):
        faults = {'errors': 2, 'wrong_id': 2, 'late': 2, 'late_by_ms': 900}
        await site.post(address, '/standin/faults', faults)
    for address in site.addresses('crew-dispatch'):
        await site.post(address, '/standin/faults', {'errors': 1, 'hang': 1})


async def lose_zone(site):
    """All that stands in one availability zone goes silent for good."""
    site.instances[1].signal(signal.SIGKILL)
    site.standins['targets-vah-1'].signal(signal.SIGSTOP)
    await site.instances[1].wait()


async def kill_while_log_is_down(site):
    """An instance dies while the log is down; both come back."""
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
    spoil_answers,
    lose_zone,
    kill_while_log_is_down,
)

LONG = (drain_instances, lose_zone)
# Faults that leave every request without an action possible.
NOT_FELT_BY_IDEMPOTENT_WORK = (
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
        # Slow actions are in progress whenever a fault comes.
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
            max_deadline_ms=LONGEST_MS,
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
    async def test_no_promise_is_broken(self, disturb):
        try:
            await self.start()
            # Callers that wait long leave silent targets to the instances.
            patient = disturb is silence_targets
            try_timeout_s = PATIENT_S if patient else load.TRY_TIMEOUT_S
            duration_s = LONG_LOAD_S if disturb in LONG else LOAD_S
            sending = asyncio.create_task(
                self.send_load(try_timeout_s, duration_s)
            )
            await asyncio.sleep(1)
            await disturb(self.site)
            rows = await sending
            rows += await self.check_service_goes_on()
            await self.resume_targets()
            runs = await self.site.action_runs()
        finally:
            await self.stop()
        broken = verification.violations(self.site.entries, rows, runs)
        self.assertEqual([], broken)
        complete = [row for row in rows if row.answer]
        self.assertGreater(len(complete), len(rows) / 2)
        if disturb in (drain_instances, silence_targets):
            unanswered = [row for row in rows if row.lost_tries]
            self.assertEqual([], unanswered)
        if disturb in NOT_FELT_BY_IDEMPOTENT_WORK:
            late = [row for row in rows if not (row.key or row.in_deadline)]
            self.assertEqual([], late)

    async def check_service_goes_on(self):
        """After the fault, each pipeline is answered again."""
        asked = []
        for name in ('alarm-explanation', 'pump-restart'):
            rows = load.generate_requests(
                'kovacik', self.site.entries, self.generator, [name]
            )
            row = next(rows)
            await load.send_with_retries(self.balancer, row)
            self.assertEqual('complete', row.outcome, row)
            asked.append(row)
        return asked

    async def resume_targets(self):
        """Let paused targets do what was sent to them, if they would."""
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

    async def test_racing_operators_and_a_catalogue_in_force_everywhere(self):
        try:
            await self.start()
            offsets = asyncio.create_task(self.watch_offsets())
            results = await asyncio.gather(
                *(self.change_limit(number) for number in range(4))
            )
            accepted = [
                item
                for item in results
                if isinstance(item, publishing.Accepted)
            ]
            await self.wait_in_force(accepted[0].offset)
            self.assertFalse(offsets.done(), 'an offset fell')
            offsets.cancel()
            states = [await self.catalogue(number) for number in INSTANCES]
        finally:
            await self.stop()
        self.assertEqual(1, len(accepted), results)
        for item in results:
            if isinstance(item, publishing.Rejected):
                self.assertEqual(accepted[0].offset, item.winner)
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
