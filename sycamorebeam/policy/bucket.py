"""Token buckets: bounded rates, and retries as a share of fresh work."""

import attrs


@attrs.define
class Bucket:
    """Allows ``rate_per_s`` on average and ``burst`` at once."""

    rate_per_s: float
    burst: float
    _level: float = attrs.field(init=False)
    _at_ms: int | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._level = self.burst

    def take(self, now_ms: int, amount: float = 1.0) -> bool:
        """Take ``amount`` if the bucket holds it."""
        self._fill(now_ms)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def has_room(self, now_ms: int) -> bool:
        """Whether anything is left."""
        self._fill(now_ms)
        return self._level > 0

    def charge(self, now_ms: int, amount: float) -> None:
        """Take ``amount`` whether or not the bucket holds it."""
        self._fill(now_ms)
        self._level -= amount

    def wait_ms(self, now_ms: int, amount: float = 1.0) -> int:
        """Return how long until the bucket holds ``amount``."""
        self._fill(now_ms)
        missing = amount - self._level
        if missing <= 0:
            return 0
        if self.rate_per_s <= 0:
            return 60_000
        return int(missing / self.rate_per_s * 1000) + 1

    def _fill(self, now_ms: int) -> None:
        if self._at_ms is not None:
            elapsed_ms = max(0, now_ms - self._at_ms)
            gained = elapsed_ms * self.rate_per_s / 1000
            self._level = min(self.burst, self._level + gained)
        self._at_ms = now_ms


@attrs.define
class RetryBudget:
    """Allows retries as a share of fresh requests.

    Each fresh request earns ``share`` of a retry, up to ``most``; so a
    fault in every target multiplies the load by at most 1 + ``share``.
    """

    share: float = 0.1
    most: float = 20.0
    _credit: float = 1.0

    def earn(self) -> None:
        """Count one fresh request."""
        self._credit = min(self.most, self._credit + self.share)

    def spend(self) -> bool:
        """Take one retry if the budget allows it."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True
