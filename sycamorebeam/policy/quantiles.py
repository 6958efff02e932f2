"""Quantiles of recent durations."""

import attrs
from hdrh import histogram

LOWEST_MS = 1
HIGHEST_MS = 120_000
DIGITS = 2
ROTATE_AFTER = 500
# A cached quantile is computed again once this share of the values is new.
REFRESH_SHARE = 0.05


@attrs.frozen
class _Computed:
    """A cached quantile, valid until ``due_at`` durations were added."""

    value_ms: int
    due_at: int


class RecentDurations:
    """Holds the latest durations, in milliseconds, in two histograms.

    When the newer one has ``ROTATE_AFTER`` values, it replaces the older
    one, and an empty one is started.
    """

    def __init__(self) -> None:
        self._newer = _new_histogram()
        self._older = _new_histogram()
        self._added = 0
        self._computed: dict[float, _Computed] = {}

    @property
    def count(self) -> int:
        """The number of durations in both histograms."""
        return self._newer.total_count + self._older.total_count

    def add(self, duration_ms: float) -> None:
        """Record one duration."""
        bounded = min(max(int(duration_ms), LOWEST_MS), HIGHEST_MS)
        self._newer.record_value(bounded)
        self._added += 1
        if self._newer.total_count >= ROTATE_AFTER:
            self._newer, self._older = self._older, self._newer
            self._newer.reset()

    def quantile_ms(self, share: float) -> int | None:
        """Return the duration that ``share`` of the values don't exceed.

        Returns None if nothing was recorded.
        """
        known = self._computed.get(share)
        if known is not None and self._added < known.due_at:
            return known.value_ms
        if not self.count:
            return None
        known = self._compute(share)
        self._computed[share] = known
        return known.value_ms

    def _compute(self, share: float) -> _Computed:
        larger = max(
            self._newer, self._older, key=lambda values: values.total_count
        )
        value_ms = int(larger.get_value_at_percentile(share * 100))
        fresh = max(1, int(larger.total_count * REFRESH_SHARE))
        return _Computed(value_ms, self._added + fresh)


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
