"""The planned stop of an instance.

A stop goes through three states: ``SERVING`` until it is asked for;
``LEAVING`` while the balancer may still send new requests, which are
served; ``DRAINING`` when no new connection is taken and the requests in
progress finish.
"""

import asyncio
import contextlib
import enum
from typing import Any

import attrs

from sycamorebeam import clocks
from sycamorebeam import settings
from sycamorebeam import telemetry


class State(enum.Enum):
    """How far a planned stop has come."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    DRAINING = 'draining'


@attrs.frozen
class Drained:
    """Every request in progress was finished."""


@attrs.frozen
class CutOff:
    """Requests were left when the time to drain had passed."""

    remaining: int


class Shutdown:
    """Counts the requests in progress and waits for their end."""

    def __init__(self, clock: clocks.Clock, bounds: settings.Shutdown) -> None:
        self._clock = clock
        self._bounds = bounds
        self._state = State.SERVING
        self._tasks: set[asyncio.Task[Any]] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._waiting_stopped = asyncio.Event()

    @property
    def state(self) -> State:
        """How far the stop has come."""
        return self._state

    @property
    def in_progress(self) -> int:
        """How many requests are in progress."""
        return len(self._tasks)

    def track(self, task: asyncio.Task[Any]) -> None:
        """Count a request until its task ends."""
        self._tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._finished)

    def stop_waiting(self) -> None:
        """Stop waiting: what is in progress is cancelled, with an answer."""
        self._waiting_stopped.set()

    async def leave(self) -> None:
        """Wait until the balancer sends nothing new."""
        self._state = State.LEAVING
        telemetry.log_event('stop_leaving', in_progress=self.in_progress)
        await self._wait_unless_stopped(self._bounds.balancer_lag_ms)
        self._state = State.DRAINING

    async def drain(self) -> Drained | CutOff:
        """Wait for the requests in progress, for a bounded time."""
        telemetry.log_event('stop_draining', in_progress=self.in_progress)
        idle = asyncio.ensure_future(self._idle.wait())
        waiting_stopped = asyncio.ensure_future(self._waiting_stopped.wait())
        timeout_s = self._bounds.drain_timeout_ms / 1000
        await asyncio.wait(
            {idle, waiting_stopped},
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        idle.cancel()
        waiting_stopped.cancel()
        remaining = self.in_progress
        if not remaining:
            return Drained()
        await self._cancel_all()
        return CutOff(remaining)

    async def _cancel_all(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_unless_stopped(self, duration_ms: int) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(duration_ms / 1000):
                await self._waiting_stopped.wait()

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not self._tasks:
            self._idle.set()
