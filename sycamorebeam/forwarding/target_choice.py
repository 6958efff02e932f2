"""Chooses the target of a request: pure, from what was observed.

The load answered here is a service with spare capacity on the whole, of
which single targets are slow, failing or far away.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math

import attrs

from sycamorebeam import hashing
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import requests
from sycamorebeam.policy import ejection

# Round trips, in milliseconds, from the sizes in the brief.
ZONE_RTT_MS = 3.0
REGION_RTT_MS = 24.0
# Bytes between regions are billed, so that a near target may be this much
# slower before a far one is preferred.
REGION_COST_MS = 60.0
ASSUMED_LATENCY_MS = 90.0  # until a target has answered
LATENCY_WEIGHT = 0.2  # of the newest sample in the moving average
# An average without new samples loses half of its excess in this time, so
# that a target that was slow is tried again.
FORGET_MS = 4_000.0
FAILURE_COST_MS = 800.0  # of a target that always fails, per request
LOAD_AGE_MS = 500  # a reported load is older than what is known by then
BUSY_SHARE = 0.8  # of an engine's slots, above which affinity yields


@attrs.define
class TargetStats:
    """What this instance saw of one target."""

    in_flight: int = 0
    latency_ms: float = ASSUMED_LATENCY_MS
    failure_rate: float = 0.0
    at_ms: int = 0
    load: int = 0
    load_at_ms: int = -LOAD_AGE_MS
    backoff_until_ms: float = 0.0
    health: ejection.Health = attrs.field(factory=ejection.Health)

    def record_start(self) -> None:
        """Count a request that goes to the target."""
        self.in_flight += 1

    def record_end(self) -> None:
        """Count its end."""
        self.in_flight -= 1

    def record_success(self, latency_ms: float, now_ms: int) -> None:
        """Note an answer and how long it took."""
        self._forget(now_ms)
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self.failure_rate *= 1 - LATENCY_WEIGHT
        self.health.record_success()

    def record_failure(self, now_ms: int) -> None:
        """Note a failure of the target."""
        self._forget(now_ms)
        self.failure_rate += LATENCY_WEIGHT * (1 - self.failure_rate)
        self.health.record_failure(now_ms)

    def record_unreachable(self, now_ms: int) -> None:
        """Note that no connection could be made: others come first now."""
        for _ in range(ejection.FAILURES_TO_EJECT):
            self.record_failure(now_ms)

    def record_load(self, load: int, now_ms: int) -> None:
        """Note the running and waiting requests that a target reported."""
        self.load = load
        self.load_at_ms = now_ms

    def back_off(self, backoff_ms: float, now_ms: int) -> None:
        """Leave the target alone for a time, as it asked for."""
        self.backoff_until_ms = max(self.backoff_until_ms, now_ms + backoff_ms)

    def expected_load(self, now_ms: int) -> int:
        """Return the requests at the target, as far as is known."""
        if now_ms - self.load_at_ms > LOAD_AGE_MS:
            return self.in_flight
        return max(self.in_flight, self.load)

    def expected_ms(self, now_ms: int, slots: int) -> float:
        """Return how long a request would take there, failures priced in."""
        kept = self._kept(now_ms)
        latency = ASSUMED_LATENCY_MS + kept * (
            self.latency_ms - ASSUMED_LATENCY_MS
        )
        load = self.expected_load(now_ms) / max(1, slots)
        return (
            latency * (1 + load) + FAILURE_COST_MS * self.failure_rate * kept
        )

    def _kept(self, now_ms: int) -> float:
        return math.exp2(-(now_ms - self.at_ms) / FORGET_MS)

    def _forget(self, now_ms: int) -> None:
        kept = self._kept(now_ms)
        excess = self.latency_ms - ASSUMED_LATENCY_MS
        self.latency_ms = ASSUMED_LATENCY_MS + kept * excess
        self.failure_rate *= kept
        self.at_ms = now_ms


class TargetChooser:
    """Chooses targets for the requests of one instance."""

    def __init__(self, zone: str, region_of_zone: dict[str, str]) -> None:
        self._zone = zone
        self._region_of_zone = region_of_zone
        self._region = region_of_zone.get(zone, '')
        self._stats: dict[tuple[str, int], TargetStats] = {}

    def round_trip_ms(self, zone: str) -> float:
        """Return the time to a zone and back."""
        if zone == self._zone:
            return 0.0
        if self._region_of_zone.get(zone) == self._region:
            return ZONE_RTT_MS
        return REGION_RTT_MS

    def stats(self, target: model.Target) -> TargetStats:
        """Return what was seen of this incarnation of a target."""
        key = (target.target_id, target.incarnation)
        return self._stats.setdefault(key, TargetStats())

    def keep_only(self, targets: Iterable[model.Target], now_ms: int) -> None:
        """Forget what was seen of targets that are gone."""
        kept = {(item.target_id, item.incarnation) for item in targets}
        for key in self._stats.keys() - kept:
            stats = self._stats[key]
            if not stats.in_flight and stats.backoff_until_ms <= now_ms:
                del self._stats[key]

    def backoff_left_ms(
        self, targets: Iterable[model.Target], now_ms: int
    ) -> float:
        """Return how soon one of the targets wants requests again."""
        return min(
            (
                max(0.0, self.stats(item).backoff_until_ms - now_ms)
                for item in targets
            ),
            default=0.0,
        )

    def pick_service_target(
        self,
        targets: Collection[model.Target],
        excluded: Collection[str],
        now_ms: int,
    ) -> model.Target | None:
        """Return the target that is expected to answer first."""
        candidates = self._candidates(targets, excluded, now_ms)
        return min(
            candidates,
            key=lambda item: self._expected_ms(item, now_ms),
            default=None,
        )

    def pick_engine(
        self,
        targets: Collection[model.Target],
        excluded: Collection[str],
        session: requests.PromptPart | None,
        attempt_id: str,
        now_ms: int,
    ) -> model.Target | None:
        """Return the engine that most likely has a prompt's shared part.

        All instances of a region agree on it without talking, since the
        choice depends on the part and the live engines alone. A busy
        engine yields to the next one.
        """
        near = self.near_engines(targets, excluded, now_ms)
        key = session.part_id if session is not None else attempt_id
        by_id = {item.target_id: item for item in near}
        ranked = hashing.rank(key, by_id, len(by_id))
        for target_id in ranked:
            target = by_id[target_id]
            load = self.stats(target).expected_load(now_ms)
            if load < BUSY_SHARE * target.slots:
                return target
        return by_id[ranked[0]] if ranked else None

    def near_engines(
        self,
        targets: Collection[model.Target],
        excluded: Collection[str],
        now_ms: int,
    ) -> list[model.Target]:
        """Return the engines that may get prompts of this region."""
        return self._nearest(self._candidates(targets, excluded, now_ms))

    def _candidates(
        self,
        targets: Collection[model.Target],
        excluded: Collection[str],
        now_ms: int,
    ) -> list[model.Target]:
        left = {
            item.target_id: item
            for item in targets
            if item.target_id not in excluded
            and self.stats(item).backoff_until_ms <= now_ms
        }
        healths = {
            target_id: self.stats(item).health
            for target_id, item in left.items()
        }
        return [left[name] for name in ejection.usable(healths, now_ms)]

    def _nearest(self, targets: list[model.Target]) -> list[model.Target]:
        near = [
            item
            for item in targets
            if self._region_of_zone.get(item.availability_zone) == self._region
        ]
        return near or targets

    def _expected_ms(self, target: model.Target, now_ms: int) -> float:
        stats = self.stats(target)
        way_ms = self.round_trip_ms(target.availability_zone)
        region = self._region_of_zone.get(target.availability_zone)
        cost_ms = 0.0 if region == self._region else REGION_COST_MS
        return stats.expected_ms(now_ms, target.slots) + way_ms + cost_ms
