"""Exponentially decaying averages of recent samples."""

import math

import attrs


@attrs.define
class DecayingRate:
    """Events per millisecond, averaged over about ``time_constant_ms``."""

    time_constant_ms: float
    _decayed_count: float = 0.0
    _updated_ms: int = 0

    def add(self, count: float, now_ms: int) -> None:
        """Count events that happen now."""
        self._decay(now_ms)
        self._decayed_count += count

    def per_ms(self, now_ms: int) -> float:
        """Return the current rate."""
        self._decay(now_ms)
        return self._decayed_count / self.time_constant_ms

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._decayed_count *= math.exp(-elapsed_ms / self.time_constant_ms)
        self._updated_ms = now_ms


@attrs.define
class DecayingExcess:
    """By how much a duration exceeded its expected value recently."""

    time_constant_ms: float
    sample_weight: float
    _excess_ms: float = 0.0
    _updated_ms: int = 0

    def add(self, excess_ms: float, now_ms: int) -> None:
        """Average in a new sample."""
        current = self.value_ms(now_ms)
        self._excess_ms = current + self.sample_weight * (excess_ms - current)
        self._updated_ms = now_ms

    def value_ms(self, now_ms: int) -> float:
        """Return the excess expected now; it decays without samples."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        return self._excess_ms * math.exp(-elapsed_ms / self.time_constant_ms)
