"""Connections of callers that are counted in the account of input."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from sycamorebeam.forwarding import caller_server
from sycamorebeam.forwarding.input_account import account as accounts
from sycamorebeam.forwarding.input_account import limits as caller_limits

KEEPALIVE_MARGIN_S = 1.0  # callers may reuse connections up to the limit
HEADERS_TOO_LARGE = 431
TOO_MANY_HEADERS = 'Too many headers received'
TIMED_OUT = (
    b'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)
# A read may have the head of a request after the rest of an earlier one.
HEAD_SLACK_BYTES = 4 * 1024
# Of a stream, which is read from its target while its caller reads slowly.
UNREAD_STREAM_BYTES = 256 * 1024
# An answer of which less is taken for this long isn't read.
UNREAD_MS = 1_000


class CountedRequestHandler(caller_server.BoundedRequestHandler):
    """Counts what its connection holds, and ends it when it is overdue."""

    entry: accounts.Entry

    def __init__(
        self,
        manager: web.Server,
        *,
        account: accounts.InputAccount,
        limits: Callable[[], caller_limits.Limits],
        **options: Any,
    ) -> None:
        self._account = account
        self._limits = limits
        current = limits()
        super().__init__(
            manager,
            max_line_size=current.header_bytes,
            max_field_size=current.header_bytes,
            keepalive_timeout=current.idle_timeout_ms / 1000
            + KEEPALIVE_MARGIN_S,
            **options,
        )
        self._head_bytes: int | None = None
        self._head_ms: int | None = None
        self._seen_bytes = 0
        self._seen_ms: int | None = None
        self._taken_bytes: int | None = None
        self._taken_ms = 0
        self.is_unread = False

    @property
    def held_bytes(self) -> int:
        """What the connection holds, without the share of its request."""
        held = accounts.CONNECTION_BYTES + len(self._unparsed)
        requests = len(self._messages) + self._request_in_progress
        held += requests * accounts.REQUEST_BYTES
        if self._head_bytes is not None:
            held += self.entry.received_bytes - self._head_bytes
        else:
            # The payload of a request without a body has no size.
            held += getattr(self._body, '_size', 0)
        if self.transport is not None:
            held += self.transport.get_write_buffer_size()
        return held

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self.entry = self._account.open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop counting the connection."""
        self._account.remove(self.entry)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count received bytes, then parse them."""
        if data:
            entry = self.entry
            if self._head_bytes is None and self._may_begin_head:
                self._head_bytes = entry.received_bytes
            entry.received_bytes += len(data)
            self._account.add(len(data))
            if entry.is_closing:
                return
        super().data_received(data)
        if data and self._head_bytes is not None:
            self._check_head()

    def overdue(self, now_ms: int) -> accounts.Reason | None:
        """Return why the connection is to be closed, None if it isn't."""
        limits = self._limits()
        self._note_unread(now_ms)
        if self.is_unread and (
            now_ms - self._taken_ms >= limits.idle_timeout_ms
        ):
            return accounts.Reason.UNREAD_ANSWER
        if self._unparsed or self._reading_paused:
            # The caller waits for this instance.
            self._seen_ms = self._head_ms = None
            return None
        if self._head_bytes is not None:
            if self._head_ms is None:
                self._head_ms = now_ms
            if now_ms - self._head_ms >= limits.header_timeout_ms:
                return accounts.Reason.SLOW_HEAD
            return None
        self._head_ms = None
        if self._body is None or self._body.is_eof():
            self._seen_ms = None
            return None
        received = self.entry.received_bytes
        if self._seen_ms is None or received != self._seen_bytes:
            self._seen_bytes, self._seen_ms = received, now_ms
        if now_ms - self._seen_ms >= limits.idle_timeout_ms:
            return accounts.Reason.SLOW_BODY
        return None

    def close_for(self, reason: accounts.Reason) -> None:
        """Close the connection; nothing of an open request has run."""
        transport = self.transport
        if transport is None:
            return
        if reason is accounts.Reason.SLOW_HEAD:
            transport.write(TIMED_OUT)
            self.force_close()
            return
        self.force_close()
        transport.abort()

    @property
    def _may_begin_head(self) -> bool:
        return not self._messages and (
            self._body is None or self._body.is_eof()
        )

    def _note_new_message(self) -> None:
        is_new = self._noted_requests != self._request_count
        overhead_bytes = self._overhead_bytes
        new_requests = self._request_count - self._noted_requests
        super()._note_new_message()
        if not is_new:
            return
        self._head_bytes = None
        self._account.add(new_requests * accounts.REQUEST_BYTES)
        limit = self._limits().header_bytes
        message = self._messages[-1][0]
        if overhead_bytes > limit and not isinstance(
            message, web_protocol._ErrInfo
        ):
            size = sum(
                len(name) + len(value) + 4
                for name, value in message.raw_headers
            )
            if size > limit:
                self._refuse_head(f'{size} bytes of headers')

    def _check_head(self) -> None:
        """Refuse a head that is too large before it has ended."""
        assert self._head_bytes is not None
        size = self.entry.received_bytes - self._head_bytes
        size -= len(self._unparsed)
        if size > self._limits().header_bytes + HEAD_SLACK_BYTES:
            self._request_count += 1
            self._noted_requests = self._request_count
            self._head_bytes = None
            self._messages.append(
                (_error('the head is too large'), streams.EMPTY_PAYLOAD)
            )
            self._is_ended = True
            self._drop_unparsed()
            if self._waiter is not None and not self._waiter.done():
                self._waiter.set_result(None)

    def _refuse_head(self, message: str) -> None:
        self._messages[-1] = (_error(message), streams.EMPTY_PAYLOAD)
        self._start_message(None)
        self._is_ended = True
        self._drop_unparsed()

    def _make_error_handler(
        self, err_info: web_protocol._ErrInfo
    ) -> Callable[[web.BaseRequest], Any]:
        if not _is_too_large(err_info):
            return super()._make_error_handler(err_info)

        async def refuse(request: web.BaseRequest) -> web.StreamResponse:
            response = web.Response(
                status=HEADERS_TOO_LARGE, text='the headers are too large\n'
            )
            response.force_close()
            return response

        return refuse

    def _note_unread(self, now_ms: int) -> None:
        """Note whether the caller takes what was sent to it."""
        transport = self.transport
        waiting = 0 if transport is None else transport.get_write_buffer_size()
        if not waiting:
            self._taken_bytes = None
            self.is_unread = False
            return
        request = self._current_request
        sent = 0 if request is None else request.writer.output_size
        taken = sent - waiting
        if self._taken_bytes is None or (
            taken - self._taken_bytes >= accounts.SLOW_BYTES_PER_S
            or taken < self._taken_bytes
        ):
            self._taken_bytes = taken
            self._taken_ms = now_ms
        self.is_unread = now_ms - self._taken_ms >= UNREAD_MS


class CountedServer(caller_server.CallerServer):
    """Serves each connection by a ``CountedRequestHandler``."""

    def __call__(self) -> web_protocol.RequestHandler:
        """Return the protocol of a new connection."""
        return CountedRequestHandler(self, loop=self._loop, **self._kwargs)


def entry_of(http: web.BaseRequest) -> accounts.Entry | None:
    """Return the entry of a request's connection, None if not counted."""
    protocol = http.protocol
    if isinstance(protocol, CountedRequestHandler):
        return protocol.entry
    return None


def _error(message: str) -> web_protocol._ErrInfo:
    return web_protocol._ErrInfo(
        status=HEADERS_TOO_LARGE,
        exc=aiohttp.ClientPayloadError(message),
        message=message,
    )


def _is_too_large(err_info: web_protocol._ErrInfo) -> bool:
    return (
        err_info.status == HEADERS_TOO_LARGE
        or isinstance(err_info.exc, http_exceptions.LineTooLong)
        or err_info.message == TOO_MANY_HEADERS
    )
