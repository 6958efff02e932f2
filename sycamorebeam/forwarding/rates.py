"""Averages over recent time, of which old samples fade."""

import math

import attrs


@attrs.define
class DecayingRate:
    """Events for each millisecond, over about ``time_constant_ms``."""

    time_constant_ms: float
    _decayed_count: float = 0.0
    _updated_ms: int = 0

    def add(self, count: float, now_ms: int) -> None:
        """Count some events."""
        self._decay(now_ms)
        self._decayed_count += count

    def per_ms(self, now_ms: int) -> float:
        """Return the rate now."""
        self._decay(now_ms)
        return self._decayed_count / self.time_constant_ms

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._decayed_count *= math.exp(-elapsed_ms / self.time_constant_ms)
        self._updated_ms = now_ms


@attrs.define
class DecayingExcess:
    """By how much a duration lately exceeded what it should be."""

    time_constant_ms: float
    sample_weight: float
    _excess_ms: float = 0.0
    _updated_ms: int = 0

    def add(self, excess_ms: float, now_ms: int) -> None:
        """Take a new sample."""
        current = self.value_ms(now_ms)
        self._excess_ms = current + self.sample_weight * (excess_ms - current)
        self._updated_ms = now_ms

    def value_ms(self, now_ms: int) -> float:
        """Return the excess that is to be expected now."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        return self._excess_ms * math.exp(-elapsed_ms / self.time_constant_ms)
