"""Estimates how long a caller has already waited before an attempt."""

# Callers state their remaining time in milliseconds. A shorter elapsed time
# may be network delay and does not show an earlier attempt.
CERTAIN_ELAPSED_MS = 100


class ElapsedTimes:
    """Holds the longest remaining time that callers of each route have sent.

    A caller sends how long it will still wait. All first attempts on a route
    send the same value, so a lower one shows a later attempt.
    """

    def __init__(self) -> None:
        self._longest_ms: dict[str, float] = {}

    def elapsed_ms(self, route: str, remaining_ms: float | None) -> int:
        """Return how long a caller waited before this attempt.

        0 when it sends no remaining time.
        """
        if remaining_ms is None:
            return 0
        longest_ms = max(remaining_ms, self._longest_ms.get(route, 0.0))
        self._longest_ms[route] = longest_ms
        return int(longest_ms - remaining_ms)
