"""Whether the targets of recent requests report the pace of their machines.

Designed for deployments whose targets share machines with others. Replicas of
stage services there report no pace themselves, so the requesters tell.
"""

# Requests arrive several times a second; without any there is no contention
# either.
VALIDITY_MS = 10_000


class PaceReports:
    """Remembers when a request last came whose targets report a pace."""

    def __init__(self) -> None:
        self._reported_ms: int | None = None

    def record(self, now_ms: int) -> None:
        """Record a request whose targets report a pace."""
        self._reported_ms = now_ms

    def are_recent(self, now_ms: int) -> bool:
        """Whether there was such a request recently."""
        if self._reported_ms is None:
            return False
        return now_ms - self._reported_ms <= VALIDITY_MS
