"""Connections for exchanges that must be sent at most once."""

import contextvars
from typing import Any
from typing import Protocol

import aiohttp

from sycamorebeam.clients import bounded
from sycamorebeam.clients import ports

# Spaces, version and line end of the request line, and the empty line after
# the headers.
LINE_BYTES = 14


class OutgoingExchange(Protocol):
    """The part of an exchange that a connection reads and updates."""

    body: bytes | None
    before_send: ports.BeforeSend | None
    connected: bool
    method: str
    transport: Any
    sent_bytes: int


# The exchange that the current task is about to send.
current_exchange: contextvars.ContextVar[OutgoingExchange] = (
    contextvars.ContextVar('exchange')
)


class HiddenRetryError(aiohttp.ClientConnectionError):
    """aiohttp tried to send an exchange a second time."""


class OneShotConnector(bounded.BoundedConnector):
    """Gives each exchange at most one connection.

    aiohttp retries GET and DELETE when a kept-alive connection drops; here
    the second connect raises HiddenRetryError.
    """

    async def connect(
        self, req: Any, traces: Any, timeout: Any
    ) -> aiohttp.connector.Connection:
        """Return a connection and mark the exchange as connected."""
        exchange = current_exchange.get()
        if exchange.connected:
            raise HiddenRetryError(f'{exchange.method} request already sent')
        connection = await self._connect_without_unread_data(
            req, traces, timeout
        )
        if exchange.before_send is not None:
            _run_or_close(exchange.before_send, connection)
        exchange.connected = True
        exchange.transport = connection.transport
        exchange.sent_bytes += _head_bytes(req) + len(exchange.body or b'')
        return connection

    async def _connect_without_unread_data(
        self, req: Any, traces: Any, timeout: Any
    ) -> aiohttp.connector.Connection:
        """Return a connection without an unread answer."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                return connection
            connection.close()


def _run_or_close(
    before_send: ports.BeforeSend, connection: aiohttp.connector.Connection
) -> None:
    try:
        before_send()
    except BaseException:
        connection.close()
        raise


def _head_bytes(request: Any) -> int:
    size = len(request.method) + len(request.url.raw_path_qs) + LINE_BYTES
    for name, value in request.headers.items():
        size += len(name) + len(value) + 4
    return size
