"""Tests that the stand-in of the log follows its protocol page."""

import asyncio
import contextlib

import aiohttp
import attrs
import ddt
import msgpack

from sycamorebeam.standins import logservice
from sycamorebeam.standins import platform_server
from tests import base


@attrs.define
class LogHttpClient:
    """Calls the log over HTTP as its page defines, without the log client."""

    session: aiohttp.ClientSession
    url: str

    async def append(self, data=b'data', stream='s1'):
        url = f'{self.url}/v1/streams/{stream}/records'
        try:
            async with self.session.post(url, data=data) as answer:
                refused = answer.headers.get('Log-Refused') == '1'
                return answer.status, refused
        except aiohttp.ClientError:
            return None, False

    async def read(self, query='', stream='s1'):
        url = f'{self.url}/v1/streams/{stream}/records?{query}'
        return await self._get(url)

    async def bounds(self, stream='s1'):
        return await self._get(f'{self.url}/v1/streams/{stream}')

    async def post(self, path, fields):
        async with self.session.post(self.url + path, json=fields) as answer:
            return answer.status, await answer.json()

    async def _get(self, url):
        async with self.session.get(url) as answer:
            body = await answer.read()
            return answer.status, msgpack.unpackb(body) if body else None


@contextlib.asynccontextmanager
async def serve_log():
    served = await platform_server.start_platform()
    async with aiohttp.ClientSession() as session:
        yield LogHttpClient(session, f'http://{served.address}'), served.log
    await served.close()


TOO_LARGE = b'x' * (logservice.RECORD_BYTES + 1)
# name, switches, record, (status, Log-Refused), number of records afterwards
APPENDS = [
    ['accepted', {}, b'data', (200, False), 1],
    ['down', {'down': True}, b'data', (503, True), 0],
    ['too_large', {}, TOO_LARGE, (413, True), 0],
    ['limited', {'appends_per_s': 0}, b'data', (429, True), 0],
    ['lost', {'lose_answers': 1}, b'data', (None, False), 1],
    ['late', {'late_appends': 1, 'late_by_ms': 80}, b'd', (None, False), 0],
    ['reads_down', {'read_down': True}, b'data', (200, False), 1],
]


@ddt.ddt
class LogServiceTest(base.NetworkTestCase):
    """The effect of each switch on an HTTP client."""

    @ddt.named_data(*APPENDS)
    async def test_append(self, switches, record, expected, count):
        async with serve_log() as (client, service):
            await client.post('/standin/faults', switches)
            if switches.get('appends_per_s') == 0:
                service.drain_allowance()
            self.assertEqual(expected, await client.append(record))
            reset = {name: 0 for name in switches if name != 'late_by_ms'}
            await client.post('/standin/faults', reset)
            self.assertEqual(count, (await client.bounds())[1]['next'])
            self.assertEqual(1, service.counts.append_calls)
            await asyncio.sleep(0.12)
            final_count = 1 if 'late_appends' in switches else count
            self.assertEqual(final_count, (await client.bounds())[1]['next'])

    async def test_limits_appends(self):
        async with serve_log() as (client, service):
            service.faults.appends_per_s = 20
            answers = [await client.append() for _ in range(40)]
            accepted = answers.count((200, False))
            self.assertTrue(20 <= accepted <= 30, accepted)
            self.assertEqual(40 - accepted, answers.count((429, True)))

    async def test_reads_in_order(self):
        async with serve_log() as (client, _):
            for number in range(5):
                await client.append(bytes([number]))
            status, page = await client.read('from=1&limit=3')
            self.assertEqual(
                (200, 0, 5), (status, page['oldest'], page['next'])
            )
            offsets_and_data = [
                (record[0], record[2]) for record in page['records']
            ]
            self.assertEqual(
                [(1, b'\x01'), (2, b'\x02'), (3, b'\x03')], offsets_and_data
            )
            times = [record[1] for record in page['records']]
            self.assertEqual(sorted(times), times)

    async def test_long_poll(self):
        async with serve_log() as (client, _):
            call = asyncio.create_task(client.read('from=0&wait_ms=2000'))
            await asyncio.sleep(0.05)
            self.assertFalse(call.done())
            await client.append(b'data')
            async with asyncio.timeout(0.5):
                _, page = await call
            self.assertEqual(b'data', page['records'][0][2])

    @ddt.data(('from=1', 410), ('from=2', 200), ('from=9', 200))
    @ddt.unpack
    async def test_truncate(self, query, expected_status):
        async with serve_log() as (client, _):
            for _ in range(4):
                await client.append()
            await client.post(
                '/standin/truncate', {'stream': 's1', 'oldest': 2}
            )
            status, page = await client.read(query)
            self.assertEqual(
                (expected_status, 2, 4), (status, page['oldest'], page['next'])
            )

    async def test_stream_never_written(self):
        async with serve_log() as (client, _):
            self.assertEqual(
                (200, {'oldest': 0, 'next': 0}), await client.bounds('new')
            )

    async def test_unknown_switch(self):
        async with serve_log() as (client, _):
            status, answer = await client.post('/standin/faults', {'dwon': 1})
            self.assertEqual(400, status)
            self.assertIn('dwon', answer['error'])
