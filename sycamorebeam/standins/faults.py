"""The fault switches of a target's stand-in, and how a faulty call ends."""

import asyncio
import random

from aiohttp import web
import attrs

HANG_MS = 600_000
HANG_POLL_MS = 50


@attrs.define
class TargetFaults:
    """The fault switches of a target; see ``docs/protocols/targets.md``.

    An integer is the number of calls that the fault still affects.
    """

    delay_ms: float = 0
    jitter_ms: float = 0
    errors: int = 0
    hang: int = 0
    early_end: int = 0
    cut: int = 0
    wrong_id: int = 0
    wrong_digest: int = 0
    late: int = 0
    late_by_ms: float = 0
    doubled: int = 0
    doubled_after_ms: float = 0
    shuffled: int = 0
    gap: int = 0
    babble: int = 0
    refuse: int = 0
    silent: int = 0
    silent_all: int = 0
    stall: int = 0
    drop: int = 0
    lose_cache_events: int = 0
    draining: bool = False

    def consume(self, name: str) -> bool:
        """Return whether fault ``name`` affects this call; count it down."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True

    async def delay(self, randomness: random.Random) -> None:
        """Wait for the time that the switches set."""
        delay_ms = self.delay_ms + randomness.uniform(0, self.jitter_ms)
        if self.consume('late'):
            delay_ms += self.late_by_ms
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)


class SilentConnections:
    """The connections on which a target never answers again."""

    def __init__(self) -> None:
        self._tracked: set[asyncio.BaseTransport] = set()
        self._silent: set[asyncio.BaseTransport] = set()

    def track(self, request: web.Request) -> None:
        """Remember the connection of ``request`` for ``silence_all``."""
        self._tracked = {
            transport
            for transport in self._tracked
            if not transport.is_closing()
        }
        if request.transport is not None:
            self._tracked.add(request.transport)

    def silence(self, request: web.Request) -> None:
        """Make the connection of ``request`` silent for good."""
        if request.transport is not None:
            self._silent.add(request.transport)

    def silence_all(self) -> None:
        """Make all tracked connections silent for good."""
        self._silent |= self._tracked

    def is_silent(self, request: web.Request) -> bool:
        """Return whether the connection of ``request`` is silent."""
        return request.transport in self._silent

    async def hang(self, request: web.Request) -> web.Response:
        """Send no answer until the client closes the connection."""
        await hang(request)
        self._silent = {
            transport
            for transport in self._silent
            if not transport.is_closing()
        }
        return web.Response(status=500)


async def hang(request: web.Request) -> web.Response:
    """Send no answer until the connection closes, at most ``HANG_MS``."""
    for _ in range(HANG_MS // HANG_POLL_MS):
        if request.transport is None or request.transport.is_closing():
            break
        await asyncio.sleep(HANG_POLL_MS / 1000)
    drop(request)
    return web.Response(status=500)


def drop(request: web.Request) -> None:
    """Close the connection of ``request`` at once."""
    if request.transport is not None:
        request.transport.abort()
