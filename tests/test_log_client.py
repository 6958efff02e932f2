"""Tests of the log client against a small server that counts calls."""

import asyncio
import contextlib

from aiohttp import web
import ddt
import msgpack

from sycamorebeam.clients import log_client
from sycamorebeam.clients import results
from tests import base

TIMEOUT_MS = 200


class CountingServer:
    """Answers appends as told and counts every call that arrives."""

    def __init__(self, answer):
        self.calls = 0
        self.answer = answer

    async def handle(self, request):
        self.calls += 1
        await request.read()
        return await self.answer(request)

    @contextlib.asynccontextmanager
    async def client(self):
        app = web.Application()
        app.router.add_route('*', '/{tail:.*}', self.handle)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        client = log_client.new_log_client(f'{host}:{port}', TIMEOUT_MS)
        try:
            yield client
        finally:
            await client.close()
            await runner.cleanup()


def answer(status, body=b'', **headers):
    names = {name.replace('_', '-'): text for name, text in headers.items()}

    async def give(request):
        return web.Response(status=status, body=body, headers=names)

    return give


def packed(**fields):
    return msgpack.packb(fields)


async def hang(request):
    await asyncio.sleep(0.6)
    return web.Response()


async def cut(request):
    request.transport.abort()
    return web.Response()


REFUSED = {'Log_Refused': '1', 'Retry_After_Ms': '70'}


@ddt.ddt
class AppendTest(base.NetworkTestCase):
    @ddt.unpack
    @ddt.data(
        (answer(200, packed(offset=7)), results.Appended(7)),
        (answer(429, **REFUSED), results.AppendRefused),
        (answer(503, **REFUSED), results.AppendRefused),
        (answer(413, **REFUSED), results.AppendRefused),
        (answer(503), results.AppendUnknown),
        (answer(429), results.AppendUnknown),
        (answer(500, **REFUSED), results.AppendUnknown),
        (answer(200, b'\xc1'), results.AppendUnknown),
        (answer(307, Location='/other'), results.AppendUnknown),
        (answer(308, Location='/other'), results.AppendUnknown),
        (hang, results.AppendUnknown),
        (cut, results.AppendUnknown),
    )
    async def test_is_one_call(self, give, expected):
        server = CountingServer(answer(200, packed(offset=1)))
        async with server.client() as client:
            await client.append('s', b'first, to have a kept connection')
            server.calls = 0
            server.answer = give
            found = await client.append('s', b'data')
        self.assertEqual(1, server.calls)
        match expected:
            case results.Appended():
                self.assertEqual(expected, found)
            case _:
                self.assertIsInstance(found, expected)

    async def test_keeps_the_hint_when_to_retry(self):
        async with CountingServer(answer(429, **REFUSED)).client() as client:
            found = await client.append('s', b'data')
        self.assertEqual(70, found.retry_after_ms)

    async def test_without_connection_is_refused(self):
        client = log_client.new_log_client('127.0.0.1:1', TIMEOUT_MS)
        found = await client.append('s', b'data')
        await client.close()
        self.assertIsInstance(found, results.AppendRefused)

    async def test_too_large_is_refused_here(self):
        server = CountingServer(answer(200, packed(offset=1)))
        async with server.client() as client:
            found = await client.append('s', b'x' * (1 << 20) + b'x')
        self.assertIsInstance(found, results.AppendRefused)
        self.assertEqual(0, server.calls)


PAGE = packed(oldest=2, next=4, records=[[2, 10, b'a'], [3, 11, b'b']])


@ddt.ddt
class ReadTest(base.NetworkTestCase):
    @ddt.unpack
    @ddt.data(
        (
            answer(200, PAGE),
            results.LogPage(
                2,
                4,
                (
                    results.LogRecord(2, 10, b'a'),
                    results.LogRecord(3, 11, b'b'),
                ),
            ),
        ),
        (answer(410, packed(oldest=5, next=9)), results.LogGap(5, 9)),
        (answer(503), results.LogUnavailable('the log answered with 503')),
        (
            answer(200, b'\xc1'),
            results.LogUnavailable('the answer of the log is malformed'),
        ),
    )
    async def test_read(self, give, expected):
        async with CountingServer(give).client() as client:
            self.assertEqual(expected, await client.read('s', 2))

    @ddt.data(hang, cut)
    async def test_no_answer_is_unavailable(self, give):
        async with CountingServer(give).client() as client:
            found = await client.read('s', 2, wait_ms=50)
            self.assertIsInstance(found, results.LogUnavailable)

    async def test_bounds(self):
        give = answer(200, packed(oldest=5, next=9))
        async with CountingServer(give).client() as client:
            found = await client.bounds('s')
        self.assertEqual(results.LogPage(5, 9, ()), found)
