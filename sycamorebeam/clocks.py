"""Time in milliseconds, from one injectable source."""

import asyncio
import time

import attrs


@attrs.frozen
class Clock:
    """Reads time and sleeps, in milliseconds.

    The monotonic time is the event loop's, so that a test which runs on a
    loop with virtual time controls every timer and deadline.
    """

    def monotonic_ms(self) -> int:
        """Return a time that never goes back; its zero is arbitrary."""
        return int(asyncio.get_running_loop().time() * 1000)

    def boottime_ms(self) -> int:
        """Return a monotonic time that counts suspension of the machine."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return Unix time, for people and records, never for ordering."""
        return int(time.time() * 1000)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for ``duration_ms`` milliseconds."""
        await asyncio.sleep(duration_ms / 1000)


@attrs.frozen
class Deadline:
    """A point in monotonic time by which a caller wants its answer."""

    at_ms: int

    def remaining_ms(self, clock: Clock) -> int:
        """Return the time left, zero when the deadline has passed."""
        return max(0, self.at_ms - clock.monotonic_ms())


def deadline_in(clock: Clock, duration_ms: int) -> Deadline:
    """Return the deadline ``duration_ms`` milliseconds from now."""
    return Deadline(at_ms=clock.monotonic_ms() + duration_ms)
