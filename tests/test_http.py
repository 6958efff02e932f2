"""One exchange, one request: what goes over the wire, counted there."""

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

EMPTY = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
REFUSAL = (
    b'HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n'
)
LARGE = b'HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n' + b'x' * 4000000
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
class Wire:
    """A server that reads requests and answers each from a script.

    The last answer of the script is given for ever; ``CLOSE`` drops the
    connection. ``most`` is the highest number of connections at once.
    """

    script: list = attrs.field(factory=lambda: [EMPTY])
    delay_ms: int = 0
    requests: list = attrs.field(factory=list)
    connections: int = 0
    opened: int = 0
    most: int = 0
    address: str = ''

    async def serve(self, reader, writer):
        self.opened += 1
        self.connections += 1
        self.most = max(self.most, self.connections)
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
async def wire(script=None, delay_ms=0):
    served = Wire(script=script or [EMPTY], delay_ms=delay_ms)
    server = await asyncio.start_server(served.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    served.address = f'{host}:{port}'
    client = http.HttpClient(target_case.CLOCK, LIMITS)
    try:
        yield served, client
    finally:
        await client.close()
        server.close()


def exchange(
    served,
    method='POST',
    connection_kind=exchanges.ConnectionKind.POOLED,
    deadline_ms=1_000,
):
    return exchanges.Exchange(
        method=method,
        address=served.address,
        path='/v1/calls',
        deadline=clocks.deadline_in(target_case.CLOCK, deadline_ms),
        body=b'{}' if method == 'POST' else None,
        connection_kind=connection_kind,
    )


@ddt.ddt
class HttpTest(base.NetworkTestCase):
    """Counts requests and connections at the other end."""

    @ddt.data('POST', 'GET', 'DELETE')
    async def test_sends_once_on_dropped_connection(self, method):
        async with wire([EMPTY, CLOSE, EMPTY]) as (served, client):
            await client.fetch(exchange(served, method))
            found = await client.fetch(exchange(served, method))
            self.assertEqual(
                exchanges.HttpFailure(reasons.Reason.CLOSED, sent=True), found
            )
            await asyncio.sleep(0.02)
            self.assertEqual(2, len(served.requests))

    @ddt.data('POST', 'GET')
    async def test_follows_no_redirect(self, method):
        async with wire([REFUSAL]) as (served, client):
            found = await client.fetch(exchange(served, method))
            self.assertEqual(302, found.status)
            self.assertEqual(1, len(served.requests))

    @ddt.data(
        (exchanges.ConnectionKind.POOLED, 1),
        (exchanges.ConnectionKind.FRESH, 3),
    )
    @ddt.unpack
    async def test_connection_kind(self, connection_kind, opened):
        async with wire() as (served, client):
            for _ in range(3):
                await client.fetch(
                    exchange(served, connection_kind=connection_kind)
                )
            self.assertEqual(opened, served.opened)

    @ddt.data(exchanges.ConnectionKind.POOLED, exchanges.ConnectionKind.FRESH)
    async def test_bounds_connections(self, connection_kind):
        async with wire(delay_ms=250) as (served, client):
            calls = [
                client.fetch(exchange(served, connection_kind=connection_kind))
                for _ in range(5)
            ]
            found = await asyncio.gather(*calls)
            refused = exchanges.HttpFailure(
                reasons.Reason.NO_CONNECTION_IN_TIME, sent=False
            )
            self.assertEqual(3, found.count(refused))
            self.assertEqual((2, 2), (served.most, len(served.requests)))

    async def test_bounds_connections_to_all_targets(self):
        async with (
            wire(delay_ms=250) as (first, client),
            wire(delay_ms=250) as (second, _),
            wire(delay_ms=250) as (third, _),
        ):
            calls = [
                client.fetch(exchange(served))
                for served in (first, second, third) * 2
            ]
            found = await asyncio.gather(*calls)
            refused = exchanges.HttpFailure(
                reasons.Reason.NO_CONNECTION_IN_TIME, sent=False
            )
            self.assertEqual(2, found.count(refused))
            self.assertEqual(
                4, sum(one.opened for one in (first, second, third))
            )

    async def test_drops_old_idle_connections(self):
        async with wire() as (served, client):
            await client.fetch(exchange(served))
            await asyncio.sleep(LIMITS.idle_age_ms * 2.5 / 1000)
            await client.fetch(exchange(served))
            self.assertEqual((2, 1), (served.opened, served.connections))

    @ddt.data('cancel', 'deadline')
    async def test_never_reuses_after_cut(self, cut):
        async with wire(delay_ms=100) as (served, client):
            deadline_ms = 30 if cut == 'deadline' else 1_000
            item = exchange(served, deadline_ms=deadline_ms)
            call = asyncio.create_task(client.fetch(item))
            await target_case.wait_until(lambda: served.requests)
            if cut == 'cancel':
                call.cancel()
            await asyncio.wait([call])
            self.assertTrue(item.connected)
            served.delay_ms = 0
            found = await client.fetch(exchange(served))
            self.assertEqual((200, 2), (found.status, served.opened))

    async def test_refuses_large_answer(self):
        async with wire([LARGE, EMPTY]) as (served, client):
            found = await client.fetch(exchange(served))
            self.assertEqual(
                exchanges.HttpFailure(reasons.Reason.TOO_LARGE, sent=True),
                found,
            )
            await client.fetch(exchange(served))
            self.assertEqual(2, served.opened)

    async def test_counts_bytes_of_request(self):
        async with wire() as (served, client):
            item = exchange(served)
            await client.fetch(item)
            self.assertEqual(len(served.requests[0]) + 2, item.sent_bytes)
            self.assertEqual(len(EMPTY) - 19, item.received_bytes)

    async def test_deadline_header(self):
        async with wire() as (served, client):
            await client.fetch(exchange(served, deadline_ms=500))
            head = served.requests[0].lower()
            left_ms = int(head.split(b'deadline-ms: ')[1].split(b'\r')[0])
            self.assertTrue(400 <= left_ms <= 500, left_ms)
