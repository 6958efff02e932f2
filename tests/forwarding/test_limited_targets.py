"""Tests of instances as processes, and targets that limit their rate."""

import asyncio
import contextlib
import time

import ddt

from tests import base
from tests.forwarding import processes
from tests.forwarding import standin
from tests.forwarding import windows

INSTANCES = 4
REQUESTS_PER_S = 15


@ddt.ddt
class LimitedTargetsTest(base.NetworkTestCase):
    @contextlib.asynccontextmanager
    async def fleet(self):
        platform = standin.StandinPlatform()
        await platform.start(
            [
                # The first of each service is faster, so it is preferred.
                standin.StandinTarget(
                    f'{service[0]}{n}', service, duration_ms=30 + 120 * n
                )
                for service in ('engine', 'plain', 'desk')
                for n in range(2)
            ]
        )
        platform.configure(1, ['k1'])
        folder = self.make_temp_dir()
        instances = [
            processes.start(folder, f'i{n}', platform.store_address)
            for n in range(INSTANCES)
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

    async def send_load(self, instances, path, duration_s):
        """Send requests to all instances in turn; return the responses."""
        tasks = []
        for number in range(int(duration_s * REQUESTS_PER_S)):
            process = instances[number % len(instances)]
            tasks.append(
                asyncio.create_task(
                    processes.send(process, f'r{number}', path)
                )
            )
            await asyncio.sleep(1 / REQUESTS_PER_S)
        return await asyncio.gather(*tasks)

    @ddt.data(
        ('plain', '/plain/x', 1.0),
        ('engine', '/stream/x', 1.3),
        ('desk', '/stream/x', 0.5),
    )
    @ddt.unpack
    async def test_all_instances_together_keep_to_the_limit_of_a_target(
        self, service, path, requests_per_s
    ):
        async with self.fleet() as (platform, instances):
            limited = next(t for t in platform.targets if t.service == service)
            limited.requests_per_s = requests_per_s
            limited_s = time.monotonic()
            responses = await self.send_load(instances, path, 12)
            counted_s = [
                at_s
                for at_s in limited.arrivals_s
                if at_s > limited_s + windows.CONTACT_S
            ]
            self.assertLessEqual(
                windows.largest(counted_s),
                windows.allowed_count(requests_per_s),
            )
            # The limit is used, and the other target takes the rest.
            self.assertGreater(len(counted_s), 0)
            served = sum(response.status == 200 for response in responses)
            self.assertGreaterEqual(served, 0.9 * len(responses))
