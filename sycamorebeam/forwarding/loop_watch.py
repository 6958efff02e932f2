"""Measures how late the event loop runs what is due."""

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import prometheus_metrics

INTERVAL_MS = 250
# Callers notice a delay of this length.
LOGGED_LAG_MS = 200


class LoopWatch:
    """Samples the lag of the event loop into a histogram."""

    def __init__(
        self, clock: clocks.Clock, metrics: prometheus_metrics.Metrics
    ) -> None:
        self._clock = clock
        self._metrics = metrics

    async def run_forever(self) -> None:
        """Sample the lag, and log it when callers notice it."""
        while True:
            due_ms = self._clock.monotonic_ms() + INTERVAL_MS
            await self._clock.sleep_ms(INTERVAL_MS)
            lag_ms = max(0, self._clock.monotonic_ms() - due_ms)
            self._metrics.loop_lag_seconds.observe(lag_ms / 1000)
            if lag_ms >= LOGGED_LAG_MS:
                telemetry.log_event(
                    'event_loop_blocked', 'WARNING', lag_ms=lag_ms
                )
