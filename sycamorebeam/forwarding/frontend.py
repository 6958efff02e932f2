"""The HTTP server for callers: decodes requests, sends answers."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from aiohttp import web

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import caller_bodies
from sycamorebeam.forwarding import forwarder
from sycamorebeam.forwarding import request_memory
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding.input_account import account as accounts
from sycamorebeam.forwarding.input_account import caller_connections
from sycamorebeam.forwarding.input_account import limits as caller_limits

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Decoder(Protocol):
    """Decodes callers' requests."""

    def __call__(
        self,
        *,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        arrived_ms: int,
    ) -> requests.CallerRequest:
        """Return a request. Raises ValueError when it is malformed."""
        ...


class HttpReply:
    """Sends the answer to one caller over HTTP."""

    def __init__(
        self,
        http: web.BaseRequest,
        should_close: Callable[[], bool],
        account: accounts.InputAccount | None = None,
    ) -> None:
        self._http = http
        self._should_close = should_close
        self._account = account
        self.response: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the caller may have received a part of an answer."""
        return self.response is not None

    async def begin(self, head: requests.AnswerHead) -> None:
        """Begin a streamed answer."""
        response = web.StreamResponse(status=head.status)
        _copy_headers(response, head)
        response.enable_chunked_encoding()
        # Targets abort answers that aren't read for some seconds.
        if self._account is not None and self._http.transport is not None:
            self._http.transport.set_write_buffer_limits(
                high=caller_connections.UNREAD_STREAM_BYTES
            )
        await self._prepare(response)

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        assert self.response is not None
        if self._account is not None:
            self._account.add(len(data))
        await self.response.write(data)

    async def end(self) -> None:
        """End a streamed answer as complete."""
        assert self.response is not None
        if self._account is not None and self._http.transport is not None:
            self._http.transport.set_write_buffer_limits()
        await self.response.write_eof()

    async def send_whole(self, head: requests.AnswerHead, body: bytes) -> None:
        """Send a complete answer of a target."""
        if self._account is not None:
            self._account.add(len(body))
        response = web.Response(status=head.status, body=body)
        _copy_headers(response, head)
        await self._prepare(response)
        await response.write_eof()
        # aiohttp keeps the response until the connection's next request.
        response.body = None

    async def refuse(self, refusal: requests.Refusal) -> None:
        """Send an answer that this instance generated."""
        response = web.Response(
            status=refusal.status, text=f'{refusal.reason}\n'
        )
        if refusal.retry_after_ms is not None:
            seconds = max(0.0, refusal.retry_after_ms) / 1000
            response.headers['Retry-After'] = f'{seconds:.3f}'
        await self._prepare(response)
        await response.write_eof()

    def close_afterwards(self) -> None:
        """Close the connection after the answer."""
        self._should_close = lambda: True

    def abort(self) -> None:
        """Abort the connection, so that the answer cannot look complete."""
        if self._http.transport is not None:
            self._http.transport.abort()

    async def _prepare(self, response: web.StreamResponse) -> None:
        if self._should_close():
            response.force_close()
        self.response = response
        await response.prepare(self._http)


class Frontend:
    """Serves callers and counts the requests in progress."""

    def __init__(
        self,
        clock: clocks.Clock,
        request_forwarder: forwarder.Forwarder,
        decode: Decoder,
        memory: request_memory.RequestMemory,
        account: accounts.InputAccount | None = None,
        limits: Callable[[], caller_limits.Limits] = caller_limits.Limits,
    ) -> None:
        self._clock = clock
        self._forwarder = request_forwarder
        self._decode = decode
        self._memory = memory
        self._account = account
        self._limits = limits
        self._in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._closes_connections = False
        self._refuses_requests = False

    @property
    def in_progress(self) -> int:
        """How many requests are in progress."""
        return self._in_progress

    def disable_keep_alive(self) -> None:
        """Close each caller's connection after its next answer."""
        self._closes_connections = True

    def begin_stop(self, stop_ms: int) -> None:
        """End all requests by ``stop_ms``, on the monotonic clock.

        New ones that may take longer are refused, and connections are closed
        after their answers.
        """
        self.disable_keep_alive()
        self._forwarder.begin_stop(stop_ms)

    def refuse_new_requests(self) -> None:
        """Refuse new requests, since there is no time left to serve them."""
        self._refuses_requests = True

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self._in_progress += 1
        self._idle.clear()
        try:
            return await self._handle(http)
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        reply = HttpReply(
            http, lambda: self._closes_connections, self._account
        )
        try:
            await self._answer(http, reply)
        except ConnectionError:
            telemetry.log_event('caller_gone', path=http.path)
        if reply.response is None:
            # The caller has gone, or the process is stopping.
            reply.abort()
            return web.Response(status=500)
        return reply.response

    async def _answer(self, http: web.BaseRequest, reply: HttpReply) -> None:
        arrived_ms = self._clock.monotonic_ms()
        if 'Expect' in http.headers and http.transport is not None:
            http.transport.write(CONTINUE)
        share = self._memory.share()
        entry = caller_connections.entry_of(http)
        if entry is not None:
            entry.share = share
        try:
            body = await self._read_body(http, share)
            if isinstance(body, requests.Refusal):
                telemetry.log_event(
                    'body_refused',
                    'WARNING',
                    path=http.path,
                    status=body.status,
                    reason=body.reason,
                )
                # The rest of the body can't be told from a next request.
                reply.close_afterwards()
                await reply.refuse(body)
                return
            if entry is not None and self._account is not None:
                entry.is_passed_on = True
                self._account.add(accounts.PASSED_ON_BYTES)
            await self._answer_whole(http, body, arrived_ms, reply)
        finally:
            share.release()
            if entry is not None:
                entry.share = None
                entry.is_passed_on = False
                entry.served_requests += 1

    async def _read_body(
        self, http: web.BaseRequest, share: request_memory.Share
    ) -> bytes | requests.Refusal:
        account = self._account
        if account is not None and account.is_full:
            return requests.unavailable(
                'no memory is left for the request',
                caller_bodies.NO_MEMORY_RETRY_MS,
            )
        return await caller_bodies.read(
            http,
            share,
            self._limits().body_bytes,
            (lambda size: None) if account is None else account.make_room,
        )

    async def _answer_whole(
        self,
        http: web.BaseRequest,
        body: bytes,
        arrived_ms: int,
        reply: HttpReply,
    ) -> None:
        """Answer a request whose body has been read."""
        try:
            request = self._decode(
                method=http.method,
                path=http.raw_path,
                headers=[
                    (name.decode('latin-1'), value.decode('latin-1'))
                    for name, value in http.raw_headers
                ],
                body=body,
                arrived_ms=arrived_ms,
            )
        except ValueError as error:
            refusal = requests.Refusal(status=400, reason=str(error))
            await reply.refuse(refusal)
            return
        if self._refuses_requests:
            await reply.refuse(
                requests.unavailable(
                    forwarder.STOPPING_REASON, forwarder.STOPPING_RETRY_MS
                )
            )
            return
        await self._forwarder.handle(request, reply)


def _copy_headers(
    response: web.StreamResponse, head: requests.AnswerHead
) -> None:
    for name, value in head.headers:
        response.headers.add(name, value)
