"""Chooses the replica that a stage's attempt goes to."""

import random

import attrs

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam.controllers import region_link
from sycamorebeam.controllers import target_registry
from sycamorebeam.policy import score

CHOICES = 2


@attrs.frozen
class NoReplica:
    """No replica of the group may get the attempt."""

    reason: str


class Router:
    """Takes the better of two random replicas of the subset."""

    def __init__(
        self,
        known: target_registry.TargetRegistry,
        clock: clocks.Clock,
        generator: random.Random,
        link: region_link.RegionLink,
    ) -> None:
        self._targets = known
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
        candidates = self._targets.candidates(group, excluded)
        if not candidates:
            candidates = self._targets.candidates(group)
        if not candidates:
            return NoReplica(f'no live replica of {group!r} is known')
        pool = self._nearest(candidates, weighting)
        picked = self._random.sample(pool, min(CHOICES, len(pool)))
        now_ms = self._clock.monotonic_ms()
        return min(
            picked,
            key=lambda state: score.score(
                state.load(now_ms),
                state.replica,
                self._targets.placement,
                weighting,
            ),
        )

    def _nearest(
        self,
        candidates: list[target_registry.ReplicaState],
        weighting: catalogue.Weighting,
    ) -> list[target_registry.ReplicaState]:
        """Drop replicas in other regions while this region has enough.

        One is enough when cost weighs more, or the link has no room.
        """
        here = self._targets.placement
        near = [
            state
            for state in candidates
            if state.replica.region == here.region
        ]
        spares = weighting is catalogue.Weighting.COST
        enough = 1 if spares or not self._link.has_room else CHOICES
        return near if len(near) >= enough else candidates
