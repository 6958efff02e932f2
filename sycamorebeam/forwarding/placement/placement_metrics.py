"""Metrics of the placement by expected time."""

import prometheus_client

from sycamorebeam.forwarding import prometheus_metrics


class PlacementMetrics:
    """Counts placed prompts, and compares expected with actual times."""

    def __init__(self, metrics: prometheus_metrics.Metrics) -> None:
        self._placed: prometheus_client.Counter = metrics.placed_prompts
        self._expected = metrics.placement_expected_seconds
        self._actual = metrics.placement_actual_seconds
        self._errors = metrics.placement_error_seconds

    def count_placed(self, reason: str) -> None:
        """Count a prompt with shared parts, by why its engine was chosen."""
        self._placed.labels(reason).inc()

    def observe(self, expected_ms: float, actual_ms: float) -> None:
        """Record the time from the placement to the first event."""
        self._expected.observe(expected_ms / 1000)
        self._actual.observe(actual_ms / 1000)
        self._errors.observe(abs(actual_ms - expected_ms) / 1000)
