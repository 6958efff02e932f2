"""HTTP connections that accept only sound answers of a bounded overhead.

A faulty server may send bytes outside of bodies until the client closes:
interim heads, empty lines, chunks that are nearly all framing. aiohttp would
read them until the deadline. It also accepts heads that are not HTTP/1.1.
"""

import asyncio
from typing import Any

import aiohttp
from aiohttp import client_proto

from sycamorebeam import telemetry
from sycamorebeam.clients import answer_heads
from sycamorebeam.clients import sliced_input

# Heads with status 1xx in one answer; servers send one or a few.
MAX_INTERIM_HEADS = 64


class ExcessOverheadError(aiohttp.ClientPayloadError):
    """An answer exceeds the limit on bytes or heads outside its body."""


class ConnectionResetDuringBodyError(aiohttp.ClientPayloadError):
    """The connection was lost with an error before the body had ended."""


class BoundedProtocol(sliced_input.SlicedInput, client_proto.ResponseHandler):
    """Ends answers that are malformed, reset or nearly all overhead."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._interim_heads = 0
        self._heads = answer_heads.HeadChecker()

    def set_response_params(self, **params: Any) -> None:
        """Reset what was counted for the next answer on this connection."""
        self._start_message(None)
        self._interim_heads = 0
        self._heads = answer_heads.HeadChecker()
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Count the parsed head if it is an interim one, and pass it on."""
        message, _ = data
        self._interim_heads += 100 <= message.code < 200
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an unfinished body if the connection was lost with an error.

        aiohttp takes any end of the connection as the end of a body without
        a length, even if the connection was reset.
        """
        self._parse_rest()
        if (
            exc is not None
            and self._payload is not None
            and not self._payload.is_eof()
        ):
            self._payload.set_exception(
                ConnectionResetDuringBodyError(f'connection lost: {exc!r}')
            )
        super().connection_lost(exc)

    def _note_new_message(self) -> None:
        # The heads before the body stay counted as its overhead.
        self._body = self._payload or self._body

    @property
    def _has_excess(self) -> bool:
        return super()._has_excess or self._interim_heads > MAX_INTERIM_HEADS

    def _parse(self, data: bytes) -> None:
        # Before it has a parser, aiohttp keeps the data and passes it here
        # again once the request is sent.
        if self._parser is not None:
            try:
                self._heads.feed(data)
            except answer_heads.MalformedHeadError as error:
                self._stop_parsing()
                self._abort(error)
                return
        super()._parse(data)

    def _handle_excess(self) -> None:
        self._abort(
            ExcessOverheadError(
                f'{self._overhead_bytes} bytes and {self._interim_heads} '
                f'interim heads outside the body of {self.body_bytes} bytes'
            )
        )

    def _abort(self, error: aiohttp.ClientError) -> None:
        if self.transport is None:
            return
        telemetry.log_event(
            'answer_aborted',
            'WARNING',
            server=self.transport.get_extra_info('peername'),
            reason=str(error),
        )
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections that use ``BoundedProtocol``."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory: Any = self._new_protocol

    def _new_protocol(self) -> BoundedProtocol:
        return BoundedProtocol(self._loop)
