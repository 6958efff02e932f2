"""Connections of which each exchange gets one at most."""

import contextvars
from typing import Any
from typing import Protocol

import aiohttp

from sycamorebeam.clients import bounded
from sycamorebeam.clients import ports

# Spaces, version and line end of a request line, and the empty line after
# the headers.
LINE_BYTES = 14


class OutgoingExchange(Protocol):
    """An exchange as far as its connection is concerned."""

    body: bytes | None
    before_send: ports.BeforeSend | None
    connected: bool
    method: str
    transport: Any
    sent_bytes: int


# The exchange that the running task is about to send.
current_exchange: contextvars.ContextVar[OutgoingExchange] = (
    contextvars.ContextVar('exchange')
)


class ConnectionProtocol(bounded.BoundedProtocol):
    """Remembers why its connection was lost.

    The library takes the end of a connection as the end of an answer that
    has no length, also when the connection was reset.
    """

    connection_error: BaseException | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the cause and go on as the library does."""
        self.connection_error = exc
        super().connection_lost(exc)


class HiddenRetryError(aiohttp.ClientConnectionError):
    """The library tried to send an exchange a second time."""


class OneShotConnector(bounded.BoundedConnector):
    """Gives each exchange one connection at most.

    The library sends a GET or DELETE again when a kept-alive connection
    drops; here the second try ends with HiddenRetryError.
    """

    def _new_protocol(self) -> ConnectionProtocol:
        return ConnectionProtocol(self._loop)

    async def connect(
        self, req: Any, traces: Any, timeout: Any
    ) -> aiohttp.connector.Connection:
        """Return a connection and note that the exchange has it."""
        exchange = current_exchange.get()
        if exchange.connected:
            raise HiddenRetryError(f'{exchange.method} was sent before')
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
        """Return a connection on which no unread answer waits."""
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
