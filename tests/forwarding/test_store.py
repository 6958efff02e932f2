"""Tests of the client of the platform's store, with a fake server."""

import asyncio
import base64
import contextlib
import struct

from aiohttp import web
import attrs
import ddt

from sycamorebeam.forwarding import blocked_parts
from sycamorebeam.platform import store_client
from sycamorebeam.platform import store_platform
from tests import base


class FakeStore:
    """Answers from a script: a status and a body, or an Event to wait for."""

    def __init__(self, *script):
        self.script = list(script)
        self.after_wait = None
        self.requests = []
        self.connections = set()

    async def handle(self, request):
        body = await request.read()
        self.requests.append((request.path, dict(request.query), body))
        self.connections.add(request.transport)
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(step, asyncio.Event):
            await step.wait()
            step = self.after_wait
        status, data = step
        if isinstance(data, bytes):
            return web.Response(status=status, body=data)
        return web.json_response(data, status=status)


@contextlib.asynccontextmanager
async def serving(*script):
    fake = FakeStore(*script)
    server = web.Server(fake.handle, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    client = store_client.StoreClient(f'127.0.0.1:{runner.addresses[0][1]}')
    try:
        yield fake, client
    finally:
        await client.close()
        await runner.cleanup()


def keyed(key, value):
    content = bytes([len(key)]) + key + value
    return struct.pack('>I', len(content)) + content


def entry(key, value, offset):
    return {
        'key': key,
        'value': base64.b64encode(value).decode(),
        'offset': offset,
    }


OFFSETS = struct.pack('>QQ', 9, 3)
LARGE = b'x' * 300_000


@ddt.ddt
class StoreTest(base.NetworkTestCase):
    async def test_all_pages_are_read_and_the_first_offset_is_returned(self):
        pages = [
            {
                'entries': [entry('a', b'1', 4), entry('b', b'2', 5)],
                'has_more': True,
                'end_offset': 6,
            },
            {
                'entries': [entry('c', b'3', 7)],
                'has_more': False,
                'end_offset': 8,
            },
        ]
        async with serving(*((200, page) for page in pages)) as (fake, client):
            records = await client.read_newest('keyed.op')
        self.assertEqual(
            [('a', b'1'), ('b', b'2'), ('c', b'3')],
            [(item.key, item.value) for item in records.items],
        )
        self.assertEqual(6, records.next_offset)
        self.assertEqual('b', fake.requests[1][1]['after'])

    @ddt.data(
        ('none', b'', []),
        (
            'two',
            keyed(b'a', b'1') + keyed(b'b', b''),
            [('a', b'1'), ('b', b'')],
        ),
        ('a large one', keyed(b'a', LARGE), [('a', LARGE)]),
        (
            'a truncated one',
            keyed(b'a', b'1') + keyed(b'b', b'2')[:-1],
            [('a', b'1')],
        ),
    )
    @ddt.unpack
    async def test_records_are_read(self, _, data, expected):
        async with serving((200, OFFSETS + data)) as (fake, client):
            records = await client.read('keyed.op', 7, wait_ms=100)
        self.assertEqual(
            expected, [(item.key, item.value) for item in records.items]
        )
        self.assertEqual(7 + len(expected), records.next_offset)
        query = fake.requests[0][1]
        self.assertEqual(('7', '100'), (query['source'], query['wait_ms']))
        self.assertGreaterEqual(int(query['max_size']), len(LARGE))

    @ddt.data(
        (410, store_client.HistoryGoneError), (503, store_client.StoreError)
    )
    @ddt.unpack
    async def test_failures_are_typed(self, status, expected):
        async with serving((status, b'')) as (_, client):
            with self.assertRaises(expected):
                await client.read('keyed.op', 7)

    async def test_only_a_listing_of_targets_is_marked_as_whole(self):
        listing = {'entries': [], 'has_more': False, 'end_offset': 4}
        async with serving((200, listing), (200, OFFSETS)) as (_, client):
            platform = store_platform.StorePlatform(client)
            listed = await platform.read_targets()
            changes = await platform.read_target_changes(4)
        self.assertEqual((True, False), (listed.is_whole, changes.is_whole))

    async def test_a_silent_connection_is_replaced(self):
        """A connection can go silent for good while new ones work."""
        script = [(200, OFFSETS), asyncio.Event(), (200, OFFSETS)]
        async with serving(*script) as (fake, client):
            await client.read('keyed.op', 7)
            with self.assertRaises(store_client.StoreError):
                async with asyncio.timeout(
                    store_client.SILENCE_TIMEOUT_S + 0.5
                ):
                    await client.read('keyed.op', 7)
            await client.read('keyed.op', 7)
            self.assertEqual(2, len(fake.connections))

    async def test_a_failure_replaces_all_connections(self):
        """The cause of one silent connection may affect the others as well."""
        gate = asyncio.Event()
        script = [gate, gate, asyncio.Event(), (200, OFFSETS)]
        async with serving(*script) as (fake, client):
            fake.after_wait = (200, OFFSETS)
            both = asyncio.gather(
                client.read('keyed.op', 7), client.read('keyed.op', 8)
            )
            await asyncio.sleep(0.1)
            gate.set()
            await both
            with self.assertRaises(store_client.StoreError):
                await client.read('keyed.op', 7)
            await client.read('keyed.op', 7)
            self.assertEqual(3, len(fake.connections))

    async def test_a_record_is_appended(self):
        async with serving((200, {'offset': 1})) as (fake, client):
            await client.append('keyed.instances', 'i0', b'v')
        path, query, body = fake.requests[0]
        self.assertEqual('/sycamorebeam/log-append', path)
        self.assertEqual('keyed.instances', query['topic'])
        self.assertEqual(keyed(b'i0', b'v'), body)

    async def test_a_block_is_read_as_it_was_written(self):
        block = blocked_parts.StoredBlock('5c1e', 1_700_000_000_000, 30_000)
        async with serving((200, {'offset': 1})) as (fake, client):
            platform = store_platform.StorePlatform(client)
            await platform.write_block(block)
            await platform.write_block(attrs.evolve(block, part_id='x' * 256))
        self.assertEqual(1, len(fake.requests))
        _, query, body = fake.requests[0]
        self.assertEqual('keyed.blocked_parts', query['topic'])
        listing = {
            'entries': [
                entry('5c1e', body[9:], 1),
                entry('odd', b'[' * 200_000, 2),
                entry('odder', b'{"until": 1e999, "duration_ms": 1}', 3),
            ],
            'has_more': False,
            'end_offset': 4,
        }
        async with serving((200, listing)) as (_, client):
            platform = store_platform.StorePlatform(client)
            self.assertEqual([block], await platform.read_blocks())
