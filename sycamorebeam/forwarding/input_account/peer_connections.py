"""Connections to the address for other instances, counted as input."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

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


class CountedPeerProtocol(asyncio.StreamReaderProtocol):
    """An inbound stream, which is counted from its first byte."""

    is_unread = False
    entry: accounts.Entry

    def __init__(self, account: accounts.InputAccount, accept: Accept) -> None:
        loop = asyncio.get_running_loop()
        self._account = account
        self._reader: Any = asyncio.StreamReader(loop=loop)
        self._opened_transport: asyncio.Transport | None = None
        super().__init__(self._reader, accept, loop=loop)

    @property
    def held_bytes(self) -> int:
        """What the connection holds; StreamReader doesn't tell its size."""
        held = STREAM_BYTES + len(self._reader._buffer)
        transport = self._opened_transport
        if transport is not None:
            held += transport.get_write_buffer_size()
        return held

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        self._opened_transport = transport
        self.entry = self._account.open(self)
        self._account.add(STREAM_BYTES - accounts.CONNECTION_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop counting the connection."""
        self._account.remove(self.entry)
        self._opened_transport = None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count received bytes, then pass them on."""
        self.entry.received_bytes += len(data)
        self._account.add(len(data))
        if not self.entry.is_closing:
            super().data_received(data)

    def overdue(self, now_ms: int) -> accounts.Reason | None:
        """Protect the stream of an instance; it has timeouts of its own."""
        if now_ms - self.entry.opened_ms > HANDSHAKE_MS:
            self.entry.is_passed_on = True
        return None

    def close_for(self, reason: accounts.Reason) -> None:
        """Close the connection at once."""
        if self._opened_transport is not None:
            self._opened_transport.abort()


async def listen(
    account: accounts.InputAccount, accept: Accept, host: str, port: int
) -> asyncio.Server:
    """Serve the streams of other instances by ``accept``."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CountedPeerProtocol(account, accept),
        host,
        port,
        backlog=BACKLOG,
    )
