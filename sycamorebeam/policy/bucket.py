"""Token buckets for rate limits and for retry budgets."""

import attrs


@attrs.define
class Bucket:
    """A token bucket of size ``burst`` that gains ``rate_per_s`` tokens."""

    rate_per_s: float
    burst: float
    _level: float = attrs.field(init=False)
    _filled_ms: int | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._level = self.burst

    def take(self, now_ms: int, amount: float = 1.0) -> bool:
        """Take ``amount`` tokens if available; return whether they were."""
        self._fill(now_ms)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def has_room(self, now_ms: int) -> bool:
        """Whether any token is left."""
        self._fill(now_ms)
        return self._level > 0

    def charge(self, now_ms: int, amount: float) -> None:
        """Take ``amount`` tokens, even if this makes the level negative."""
        self._fill(now_ms)
        self._level -= amount

    def wait_ms(self, now_ms: int, amount: float = 1.0) -> int:
        """Return the time in ms until the bucket has ``amount`` tokens."""
        self._fill(now_ms)
        missing = amount - self._level
        if missing <= 0:
            return 0
        if self.rate_per_s <= 0:
            return 60_000
        return int(missing / self.rate_per_s * 1000) + 1

    def _fill(self, now_ms: int) -> None:
        if self._filled_ms is not None:
            elapsed_ms = max(0, now_ms - self._filled_ms)
            gained = elapsed_ms * self.rate_per_s / 1000
            self._level = min(self.burst, self._level + gained)
        self._filled_ms = now_ms


@attrs.define
class RetryBudget:
    """Limits retries to a share of the first attempts.

    Each first attempt earns ``share`` of a retry, up to ``max_credit``. If
    all targets fail, this multiplies the load by at most 1 + ``share``.
    """

    share: float = 0.1
    max_credit: float = 20.0
    _credit: float = 1.0

    def earn(self) -> None:
        """Add the credit of one first attempt."""
        self._credit = min(self.max_credit, self._credit + self.share)

    def spend(self) -> bool:
        """Spend the credit of one retry; return whether there was enough."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
