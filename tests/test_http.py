"""Tests that an exchange sends one request over bounded connections."""

import asyncio
import contextlib

import attrs
import ddt

from sycamorebeam import clocks
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import http
from sycamorebeam.clients import reasons
from tests import base
from tests import target_case

EMPTY_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
REDIRECT = (
    b'HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n'
)
LARGE_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n' + b'x' * 4000000
)
CLOSE = b''
LIMITS = http.HttpLimits(
    connections=4,
    connections_per_target=2,
    idle_age_ms=150,
    connect_timeout_ms=200,
    queue_timeout_ms=100,
    answer_bytes=1_000,
)


@attrs.define
class ScriptedServer:
    """A server that answers each request with the next of a script.

    The last answer of the script is repeated; ``CLOSE`` drops the
    connection.
    """

    script: list = attrs.field(factory=lambda: [EMPTY_RESPONSE])
    delay_ms: int = 0
    requests: list = attrs.field(factory=list)
    connections: int = 0
    opened: int = 0
    max_connections: int = 0
    address: str = ''

    async def serve(self, reader, writer):
        self.opened += 1
        self.connections += 1
        self.max_connections = max(self.max_connections, self.connections)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer):
                pass
        self.connections -= 1
        writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        self.requests.append(head)
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                await reader.readexactly(int(line.split(b':')[1]))
        await asyncio.sleep(self.delay_ms / 1000)
        answer = self.script[0]
        if len(self.script) > 1:
            self.script.pop(0)
        writer.write(answer)
        await writer.drain()
        return answer != CLOSE


@contextlib.asynccontextmanager
async def scripted_server(script=None, delay_ms=0):
    target = ScriptedServer(
        script=script or [EMPTY_RESPONSE], delay_ms=delay_ms
    )
    server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    target.address = f'{host}:{port}'
    client = http.HttpClient(target_case.CLOCK, LIMITS)
    try:
        yield target, client
    finally:
        await client.close()
        server.close()


def exchange(
    target,
    method='POST',
    connection_kind=exchanges.ConnectionKind.POOLED,
    deadline_ms=1_000,
):
    return exchanges.Exchange(
        method=method,
        address=target.address,
        path='/v1/calls',
        deadline=clocks.deadline_in(target_case.CLOCK, deadline_ms),
        body=b'{}' if method == 'POST' else None,
        connection_kind=connection_kind,
    )


@ddt.ddt
class HttpTest(base.NetworkTestCase):
    """Counts requests and connections at a scripted server."""

    @ddt.data('POST', 'GET', 'DELETE')
    async def test_sends_once_on_dropped_connection(self, method):
        async with scripted_server(
            [EMPTY_RESPONSE, CLOSE, EMPTY_RESPONSE]
        ) as (target, client):
            await client.fetch(exchange(target, method))
            reply = await client.fetch(exchange(target, method))
            self.assertEqual(
                exchanges.HttpFailure(reasons.Reason.CLOSED, sent=True), reply
            )
            await asyncio.sleep(0.02)
            self.assertEqual(2, len(target.requests))

    @ddt.data('POST', 'GET')
    async def test_follows_no_redirect(self, method):
        async with scripted_server([REDIRECT]) as (target, client):
            reply = await client.fetch(exchange(target, method))
            self.assertEqual(302, reply.status)
            self.assertEqual(1, len(target.requests))

    @ddt.data(
        (exchanges.ConnectionKind.POOLED, 1),
        (exchanges.ConnectionKind.FRESH, 3),
    )
    @ddt.unpack
    async def test_connection_kind(self, connection_kind, opened):
        async with scripted_server() as (target, client):
            for _ in range(3):
                await client.fetch(
                    exchange(target, connection_kind=connection_kind)
                )
            self.assertEqual(opened, target.opened)

    @ddt.data(exchanges.ConnectionKind.POOLED, exchanges.ConnectionKind.FRESH)
    async def test_bounds_connections(self, connection_kind):
        async with scripted_server(delay_ms=250) as (target, client):
            calls = [
                client.fetch(exchange(target, connection_kind=connection_kind))
                for _ in range(5)
            ]
            replies = await asyncio.gather(*calls)
            not_sent = exchanges.HttpFailure(
                reasons.Reason.NO_CONNECTION_IN_TIME, sent=False
            )
            self.assertEqual(3, replies.count(not_sent))
            self.assertEqual(
                (2, 2), (target.max_connections, len(target.requests))
            )

    async def test_bounds_connections_to_all_targets(self):
        async with (
            scripted_server(delay_ms=250) as (first, client),
            scripted_server(delay_ms=250) as (second, _),
            scripted_server(delay_ms=250) as (third, _),
        ):
            calls = [
                client.fetch(exchange(target))
                for target in (first, second, third) * 2
            ]
            replies = await asyncio.gather(*calls)
            not_sent = exchanges.HttpFailure(
                reasons.Reason.NO_CONNECTION_IN_TIME, sent=False
            )
            self.assertEqual(2, replies.count(not_sent))
            self.assertEqual(
                4, sum(each.opened for each in (first, second, third))
            )

    async def test_drops_aged_idle_connections(self):
        async with scripted_server() as (target, client):
            await client.fetch(exchange(target))
            await asyncio.sleep(LIMITS.idle_age_ms * 2.5 / 1000)
            await client.fetch(exchange(target))
            self.assertEqual((2, 1), (target.opened, target.connections))

    @ddt.data('cancel', 'deadline')
    async def test_does_not_reuse_after_abort(self, cut):
        async with scripted_server(delay_ms=100) as (target, client):
            deadline_ms = 30 if cut == 'deadline' else 1_000
            request = exchange(target, deadline_ms=deadline_ms)
            call = asyncio.create_task(client.fetch(request))
            await target_case.wait_until(lambda: target.requests)
            if cut == 'cancel':
                call.cancel()
            await asyncio.wait([call])
            self.assertTrue(request.connected)
            target.delay_ms = 0
            reply = await client.fetch(exchange(target))
            self.assertEqual((200, 2), (reply.status, target.opened))

    async def test_refuses_large_answer(self):
        async with scripted_server([LARGE_RESPONSE, EMPTY_RESPONSE]) as (
            target,
            client,
        ):
            reply = await client.fetch(exchange(target))
            self.assertEqual(
                exchanges.HttpFailure(reasons.Reason.TOO_LARGE, sent=True),
                reply,
            )
            await client.fetch(exchange(target))
            self.assertEqual(2, target.opened)

    async def test_counts_bytes_of_request(self):
        async with scripted_server() as (target, client):
            request = exchange(target)
            await client.fetch(request)
            self.assertEqual(len(target.requests[0]) + 2, request.sent_bytes)
            self.assertEqual(len(EMPTY_RESPONSE) - 19, request.received_bytes)

    async def test_deadline_header(self):
        async with scripted_server() as (target, client):
            await client.fetch(exchange(target, deadline_ms=500))
            head = target.requests[0].lower()
            left_ms = int(head.split(b'deadline-ms: ')[1].split(b'\r')[0])
            self.assertTrue(400 <= left_ms <= 500, left_ms)
