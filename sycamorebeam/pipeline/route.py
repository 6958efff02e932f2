"""Chooses the replica for an attempt of a stage."""

import random

import attrs

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam.controllers import region_link
from sycamorebeam.controllers import target_registry
from sycamorebeam.policy import score

SAMPLE_SIZE = 2


@attrs.frozen
class NoReplica:
    """The reason why no replica of a group can be chosen."""

    reason: str


class Router:
    """Chooses the better of two random replicas of the subset."""

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        clock: clocks.Clock,
        generator: random.Random,
        link: region_link.RegionLink,
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._random = generator
        self._link = link

    def choose(
        self,
        group: str,
        weighting: catalogue.Weighting,
        excluded: frozenset[str] = frozenset(),
    ) -> target_registry.ReplicaState | NoReplica:
        """Return the replica for one attempt at ``group``.

        Replicas in ``excluded``, which already failed this stage, are used
        only if there are no others.
        """
        candidates = self._registry.candidates(group, excluded)
        if not candidates:
            candidates = self._registry.candidates(group)
        if not candidates:
            return NoReplica(f'no live replica of {group!r} is known')
        eligible = self._prefer_own_region(candidates, weighting)
        sampled = self._random.sample(
            eligible, min(SAMPLE_SIZE, len(eligible))
        )
        now_ms = self._clock.monotonic_ms()
        return min(
            sampled,
            key=lambda state: score.score(
                state.load(now_ms),
                state.replica,
                self._registry.placement,
                weighting,
            ),
        )

    def _prefer_own_region(
        self,
        candidates: list[target_registry.ReplicaState],
        weighting: catalogue.Weighting,
    ) -> list[target_registry.ReplicaState]:
        """Drop replicas in other regions if this region has enough.

        One is enough if cost comes first or the region link has no room.
        """
        placement = self._registry.placement
        in_region = [
            state
            for state in candidates
            if state.replica.region == placement.region
        ]
        saves_cost = weighting is catalogue.Weighting.COST
        minimum = 1 if saves_cost or not self._link.has_room else SAMPLE_SIZE
        return in_region if len(in_region) >= minimum else candidates
