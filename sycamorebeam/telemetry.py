"""Logs and metrics of one process.

Each event is logged as one line of key=value pairs, by loguru. Metrics are
collected in memory and sent to statsd once a second, so that a metric on
the request path costs a dictionary update and no system call.
"""

from collections import Counter
import json
import sys
from typing import Any
from typing import Protocol
from typing import TextIO

import loguru
import statsd

MAX_PENDING_TIMINGS = 2_000


def log_event(name: str, /, level: str = 'INFO', **fields: Any) -> None:
    """Write one event with its fields to the log."""
    loguru.logger.bind(fields=fields).log(level, name)


class LineSink(Protocol):
    """A destination of log lines."""

    def write(self, line: str, /) -> Any:
        """Write one line."""
        ...


def configure_logs(
    instance_id: str, sink: TextIO | LineSink = sys.stderr
) -> None:
    """Send all events to ``sink`` as lines of key=value pairs."""
    loguru.logger.remove()
    loguru.logger.configure(extra={'instance': instance_id})
    loguru.logger.add(sink, format=_format, backtrace=False, diagnose=False)


def _format(record: 'loguru.Record') -> str:
    extra = record['extra']
    pairs: dict[str, Any] = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name.lower(),
        'instance': extra.get('instance', ''),
        'event': record['message'],
        **extra.get('fields', {}),
    }
    line = ' '.join(f'{key}={_format_value(pairs[key])}' for key in pairs)
    extra['line'] = line
    return '{extra[line]}\n{exception}'


def _format_value(value: Any) -> str:
    text = str(value)
    plain = text and not any(mark in text for mark in ' "=\n\r\t')
    return text if plain else json.dumps(text, ensure_ascii=False)


class Metrics:
    """Counters, gauges and timings, sent to statsd by ``flush``."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self._totals: Counter[str] = Counter()
        self._pending: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    @property
    def totals(self) -> dict[str, int]:
        """All counters since the start of the process."""
        return dict(self._totals)

    @property
    def gauges(self) -> dict[str, float]:
        """The latest value of each gauge."""
        return dict(self._gauges)

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self._totals[name] += amount
        self._pending[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration; beyond the bound only count it as dropped."""
        if len(self._timings) < MAX_PENDING_TIMINGS:
            self._timings.append((name, duration_ms))
            return
        self.count('metrics.timings_dropped')

    def flush(self) -> None:
        """Send what was collected since the last flush."""
        pending, self._pending = self._pending, Counter()
        timings, self._timings = self._timings, []
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name in pending:
                pipe.incr(name, pending[name])
            for name in self._gauges:
                pipe.gauge(name, self._gauges[name])
            for name, duration_ms in timings:
                pipe.timing(name, duration_ms)


def new_metrics(address: str | None, prefix: str) -> Metrics:
    """Return metrics sent to the statsd server at ``address`` (IP:port)."""
    if address is None:
        return Metrics()
    host, _, port = address.rpartition(':')
    return Metrics(statsd.StatsClient(host, int(port), prefix=prefix))
