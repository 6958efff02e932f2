"""Cancels attempts at targets in the background, a bounded number at once."""

import asyncio

from sycamorebeam import clocks
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import http
from sycamorebeam.clients import results

MAX_OPEN_CANCELS = 256
TIMEOUT_MS = 1_000


class Canceller:
    """Sends DELETE requests in the background and ignores their answers."""

    def __init__(self, client: http.HttpClient) -> None:
        self._http = client
        self._tasks: set[asyncio.Task[object]] = set()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """The number of cancels not sent because too many were open."""
        return self._dropped

    def cancel(self, replica: results.Replica, path: str) -> None:
        """Send a cancel to ``path`` at ``replica`` without waiting for it."""
        if len(self._tasks) >= MAX_OPEN_CANCELS:
            self._dropped += 1
            return
        exchange = exchanges.Exchange(
            method='DELETE',
            address=replica.address,
            path=path,
            deadline=clocks.deadline_in(self._http.clock, TIMEOUT_MS),
            connection_kind=exchanges.ConnectionKind.FRESH,
        )
        task: asyncio.Task[object] = asyncio.create_task(
            self._http.fetch(exchange)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Wait for the open cancels, each of which has a timeout."""
        if self._tasks:
            await asyncio.wait(self._tasks)
