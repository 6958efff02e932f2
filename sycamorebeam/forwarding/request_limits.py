"""Ends requests at their deadline, or at the end of the grace period."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from sycamorebeam import clocks


class RequestLimits:
    """The times at which requests in progress end."""

    def __init__(self) -> None:
        self._stop_ms: int | None = None
        self._active: set[asyncio.Timeout] = set()

    def begin_stop(self, stop_ms: int) -> None:
        """End all requests by ``stop_ms``, on the monotonic clock."""
        self._stop_ms = stop_ms
        for timeout in self._active:
            when_s = timeout.when()
            if (
                when_s is not None
                and when_s > stop_ms / 1000
                and not timeout.expired()
            ):
                timeout.reschedule(stop_ms / 1000)

    def may_finish(self, deadline: clocks.Deadline) -> bool:
        """Whether a request can use all of its time before the stop."""
        return self._stop_ms is None or deadline.at_ms <= self._stop_ms

    @contextlib.asynccontextmanager
    async def limit(self, deadline: clocks.Deadline) -> AsyncIterator[None]:
        """Limit a block of code. Raises TimeoutError at the limit."""
        at_ms = deadline.at_ms
        if self._stop_ms is not None:
            at_ms = min(at_ms, self._stop_ms)
        async with asyncio.timeout_at(at_ms / 1000) as timeout:
            self._active.add(timeout)
            try:
                yield
            finally:
                self._active.discard(timeout)
