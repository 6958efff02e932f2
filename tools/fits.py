"""Least squares lines through measured points, with their spread."""

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import Any

import attrs
import cattrs
import numpy as np

CONVERTER = cattrs.Converter()
MIN_SIZES = 4
MIN_RANGE = 100
# Share of the largest value; anything smaller differs between processors.
ROUNDING_SHARE = 1e-9


@attrs.frozen
class Point:
    """A value measured at one size."""

    size: float
    value: float


@attrs.frozen(kw_only=True)
class Series:
    """Measurements of one quantity at several sizes."""

    name: str
    size_unit: str
    value_unit: str
    points: tuple[Point, ...]


@attrs.frozen(kw_only=True)
class Fit:
    """A least squares line and its spread.

    ``spread`` is the largest distance of a point from the line, as a share of
    the largest value.
    """

    slope: float
    intercept: float
    spread: float

    def at(self, size: float) -> float:
        """Return the value at a size; a negative intercept counts as 0."""
        return self.slope * size + max(0.0, self.intercept)

    def size_for(self, value: float) -> float:
        """Return the size at which the line reaches a value."""
        available = value - max(0.0, self.intercept)
        if available <= 0:
            return 0.0
        return available / self.slope if self.slope > 0 else float('inf')


def fit(series: Series) -> Fit:
    """Return the line through the points of a series."""
    sizes = np.array([point.size for point in series.points])
    values = np.array([point.value for point in series.points])
    slope, intercept = np.polyfit(sizes, values, 1)
    largest = float(np.max(np.abs(values))) or 1.0
    if abs(intercept) < ROUNDING_SHARE * largest:
        intercept = 0.0
    fitted_values = slope * sizes + intercept
    spread = float(np.max(np.abs(values - fitted_values))) / largest
    return Fit(slope=float(slope), intercept=float(intercept), spread=spread)


def cpu_ms(work: Callable[[], object], repeats: int = 3) -> float:
    """Return the lowest CPU time of several runs, in milliseconds."""
    durations_ms = []
    for _ in range(repeats):
        gc.collect()
        start = time.process_time()
        work()
        durations_ms.append((time.process_time() - start) * 1000)
    return min(durations_ms)


def held_bytes(make: Callable[[], Any]) -> tuple[int, int]:
    """Return the bytes that a new object holds, and the peak until then."""
    gc.collect()
    tracemalloc.start()
    try:
        held_object = make()
        gc.collect()
        held, peak = tracemalloc.get_traced_memory()
        del held_object
        return held, peak
    finally:
        tracemalloc.stop()
