"""Whether the replicas of a stage service report their machines' pace.

Designed for replicas that share machines with others; those that do not
report a pace are served by the decisions made without it.
"""

from sycamorebeam.forwarding import model

# Replicas answer several calls a second; without calls there is no contention
# either.
VALIDITY_MS = 10_000
USUAL_PACE = 100.0


class PaceReports:
    """Remembers when a replica of the service last reported its pace."""

    def __init__(self) -> None:
        self._reported_ms: int | None = None

    def record(self, load: model.Load | None, now_ms: int) -> None:
        """Record the load in an answer, None if it has none."""
        if load is not None and load.pace is not None:
            self._reported_ms = now_ms

    def are_recent(self, now_ms: int) -> bool:
        """Whether any replica has reported its pace recently."""
        if self._reported_ms is None:
            return False
        return now_ms - self._reported_ms <= VALIDITY_MS
