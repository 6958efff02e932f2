"""Tells first attempts of callers from later ones."""

# Callers count their remaining time in milliseconds; what their networks
# take is below this.
CERTAIN_ELAPSED_MS = 100


class ElapsedTimes:
    """Learns how long callers of a route wait, and how long they did.

    A caller sends the time that it will still wait. First attempts of one
    route all send the same, so that a lower value shows a later attempt.
    """

    def __init__(self) -> None:
        self._longest_ms: dict[str, float] = {}

    def elapsed_ms(self, route: str, remaining_ms: float | None) -> int:
        """Return how long a caller has waited before this attempt."""
        if remaining_ms is None:
            return 0
        longest_ms = max(remaining_ms, self._longest_ms.get(route, 0.0))
        self._longest_ms[route] = longest_ms
        return int(longest_ms - remaining_ms)
