"""Connections to the address for other instances, counted as input."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import cast

from sycamorebeam.forwarding.input_account import account as accounts
from sycamorebeam.peering import peer_stream

Accept = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
# A stream has a task, a queue and a buffer of messages from its beginning.
STREAM_BYTES = 32 * 1024
# Instances are few. A crowd waits in the kernel until others were closed.
BACKLOG = 100
# A stream ends on its own when its handshake isn't done by then. Later, it is
# one of an instance, and is not closed.
HANDSHAKE_MS = peer_stream.HANDSHAKE_TIMEOUT_S * 1000
# Streams whose handshake is not done. All instances of a large fleet may
# connect within the same second after a start.
MAX_HANDSHAKES = 400


class Handshakes:
    """Counts the streams that are younger than their handshake may take."""

    def __init__(self) -> None:
        self._pending: set[CountedPeerProtocol] = set()

    def begin(self, protocol: 'CountedPeerProtocol') -> bool:
        """Count a stream that has begun; return whether it may go on."""
        if len(self._pending) >= MAX_HANDSHAKES:
            return False
        self._pending.add(protocol)
        return True

    def end(self, protocol: 'CountedPeerProtocol') -> None:
        """Stop counting a stream."""
        self._pending.discard(protocol)


class CountedPeerProtocol(asyncio.StreamReaderProtocol):
    """An inbound stream, which is counted from its first byte.

    Its task and buffers are created when something arrives, since instances
    send at once and a crowd may stay silent.
    """

    is_unread = False
    entry: accounts.Entry

    def __init__(
        self,
        account: accounts.InputAccount,
        handshakes: Handshakes,
        accept: Accept,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._account = account
        self._handshakes = handshakes
        self._has_begun = False
        self._reader: Any = asyncio.StreamReader(loop=loop)
        self._opened_transport: asyncio.Transport | None = None
        super().__init__(self._reader, accept, loop=loop)

    @property
    def held_bytes(self) -> int:
        """What the connection holds; StreamReader doesn't tell its size."""
        if not self._has_begun:
            return accounts.CONNECTION_BYTES
        held = STREAM_BYTES + len(self._reader._buffer)
        transport = self._opened_transport
        if transport is not None:
            held += transport.get_write_buffer_size()
        return held

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        # uvloop's transports are no subclasses of asyncio's.
        self._opened_transport = cast(asyncio.Transport, transport)
        self.entry = self._account.open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop counting the connection."""
        self._account.remove(self.entry)
        self._handshakes.end(self)
        self._opened_transport = None
        super().connection_lost(exc)

    def eof_received(self) -> bool | None:
        """Close a connection that ends before it has sent anything."""
        return super().eof_received() if self._has_begun else False

    def data_received(self, data: bytes) -> None:
        """Count received bytes, then pass them on."""
        self.entry.received_bytes += len(data)
        self._account.add(len(data))
        if not self._has_begun and not self.entry.is_closing:
            self._begin()
        if self._has_begun and not self.entry.is_closing:
            super().data_received(data)

    def overdue(self, now_ms: int) -> accounts.Reason | None:
        """Protect the stream of an instance; it has timeouts of its own."""
        if now_ms - self.entry.opened_ms <= HANDSHAKE_MS:
            return None
        if not self._has_begun:
            return accounts.Reason.SLOW_HEAD
        self._handshakes.end(self)
        self.entry.is_passed_on = True
        return None

    def close_for(self, reason: accounts.Reason) -> None:
        """Close the connection at once."""
        if self._opened_transport is not None:
            self._opened_transport.abort()

    def _begin(self) -> None:
        """Start the stream, unless too many are at their handshake."""
        transport = self._opened_transport
        if transport is None:
            return
        if not self._handshakes.begin(self):
            transport.abort()
            return
        self._has_begun = True
        self._account.add(STREAM_BYTES - accounts.CONNECTION_BYTES)
        super().connection_made(transport)


async def listen(
    account: accounts.InputAccount, accept: Accept, host: str, port: int
) -> asyncio.Server:
    """Serve the streams of other instances by ``accept``."""
    loop = asyncio.get_running_loop()
    handshakes = Handshakes()
    return await loop.create_server(
        lambda: CountedPeerProtocol(account, handshakes, accept),
        host,
        port,
        backlog=BACKLOG,
    )
