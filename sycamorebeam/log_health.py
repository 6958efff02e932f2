"""Detects outages of the log, so that callers need not wait for it."""

from collections.abc import Callable

import attrs

from sycamorebeam import clocks

DOWN_AFTER_FAILED_READS = 2
PROBE_INTERVAL_MS = 500


@attrs.define(eq=False)
class LogHealth:
    """Tracks outages of the log from the results of calls to it.

    Reads are down after consecutive failures, appends after one with an
    unknown outcome. While appends are down, one is let through every
    ``PROBE_INTERVAL_MS`` to detect when they work again.
    """

    _clock: clocks.Clock
    _on_down: Callable[[str], None]
    _failed_reads: int = 0
    _appends_down: bool = False
    _next_probe_ms: int = 0

    @property
    def reads_down(self) -> bool:
        """Whether ``DOWN_AFTER_FAILED_READS`` reads in a row failed."""
        return self._failed_reads >= DOWN_AFTER_FAILED_READS

    @property
    def last_read_failed(self) -> bool:
        """Whether the last read failed."""
        return self._failed_reads > 0

    @property
    def appends_down(self) -> bool:
        """Whether the last completed append had no answer."""
        return self._appends_down

    def read_succeeded(self) -> None:
        """Record that a read was answered."""
        self._failed_reads = 0

    def read_failed(self, reason: str) -> None:
        """Record that a read was not answered."""
        was_down = self.reads_down
        self._failed_reads += 1
        if self.reads_down and not was_down:
            self._on_down(f'the log cannot be read: {reason}')

    def append_succeeded(self) -> None:
        """Record that an append was answered or read back from the log."""
        self._appends_down = False

    def append_unknown(self) -> None:
        """Record that an append had no answer."""
        self._appends_down = True
        self._next_probe_ms = self._clock.monotonic_ms() + PROBE_INTERVAL_MS

    def refusal(self) -> str | None:
        """Return why nothing should be appended now, None if it may be."""
        if self.reads_down:
            return 'the log cannot be read'
        if not self._appends_down:
            return None
        now_ms = self._clock.monotonic_ms()
        if now_ms < self._next_probe_ms:
            return 'the log does not answer appends'
        self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
        return None
