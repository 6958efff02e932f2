"""Limits the retries to a service over all instances together.

Each instance limits its own retries to a ratio of its own requests plus an
equal part of the fixed allowance. The sum then stays within the limit without
communication between instances.
"""

from collections import deque
from collections.abc import Callable

import attrs

# The share of the limit that is used. The windows of the limit slide, so the
# rest leaves room at their edges.
SAFETY_SHARE = 0.7


@attrs.define
class RetryBudget:
    """Limits the retries of one instance to one service."""

    ratio: float
    allowance: float
    window_ms: float
    _requests: deque[int] = attrs.field(init=False, factory=deque)
    _retries: deque[int] = attrs.field(init=False, factory=deque)

    def count_request(self, now_ms: int) -> None:
        """Count a caller's request for the service."""
        self._requests.append(now_ms)
        self._drop_expired(now_ms)

    def spend(self, now_ms: int, instance_count: int) -> bool:
        """Take one retry if the budget allows it; return whether it does."""
        if self.left(now_ms, instance_count) < 1:
            return False
        self._retries.append(now_ms)
        return True

    def left(self, now_ms: int, instance_count: int) -> float:
        """Return how many retries the budget allows now."""
        self._drop_expired(now_ms)
        allowed = self.ratio * len(self._requests)
        allowed += self.allowance / max(1, instance_count)
        return allowed * SAFETY_SHARE - len(self._retries)

    def _drop_expired(self, now_ms: int) -> None:
        oldest_ms = now_ms - self.window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_ms:
                times.popleft()


class RetryBudgets:
    """The retry budgets of one instance, by service."""

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_ms: float,
        count_instances: Callable[[], int],
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_ms = window_ms
        self._count_instances = count_instances
        self._budgets: dict[str, RetryBudget] = {}

    def count_request(self, service: str, now_ms: int) -> None:
        """Count a caller's request for a service."""
        self._budget_of(service).count_request(now_ms)

    def spend(self, service: str, now_ms: int) -> bool:
        """Take one retry if the budget allows it; return whether it does."""
        return self._budget_of(service).spend(now_ms, self._count_instances())

    def left(self, now_ms: int) -> dict[str, float]:
        """Return how many retries the budgets allow now, by service."""
        instance_count = self._count_instances()
        return {
            service: budget.left(now_ms, instance_count)
            for service, budget in self._budgets.items()
        }

    def _budget_of(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                self._ratio, self._allowance, self._window_ms
            )
        return budget
