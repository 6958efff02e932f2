"""An injectable clock and deadlines, in milliseconds."""

import asyncio
import time

import attrs


@attrs.frozen
class Clock:
    """Reads time and sleeps, in milliseconds.

    Monotonic time is the event loop's, so that a test on a loop with virtual
    time controls every timer and deadline.
    """

    def monotonic_ms(self) -> int:
        """Return time that never goes backwards, from an arbitrary zero."""
        return int(asyncio.get_running_loop().time() * 1000)

    def boottime_ms(self) -> int:
        """Return monotonic time that includes suspension of the machine."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return Unix time, for display and records, never for ordering."""
        return int(time.time() * 1000)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for ``duration_ms`` milliseconds."""
        await asyncio.sleep(duration_ms / 1000)

    async def sleep_until_ms(self, at_ms: float) -> None:
        """Sleep until ``at_ms`` on the monotonic clock."""
        await self.sleep_ms(max(0.0, at_ms - self.monotonic_ms()))


@attrs.frozen
class Deadline:
    """A point in monotonic time by which an answer is needed."""

    at_ms: int

    def remaining_ms(self, clock: Clock) -> int:
        """Return the time left, or zero when the deadline has passed."""
        return max(0, self.at_ms - clock.monotonic_ms())


def deadline_in(clock: Clock, duration_ms: int) -> Deadline:
    """Return the deadline ``duration_ms`` milliseconds from now."""
    return Deadline(at_ms=clock.monotonic_ms() + duration_ms)
