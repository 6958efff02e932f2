"""Averages over recent time, of which old samples fade."""

import math

import attrs


@attrs.define
class FadingRate:
    """Events for each millisecond, over about ``memory_ms``."""

    memory_ms: float
    _weight: float = 0.0
    _at_ms: int = 0

    def add(self, count: float, now_ms: int) -> None:
        """Count some events."""
        self._fade(now_ms)
        self._weight += count

    def per_ms(self, now_ms: int) -> float:
        """Return the rate now."""
        self._fade(now_ms)
        return self._weight / self.memory_ms

    def _fade(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._at_ms)
        self._weight *= math.exp(-elapsed_ms / self.memory_ms)
        self._at_ms = now_ms


@attrs.define
class FadingExcess:
    """By how much a duration lately exceeded what it should be."""

    memory_ms: float
    weight: float
    _excess_ms: float = 0.0
    _at_ms: int = 0

    def add(self, excess_ms: float, now_ms: int) -> None:
        """Take a new sample."""
        current = self.value_ms(now_ms)
        self._excess_ms = current + self.weight * (excess_ms - current)
        self._at_ms = now_ms

    def value_ms(self, now_ms: int) -> float:
        """Return the excess that is to be expected now."""
        elapsed_ms = max(0, now_ms - self._at_ms)
        return self._excess_ms * math.exp(-elapsed_ms / self.memory_ms)
