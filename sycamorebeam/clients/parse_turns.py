"""Bounds what all connections parse in one turn of the event loop.

Parsing costs far more for the bytes around a body than for those of the
body: a chunk of one byte takes as long as one of a kilobyte. A server that
sends small chunks as fast as its link allows would otherwise keep the event
loop busy, and every other connection waiting.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import Any
import weakref

# Costs are counted in bytes outside of bodies: heads, framing of chunks.
TURN_COST = 4 * 1024
# This many bytes of a body cost as much as one byte outside of it.
BODY_BYTES_PER_COST = 128
SLICE_BYTES = 2 * 1024
# Of all connections. One read returns up to 256 KB.
MAX_UNPARSED_BYTES = 32 * 1024 * 1024


class ParseTurns:
    """Gives connections with unparsed bytes their share of each turn.

    Connections that have had little overhead so far go first, so that an
    ordinary answer never waits for those that are nearly all overhead.
    """

    def __init__(self) -> None:
        self._left: float = TURN_COST
        self._is_scheduled = False
        self.unparsed_bytes = 0
        self._light: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._heavy: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    @property
    def may_parse(self) -> bool:
        """Whether there is time left in this turn."""
        return self._left > 0

    def charge(self, cost: float) -> None:
        """Count what was parsed in this turn."""
        self._left -= cost
        # A callback costs a pass of the loop, so a turn with little to parse
        # leaves its count to the next one.
        if self._left < TURN_COST / 2:
            self._schedule()

    def wait(self, resume: Callable[[], None], *, is_heavy: bool) -> None:
        """Call ``resume`` once, in a later turn that has time left."""
        (self._heavy if is_heavy else self._light).append(resume)
        self._schedule()

    async def acquire(self, cost: float) -> None:
        """Wait for a turn that has time left, and charge it."""
        if not self.may_parse:
            turn = asyncio.get_running_loop().create_future()

            def resume() -> None:
                if not turn.done():
                    turn.set_result(None)

            self.wait(resume, is_heavy=False)
            await turn
        self.charge(cost)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._left = TURN_COST
        try:
            for waiting in (self._light, self._heavy):
                while waiting and self.may_parse:
                    waiting.popleft()()
        finally:
            # An error of one connection must not leave the others waiting.
            if self._light or self._heavy:
                self._schedule()


_turns: 'weakref.WeakKeyDictionary[Any, ParseTurns]' = (
    weakref.WeakKeyDictionary()
)


def of_loop(loop: asyncio.AbstractEventLoop) -> ParseTurns:
    """Return the turns that all connections of an event loop share."""
    turns = _turns.get(loop)
    if turns is None:
        turns = _turns[loop] = ParseTurns()
    return turns
