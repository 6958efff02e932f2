"""One instance's share of the weight store's limits."""

import random

import attrs

from sycamorebeam.policy import bucket

DEFAULT_LOADS_PER_S = 0.2
DEFAULT_CONCURRENCY = 2
# A load after this long without one waits for a random time first.
PAUSE_MS = 30_000


@attrs.define
class LoadShare:
    """Spaces the loads that one of ``instances`` equal ones starts.

    The first load after a pause waits for a random part of the spacing
    beyond it, so that instances which need loads at once do not start
    them at once. Where the store allows fewer loads at a time than there
    are instances, an instance rests after each load for as long as the
    others may take.
    """

    _random: random.Random
    _loads_per_s: float = DEFAULT_LOADS_PER_S
    _concurrency: int = DEFAULT_CONCURRENCY
    _instances: int = 1
    _bucket: bucket.Bucket = attrs.field(init=False)
    _running: int = 0
    _not_before_ms: int = 0
    _last_ms: int | None = None

    def __attrs_post_init__(self) -> None:
        self._bucket = bucket.Bucket(self._rate_per_s, 1.0)

    @property
    def running(self) -> int:
        """How many loads are in progress."""
        return self._running

    @property
    def spacing_ms(self) -> int:
        """The time between two starts of this instance."""
        return int(1000 / self._rate_per_s)

    @property
    def _rate_per_s(self) -> float:
        return self._loads_per_s / self._instances

    @property
    def _at_once(self) -> int:
        return max(1, self._concurrency // self._instances)

    def resize(
        self,
        loads_per_s: float | None,
        concurrency: int | None,
        instances: int,
        now_ms: int,
    ) -> None:
        """Take the limits and the number of instances that share them."""
        limits = (
            loads_per_s or DEFAULT_LOADS_PER_S,
            concurrency or DEFAULT_CONCURRENCY,
            max(1, instances),
        )
        known = (self._loads_per_s, self._concurrency, self._instances)
        if limits == known:
            return
        self._loads_per_s, self._concurrency, self._instances = limits
        self._bucket = bucket.Bucket(self._rate_per_s, 1.0)
        self._bucket.take(now_ms)

    def wait_ms(self, now_ms: int) -> int:
        """Return how long the next load has to wait, 0 to start it."""
        if self._is_rested(now_ms):
            self._begin_wait(now_ms)
        self._last_ms = now_ms
        if self._running >= self._at_once:
            return self.spacing_ms
        held_ms = self._not_before_ms - now_ms
        return max(0, held_ms, self._bucket.wait_ms(now_ms))

    def start(self, now_ms: int) -> bool:
        """Count a load that starts, unless it has to wait."""
        if self.wait_ms(now_ms) or not self._bucket.take(now_ms):
            return False
        self._running += 1
        return True

    def end(self, now_ms: int, duration_ms: int) -> None:
        """Count the end of a load that took ``duration_ms``."""
        self._running -= 1
        idle_share = self._instances * self._at_once / self._concurrency - 1
        rest_ms = int(duration_ms * max(0.0, idle_share))
        self._not_before_ms = max(self._not_before_ms, now_ms + rest_ms)
        self._last_ms = now_ms

    def _is_rested(self, now_ms: int) -> bool:
        if self._running:
            return False
        if self._last_ms is None:
            return True
        idle_since_ms = max(self._last_ms, self._not_before_ms)
        return now_ms - idle_since_ms > max(PAUSE_MS, 2 * self.spacing_ms)

    def _begin_wait(self, now_ms: int) -> None:
        """Start with an empty bucket, later by a random part."""
        self._bucket = bucket.Bucket(self._rate_per_s, 1.0)
        self._bucket.take(now_ms)
        jitter_ms = int(self._random.uniform(0, self.spacing_ms))
        not_before_ms = now_ms + self.spacing_ms + jitter_ms
        self._not_before_ms = max(self._not_before_ms, not_before_ms)
