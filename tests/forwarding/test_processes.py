"""Tests of instances as processes, with a stand-in platform."""

import asyncio
import contextlib
import signal

from tests import base
from tests.forwarding import processes
from tests.forwarding import standin

# Texts in a target's entry, and what another writer may write instead.
ODD_FIELDS = [
    (b'"born": 1', b'"born": 1' + b'0' * 400),
    (b'"born": 1', b'"born": 1' + b'0' * 5_000),
    (b'"born": 1', b'"born": 1e999'),
    (b'"slots": 8', b'"slots": 8' + b'0' * 400),
    (b'"slots": 8', b'"slots": NaN'),
    (b'"zone": "a1"', b'"zone": "\\ud800"'),
    (b'"address": "', b'"address": "1'),
    (b'", "zone"', b'00000", "zone"'),
]


class ProcessesTest(base.NetworkTestCase):
    @contextlib.asynccontextmanager
    async def fleet(self, count=3):
        platform = standin.StandinPlatform()
        await platform.start(
            [
                standin.StandinTarget('e0', 'engine'),
                standin.StandinTarget('e1', 'engine'),
                standin.StandinTarget('p0', 'plain'),
                standin.StandinTarget('d0', 'desk'),
            ]
        )
        platform.configure(1, ['k1', 'k2'])
        folder = self.make_temp_dir()
        instances = [
            processes.start(folder, f'i{n}', platform.store_address)
            for n in range(count)
        ]
        try:
            for process in instances:
                await process.wait_ready()
            yield platform, instances
        finally:
            for process in instances:
                process.popen.kill()
                process.popen.wait()
            await platform.stop()

    def check_streams(self, platform, responses):
        """Check that each request ran once and its caller got its answer."""
        for name, response in responses.items():
            self.assertEqual(200, response.status)
            self.assertTrue(response.is_whole)
            self.assertEqual(3, response.body.decode().count(f'data: {name}'))
        run_names = [
            name for t in platform.targets for name, _ in t.requests_run
        ]
        for name in responses:
            self.assertEqual(1, run_names.count(name))

    async def test_streams_with_batched_stages(self):
        async with self.fleet() as (platform, instances):
            names = [f's{n}' for n in range(30)]
            responses = await asyncio.gather(
                *(
                    processes.send(instances[n % 3], name)
                    for n, name in enumerate(names)
                )
            )
            self.check_streams(
                platform, dict(zip(names, responses, strict=True))
            )
            desk = platform.targets[3]
            self.assertEqual(60, sum(desk.stage_call_sizes))
            self.assertLessEqual(len(desk.stage_call_sizes), 20)
            await processes.wait_until(lambda: not desk.held_results)
            metrics_pages = [
                (await processes.get(process.metrics_address, '/metrics')).body
                for process in instances
            ]
            for text in metrics_pages:
                self.assertIn(b'\nsycamorebeam_requests_total', text)
                self.assertIn(b'\nsycamorebeam_repeats_left{', text)
                self.assertRegex(
                    text.decode(), r'\nsycamorebeam_targets_age_ms \d'
                )
            # The instance that owns the queue has its metrics.
            for name in (b'stage_items_waiting', b'stage_replica_calls'):
                line = b'\nsycamorebeam_%s{service="desk"' % name
                self.assertTrue(
                    any(line in text for text in metrics_pages), name
                )

    async def test_odd_entries_beside_those_of_targets_change_nothing(self):
        async with self.fleet() as (platform, instances):
            entries = platform.store.topics[standin.TARGETS_TOPIC]
            record = entries[0][1]
            for number, (text, odd) in enumerate(ODD_FIELDS):
                self.assertIn(text, record)
                entries.append((f'odd{number}', record.replace(text, odd)))
            entries.append(('nested', b'[' * 200_000))
            late = standin.StandinTarget('p1', 'plain')
            await platform.add(late)
            platform.announce(platform.targets[2], state='draining')
            await asyncio.sleep(2.5)
            for process in instances:
                for path in ('/plain/x', '/stream/x'):
                    response = await processes.send(process, 'r', path)
                    self.assertEqual(200, response.status)
                self.assertIsNone(process.popen.poll())
                self.assertNotIn('task_failed', process.log())
            self.assertEqual(len(instances), len(late.requests_run))

    async def test_a_killed_instance_loses_only_its_own_requests(self):
        async with self.fleet() as (platform, instances):
            names = [f's{n}' for n in range(20)]
            tasks = {
                name: asyncio.create_task(
                    processes.send(instances[1 + n % 2], name)
                )
                for n, name in enumerate(names)
            }
            await asyncio.sleep(0.05)
            instances[0].popen.kill()
            responses = {name: await task for name, task in tasks.items()}
            self.check_streams(platform, responses)

    async def test_a_planned_stop_finishes_requests_in_progress(self):
        async with self.fleet() as (platform, instances):
            for target in platform.targets:
                target.duration_ms = 300
            names = [f's{n}' for n in range(10)]
            tasks = {
                name: asyncio.create_task(processes.send(instances[0], name))
                for name in names
            }
            await asyncio.sleep(0.1)
            instances[0].popen.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            self.assertFalse(await instances[0].is_ready())
            late = await processes.send(instances[0], 'late')
            responses = {name: await task for name, task in tasks.items()}
            self.check_streams(platform, {**responses, 'late': late})
            self.assertEqual(0, await instances[0].wait_exit())
            self.assertIn('event=stopped left=0', instances[0].log())

    async def test_a_caller_that_disconnects_ends_its_engine_request(self):
        async with self.fleet(1) as (platform, instances):
            engines = platform.targets[:2]
            for engine in engines:
                engine.duration_ms = 3_000
            sent = asyncio.create_task(processes.send(instances[0], 's0'))
            await processes.wait_until(
                lambda: any(e.requests_run for e in engines)
            )
            sent.cancel()
            await processes.wait_until(
                lambda: any(e.abandoned for e in engines), 1.0
            )

    async def test_a_revoked_key_is_refused(self):
        async with self.fleet(1) as (platform, instances):
            self.assertEqual(
                200, (await processes.send(instances[0], 's0')).status
            )
            platform.configure(2, ['k2'])
            await asyncio.sleep(0.5)
            response = await processes.send(instances[0], 's1')
            self.assertEqual(401, response.status)

    async def test_keys_are_refused_after_a_long_store_outage(self):
        async with self.fleet(1) as (platform, instances):
            platform.store.is_unavailable = True
            await asyncio.sleep(1)
            early = await processes.send(instances[0], 's0')
            self.assertEqual(200, early.status)
            await asyncio.sleep(5)
            late = await processes.send(instances[0], 's1')
            self.assertEqual(503, late.status)
            self.assertFalse(await instances[0].is_ready())
            platform.store.is_unavailable = False
            await instances[0].wait_ready()
            back = await processes.send(instances[0], 's2')
            self.assertEqual(200, back.status)

    async def test_an_instance_that_has_read_no_targets_is_not_ready(self):
        async with self.fleet(0) as (platform, instances):
            platform.store.unavailable_topics.add(standin.TARGETS_TOPIC)
            process = processes.start(
                self.make_temp_dir(), 'i0', platform.store_address
            )
            instances.append(process)
            await processes.wait_until(
                lambda: 'event=state_in_force' in process.log(),
                processes.START_TIMEOUT_S,
            )
            self.assertFalse(await process.is_ready())
            platform.store.unavailable_topics.clear()
            await process.wait_ready()
            response = await processes.send(process, 's0')
            self.assertEqual(200, response.status)

    async def test_a_draining_target_gets_no_new_work(self):
        async with self.fleet(1) as (platform, instances):
            platform.announce(platform.targets[0], 'draining')
            await asyncio.sleep(1.5)
            for n in range(10):
                response = await processes.send(instances[0], f's{n}')
                self.assertEqual(200, response.status)
            self.assertEqual([], platform.targets[0].requests_run)

    async def test_all_instances_avoid_a_target_that_is_leaving(self):
        """The instances tell each other, as the store is unavailable."""
        async with self.fleet() as (platform, instances):
            engine = platform.targets[0]
            for n in range(12):
                await processes.send(instances[n % 3], f'before{n}')
            platform.store.is_unavailable = True
            engine.is_leaving = True
            engine.requests_run.clear()
            for n in range(40):
                await processes.send(instances[0], f'witness{n}')
                if engine.requests_run:
                    break
            self.assertEqual(1, len(engine.requests_run))
            await asyncio.sleep(0.5)
            responses = await asyncio.gather(
                *(
                    processes.send(instances[n % 3], f'after{n}')
                    for n in range(30)
                )
            )
            # The freshness lease still holds, so keys are accepted.
            self.assertEqual(
                {200}, {response.status for response in responses}
            )
            self.assertEqual(1, len(engine.requests_run))
