"""Tracks outages of the platform's store and wakes readers after them."""

import asyncio
import contextlib

import attrs

from sycamorebeam import clocks
from sycamorebeam import telemetry

RETRY_MS = 150  # delay added per failed read; the store answers in a few ms
LONGEST_RETRY_MS = 600


class StoreRecovery:
    """Wakes all followers as soon as one of them reaches the store again."""

    def __init__(self) -> None:
        self._recovered = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait for the store to recover."""
        self._recovered.set()
        self._recovered = asyncio.Event()

    async def wait(self, timeout_ms: float) -> None:
        """Wait until the store recovers or the timeout ends."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000):
                await self._recovered.wait()


@attrs.define
class OutageTracker:
    """Logs the outages of one part of the store and paces its retries."""

    clock: clocks.Clock
    store_recovery: StoreRecovery
    part: str
    failures: int = 0
    lost_since_ms: int | None = None

    async def record_failure(self, error: Exception) -> None:
        """Log the start of an outage; wait before the next read."""
        if self.lost_since_ms is None:
            self.lost_since_ms = self.clock.monotonic_ms()
            telemetry.log_event(
                'store_lost', 'WARNING', part=self.part, error=str(error)
            )
        self.failures += 1
        pause_ms = min(LONGEST_RETRY_MS, RETRY_MS * self.failures)
        await self.store_recovery.wait(pause_ms)

    def record_success(self) -> bool:
        """End an outage; return whether there was one."""
        if self.lost_since_ms is None:
            return False
        away_ms = self.clock.monotonic_ms() - self.lost_since_ms
        telemetry.log_event('store_regained', part=self.part, away_ms=away_ms)
        self.lost_since_ms = None
        self.failures = 0
        self.store_recovery.notify()
        return True
