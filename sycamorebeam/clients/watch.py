"""Finds out whether a call without an answer waits on a silent connection.

The target is asked on another connection whether it still works on the
call. When it does not, yet no answer comes, the connection is silent.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum

import attrs

from sycamorebeam import clocks


class CallState(enum.Enum):
    """What a target says about a call."""

    RUNNING = 'running'
    NONE = 'none'
    UNREACHABLE = 'unreachable'
    UNSUPPORTED = 'unsupported'


Probe = Callable[[], Awaitable[CallState]]


@attrs.frozen(kw_only=True)
class WatchSettings:
    """When to ask, and after how many answers in a row to give up.

    The pause between questions doubles from ``first_pause_ms`` to
    ``longest_pause_ms``.
    """

    after_ms: int = 1_000
    first_pause_ms: int = 300
    longest_pause_ms: int = 5_000
    lost_answers: int = 2
    failed_probes: int = 3


class CallWatch:
    """Watches one call; ``expire`` is called when it waits in vain."""

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
            settings.after_ms / 1000, self._start
        )

    def stop(self) -> None:
        """Ask no more."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _start(self) -> None:
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        lost = 0
        failed = 0
        pause_ms = self._settings.first_pause_ms
        while True:
            state = await self._probe()
            lost = lost + 1 if state is CallState.NONE else 0
            failed = failed + 1 if state is CallState.UNREACHABLE else 0
            if state is CallState.UNSUPPORTED:
                return
            if lost >= self._settings.lost_answers:
                break
            if failed >= self._settings.failed_probes:
                break
            await self._clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, self._settings.longest_pause_ms)
        self._expire()
