"""Tests of an instance as a process, beside callers outside the limits.

They check only what doesn't depend on the machine's speed: the process lives,
stays within the memory and descriptors of its machine, and answers an
ordinary request afterwards. Memory is the ``memory_mb`` of the settings, set
low so that a small crowd exceeds it where nothing bounds it.
"""

import asyncio
import contextlib
import signal

import ddt

from tests import base
from tests.forwarding import crowds
from tests.forwarding import processes
from tests.forwarding import standin
from tests.forwarding import test_forwarding

MEMORY_MB = 100
DESCRIPTORS = 4_100  # of the smallest machine
FEW_DESCRIPTORS = 300
ANSWER_BYTES = 100_000
SERVED_S = 20  # a hang takes longer; nothing is measured
POLL_S = 0.1
STREAM_CONNECTIONS = 400
STOP_GRACE_S = 3
MIB = 1024 * 1024
ADDRESSES = {'callers': 0, 'readiness': 1, 'peers': 2, 'metrics': 3}
ROUTE = ('/plain/x',)
OTHER_PATHS = ('/nowhere', '/readiness')
CASES = [
    *((name, 'callers', ROUTE) for name in crowds.FORMS),
    *((name, 'callers', OTHER_PATHS) for name in crowds.FORMS),
    *(
        (name, address, ('/',))
        for address in ('readiness', 'metrics', 'peers')
        for name in (
            'bodies in one piece',
            'bodies in chunks',
            'very many header fields',
            'requests sent ahead',
            'slow senders',
            'silent connections',
        )
    ),
]


@contextlib.asynccontextmanager
async def instance(case, memory_mb, descriptors=DESCRIPTORS, grace_s=8):
    """Run an instance on a stand-in platform."""
    platform = standin.StandinPlatform()
    targets = [
        standin.StandinTarget(f'{kind}{n}', kind, padding_bytes=ANSWER_BYTES)
        for kind in ('engine', 'plain', 'desk')
        for n in range(2)
    ]
    await platform.start(targets)
    platform.configure(1, ['k1'])
    folder = case.make_temp_dir()
    ports = processes.free_ports(4)
    started = []

    async def start():
        process = processes.start(
            folder,
            'i0',
            platform.store_address,
            ports,
            grace_s,
            memory_mb,
        )
        started.append(process)
        await process.wait_ready()
        crowds.limit_descriptors(process, descriptors)
        return process

    try:
        yield start
    finally:
        for process in started:
            process.popen.kill()
            process.popen.wait()
        await platform.stop()


async def post(process, size):
    raw = crowds.head(
        '/plain/x', f'Content-Length: {size}\r\nConnection: close\r\n\r\n'
    )
    return await test_forwarding.call(
        process.callers_address, raw=raw + b'x' * size
    )


class CrowdCase(base.NetworkTestCase):
    async def check_serves(self, process):
        """Check that an ordinary request is answered, refusals aside."""
        status = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SERVED_S):
                while status != 200:
                    with contextlib.suppress(OSError):
                        status = (await post(process, 10)).status
                    await asyncio.sleep(POLL_S)
        self.assertEqual(200, status, process.log()[-2_000:])

    async def check_bounds(self, process, memory_mb, descriptors):
        self.assertIsNone(process.popen.poll(), process.log()[-2_000:])
        self.assertLess(crowds.peak_memory_mb(process), memory_mb)
        self.assertLessEqual(crowds.descriptor_count(process), descriptors)

    async def check_crowd(self, form, address, paths, descriptors=DESCRIPTORS):
        context = instance(self, MEMORY_MB, descriptors)
        async with context as start:
            process = await start()
            port = process.ports[ADDRESSES[address]]
            crowd = crowds.Crowd(port, form, paths)
            try:
                await asyncio.to_thread(crowd.send)
                await self.check_bounds(process, MEMORY_MB, descriptors)
                await self.check_serves(process)
                await self.check_bounds(process, MEMORY_MB, descriptors)
            finally:
                crowd.close()


@ddt.ddt
class UntrustedCallersTest(CrowdCase):
    @ddt.data(*CASES)
    @ddt.unpack
    async def test_a_crowd_stays_within_the_machine(
        self, name, address, paths
    ):
        """Guards against memory that is held for callers and not counted."""
        await self.check_crowd(crowds.FORMS[name], address, paths)

    @ddt.data('slow readers', 'requests sent ahead')
    async def test_slow_readers_of_streams(self, name):
        """Guards against events that are kept for callers without bound."""
        form = crowds.Form(crowds.FORMS[name].make, STREAM_CONNECTIONS)
        await self.check_crowd(form, 'callers', ('/stream/x',))

    @ddt.data(*ADDRESSES)
    async def test_accepting_goes_on_after_the_descriptor_limit(self, address):
        """Guards against an instance that accepts nothing any more."""
        await self.check_crowd(
            crowds.FORMS['silent connections'],
            address,
            ('/',),
            FEW_DESCRIPTORS,
        )

    @ddt.data(
        *((size, mb) for size in (1.5, 4) for mb in (200, 160, MEMORY_MB))
    )
    @ddt.unpack
    async def test_one_legal_body_is_served_in_calm(self, size_mib, memory_mb):
        """Guards against bounds that refuse a request without any load."""
        async with instance(self, memory_mb) as start:
            process = await start()
            response = await post(process, int(size_mib * MIB))
            self.assertEqual(200, response.status)
            await self.check_bounds(process, memory_mb, DESCRIPTORS)

    @ddt.data('bodies in chunks', 'slow senders')
    async def test_a_crowd_during_a_stop_and_a_restart(self, name):
        """Guards against a stop that waits for callers that never end."""
        context = instance(self, MEMORY_MB, grace_s=STOP_GRACE_S)
        async with context as start:
            process = await start()
            form = crowds.FORMS[name]
            crowd = crowds.Crowd(process.ports[0], form, ROUTE)
            try:
                await asyncio.to_thread(crowd.send)
                process.popen.send_signal(signal.SIGTERM)
                await self.check_bounds(process, MEMORY_MB, DESCRIPTORS)
                self.assertEqual(0, await process.wait_exit(SERVED_S))
                process = await start()
                await asyncio.to_thread(crowd.send)
                await self.check_bounds(process, MEMORY_MB, DESCRIPTORS)
                await self.check_serves(process)
            finally:
                crowd.close()
