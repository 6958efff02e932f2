"""Keeps the rate limits that targets report along with their answers.

A target that is short of resources limits the rate of requests that it takes
from all instances together, for as long as its answers say so.
"""

from collections import deque
from collections.abc import Iterator

import attrs

from sycamorebeam.forwarding import model

WINDOW_MS = 4_000  # targets count requests over this time (protocol)
# Answers of other instances may be delayed on the way, so that one without a
# limit that arrives this soon after one with it may be the older one.
REORDERING_MS = 1_000
MAX_LIMITS_KEPT = 4_096

Key = tuple[str, int]  # target id and incarnation


@attrs.define
class TargetLimit:
    """The newest limit of one incarnation of a target.

    ``requests_per_s`` is UNLIMITED once the target sets no limit any more.
    Until ``refused_until_ms`` no permit to send is to be had.
    """

    requests_per_s: float
    reported_ms: int
    refused_until_ms: float = 0.0
    _sends_ms: deque[int] = attrs.field(factory=deque)

    def record_send(self, now_ms: int) -> None:
        """Count a request that this instance sends to the target."""
        self._sends_ms.append(now_ms)
        self.recent_send_count(now_ms)

    def recent_send_count(self, now_ms: int) -> int:
        """Return how many requests were sent in the last WINDOW_MS."""
        while self._sends_ms and self._sends_ms[0] <= now_ms - WINDOW_MS:
            self._sends_ms.popleft()
        return len(self._sends_ms)


class TargetLimits:
    """The limits of all targets that have set one."""

    def __init__(self) -> None:
        self._limits: dict[Key, TargetLimit] = {}

    @property
    def has_limits(self) -> bool:
        """Whether any target has set a limit since the start."""
        return bool(self._limits)

    def get(self, target: model.Target) -> TargetLimit | None:
        """Return the limit of a target, None if it sets none now."""
        limit = self._limits.get((target.target_id, target.incarnation))
        if limit is None or limit.requests_per_s == model.UNLIMITED:
            return None
        return limit

    def requests_per_s(self, key: Key) -> float:
        """Return the limit of a target, UNLIMITED if it sets none now."""
        limit = self._limits.get(key)
        return model.UNLIMITED if limit is None else limit.requests_per_s

    def record(
        self, key: Key, requests_per_s: float, reported_ms: int
    ) -> bool:
        """Record a report unless older; return whether the limit changed."""
        known = self._limits.get(key)
        if known is None:
            if requests_per_s == model.UNLIMITED:
                return False
            self._limits[key] = TargetLimit(requests_per_s, reported_ms)
            if len(self._limits) > MAX_LIMITS_KEPT:
                del self._limits[next(iter(self._limits))]
            return True
        newer_by_ms = reported_ms - known.reported_ms
        if newer_by_ms < 0:
            return False
        if (
            requests_per_s == model.UNLIMITED != known.requests_per_s
            and newer_by_ms < REORDERING_MS
        ):
            return False
        known.reported_ms = reported_ms
        has_changed = known.requests_per_s != requests_per_s
        known.requests_per_s = requests_per_s
        return has_changed

    def limited(self) -> Iterator[tuple[Key, TargetLimit]]:
        """Yield the targets that set a limit now."""
        for key, limit in self._limits.items():
            if limit.requests_per_s != model.UNLIMITED:
                yield key, limit
