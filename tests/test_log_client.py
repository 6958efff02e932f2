"""Tests of the log client with a server that counts requests."""

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
    """Answers requests by a given handler and counts them."""

    def __init__(self, answer):
        self.requests = 0
        self.answer = answer

    async def handle(self, request):
        self.requests += 1
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
    fields = {name.replace('_', '-'): text for name, text in headers.items()}

    async def handler(request):
        return web.Response(status=status, body=body, headers=fields)

    return handler


def pack(**fields):
    return msgpack.packb(fields)


async def respond_late(request):
    await asyncio.sleep(0.6)
    return web.Response()


async def abort(request):
    request.transport.abort()
    return web.Response()


REFUSED = {'Log_Refused': '1', 'Retry_After_Ms': '70'}


@ddt.ddt
class AppendTest(base.NetworkTestCase):
    @ddt.unpack
    @ddt.data(
        (answer(200, pack(offset=7)), results.Appended(7)),
        (answer(429, **REFUSED), results.AppendRefused),
        (answer(503, **REFUSED), results.AppendRefused),
        (answer(413, **REFUSED), results.AppendRefused),
        (answer(503), results.AppendUnknown),
        (answer(429), results.AppendUnknown),
        (answer(500, **REFUSED), results.AppendUnknown),
        (answer(200, b'\xc1'), results.AppendUnknown),
        (answer(307, Location='/other'), results.AppendUnknown),
        (answer(308, Location='/other'), results.AppendUnknown),
        (respond_late, results.AppendUnknown),
        (abort, results.AppendUnknown),
    )
    async def test_sends_one_request(self, handler, expected):
        server = CountingServer(answer(200, pack(offset=1)))
        async with server.client() as client:
            await client.append('s', b'first, to have a kept connection')
            server.requests = 0
            server.answer = handler
            result = await client.append('s', b'data')
        self.assertEqual(1, server.requests)
        match expected:
            case results.Appended():
                self.assertEqual(expected, result)
            case _:
                self.assertIsInstance(result, expected)

    async def test_returns_retry_after(self):
        async with CountingServer(answer(429, **REFUSED)).client() as client:
            result = await client.append('s', b'data')
        self.assertEqual(70, result.retry_after_ms)

    async def test_without_connection_is_refused(self):
        client = log_client.new_log_client('127.0.0.1:1', TIMEOUT_MS)
        result = await client.append('s', b'data')
        await client.close()
        self.assertIsInstance(result, results.AppendRefused)

    async def test_too_large_is_refused_without_request(self):
        server = CountingServer(answer(200, pack(offset=1)))
        async with server.client() as client:
            result = await client.append('s', b'x' * (1 << 20) + b'x')
        self.assertIsInstance(result, results.AppendRefused)
        self.assertEqual(0, server.requests)


PAGE = pack(oldest=2, next=4, records=[[2, 10, b'a'], [3, 11, b'b']])


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
        (answer(410, pack(oldest=5, next=9)), results.LogGap(5, 9)),
        (answer(503), results.LogUnavailable('the log answered with 503')),
        (
            answer(200, b'\xc1'),
            results.LogUnavailable('the answer of the log is malformed'),
        ),
    )
    async def test_read(self, handler, expected):
        async with CountingServer(handler).client() as client:
            self.assertEqual(expected, await client.read('s', 2))

    @ddt.data(respond_late, abort)
    async def test_no_answer_is_unavailable(self, handler):
        async with CountingServer(handler).client() as client:
            result = await client.read('s', 2, wait_ms=50)
            self.assertIsInstance(result, results.LogUnavailable)

    async def test_bounds(self):
        handler = answer(200, pack(oldest=5, next=9))
        async with CountingServer(handler).client() as client:
            result = await client.bounds('s')
        self.assertEqual(results.LogPage(5, 9, ()), result)
