"""Admission limits of catalogue entries and of this instance.

The limits of an entry are divided evenly between the live instances, so
that the shares add up to the limit whichever instances the load balancer
picks.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam.policy import bucket

# Share of the instance's capacity up to which a class is admitted, counting
# the requests of all classes.
CLASS_CEILING = {
    catalogue.ServiceClass.URGENT: 1.0,
    catalogue.ServiceClass.NORMAL: 0.85,
    catalogue.ServiceClass.BULK: 0.6,
}
# Share of the capacity that each class can always use.
CLASS_FLOOR = 0.05
# A burst may take this many seconds' worth of a rate at once.
BURST_S = 1.0
MAX_ENTRIES_KEPT = 4_096
SHED_RETRY_MS = 500

LimitsByKey = Mapping[str, catalogue.Limits]


@attrs.frozen
class Admitted:
    """The request may run; call ``release`` when it has ended."""


@attrs.frozen
class OverLimit:
    """The catalogue entry ``key`` is over one of its limits."""

    key: str
    limit: str
    retry_after_ms: int


@attrs.frozen
class Overloaded:
    """The instance has no capacity left for the request's class."""

    retry_after_ms: int


AdmitResult = Admitted | OverLimit | Overloaded


@attrs.define
class _EntryUsage:
    """The use of this instance's share of one entry's limits."""

    limits: catalogue.Limits
    shares: int
    requests: bucket.Bucket | None
    tokens: bucket.Bucket | None
    in_flight: int = 0

    def exceeded_limit(self, key: str, now_ms: int) -> OverLimit | None:
        """Return the limit that one more request would exceed, if any."""
        max_requests = self.limits.concurrency
        if max_requests is not None and self.in_flight >= max(
            1, max_requests // self.shares
        ):
            return OverLimit(key, 'concurrency', SHED_RETRY_MS)
        if self.tokens is not None and not self.tokens.has_room(now_ms):
            wait_ms = self.tokens.wait_ms(now_ms)
            return OverLimit(key, 'tokens_per_s', wait_ms)
        if self.requests is None:
            return None
        wait_ms = self.requests.wait_ms(now_ms)
        return OverLimit(key, 'requests_per_s', wait_ms) if wait_ms else None

    def count_request(self, now_ms: int) -> None:
        """Count one admitted request."""
        self.in_flight += 1
        if self.requests is not None:
            self.requests.take(now_ms)


class LimitsController:
    """Admits requests by catalogue entry, service class and capacity."""

    def __init__(self, clock: clocks.Clock, capacity: int) -> None:
        self._clock = clock
        self._capacity = capacity
        self._usage_by_key: dict[str, _EntryUsage] = {}
        self._in_flight_by_class = dict.fromkeys(catalogue.ServiceClass, 0)

    @property
    def in_flight(self) -> int:
        """The number of admitted requests in progress."""
        return sum(self._in_flight_by_class.values())

    @property
    def entries_kept(self) -> int:
        """The number of catalogue entries with a state in memory."""
        return len(self._usage_by_key)

    def in_flight_by_entry(self) -> dict[str, int]:
        """Return the number of requests in progress, without idle entries."""
        return {
            key: usage.in_flight
            for key, usage in sorted(self._usage_by_key.items())
            if usage.in_flight
        }

    def admit(
        self,
        limits_by_key: LimitsByKey,
        service_class: catalogue.ServiceClass,
        live_instances: int,
    ) -> AdmitResult:
        """Admit a request under all of ``limits_by_key``, or refuse it."""
        if not self._has_room(service_class):
            return Overloaded(SHED_RETRY_MS)
        self._forget_idle()
        now_ms = self._clock.monotonic_ms()
        usages = {
            key: self._usage_of(key, limits_by_key[key], live_instances)
            for key in limits_by_key
        }
        for key, usage in usages.items():
            exceeded = usage.exceeded_limit(key, now_ms)
            if exceeded is not None:
                return exceeded
        for usage in usages.values():
            usage.count_request(now_ms)
        self._in_flight_by_class[service_class] += 1
        return Admitted()

    def release(
        self, keys: Iterable[str], service_class: catalogue.ServiceClass
    ) -> None:
        """Free the slot of an admitted request that has ended."""
        for key in keys:
            self._usage_by_key[key].in_flight -= 1
        self._in_flight_by_class[service_class] -= 1

    def charge_tokens(self, keys: Iterable[str], tokens: int) -> None:
        """Count generated tokens, whose number is known only afterwards."""
        now_ms = self._clock.monotonic_ms()
        for key in keys:
            limit = self._usage_by_key[key].tokens
            if limit is not None:
                limit.charge(now_ms, tokens)

    def _has_room(self, service_class: catalogue.ServiceClass) -> bool:
        floor = max(1, int(self._capacity * CLASS_FLOOR))
        if self._in_flight_by_class[service_class] < floor:
            return True
        ceiling = int(self._capacity * CLASS_CEILING[service_class])
        return self.in_flight < ceiling

    def _usage_of(
        self, key: str, limits: catalogue.Limits, shares: int
    ) -> _EntryUsage:
        usage = self._usage_by_key.get(key)
        if usage and usage.shares == shares and usage.limits == limits:
            return usage
        in_flight = usage.in_flight if usage else 0
        usage = self._usage_by_key[key] = _EntryUsage(
            limits,
            shares,
            _bucket(limits.requests_per_s, shares),
            _bucket(limits.tokens_per_s, shares),
            in_flight,
        )
        return usage

    def _forget_idle(self) -> None:
        if len(self._usage_by_key) < MAX_ENTRIES_KEPT:
            return
        self._usage_by_key = {
            key: usage
            for key, usage in self._usage_by_key.items()
            if usage.in_flight
        }


def _bucket(rate_per_s: float | None, shares: int) -> bucket.Bucket | None:
    if rate_per_s is None:
        return None
    share = rate_per_s / shares
    return bucket.Bucket(share, max(1.0, share * BURST_S))
