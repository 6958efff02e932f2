"""Detects calls that wait for an answer on a silent connection.

The target is probed on another connection whether it still runs the call.
If it does not, and no answer arrives, the connection is silent.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum

import attrs

from sycamorebeam import clocks


class CallState(enum.Enum):
    """The state of a call as its target reports it."""

    RUNNING = 'running'
    NONE = 'none'
    UNREACHABLE = 'unreachable'
    UNSUPPORTED = 'unsupported'


Probe = Callable[[], Awaitable[CallState]]


@attrs.frozen(kw_only=True)
class WatchSettings:
    """When to probe, and after how many probes to end the call.

    The pause between probes doubles from ``initial_pause_ms`` to
    ``max_pause_ms``. The call expires after ``none_threshold`` consecutive
    probes with state NONE or ``unreachable_threshold`` with UNREACHABLE.
    """

    first_probe_after_ms: int = 1_000
    initial_pause_ms: int = 300
    max_pause_ms: int = 5_000
    none_threshold: int = 2
    unreachable_threshold: int = 3


class CallWatch:
    """Probes one call; calls ``expire`` if its connection is silent."""

    def __init__(
        self,
        clock: clocks.Clock,
        settings: WatchSettings,
        probe: Probe,
        expire: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._probe = probe
        self._expire = expire
        self._task: asyncio.Task[None] | None = None
        self._timer = asyncio.get_running_loop().call_later(
            settings.first_probe_after_ms / 1000, self._start
        )

    def stop(self) -> None:
        """Stop probing."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _start(self) -> None:
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        none_in_a_row = 0
        unreachable_in_a_row = 0
        pause_ms = self._settings.initial_pause_ms
        while True:
            state = await self._probe()
            none_in_a_row = none_in_a_row + 1 if state is CallState.NONE else 0
            unreachable_in_a_row = (
                unreachable_in_a_row + 1
                if state is CallState.UNREACHABLE
                else 0
            )
            if state is CallState.UNSUPPORTED:
                return
            if none_in_a_row >= self._settings.none_threshold:
                break
            if unreachable_in_a_row >= self._settings.unreachable_threshold:
                break
            await self._clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, self._settings.max_pause_ms)
        self._expire()
