"""The planned stop of an instance.

An instance is in state ``SERVING`` until a stop is requested, then
``LEAVING`` while the load balancer may still send new requests, which are
served, then ``DRAINING``: it accepts no new connection and completes the
requests in progress.
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
    """The phases of a planned stop."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    DRAINING = 'draining'


@attrs.frozen
class Drained:
    """All requests in progress were completed."""


@attrs.frozen
class CutOff:
    """``remaining`` requests were cancelled before they completed."""

    remaining: int


class Shutdown:
    """Tracks the requests in progress and waits until they end."""

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
        """The current phase of the stop."""
        return self._state

    @property
    def in_progress(self) -> int:
        """The number of requests in progress."""
        return len(self._tasks)

    def track(self, task: asyncio.Task[Any]) -> None:
        """Count ``task`` as a request in progress until it ends."""
        self._tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._on_task_done)

    def stop_waiting(self) -> None:
        """End ``leave`` and ``drain`` early.

        Requests still in progress are cancelled; their callers get an answer.
        """
        self._waiting_stopped.set()

    async def leave(self) -> None:
        """Wait until the load balancer sends no new requests."""
        self._state = State.LEAVING
        telemetry.log_event('stop_leaving', in_progress=self.in_progress)
        await self._wait_unless_stopped(self._bounds.balancer_lag_ms)
        self._state = State.DRAINING

    async def drain(self) -> Drained | CutOff:
        """Wait for the requests in progress for at most ``drain_timeout_ms``.

        Cancel those that remain.
        """
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

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not self._tasks:
            self._idle.set()
