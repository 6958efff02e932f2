"""Losing and regaining the platform's store."""

import asyncio
import contextlib

import attrs

from sycamorebeam import clocks
from sycamorebeam import telemetry

RETRY_MS = 150  # after a failed read; the store answers in a few ms
LONGEST_RETRY_MS = 600


class StoreReturn:
    """Lets all followers read as soon as one of them reaches the store."""

    def __init__(self) -> None:
        self._returned = asyncio.Event()

    def announce(self) -> None:
        """Wake those who wait for the store's return."""
        self._returned.set()
        self._returned = asyncio.Event()

    async def wait_ms(self, longest_ms: float) -> None:
        """Wait for the store's return, or for some time at the longest."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_ms / 1000):
                await self._returned.wait()


@attrs.define
class Contact:
    """Logs when a part of the store is lost and regained."""

    clock: clocks.Clock
    store_return: StoreReturn
    part: str
    failures: int = 0
    lost_ms: int | None = None

    async def failed(self, error: Exception) -> None:
        """Note a failed read and wait until the next one may succeed."""
        if self.lost_ms is None:
            self.lost_ms = self.clock.monotonic_ms()
            telemetry.log_event(
                'store_lost', 'WARNING', part=self.part, error=str(error)
            )
        self.failures += 1
        pause_ms = min(LONGEST_RETRY_MS, RETRY_MS * self.failures)
        await self.store_return.wait_ms(pause_ms)

    def succeeded(self) -> bool:
        """Note a read; return whether the store was away before it."""
        if self.lost_ms is None:
            return False
        away_ms = self.clock.monotonic_ms() - self.lost_ms
        telemetry.log_event('store_regained', part=self.part, away_ms=away_ms)
        self.lost_ms = None
        self.failures = 0
        self.store_return.announce()
        return True
