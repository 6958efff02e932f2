"""Chooses the replica that a stage's attempt goes to."""

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
    """No replica of the group may get the attempt."""

    reason: str


class Router:
    """Takes the better of two random replicas of the subset."""

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

        Replicas in ``excluded``, which failed this stage already, are used
        only when there is no other.
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
        """Drop replicas in other regions while this region has enough.

        One is enough when cost weighs more, or the link has no room.
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
