"""HTTP connections that bound the bytes received outside of answer bodies.

A faulty server may send such bytes until the client closes: interim heads,
empty lines, chunks that are nearly all framing. aiohttp would read them
until the deadline.
"""

import asyncio
from typing import Any

import aiohttp
from aiohttp import client_proto

# Overhead is what an answer has besides its body: heads, interim ones
# included, and the framing of chunks. aiohttp allows 128 headers of 8 KiB in
# one head; servers use a few KiB.
MAX_OVERHEAD_BYTES = 64 * 1024
# The overhead may grow with the body, as a chunk of one byte has five bytes
# of framing.
OVERHEAD_BYTES_PER_BODY_BYTE = 16
# Heads with status 1xx in one answer; servers send one or a few.
MAX_INTERIM_HEADS = 64
# Before the body begins, only this many bytes are parsed at a time, so that a
# read full of small heads does not block the event loop.
SLICE_BYTES = 4 * 1024


class ExcessOverheadError(aiohttp.ClientPayloadError):
    """An answer exceeds the limit on bytes or heads outside its body."""


class BoundedProtocol(client_proto.ResponseHandler):
    """Aborts the connection when an answer has too much overhead."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._received_bytes = 0
        self._interim_heads = 0
        self._body: Any = None

    def set_response_params(self, **params: Any) -> None:
        """Reset the counters for the next answer on this connection."""
        self._received_bytes = 0
        self._interim_heads = 0
        self._body = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes until the connection closes or is aborted."""
        if self._body_bytes:
            self._parse(data)
            return
        for start in range(0, len(data), SLICE_BYTES):
            if self.transport is None or self.transport.is_closing():
                return
            self._parse(data[start : start + SLICE_BYTES])

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Count the parsed head if it is an interim one, and pass it on."""
        message, _ = data
        self._interim_heads += 100 <= message.code < 200
        super().feed_data(data, size)

    @property
    def _body_bytes(self) -> int:
        return 0 if self._body is None else self._body.total_bytes

    def _parse(self, data: bytes) -> None:
        self._received_bytes += len(data)
        super().data_received(data)
        self._body = self._payload or self._body
        overhead_bytes = self._received_bytes - self._body_bytes
        max_overhead_bytes = (
            MAX_OVERHEAD_BYTES
            + OVERHEAD_BYTES_PER_BODY_BYTE * self._body_bytes
        )
        if (
            overhead_bytes > max_overhead_bytes
            or self._interim_heads > MAX_INTERIM_HEADS
        ) and self.transport is not None:
            self.set_exception(
                ExcessOverheadError(
                    f'{overhead_bytes} bytes and {self._interim_heads} '
                    'interim heads outside the body'
                )
            )
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections that use ``BoundedProtocol``."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory: Any = self._new_protocol

    def _new_protocol(self) -> BoundedProtocol:
        return BoundedProtocol(self._loop)
