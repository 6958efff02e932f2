"""Finds the cause of a failed request by the steps of docs/OPERATIONS.md.

Only the request's id and the logs of the processes are used.
"""

import asyncio
import contextlib
import shlex

import ddt

from tests import base
from tests.forwarding import processes
from tests.forwarding import standin

SLOW_REPLICA = 1.8  # slowness, from docs/OPERATIONS.md


def parse_events(text):
    """Return the fields of each event in a log."""
    lines = [line for line in text.splitlines() if ' event=' in line]
    return [
        dict(field.split('=', 1) for field in shlex.split(line))
        for line in lines
    ]


def explain(log, request):
    """Return why a request failed, by the steps of the page."""
    logged = parse_events(log)
    end = [event for event in logged if event.get('request') == request][-1]
    match end['result'].split(': '):
        case ['refused', 'stage', 'overloaded']:
            return explain_refusal(logged)
        case ['broken']:
            return explain_broken(logged, end)
    return f'nothing on the page for {end["result"]}'


def explain_refusal(logged):
    calls = [event for event in logged if event['event'] == 'stage_called']
    slow = {
        call['target']
        for call in calls
        if float(call['slowness']) > SLOW_REPLICA
    }
    if slow:
        return f'slow replicas: {" ".join(sorted(slow))}'
    return 'more requests than the replicas can serve'


def explain_broken(logged, end):
    target = end['target']
    changes = [
        change
        for event in logged
        if event['event'] == 'targets_changed'
        for change in event['changes'].split()
        if change.startswith(f'{target}:')
    ]
    state = changes[-1].partition(':')[2] if changes else 'ready'
    if end['begun_ms'] == 'None':
        return f'sent {end["sends"]} time, outcome known to {target} ({state})'
    return f'broken off in mid-stream by {target} ({state})'


@ddt.ddt
class ExplainingTest(base.NetworkTestCase):
    @contextlib.asynccontextmanager
    async def serving(self):
        platform = standin.StandinPlatform()
        engine = standin.StandinTarget('e0', 'engine')
        plain = standin.StandinTarget('p0', 'plain')
        desk = standin.StandinTarget('d0', 'desk')
        await platform.start([engine, plain, desk])
        platform.configure(1, ['k1'])
        folder = self.make_temp_dir()
        process = processes.start(folder, 'i0', platform.store_address)
        try:
            await process.wait_ready()
            yield platform, process
        finally:
            process.popen.kill()
            process.popen.wait()
            await platform.stop()

    async def send(self, process, count, path):
        names = [f'r{n}' for n in range(count)]
        responses = await asyncio.gather(
            *(processes.send(process, name, path) for name in names)
        )
        await asyncio.sleep(0.2)
        return dict(zip(names, responses, strict=True))

    async def test_a_refusal_because_of_a_slow_replica(self):
        async with self.serving() as (platform, process):
            platform.targets[2].duration_ms = 300
            await self.send(process, 4, '/stream/x')
            responses = await self.send(process, 80, '/stream/x')
            refused = [
                request
                for request, response in responses.items()
                if response.status == 503
            ]
            self.assertNotEqual([], refused)
            causes = {explain(process.log(), name) for name in refused}
            self.assertEqual({'slow replicas: d0'}, causes)

    @ddt.data(
        ('mid-stream', 0, 1, '/stream/x', 'broken off in mid-stream by e0'),
        ('unknown', 1, 0, '/plain/x', 'sent 1 time, outcome known to p0'),
    )
    @ddt.unpack
    async def test_a_target_that_breaks_off(
        self, _, position, breaks_after, path, expected
    ):
        async with self.serving() as (platform, process):
            platform.targets[position].abort_after_events = breaks_after
            await self.send(process, 1, path)
            cause = explain(process.log(), 'r0')
            self.assertEqual(f'{expected} (ready)', cause)

    async def test_a_draining_target_that_breaks_off(self):
        async with self.serving() as (platform, process):
            engine = platform.targets[0]
            engine.abort_after_events = 1
            engine.duration_ms = 1_500
            sent = asyncio.create_task(self.send(process, 1, '/stream/x'))
            await asyncio.sleep(0.3)
            platform.announce(engine, 'draining')
            await sent
            self.assertEqual(
                'broken off in mid-stream by e0 (draining)',
                explain(process.log(), 'r0'),
            )
