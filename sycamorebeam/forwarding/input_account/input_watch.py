"""Closes connections that are overdue, and reports closed ones."""

import gc
import resource
from typing import Any

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import request_memory
from sycamorebeam.forwarding.input_account import account as accounts
from sycamorebeam.forwarding.input_account import limits as caller_limits

TICK_MS = 500
# Connections refer to themselves until a garbage collection.
COLLECTED_CONNECTIONS = 64
COLLECTED_AT_ONCE = 256
LOG_INTERVAL_MS = 1_000


class InputWatch:
    """Holds the account of an instance and enforces the time limits."""

    def __init__(
        self,
        clock: clocks.Clock,
        memory: request_memory.RequestMemory,
        limits: caller_limits.LimitsInForce,
        metrics: prometheus_metrics.Metrics,
    ) -> None:
        self._clock = clock
        self._memory = memory
        self._metrics = metrics
        self._collected_count = 0
        self._unlogged: dict[accounts.Reason, tuple[int, int]] = {}
        self._logged_ms = 0
        self.limits = limits
        self.account = accounts.InputAccount(
            memory,
            clock.monotonic_ms,
            max_connections,
            self._count_closed,
            self._note_removed,
        )
        memory.lone_bytes = limits().body_bytes
        metrics.add_gauge(
            'held_input_bytes',
            'Bytes that are held for peers, counted as input.',
            lambda: self.account.held_bytes,
        )
        metrics.add_gauge(
            'inbound_connections',
            'Open connections of callers and other instances.',
            lambda: len(self.account.entries),
        )

    @property
    def server_options(self) -> dict[str, Any]:
        """The options of each server whose connections are counted."""
        return {
            'access_log': None,
            'auto_decompress': False,
            'account': self.account,
            'limits': self.limits,
        }

    async def run_forever(self) -> None:
        """Look at all connections at intervals."""
        while True:
            await self._clock.sleep_ms(TICK_MS)
            self.check(self._clock.monotonic_ms())

    def check(self, now_ms: int) -> None:
        """Close the connections that are overdue now."""
        self._memory.lone_bytes = self.limits().body_bytes
        for entry in self.account.entries:
            if not entry.is_closing:
                reason = entry.connection.overdue(now_ms)
                if reason is not None:
                    self.account.close(entry, reason)
        self.account.relieve()
        removed_count = self.account.removed_count
        if removed_count - self._collected_count >= COLLECTED_CONNECTIONS:
            self._collect()
        if self._unlogged and now_ms - self._logged_ms >= LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            for reason, (count, size) in self._unlogged.items():
                telemetry.log_event(
                    'connections_closed',
                    'WARNING',
                    reason=reason.value,
                    connections=count,
                    held_bytes=size,
                )
            self._unlogged.clear()

    def _note_removed(self) -> None:
        removed_count = self.account.removed_count
        if removed_count - self._collected_count >= COLLECTED_AT_ONCE:
            self._collect()

    def _collect(self) -> None:
        self._collected_count = self.account.removed_count
        gc.collect(1)

    def _count_closed(
        self, reason: accounts.Reason, count: int, size: int
    ) -> None:
        self._metrics.connections_closed.labels(reason.value).inc(count)
        old_count, old_size = self._unlogged.get(reason, (0, 0))
        self._unlogged[reason] = old_count + count, old_size + size


def max_connections() -> float:
    """Return how many connections of peers the process may have."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return float('inf')
    return soft_limit * accounts.DESCRIPTOR_SHARE
