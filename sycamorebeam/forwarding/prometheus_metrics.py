"""Metrics of forwarding in the text format of Prometheus."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

import attrs
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

PREFIX = 'sycamorebeam'
# Around the latency objectives of the users' routes, 0.3 to 2.4 s.
BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.9, 1.3, 1.6, 2.4, 4, 6, 10, 15)
LAG_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)

# Label values and the value of a gauge.
Sample = tuple[Sequence[str], float]


# The registry hashes collectors, so they are compared by identity.
@attrs.frozen(eq=False)
class _Gauges(registry.Collector):
    """A gauge whose label values change, read at each scrape."""

    _name: str
    _text: str
    _labels: Sequence[str]
    _read: Callable[[], Iterable[Sample]]

    def collect(self) -> Iterator[core.GaugeMetricFamily]:
        """Yield the current values of the gauge."""
        family = core.GaugeMetricFamily(
            self._name, self._text, labels=self._labels
        )
        for label_values, value in self._read():
            family.add_metric(label_values, value)
        yield family


class Metrics:
    """Holds the Prometheus metrics of one instance."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            'requests', 'Requests that ended.', 'kind', 'result'
        )
        self.request_seconds = self._histogram(
            'request_seconds', 'Time to the end of a request.', 'kind'
        )
        self.first_event_seconds = self._histogram(
            'first_event_seconds', 'Time to the first event of a stream.'
        )
        self.refusals = self._counter(
            'refusals', 'Answers of the instance itself.', 'status', 'reason'
        )
        self.attempts = self._counter(
            'attempts', 'Attempts at targets.', 'kind', 'outcome'
        )
        self.target_crashes = self._counter(
            'target_crashes', 'Crashes of targets with unanswered prompts.'
        )
        self.requests_without_target = self._counter(
            'requests_without_target', 'Requests for which no target was left.'
        )
        self.connections_closed = self._counter(
            'connections_closed', 'Connections closed by a limit.', 'reason'
        )
        self.repeats_denied = self._counter(
            'repeats_denied', 'Repeats beyond the retry budget.'
        )
        self.cold_refusals = self._counter(
            'cold_refusals',
            'Requests and calls beyond the share of targets.',
            'service',
        )
        self.stage_seconds = self._histogram(
            'stage_seconds', 'Time of a stage of a request.', 'service'
        )
        self.stage_calls = self._counter(
            'stage_calls', 'Calls to replicas of stages.', 'service', 'outcome'
        )
        self.stage_items = self._counter(
            'stage_items', 'Items in calls that ran.', 'service'
        )
        self.placed_prompts = self._counter(
            'placed_prompts', 'Prompts placed by expected time.', 'reason'
        )
        self.placement_expected_seconds = self._histogram(
            'placement_expected_seconds',
            'Time to the first event that the placer expected.',
        )
        self.placement_actual_seconds = self._histogram(
            'placement_actual_seconds',
            'Time from the placement of a prompt to its first event.',
        )
        self.placement_error_seconds = self._histogram(
            'placement_error_seconds',
            'Difference of expected and actual time to the first event.',
        )
        self.stage_refusals = self._counter(
            'stage_refusals',
            'Groups refused as expected late, while a pace is reported.',
            'service',
            'place',
        )
        self.stage_places_used = self._counter(
            'stage_places_used',
            'Kept places that returning callers used.',
            'service',
        )

        self.loop_lag_seconds = prometheus_client.Histogram(
            f'{PREFIX}_loop_lag_seconds',
            'How late the event loop ran what was due.',
            registry=self._registry,
            buckets=LAG_BUCKETS_S,
        )

    def add_gauge(
        self, name: str, text: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = prometheus_client.Gauge(
            f'{PREFIX}_{name}', text, registry=self._registry
        )
        gauge.set_function(read)

    def add_labelled_gauge(
        self,
        name: str,
        text: str,
        labels: Sequence[str],
        read: Callable[[], Iterable[Sample]],
    ) -> None:
        """Add a gauge whose labels and values are read at each scrape."""
        self._registry.register(
            _Gauges(f'{PREFIX}_{name}', text, labels, read)
        )

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)

    def _counter(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f'{PREFIX}_{name}', text, labels, registry=self._registry
        )

    def _histogram(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f'{PREFIX}_{name}',
            text,
            labels,
            registry=self._registry,
            buckets=BUCKETS_S,
        )
