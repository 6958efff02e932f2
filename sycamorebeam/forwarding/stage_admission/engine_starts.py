"""The usual time from a request to an engine to its first event, by route.

Designed for routes whose prompts differ in length: medians of 66 ms and
200 ms were measured in one load, against an assumption of 150 ms for all.
"""

# The estimate moves by this much a sample towards the median, so that a few
# prompts that are queued at an engine do not move it.
STEP_MS = 2.0
MAX_ROUTES = 1_000  # routes that no longer exist are dropped beyond this


class EngineStarts:
    """Estimates the median time to the first event for each route."""

    def __init__(self) -> None:
        self._median_ms: dict[str, float] = {}

    def record(self, route: str, start_ms: float) -> None:
        """Add the time from sending a request to its first event."""
        known_ms = self._median_ms.pop(route, None)
        if known_ms is None:
            known_ms = start_ms
        step_ms = max(-STEP_MS, min(STEP_MS, start_ms - known_ms))
        self._median_ms[route] = max(0.0, known_ms + step_ms)
        if len(self._median_ms) > MAX_ROUTES:
            del self._median_ms[next(iter(self._median_ms))]

    def expected_ms(self, route: str, default_ms: float) -> float:
        """Return the median, or the default before the first sample."""
        return self._median_ms.get(route, default_ms)
