"""Limits one instance to its share of the weight store's loads."""

import random

import attrs

from sycamorebeam.policy import bucket

DEFAULT_LOADS_PER_S = 0.2
DEFAULT_CONCURRENCY = 2
# After this long without a load, the next one is delayed by a random time.
IDLE_AFTER_MS = 30_000


@attrs.define
class LoadShare:
    """Spaces the loads of weights of one of ``instances`` equal instances.

    The first load after an idle time waits for the spacing and a random part
    of it, so that instances which need weights at the same time don't start
    their loads together. If the store allows fewer concurrent loads than
    there are instances, each load is followed by a pause as long as the
    loads of the others may take.
    """

    _random: random.Random
    _loads_per_s: float = DEFAULT_LOADS_PER_S
    _concurrency: int = DEFAULT_CONCURRENCY
    _instances: int = 1
    _bucket: bucket.Bucket = attrs.field(init=False)
    _running: int = 0
    _next_start_ms: int = 0
    _last_active_ms: int | None = None

    def __attrs_post_init__(self) -> None:
        self._bucket = bucket.Bucket(self._rate_per_s, 1.0)

    @property
    def running(self) -> int:
        """The number of loads in progress."""
        return self._running

    @property
    def spacing_ms(self) -> int:
        """The time between two starts of loads on this instance."""
        return int(1000 / self._rate_per_s)

    @property
    def _rate_per_s(self) -> float:
        return self._loads_per_s / self._instances

    @property
    def _max_running(self) -> int:
        return max(1, self._concurrency // self._instances)

    def resize(
        self,
        loads_per_s: float | None,
        concurrency: int | None,
        instances: int,
        now_ms: int,
    ) -> None:
        """Set the limits and the number of instances that share them."""
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
        """Return the time until the next load may start, 0 if it may now."""
        if self._is_idle(now_ms):
            self._spread_first_start(now_ms)
        self._last_active_ms = now_ms
        if self._running >= self._max_running:
            return self.spacing_ms
        delay_ms = self._next_start_ms - now_ms
        return max(0, delay_ms, self._bucket.wait_ms(now_ms))

    def start(self, now_ms: int) -> bool:
        """Count a load as started; return False if it may not start yet."""
        if self.wait_ms(now_ms) or not self._bucket.take(now_ms):
            return False
        self._running += 1
        return True

    def end(self, now_ms: int, duration_ms: int) -> None:
        """Count a load as ended that took ``duration_ms``."""
        self._running -= 1
        pause_ratio = (
            self._instances * self._max_running / self._concurrency - 1
        )
        pause_ms = int(duration_ms * max(0.0, pause_ratio))
        self._next_start_ms = max(self._next_start_ms, now_ms + pause_ms)
        self._last_active_ms = now_ms

    def _is_idle(self, now_ms: int) -> bool:
        if self._running:
            return False
        if self._last_active_ms is None:
            return True
        idle_since_ms = max(self._last_active_ms, self._next_start_ms)
        return now_ms - idle_since_ms > max(IDLE_AFTER_MS, 2 * self.spacing_ms)

    def _spread_first_start(self, now_ms: int) -> None:
        """Empty the bucket, and delay the first start by a random time."""
        self._bucket = bucket.Bucket(self._rate_per_s, 1.0)
        self._bucket.take(now_ms)
        jitter_ms = int(self._random.uniform(0, self.spacing_ms))
        next_start_ms = now_ms + self.spacing_ms + jitter_ms
        self._next_start_ms = max(self._next_start_ms, next_start_ms)
