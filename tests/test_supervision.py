"""Tests of the supervision of background tasks."""

import asyncio
import itertools

from sycamorebeam import supervision
from tests import base
from tests import build


class KeepRunningTest(base.TestCase):
    async def test_failed_task_is_restarted_after_a_pause(self):
        starts = []

        async def work():
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                raise RuntimeError('unexpected error')

        await supervision.keep_running('work', work, build.CLOCK)
        pauses = [later - start for start, later in itertools.pairwise(starts)]
        self.assertEqual(3, len(starts))
        self.assertTrue(all(pause >= 1 for pause in pauses), pauses)

    async def test_cancelling_ends_the_task(self):
        task = asyncio.create_task(
            supervision.keep_running('work', asyncio.Event().wait, build.CLOCK)
        )
        await asyncio.sleep(1)
        task.cancel()
        await asyncio.wait([task])
        self.assertTrue(task.cancelled())
