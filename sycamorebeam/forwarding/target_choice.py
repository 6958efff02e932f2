"""Chooses the target of a request, from statistics of earlier requests.

It is designed for services with spare capacity overall, in which single
targets are slow, failing or far away. It does no I/O.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math

import attrs

from sycamorebeam import hashing
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding.placement import target_loads
from sycamorebeam.forwarding.regions import region_filter
from sycamorebeam.policy import ejection

# Network round trips that the requirements state.
ZONE_RTT_MS = 3.0
REGION_RTT_MS = 24.0
# Traffic between regions is billed, so a target in another region is chosen
# only if it is expected to answer sooner by more than this.
REGION_COST_MS = 60.0
ASSUMED_LATENCY_MS = 90.0  # before the first answer of a target
LATENCY_WEIGHT = 0.2  # of a new sample in the moving averages
# Without new samples, averages decay towards the values of a target without
# statistics, so that a target that was slow is tried again.
STATS_HALF_LIFE_MS = 4_000.0
FAILURE_COST_MS = 800.0  # added at a failure rate of 1
# Of a request's time limit; a target that has it for longer has failed it.
UNENDED_SHARE = 0.5
MAX_LOAD_AGE_MS = 500  # older reports are less accurate than own counts
# Engines with at least this share of their slots in use are avoided.
BUSY_SLOT_SHARE = 0.8


@attrs.define
class TargetStats:
    """Statistics of one incarnation of a target, kept by this instance."""

    in_flight: int = 0
    latency_ms: float = ASSUMED_LATENCY_MS
    failure_rate: float = 0.0
    updated_ms: int = 0
    load: int = 0
    load_updated_ms: int = -MAX_LOAD_AGE_MS
    backoff_until_ms: float = 0.0
    health: ejection.Health = attrs.field(factory=ejection.Health)

    def record_start(self) -> None:
        """Count a request as in flight."""
        self.in_flight += 1

    def record_end(self) -> None:
        """Count a request as ended."""
        self.in_flight -= 1

    def record_success(self, latency_ms: float, now_ms: int) -> None:
        """Record an answer and its latency."""
        self._decay(now_ms)
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self.failure_rate *= 1 - LATENCY_WEIGHT
        self.health.record_success()

    def record_failure(self, now_ms: int) -> None:
        """Record a failed request, and eject the target after several."""
        self._decay(now_ms)
        self.failure_rate += LATENCY_WEIGHT * (1 - self.failure_rate)
        self.health.record_failure(now_ms)

    def record_unended(self, sent_ms: int, limit_ms: int, now_ms: int) -> None:
        """Record a request that was abandoned at this target.

        That is a failure if the target had it for most of its time limit.
        """
        if now_ms - sent_ms >= UNENDED_SHARE * limit_ms:
            self.record_failure(now_ms)

    def record_unreachable(self, now_ms: int) -> None:
        """Record a failed connection, which ejects the target at once."""
        for _ in range(ejection.FAILURES_TO_EJECT):
            self.record_failure(now_ms)

    def record_load(self, load: int, now_ms: int) -> None:
        """Record the number of running and waiting requests of a report."""
        self.load = load
        self.load_updated_ms = now_ms

    def back_off(self, backoff_ms: float, now_ms: int) -> None:
        """Exclude the target from the choice for a time."""
        self.backoff_until_ms = max(self.backoff_until_ms, now_ms + backoff_ms)

    def expected_load(self, now_ms: int) -> int:
        """Return the requests in flight, or of a recent report if more."""
        if now_ms - self.load_updated_ms > MAX_LOAD_AGE_MS:
            return self.in_flight
        return max(self.in_flight, self.load)

    def expected_ms(self, now_ms: int, slots: int) -> float:
        """Return the expected latency, plus the cost of likely failures."""
        factor = self._decay_factor(now_ms)
        latency = ASSUMED_LATENCY_MS + factor * (
            self.latency_ms - ASSUMED_LATENCY_MS
        )
        load = self.expected_load(now_ms) / max(1, slots)
        return (
            latency * (1 + load) + FAILURE_COST_MS * self.failure_rate * factor
        )

    def failure_cost_ms(self, now_ms: int) -> float:
        """Return the cost of likely failures."""
        return FAILURE_COST_MS * self.failure_rate * self._decay_factor(now_ms)

    def _decay_factor(self, now_ms: int) -> float:
        return math.exp2(-(now_ms - self.updated_ms) / STATS_HALF_LIFE_MS)

    def _decay(self, now_ms: int) -> None:
        factor = self._decay_factor(now_ms)
        excess = self.latency_ms - ASSUMED_LATENCY_MS
        self.latency_ms = ASSUMED_LATENCY_MS + factor * excess
        self.failure_rate *= factor
        self.updated_ms = now_ms


class TargetChooser:
    """Chooses targets for the requests of one instance, near ones first."""

    def __init__(self, zone: str, region_of_zone: dict[str, str]) -> None:
        self._zone = zone
        self._region_of_zone = region_of_zone
        self._region = region_of_zone.get(zone, '')
        self._stats: dict[tuple[str, int], TargetStats] = {}
        self._loads = target_loads.TargetLoads()

    @property
    def loads(self) -> target_loads.TargetLoads:
        """The reports of targets that report their pace."""
        return self._loads

    @property
    def zone(self) -> str:
        """The zone of this instance."""
        return self._zone

    def only_allowed(
        self,
        targets: list[model.Target],
        allowed: region_filter.AllowedRegions,
    ) -> list[model.Target]:
        """Return the targets in the regions that may serve a request."""
        return region_filter.only_allowed(
            targets, allowed, self._region_of_zone
        )

    def round_trip_ms(self, zone: str) -> float:
        """Return the round trip time to a zone."""
        if zone == self._zone:
            return 0.0
        if self._region_of_zone.get(zone) == self._region:
            return ZONE_RTT_MS
        return REGION_RTT_MS

    def stats(self, target: model.Target) -> TargetStats:
        """Return the statistics of this incarnation of a target."""
        key = (target.target_id, target.incarnation)
        return self._stats.setdefault(key, TargetStats())

    def record_paced_load(
        self, target: model.Target, load: model.LoadReport, now_ms: int
    ) -> None:
        """Record a report with a pace."""
        own_running = self.stats(target).in_flight
        self._loads.record(target, load, own_running, now_ms)

    def keep_only(self, targets: Iterable[model.Target], now_ms: int) -> None:
        """Drop the statistics of other targets, unless still in use."""
        kept = {(target.target_id, target.incarnation) for target in targets}
        for key in self._stats.keys() - kept:
            stats = self._stats[key]
            if not stats.in_flight and stats.backoff_until_ms <= now_ms:
                del self._stats[key]
        self._loads.keep_only(kept)

    def extra_ms(self, target: model.Target, now_ms: int) -> float:
        """Return the cost of a target's distance and likely failures."""
        return (
            self.round_trip_ms(target.availability_zone)
            + self._region_cost_ms(target)
            + self.stats(target).failure_cost_ms(now_ms)
        )

    def backoff_left_ms(
        self, targets: Iterable[model.Target], now_ms: int
    ) -> float:
        """Return the time until the first of the targets accepts requests."""
        return min(
            (
                max(0.0, self.stats(target).backoff_until_ms - now_ms)
                for target in targets
            ),
            default=0.0,
        )

    def pick_service_target(
        self,
        targets: Collection[model.Target],
        excluded: Collection[str],
        now_ms: int,
    ) -> model.Target | None:
        """Return the target with the lowest expected cost."""
        candidates = self.candidates(targets, excluded, now_ms)
        return min(
            candidates,
            key=lambda target: self._expected_ms(target, now_ms),
            default=None,
        )

    def pick_engine(
        self,
        targets: Collection[model.Target],
        excluded: Collection[str],
        shared_part: requests.PromptPart | None,
        attempt_id: str,
        now_ms: int,
    ) -> model.Target | None:
        """Return the engine that most likely has cached a prompt's prefix.

        Rendezvous hashing of the prefix over the live engines gives the same
        ranking on all instances of a region without communication. Engines
        that are busy are skipped unless all are.
        """
        near = self.near_engines(targets, excluded, now_ms)
        key = shared_part.part_id if shared_part is not None else attempt_id
        by_id = {engine.target_id: engine for engine in near}
        ranked = hashing.rank(key, by_id, len(by_id))
        for target_id in ranked:
            target = by_id[target_id]
            load = self.stats(target).expected_load(now_ms)
            if load < BUSY_SLOT_SHARE * target.slots:
                return target
        return by_id[ranked[0]] if ranked else None

    def near_engines(
        self,
        targets: Collection[model.Target],
        excluded: Collection[str],
        now_ms: int,
    ) -> list[model.Target]:
        """Return the engines that may serve prompts of this region."""
        return self._nearest(self.candidates(targets, excluded, now_ms))

    def candidates(
        self,
        targets: Collection[model.Target],
        excluded: Collection[str],
        now_ms: int,
    ) -> list[model.Target]:
        """Return the targets that take requests and do not fail."""
        remaining = {
            target.target_id: target
            for target in targets
            if target.target_id not in excluded
            and self.stats(target).backoff_until_ms <= now_ms
        }
        healths = {
            target_id: self.stats(target).health
            for target_id, target in remaining.items()
        }
        return [remaining[name] for name in ejection.usable(healths, now_ms)]

    def _nearest(self, targets: list[model.Target]) -> list[model.Target]:
        near = [
            target
            for target in targets
            if self._region_of_zone.get(target.availability_zone)
            == self._region
        ]
        return near or targets

    def _expected_ms(self, target: model.Target, now_ms: int) -> float:
        stats = self.stats(target)
        travel_ms = self.round_trip_ms(target.availability_zone)
        cost_ms = self._region_cost_ms(target)
        return stats.expected_ms(now_ms, target.slots) + travel_ms + cost_ms

    def _region_cost_ms(self, target: model.Target) -> float:
        region = self._region_of_zone.get(target.availability_zone)
        return 0.0 if region == self._region else REGION_COST_MS
