"""Losing and regaining the platform's store."""

import asyncio
import contextlib

import attrs

from sycamorebeam import clocks
from sycamorebeam import telemetry

RETRY_MS = 150  # after a failed read; the store answers in a few ms
LONGEST_RETRY_MS = 600


class StoreRecovery:
    """Lets all followers read as soon as one of them reaches the store."""

    def __init__(self) -> None:
        self._recovered = asyncio.Event()

    def notify(self) -> None:
        """Wake those who wait for the store's return."""
        self._recovered.set()
        self._recovered = asyncio.Event()

    async def wait(self, timeout_ms: float) -> None:
        """Wait for the store's return, or for some time at the longest."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000):
                await self._recovered.wait()


@attrs.define
class OutageTracker:
    """Logs when a part of the store is lost and regained."""

    clock: clocks.Clock
    store_recovery: StoreRecovery
    part: str
    failures: int = 0
    lost_since_ms: int | None = None

    async def record_failure(self, error: Exception) -> None:
        """Note a failed read and wait until the next one may succeed."""
        if self.lost_since_ms is None:
            self.lost_since_ms = self.clock.monotonic_ms()
            telemetry.log_event(
                'store_lost', 'WARNING', part=self.part, error=str(error)
            )
        self.failures += 1
        pause_ms = min(LONGEST_RETRY_MS, RETRY_MS * self.failures)
        await self.store_recovery.wait(pause_ms)

    def record_success(self) -> bool:
        """Note a read; return whether the store was away before it."""
        if self.lost_since_ms is None:
            return False
        away_ms = self.clock.monotonic_ms() - self.lost_since_ms
        telemetry.log_event('store_regained', part=self.part, away_ms=away_ms)
        self.lost_since_ms = None
        self.failures = 0
        self.store_recovery.notify()
        return True
