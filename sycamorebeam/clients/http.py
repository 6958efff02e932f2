"""HTTP exchanges with targets: one request on one connection, no retries.

Every exchange ends as a reply or as a failure that says whether the target
may have received anything. A connection that is not read to the end of its
answer is closed, never used again.
"""

import asyncio
import contextvars
import enum
from typing import Any

import aiohttp
import attrs

from sycamorebeam import clock as clock_module
from sycamorebeam.clients import ports
from sycamorebeam.clients import reasons

READ_BYTES = 65_536
SUSPECTS_KEPT = 4_096
NO_CEILING_S = float('inf')
# Spaces, version and line end of a request line, and the empty line after
# the headers.
LINE_BYTES = 14


@attrs.frozen(kw_only=True)
class HttpLimits:
    """Bounds on connections and answers.

    ``connections`` bounds all kept-alive connections and
    ``connections_per_target`` those to one address; ``fresh_connections``
    bounds the connections that serve one exchange each. A connection that
    was idle for ``idle_age_ms`` is not used again.
    """

    connections: int = 1_024
    connections_per_target: int = 128
    fresh_connections: int = 512
    idle_age_ms: int = 4_000
    connect_timeout_ms: int = 1_000
    queue_timeout_ms: int = 2_000
    answer_bytes: int = 8_388_608


class Lane(enum.Enum):
    """Which connection an exchange takes."""

    POOLED = 'pooled'
    FRESH = 'fresh'


@attrs.define(kw_only=True)
class Exchange:
    """One request, and what became of it on the wire.

    ``connected`` turns true right before the first byte is sent: an
    exchange that fails with it false sent nothing. ``sent_bytes`` and
    ``received_bytes`` count headers and bodies. Without ``silence_ms`` the
    answer may take until the deadline. ``before_send`` runs when the
    connection stands; when it raises, nothing is sent.
    """

    method: str
    address: str
    path: str
    deadline: clock_module.Deadline
    body: bytes | None = None
    lane: Lane = Lane.POOLED
    silence_ms: int | None = None
    before_send: ports.BeforeSend | None = None
    connected: bool = False
    silent: bool = False
    sent_bytes: int = 0
    received_bytes: int = 0


@attrs.frozen
class HttpReply:
    """A whole answer."""

    status: int
    body: bytes
    not_run: bool
    draining: bool
    request_id: str | None


@attrs.frozen
class HttpFailure:
    """No whole answer; ``sent`` says whether anything may have arrived."""

    reason: reasons.Reason
    sent: bool
    request_id: str | None = None


class HiddenRetryError(aiohttp.ClientError):
    """The library tried to send an exchange a second time."""


class AnswerTooLargeError(aiohttp.ClientError):
    """The answer has more bytes than the limit."""


FAILURES = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

_current: contextvars.ContextVar[Exchange] = contextvars.ContextVar('exchange')


class OneShotConnector(aiohttp.TCPConnector):
    """Gives each exchange one connection at most.

    The library sends a GET or DELETE again when a kept-alive connection
    drops; here the second try ends with HiddenRetryError.
    """

    async def connect(
        self, req: Any, traces: Any, timeout: Any
    ) -> aiohttp.connector.Connection:
        """Return a connection and note that the exchange has it."""
        exchange = _current.get()
        if exchange.connected:
            raise HiddenRetryError(f'{exchange.method} was sent before')
        connection = await super().connect(req, traces, timeout)
        if exchange.before_send is not None:
            _run_or_close(exchange.before_send, connection)
        exchange.connected = True
        exchange.sent_bytes += _head_bytes(req) + len(exchange.body or b'')
        return connection


class Http:
    """Sends exchanges over bounded sets of connections."""

    def __init__(self, clock: clock_module.Clock, limits: HttpLimits) -> None:
        self._clock = clock
        self._limits = limits
        self._sessions: dict[Lane, aiohttp.ClientSession] = {}
        self._suspects: dict[str, int] = {}
        self._silent_connections = 0
        self._closed = False

    @property
    def clock(self) -> clock_module.Clock:
        """The clock of its deadlines."""
        return self._clock

    @property
    def silent_connections(self) -> int:
        """How many connections went silent and were abandoned."""
        return self._silent_connections

    async def close(self) -> None:
        """Close all connections."""
        self._closed = True
        for session in self._sessions.values():
            await session.close()

    async def fetch(
        self, exchange: Exchange, scope: asyncio.Timeout | None = None
    ) -> HttpReply | HttpFailure:
        """Return the whole answer to ``exchange``, or how it failed.

        ``scope`` is a timeout, not yet entered, by which a watch can end
        the exchange before its deadline.
        """
        request_id = None
        try:
            async with scope or asyncio.timeout(None) as active:
                active.reschedule(self._deadline_s(exchange))
                response = await self.send(exchange)
                request_id = response.headers.get('Request-Id')
                try:
                    body = await self._read(exchange, response)
                finally:
                    response.close()
        except FAILURES as error:
            return self.failure(exchange, error, request_id)
        return _reply(response, body)

    async def send(self, exchange: Exchange) -> aiohttp.ClientResponse:
        """Send ``exchange`` and return the answer's head.

        The deadline is left to the caller, as is closing the response.
        Raises one of FAILURES, which ``failure`` turns into a value.
        """
        session = self._session(self._lane(exchange))
        token = _current.set(exchange)
        try:
            response = await session.request(
                exchange.method,
                f'http://{exchange.address}{exchange.path}',
                data=exchange.body,
                headers=self._headers(exchange),
                timeout=self._timeout(exchange),
                allow_redirects=False,
            )
        finally:
            _current.reset(token)
        exchange.received_bytes += sum(
            len(name) + len(value) + 4 for name, value in response.raw_headers
        )
        return response

    def failure(
        self,
        exchange: Exchange,
        error: BaseException,
        request_id: str | None = None,
    ) -> HttpFailure:
        """Return what ``error`` says about ``exchange``."""
        reason = _reason(exchange, error)
        if reason is reasons.Reason.SILENT:
            self._note_silent(exchange.address)
        return HttpFailure(reason, exchange.connected, request_id)

    async def _read(
        self, exchange: Exchange, response: aiohttp.ClientResponse
    ) -> bytes:
        chunks = []
        size_bytes = 0
        async for chunk in response.content.iter_chunked(READ_BYTES):
            size_bytes += len(chunk)
            if size_bytes > self._limits.answer_bytes:
                raise AnswerTooLargeError('the answer is too large')
            chunks.append(chunk)
        exchange.received_bytes += size_bytes
        return b''.join(chunks)

    def _lane(self, exchange: Exchange) -> Lane:
        until_ms = self._suspects.get(exchange.address)
        if until_ms is None:
            return exchange.lane
        if self._clock.monotonic_ms() < until_ms:
            return Lane.FRESH
        del self._suspects[exchange.address]
        return exchange.lane

    def _note_silent(self, address: str) -> None:
        # Idle connections to the same address may be silent as well, so
        # none is used until all that are idle now have aged out.
        self._silent_connections += 1
        while len(self._suspects) >= SUSPECTS_KEPT:
            self._suspects.pop(next(iter(self._suspects)))
        now_ms = self._clock.monotonic_ms()
        self._suspects[address] = now_ms + self._limits.idle_age_ms

    def _session(self, lane: Lane) -> aiohttp.ClientSession:
        if self._closed:
            raise aiohttp.ClientConnectionError('the client is closed')
        if lane not in self._sessions:
            self._sessions[lane] = aiohttp.ClientSession(
                connector=self._connector(lane),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                headers={'Accept-Encoding': 'identity'},
            )
        return self._sessions[lane]

    def _connector(self, lane: Lane) -> OneShotConnector:
        match lane:
            case Lane.POOLED:
                return OneShotConnector(
                    limit=self._limits.connections,
                    limit_per_host=self._limits.connections_per_target,
                    keepalive_timeout=self._limits.idle_age_ms / 1000,
                    timeout_ceil_threshold=NO_CEILING_S,
                )
            case Lane.FRESH:
                return OneShotConnector(
                    limit=self._limits.fresh_connections,
                    limit_per_host=self._limits.connections_per_target,
                    force_close=True,
                    timeout_ceil_threshold=NO_CEILING_S,
                )

    def _headers(self, exchange: Exchange) -> dict[str, str]:
        remaining_ms = exchange.deadline.remaining_ms(self._clock)
        headers = {'Deadline-Ms': str(remaining_ms)}
        if exchange.body is not None:
            headers['Content-Type'] = 'application/json'
        return headers

    def _timeout(self, exchange: Exchange) -> aiohttp.ClientTimeout:
        silence_ms = exchange.silence_ms
        return aiohttp.ClientTimeout(
            total=None,
            connect=self._limits.queue_timeout_ms / 1000,
            sock_connect=self._limits.connect_timeout_ms / 1000,
            sock_read=None if silence_ms is None else silence_ms / 1000,
            ceil_threshold=NO_CEILING_S,
        )

    def _deadline_s(self, exchange: Exchange) -> float:
        remaining_ms = exchange.deadline.remaining_ms(self._clock)
        return asyncio.get_running_loop().time() + remaining_ms / 1000


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


def _reply(response: aiohttp.ClientResponse, body: bytes) -> HttpReply:
    headers = response.headers
    return HttpReply(
        status=response.status,
        body=body,
        not_run=headers.get('Not-Run') == '1',
        draining=is_draining(response),
        request_id=headers.get('Request-Id'),
    )


def is_draining(response: aiohttp.ClientResponse) -> bool:
    """Return whether the target says that it is leaving."""
    return response.headers.get('Draining') == '1'


def _reason(exchange: Exchange, error: BaseException) -> reasons.Reason:
    if exchange.silent:
        return reasons.Reason.SILENT
    match error:
        case AnswerTooLargeError():
            return reasons.Reason.TOO_LARGE
        case aiohttp.SocketTimeoutError():
            return reasons.Reason.SILENT
        case aiohttp.ConnectionTimeoutError():
            return reasons.Reason.NO_FREE_CONNECTION
        case aiohttp.ClientConnectorError():
            return reasons.Reason.UNREACHABLE
        case aiohttp.ClientPayloadError():
            return reasons.Reason.ENDED_EARLY
        case TimeoutError():
            return reasons.Reason.DEADLINE
        case OSError() | HiddenRetryError() | aiohttp.ClientConnectionError():
            return reasons.Reason.CLOSED
        case _:
            return reasons.Reason.MALFORMED
