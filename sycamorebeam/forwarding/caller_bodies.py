"""Reads the bodies of callers' requests, within the memory left for them."""

from collections.abc import Callable

import aiohttp
from aiohttp import web

from sycamorebeam.forwarding import request_memory
from sycamorebeam.forwarding import requests

NO_MEMORY_RETRY_MS = 500.0  # requests in progress end within seconds


async def read(
    http: web.BaseRequest,
    share: request_memory.Share,
    max_bytes: int,
    make_room: Callable[[int], object],
) -> bytes | requests.Refusal:
    """Return the body, counted in ``share``, or why it is refused.

    ``make_room`` is called with the size of a body that finds no memory. A
    body that is known to be too large is refused before it is read.
    """
    size = http.content_length or 0
    parts: list[bytes] = []
    received = 0
    try:
        while True:
            if size > max_bytes:
                return requests.Refusal(
                    status=413, reason='the body is too large'
                )
            share.resize(size)
            part = await http.content.readany()
            if not part:
                return b''.join(parts)
            parts.append(part)
            received += len(part)
            size = max(size, received)
    except request_memory.NoMemoryLeftError:
        # Connections that have stopped sending hold it. They end in a later
        # turn, so this request is refused.
        make_room(size)
        return requests.unavailable(
            'no memory is left for the body', NO_MEMORY_RETRY_MS
        )
    except (aiohttp.ClientPayloadError, web.RequestPayloadError) as error:
        # aiohttp reads and drops the rest of a body, which would raise again.
        http.content.feed_eof()
        return requests.Refusal(status=400, reason=f'body: {error}')
