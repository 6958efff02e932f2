"""Quantiles of durations over the recent past."""

from hdrh import histogram

LOWEST_MS = 1
HIGHEST_MS = 120_000
DIGITS = 2
ROTATE_AFTER = 500


class RecentDurations:
    """Durations in milliseconds, old ones forgotten by halves.

    Two histograms take turns: when the newer has ``ROTATE_AFTER`` values,
    it becomes the older, and the older is dropped.
    """

    def __init__(self) -> None:
        self._newer = _new_histogram()
        self._older = _new_histogram()

    @property
    def count(self) -> int:
        """How many durations the quantiles rest on."""
        return self._newer.total_count + self._older.total_count

    def add(self, duration_ms: float) -> None:
        """Record one duration."""
        bounded = min(max(int(duration_ms), LOWEST_MS), HIGHEST_MS)
        self._newer.record_value(bounded)
        if self._newer.total_count >= ROTATE_AFTER:
            self._newer, self._older = self._older, self._newer
            self._newer.reset()

    def quantile_ms(self, share: float) -> int | None:
        """Return the duration that ``share`` of the values stay within.

        Returns None when nothing was recorded.
        """
        if not self.count:
            return None
        larger = max(
            self._newer, self._older, key=lambda item: item.total_count
        )
        return int(larger.get_value_at_percentile(share * 100))


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
