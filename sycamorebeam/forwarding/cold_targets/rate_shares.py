"""Divides the requests that a cold target tolerates among the instances.

It is designed for some ten to a hundred instances, of which any may be cut
off from the others or from the store, while all targets of a zone may turn
cold at the same moment. All shares of a target together stay within the rule,
so no instance has to know what the others send. It does no I/O.
"""

from collections import deque
import math

import attrs

from sycamorebeam.forwarding import upstream

RULE_WINDOW_MS = 1_000  # a target counts requests over this time (protocol)
# A request is sent within this time after it was counted, so that those sent
# within one window were counted within little more than one.
SEND_WITHIN_MS = upstream.CONNECT_TIMEOUT_MS + 20
ROUNDING_MS = 10  # of clock readings in whole milliseconds
COUNT_WINDOW_MS = RULE_WINDOW_MS + SEND_WITHIN_MS + ROUNDING_MS
MAX_REQUESTS = 1_000_000  # above any rate; keeps the arithmetic finite

# Parts of the limit as divisors. With the limit of 17 that the rule gives at
# 8.3 requests a second, the first three placers get 7, 4 and 2 requests in a
# window, three instances get one each, and one request is spare.
SPARE_DIVISOR = 10  # for listings that differ by an instance
COMMON_DIVISOR = 5  # for instances that reach no placer
SECOND_DIVISOR = 3  # of what is left, for the second placer
THIRD_DIVISOR = 6  # of what is left, for the third placer


@attrs.frozen(kw_only=True)
class Bounds:
    """How far the requests to a cold target may exceed ``cold_per_s``."""

    overshoot: float
    tolerance: float

    def max_requests(self, cold_per_s: float) -> int:
        """Return how many requests a cold target may get in one second."""
        limit = cold_per_s * self.overshoot + self.tolerance
        return math.floor(min(limit, MAX_REQUESTS))


@attrs.frozen(kw_only=True)
class Shares:
    """Requests in a window: of each placer, and of all other instances."""

    placers: tuple[int, ...]
    common: int

    def quota(
        self, placer_rank: int, common_rank: int, instance_count: int
    ) -> int:
        """Return the requests that one instance may send in a window."""
        quota = 0
        if placer_rank < len(self.placers):
            quota += self.placers[placer_rank]
        holder_count = min(instance_count, self.common)
        if common_rank < holder_count:
            quota += self.common // holder_count
        return quota


def divide(max_requests: int, *, has_placers: bool) -> Shares:
    """Divide the requests that a target tolerates in a window."""
    spare = max(1, max_requests // SPARE_DIVISOR) if max_requests > 1 else 0
    if not has_placers:
        return Shares(placers=(), common=max_requests - spare)
    common = max_requests // COMMON_DIVISOR
    left = max_requests - spare - common
    second = left // SECOND_DIVISOR
    third = left // THIRD_DIVISOR
    return Shares(
        placers=(left - second - third, second, third), common=common
    )


@attrs.define
class SendWindow:
    """The requests that an instance counted for one target recently."""

    _counted_ms: deque[int] = attrs.field(factory=deque)

    def has_left(self, quota: int, now_ms: int) -> bool:
        """Whether less than a quota was counted in the last window."""
        self._drop_old(now_ms)
        return len(self._counted_ms) < quota

    def take(self, quota: int, now_ms: int) -> bool:
        """Count a request, unless the quota is used up."""
        if not self.has_left(quota, now_ms):
            return False
        self._counted_ms.append(now_ms)
        return True

    def wait_ms(self, quota: int, now_ms: int) -> float:
        """Return the time until a request may be counted."""
        if self.has_left(quota, now_ms):
            return 0.0
        if not quota:
            return math.inf
        oldest_ms = self._counted_ms[len(self._counted_ms) - quota]
        return oldest_ms + COUNT_WINDOW_MS - now_ms

    def _drop_old(self, now_ms: int) -> None:
        while (
            self._counted_ms
            and self._counted_ms[0] <= now_ms - COUNT_WINDOW_MS
        ):
            self._counted_ms.popleft()
