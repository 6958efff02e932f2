"""The stand-in of the log against its protocol page."""

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
class Reader:
    """Calls the log as its page says, without a client of ours."""

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
async def log():
    served = await platform_server.start_platform()
    async with aiohttp.ClientSession() as session:
        yield Reader(session, f'http://{served.address}'), served.log
    await served.close()


TOO_LARGE = b'x' * (logservice.RECORD_BYTES + 1)
# switches, record, answer's status and refusal, records afterwards
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
    """Each switch, as a plain HTTP client sees it."""

    @ddt.named_data(*APPENDS)
    async def test_append(self, switches, record, expected, count):
        async with log() as (reader, service):
            await reader.post('/standin/faults', switches)
            if switches.get('appends_per_s') == 0:
                service.drain_allowance()
            self.assertEqual(expected, await reader.append(record))
            reset = {name: 0 for name in switches if name != 'late_by_ms'}
            await reader.post('/standin/faults', reset)
            self.assertEqual(count, (await reader.bounds())[1]['next'])
            self.assertEqual(1, service.counts.append_calls)
            await asyncio.sleep(0.12)
            landed = 1 if 'late_appends' in switches else count
            self.assertEqual(landed, (await reader.bounds())[1]['next'])

    async def test_limits_appends(self):
        async with log() as (reader, service):
            service.faults.appends_per_s = 20
            answers = [await reader.append() for _ in range(40)]
            accepted = answers.count((200, False))
            self.assertTrue(20 <= accepted <= 30, accepted)
            self.assertEqual(40 - accepted, answers.count((429, True)))

    async def test_reads_in_order(self):
        async with log() as (reader, _):
            for number in range(5):
                await reader.append(bytes([number]))
            status, page = await reader.read('from=1&limit=3')
            self.assertEqual(
                (200, 0, 5), (status, page['oldest'], page['next'])
            )
            found = [(item[0], item[2]) for item in page['records']]
            self.assertEqual([(1, b'\x01'), (2, b'\x02'), (3, b'\x03')], found)
            times = [item[1] for item in page['records']]
            self.assertEqual(sorted(times), times)

    async def test_long_poll(self):
        async with log() as (reader, _):
            call = asyncio.create_task(reader.read('from=0&wait_ms=2000'))
            await asyncio.sleep(0.05)
            self.assertFalse(call.done())
            await reader.append(b'data')
            async with asyncio.timeout(0.5):
                _, page = await call
            self.assertEqual(b'data', page['records'][0][2])

    @ddt.data(('from=1', 410), ('from=2', 200), ('from=9', 200))
    @ddt.unpack
    async def test_truncate(self, query, expected):
        async with log() as (reader, _):
            for _ in range(4):
                await reader.append()
            await reader.post(
                '/standin/truncate', {'stream': 's1', 'oldest': 2}
            )
            status, page = await reader.read(query)
            self.assertEqual(
                (expected, 2, 4), (status, page['oldest'], page['next'])
            )

    async def test_stream_never_written(self):
        async with log() as (reader, _):
            self.assertEqual(
                (200, {'oldest': 0, 'next': 0}), await reader.bounds('new')
            )

    async def test_unknown_switch(self):
        async with log() as (reader, _):
            status, answer = await reader.post('/standin/faults', {'dwon': 1})
            self.assertEqual(400, status)
            self.assertIn('dwon', answer['error'])
