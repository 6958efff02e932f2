"""Tests of instances as processes, and prompts that crash engines."""

import asyncio
import contextlib
import time

import attrs
import ddt

from tests import base
from tests.forwarding import processes
from tests.forwarding import standin
from tests.forwarding import windows

INSTANCES = 4
ENGINES = 6
SOUND_PER_S = 12
CRASHING_PER_S = 3
CALM_S = 2
# A rule of the platform: so many requests may reach engines from CONTACT_S
# after the crash with this number.
LAST_FREE_CRASH = 5
ALLOWED_ARRIVALS = 3


@attrs.define
class Sent:
    """A sound request, when it was sent, and whether it was served."""

    at_s: float
    is_served: bool = False


@ddt.ddt
class CrashingPromptsTest(base.NetworkTestCase):
    @contextlib.asynccontextmanager
    async def fleet(self):
        platform = standin.StandinPlatform()
        await platform.start(
            [
                *(
                    standin.StandinTarget(
                        f'e{n}', 'engine', crashing_parts={'bad'}
                    )
                    for n in range(ENGINES)
                ),
                standin.StandinTarget('d0', 'desk'),
                standin.StandinTarget('d1', 'desk'),
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

    async def send_sound(self, process, number, sent):
        # Half of them share the document of the crashing requests.
        document = 'doc' if number % 2 else f'doc-{number % 10}'
        response = await processes.send(
            process,
            f's{number}',
            prompt=f'system:90,{document}:20,s{number}:5',
        )
        sent.is_served = response.status == 200 and response.is_whole

    async def send_load(self, instances, duration_s):
        """Send sound and, from CALM_S on, crashing requests to all."""
        tasks, sound = [], []
        began_s = time.monotonic()
        crashing = 0
        for number in range(int(duration_s * SOUND_PER_S)):
            process = instances[number % len(instances)]
            sound.append(Sent(time.monotonic()))
            tasks.append(
                asyncio.create_task(
                    self.send_sound(process, number, sound[-1])
                )
            )
            passed_s = time.monotonic() - began_s - CALM_S
            if passed_s * CRASHING_PER_S > crashing:
                crashing += 1
                tasks.append(
                    asyncio.create_task(
                        processes.send(
                            instances[crashing % len(instances)],
                            f'c{crashing}',
                            prompt=f'system:90,bad:10,doc:20,c{crashing}:5',
                        )
                    )
                )
            await asyncio.sleep(1 / SOUND_PER_S)
        await asyncio.gather(*tasks, return_exceptions=True)
        return sound

    def arrivals_s(self, platform, after_s):
        """Return when prompts with the crashing part reached engines."""
        return [
            at_s
            for target in platform.targets
            for at_s, part_ids in target.prompts
            if 'bad' in part_ids and at_s > after_s
        ]

    async def test_instances_that_all_restart_know_a_crashing_part(self):
        async with self.fleet() as (platform, instances):
            await self.send_load(instances, CALM_S + 6)
            self.assertGreater(len(platform.crashes_s), 0)
            for process in instances:
                process.popen.kill()
                process.popen.wait()
            folder = instances[0].log_path.parent
            instances[:] = [
                processes.start(folder, old.name, old.store_address, old.ports)
                for old in instances
            ]
            for process in instances:
                await process.wait_ready()
            restarted_s = time.monotonic()
            sound = await self.send_load(instances, CALM_S + 4)
            self.assertEqual([], self.arrivals_s(platform, restarted_s))
            served = sum(request.is_served for request in sound)
            self.assertGreaterEqual(2 * served, len(sound))

    async def test_a_part_that_crashes_engines_is_kept_from_others(self):
        async with self.fleet() as (platform, instances):
            sound = await self.send_load(instances, 16)
            crashes_s = platform.crashes_s
            counted_from_s = (
                crashes_s[:LAST_FREE_CRASH][-1] + windows.CONTACT_S
            )
            late = self.arrivals_s(platform, counted_from_s)
            self.assertLessEqual(len(late), ALLOWED_ARRIVALS)
            later = [
                request.is_served
                for request in sound
                if request.at_s > counted_from_s + windows.CONTACT_S
            ]
            self.assertGreater(len(later), 0)
            self.assertGreaterEqual(2 * sum(later), len(later))
