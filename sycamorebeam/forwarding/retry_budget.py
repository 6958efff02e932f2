"""One bound on repeats for a service, kept by all instances together.

Each instance keeps to its own part: a share of its own requests, and an
even share of the fixed allowance. The sum then stays within the bound
without the instances talking to each other.
"""

from collections import deque
from collections.abc import Callable

import attrs

# Windows of the bound slide, so a smaller share leaves room at their edges.
MARGIN = 0.7


@attrs.define
class RetryBudget:
    """Allows repeats for one service at one instance."""

    ratio: float
    allowance: float
    window_ms: float
    _requests: deque[int] = attrs.field(init=False, factory=deque)
    _repeats: deque[int] = attrs.field(init=False, factory=deque)

    def count_request(self, now_ms: int) -> None:
        """Count a caller's request for the service."""
        self._requests.append(now_ms)
        self._forget(now_ms)

    def spend(self, now_ms: int, instances: int) -> bool:
        """Take one repeat if this instance's part allows it."""
        if self.left(now_ms, instances) < 1:
            return False
        self._repeats.append(now_ms)
        return True

    def left(self, now_ms: int, instances: int) -> float:
        """Return how many repeats this instance's part allows now."""
        self._forget(now_ms)
        allowed = self.ratio * len(self._requests)
        allowed += self.allowance / max(1, instances)
        return allowed * MARGIN - len(self._repeats)

    def _forget(self, now_ms: int) -> None:
        oldest_ms = now_ms - self.window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_ms:
                times.popleft()


class RetryBudgets:
    """The budgets of all services at one instance."""

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_ms: float,
        instances: Callable[[], int],
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_ms = window_ms
        self._instances = instances
        self._budgets: dict[str, RetryBudget] = {}

    def count_request(self, service: str, now_ms: int) -> None:
        """Count a caller's request for a service."""
        self._budget(service).count_request(now_ms)

    def spend(self, service: str, now_ms: int) -> bool:
        """Take one repeat if this instance's part allows it."""
        return self._budget(service).spend(now_ms, self._instances())

    def left(self, now_ms: int) -> dict[str, float]:
        """Return how many repeats are left to this instance, by service."""
        instances = self._instances()
        return {
            service: budget.left(now_ms, instances)
            for service, budget in self._budgets.items()
        }

    def _budget(self, service: str) -> RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = RetryBudget(
                self._ratio, self._allowance, self._window_ms
            )
        return found
