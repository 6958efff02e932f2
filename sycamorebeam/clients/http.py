"""HTTP exchanges with targets: one request on one connection, no retries.

Every exchange ends in a reply, or in a failure that says whether the target
may have received anything. A connection whose answer is not read to the end
is closed and not reused.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import attrs

from sycamorebeam import clocks
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import oneshot
from sycamorebeam.clients import reasons

READ_BYTES = 65_536
MAX_SUSPENDED_ADDRESSES = 4_096
# Targets ignore them, and a link may be billed by volume.
UNNEEDED_HEADERS = ('Accept', 'User-Agent')
NO_ROUNDING_THRESHOLD_S = float('inf')


@attrs.frozen(kw_only=True)
class HttpLimits:
    """Bounds on connections and answers.

    ``connections`` bounds all kept-alive connections,
    ``connections_per_target`` the connections to one address, and
    ``fresh_connections`` those that serve a single exchange. A connection
    that was idle for ``idle_age_ms`` is not reused.
    """

    connections: int = 2_048
    connections_per_target: int = 512
    fresh_connections: int = 512
    idle_age_ms: int = 4_000
    connect_timeout_ms: int = 1_000
    queue_timeout_ms: int = 2_000
    answer_bytes: int = 8_388_608


OnBytes = Callable[[str, int, int], None]


class HttpClient:
    """Sends exchanges over a bounded number of connections.

    ``on_bytes`` is called with the address, sent and received bytes of each
    exchange that got a connection, including failed ones.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        limits: HttpLimits,
        on_bytes: OnBytes | None = None,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._on_bytes = on_bytes
        self._sessions: dict[
            exchanges.ConnectionKind, aiohttp.ClientSession
        ] = {}
        self._reuse_suspended_until_ms: dict[str, int] = {}
        # Keyed by silence_ms, which has few distinct values.
        self._timeouts: dict[int | None, aiohttp.ClientTimeout] = {}
        self._silent_connections = 0
        self._closed = False

    @property
    def clock(self) -> clocks.Clock:
        """The clock that deadlines are measured by."""
        return self._clock

    @property
    def limits(self) -> HttpLimits:
        """The bounds on connections and answers."""
        return self._limits

    @property
    def silent_connections(self) -> int:
        """The number of connections closed because they went silent."""
        return self._silent_connections

    async def close(self) -> None:
        """Close all connections."""
        self._closed = True
        for session in self._sessions.values():
            await session.close()

    async def fetch(
        self,
        exchange: exchanges.Exchange,
        timeout: asyncio.Timeout | None = None,
    ) -> exchanges.HttpReply | exchanges.HttpFailure:
        """Return the complete answer to ``exchange``, or how it failed.

        ``timeout`` must not be entered yet. By rescheduling it, a watch
        ends the exchange before its deadline.
        """
        request_id = None
        try:
            async with timeout or asyncio.timeout(None) as active:
                active.reschedule(self._deadline_s(exchange))
                response = await self.send(exchange)
                request_id = response.headers.get('Request-Id')
                try:
                    body = await self._read(exchange, response)
                finally:
                    response.close()
        except exchanges.FAILURES as error:
            return self.failure(exchange, error, request_id)
        finally:
            self.report_bytes(exchange)
        return exchanges.reply_of(response, body)

    def report_bytes(self, exchange: exchanges.Exchange) -> None:
        """Pass the bytes of an ended exchange to ``on_bytes``."""
        if self._on_bytes is None or not exchange.connected:
            return
        self._on_bytes(
            exchange.address, exchange.sent_bytes, exchange.received_bytes
        )

    async def send(
        self, exchange: exchanges.Exchange
    ) -> aiohttp.ClientResponse:
        """Send ``exchange`` and return the response with its body unread.

        The caller enforces the deadline, closes the response and calls
        ``report_bytes``.
        Raises one of exchanges.FAILURES; ``failure`` converts it to a value.
        """
        session = self._session(self._connection_kind(exchange))
        token = oneshot.current_exchange.set(exchange)
        try:
            response = await session.request(
                exchange.method,
                f'http://{exchange.address}{exchange.path}',
                data=exchange.body,
                headers=self._headers(exchange),
                timeout=self._client_timeout(exchange),
                allow_redirects=False,
            )
        finally:
            oneshot.current_exchange.reset(token)
        exchange.received_bytes += sum(
            len(name) + len(value) + 4 for name, value in response.raw_headers
        )
        return response

    def failure(
        self,
        exchange: exchanges.Exchange,
        error: BaseException,
        request_id: str | None = None,
    ) -> exchanges.HttpFailure:
        """Return ``error`` as the failure of ``exchange``."""
        reason = exchanges.reason_of(exchange, error)
        if reason is reasons.Reason.SILENT:
            self._suspend_reuse(exchange.address)
        return exchanges.HttpFailure(reason, exchange.connected, request_id)

    async def _read(
        self, exchange: exchanges.Exchange, response: aiohttp.ClientResponse
    ) -> bytes:
        chunks = []
        size_bytes = 0
        async for chunk in response.content.iter_chunked(READ_BYTES):
            size_bytes += len(chunk)
            exchange.received_bytes += len(chunk)
            if size_bytes > self._limits.answer_bytes:
                raise exchanges.AnswerTooLargeError('the answer is too large')
            chunks.append(chunk)
        return b''.join(chunks)

    def _connection_kind(
        self, exchange: exchanges.Exchange
    ) -> exchanges.ConnectionKind:
        until_ms = self._reuse_suspended_until_ms.get(exchange.address)
        if until_ms is None:
            return exchange.connection_kind
        if self._clock.monotonic_ms() < until_ms:
            return exchanges.ConnectionKind.FRESH
        del self._reuse_suspended_until_ms[exchange.address]
        return exchange.connection_kind

    def _suspend_reuse(self, address: str) -> None:
        # Idle connections to the same address may be silent as well, so
        # none is reused until all that are idle now have aged out.
        self._silent_connections += 1
        while len(self._reuse_suspended_until_ms) >= MAX_SUSPENDED_ADDRESSES:
            self._reuse_suspended_until_ms.pop(
                next(iter(self._reuse_suspended_until_ms))
            )
        now_ms = self._clock.monotonic_ms()
        self._reuse_suspended_until_ms[address] = (
            now_ms + self._limits.idle_age_ms
        )

    def _session(
        self, connection_kind: exchanges.ConnectionKind
    ) -> aiohttp.ClientSession:
        if self._closed:
            raise aiohttp.ClientConnectionError('the client is closed')
        if connection_kind not in self._sessions:
            self._sessions[connection_kind] = aiohttp.ClientSession(
                connector=self._connector(connection_kind),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                headers={'Accept-Encoding': 'identity'},
                skip_auto_headers=UNNEEDED_HEADERS,
            )
        return self._sessions[connection_kind]

    def _connector(
        self, connection_kind: exchanges.ConnectionKind
    ) -> oneshot.OneShotConnector:
        match connection_kind:
            case exchanges.ConnectionKind.POOLED:
                return oneshot.OneShotConnector(
                    limit=self._limits.connections,
                    limit_per_host=self._limits.connections_per_target,
                    keepalive_timeout=self._limits.idle_age_ms / 1000,
                    timeout_ceil_threshold=NO_ROUNDING_THRESHOLD_S,
                )
            case exchanges.ConnectionKind.FRESH:
                return oneshot.OneShotConnector(
                    limit=self._limits.fresh_connections,
                    limit_per_host=self._limits.connections_per_target,
                    force_close=True,
                    timeout_ceil_threshold=NO_ROUNDING_THRESHOLD_S,
                )

    def _headers(self, exchange: exchanges.Exchange) -> dict[str, str]:
        remaining_ms = exchange.deadline.remaining_ms(self._clock)
        headers = {'Deadline-Ms': str(remaining_ms)}
        if exchange.body is not None:
            headers['Content-Type'] = 'application/json'
        return headers

    def _client_timeout(
        self, exchange: exchanges.Exchange
    ) -> aiohttp.ClientTimeout:
        silence_ms = exchange.silence_ms
        timeout = self._timeouts.get(silence_ms)
        if timeout is None:
            timeout = self._new_client_timeout(silence_ms)
            self._timeouts[silence_ms] = timeout
        return timeout

    def _new_client_timeout(
        self, silence_ms: int | None
    ) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=None,
            connect=self._limits.queue_timeout_ms / 1000,
            sock_connect=self._limits.connect_timeout_ms / 1000,
            sock_read=None if silence_ms is None else silence_ms / 1000,
            ceil_threshold=NO_ROUNDING_THRESHOLD_S,
        )

    def _deadline_s(self, exchange: exchanges.Exchange) -> float:
        remaining_ms = exchange.deadline.remaining_ms(self._clock)
        return asyncio.get_running_loop().time() + remaining_ms / 1000
