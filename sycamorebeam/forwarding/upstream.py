"""HTTP exchanges with targets, each on a connection of its own.

A connection that serves one exchange can neither fail unnoticed while idle
nor carry an answer that belongs to an earlier exchange.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import socket
from typing import Any

import aiohttp
import attrs
import yarl

from sycamorebeam import checking
from sycamorebeam.clients import oneshot
from sycamorebeam.forwarding import request_memory

# A few round trips between regions. A lost SYN is resent only after a second;
# another target answers sooner.
CONNECT_TIMEOUT_MS = 300
# A target that vanishes without a FIN is detected after idle + 2 probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2_500
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# An answer that is not taken yet fills twice this before its connection is
# not read any more.
READ_BUFFER_BYTES = 64 * 1024
_NO_CEILING_S = float('inf')
_AUTOMATIC_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)


class NotSentError(Exception):
    """Nothing of the request reached the target."""


class BrokenError(Exception):
    """The exchange failed after the request was sent; it may have run."""


@attrs.define
class _PendingExchange:
    method: str
    body: bytes | None
    before_send: Callable[[], None] | None
    connected: bool = False
    transport: Any = None
    sent_bytes: int = 0

    def release(self) -> None:
        """Drop what the exchange refers to, since it is over."""
        self.body = None
        self.before_send = None
        self.transport = None


class Answer:
    """A target's answer, whose body is read as it arrives."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        share: request_memory.Share,
    ) -> None:
        self._response = response
        self._share = share

    @property
    def status(self) -> int:
        """The status code."""
        return self._response.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers as the target sent them, in order."""
        return tuple(
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in self._response.raw_headers
        )

    @property
    def has_length(self) -> bool:
        """Whether the head has the length of the body."""
        return 'Content-Length' in self._response.headers

    @property
    def is_delimited_by_close(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return (
            not self.has_length
            and 'Transfer-Encoding' not in self._response.headers
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises BrokenError when the body is incomplete.
        """
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise BrokenError(
                f'reading the answer failed: {error!r}'
            ) from error

    def keep(self, size: int) -> None:
        """Count this many bytes as kept until the answer is closed.

        Raises BrokenError when no memory is left for them.
        """
        try:
            self._share.resize(size)
        except request_memory.NoMemoryLeftError as error:
            raise BrokenError(f'no memory is left: {error}') from error

    async def read_body(self) -> bytes:
        """Return the body. Raises BrokenError if incomplete or too large."""
        parts = []
        size = 0
        async for chunk in self.chunks():
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise BrokenError('the answer is too large')
            self.keep(size)
        return b''.join(parts)

    def close(self) -> None:
        """Close the connection, even if the answer was not read."""
        self._response.close()
        self._share.release()


class Upstream:
    """Sends requests to targets, each at most once."""

    def __init__(
        self, max_connections: int, memory: request_memory.RequestMemory
    ) -> None:
        self._max_connections = max_connections
        self._memory = memory
        self._session: aiohttp.ClientSession | None = None
        self._timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_MS / 1000,
            ceil_threshold=_NO_CEILING_S,
        )

    @property
    def memory(self) -> request_memory.RequestMemory:
        """What the bodies of answers are counted in."""
        return self._memory

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def open(
        self,
        address: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes | None,
        before_send: Callable[[], None] | None = None,
    ) -> Answer:
        """Send a request and return the answer once its head has arrived.

        ``before_send`` is called once the connection is open; if it raises,
        nothing is sent. Raises NotSentError and BrokenError.
        """
        exchange = _PendingExchange(method, body, before_send)
        token = oneshot.current_exchange.set(exchange)
        try:
            response = await self._open_session().request(
                method,
                yarl.URL(f'http://{address}{path}', encoded=True),
                data=body,
                headers=headers,
                timeout=self._timeout,
                allow_redirects=False,
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            error_type = BrokenError if exchange.connected else NotSentError
            raise error_type(f'{address}: {error!r}') from error
        finally:
            oneshot.current_exchange.reset(token)
            # The connection's context refers to the exchange.
            exchange.release()
        return Answer(response, self._memory.share())

    async def accepts_connections(self, address: str) -> bool:
        """Return whether a server accepts a new connection in time."""
        host, port = checking.split_address(address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                _, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=oneshot.OneShotConnector(
                    limit=self._max_connections,
                    force_close=True,
                    timeout_ceil_threshold=_NO_CEILING_S,
                    socket_factory=_new_socket,
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                read_bufsize=READ_BUFFER_BYTES,
                auto_decompress=False,
                skip_auto_headers=_AUTOMATIC_HEADERS,
            )
        return self._session


def _new_socket(address_info: Any) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return opened
