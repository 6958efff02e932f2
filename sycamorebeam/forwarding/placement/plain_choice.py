"""Chooses the target of a plain request by its expected time.

It is designed for services with few slots on machines with slow periods,
which many instances send to with reports of different ages. It does no I/O.
"""

from collections.abc import Sequence
import math
import random

import attrs

from sycamorebeam.forwarding.placement import pace
from sycamorebeam.forwarding.placement import target_loads

# Candidates within this time of the best are nearly equal. One of them is
# chosen at random, so that instances with the same reports spread out.
NEARLY_EQUAL_MS = 4.0
NEARLY_EQUAL_SHARE = 0.15  # of the best candidate's time
ASSUMED_WORK_MS = 50.0  # before the first answer
WORK_WEIGHT = 0.05  # of a new sample
# An answer slower than this many times the usual work has queued.
MAX_WORK_FACTOR = 3.0


@attrs.frozen(kw_only=True)
class Candidate:
    """A target with what this instance knows of it.

    ``extra_ms`` is the network distance plus the cost of likely failures.
    """

    own_running: int
    slots: int
    sample: target_loads.Sample | None
    extra_ms: float

    def running(self, now_ms: float) -> float:
        """Return the expected requests there, of all instances.

        A report tells of those of other instances, less so as it ages.
        """
        if self.sample is None:
            return self.own_running
        load = self.sample.load
        others = load.running + load.waiting - self.sample.own_running
        age_ms = now_ms - self.sample.seen_ms
        weight = math.exp(-age_ms / pace.SPELL_MS)
        return self.own_running + max(0, others) * weight

    def expected_ms(self, work_ms: float, now_ms: float) -> float:
        """Return the expected time to the answer of one more request."""
        slots = max(1, self.slots)
        excess = max(0.0, self.running(now_ms) + 1 - slots)
        total_ms = work_ms * (1 + excess / slots)
        if self.sample is not None:
            total_ms = self.sample.expected_ms(total_ms, now_ms)
        return total_ms + self.extra_ms


def choose(
    candidates: Sequence[Candidate],
    work_ms: float,
    generator: random.Random,
    now_ms: float,
) -> int | None:
    """Return the position of the candidate to use, None if there is none.

    Of the candidates nearly as fast as the best, two are drawn at random and
    the one with fewer requests is chosen.
    """
    if not candidates:
        return None
    times = [item.expected_ms(work_ms, now_ms) for item in candidates]
    best_ms = min(times)
    limit_ms = best_ms + max(NEARLY_EQUAL_MS, NEARLY_EQUAL_SHARE * best_ms)
    near = [
        position for position, time in enumerate(times) if time <= limit_ms
    ]
    drawn = generator.sample(near, min(2, len(near)))
    return min(
        drawn,
        key=lambda position: (
            candidates[position].running(now_ms)
            / max(1, candidates[position].slots)
        ),
    )


@attrs.define
class WorkTimes:
    """The time that a request of each service takes at the usual pace."""

    _work_ms: dict[str, float] = attrs.field(factory=dict)

    def get(self, service: str) -> float:
        """Return the time without waiting, at the usual pace."""
        return self._work_ms.get(service, ASSUMED_WORK_MS)

    def record(
        self,
        service: str,
        latency_ms: float,
        sample: target_loads.Sample | None,
    ) -> None:
        """Record the time of an answer, and the report that came with it."""
        factor = 1.0 if sample is None else sample.pace / pace.USUAL_PACE
        usual_ms = latency_ms / max(1.0, factor)
        known_ms = self._work_ms.get(service)
        if known_ms is None:
            self._work_ms[service] = usual_ms
            return
        usual_ms = min(usual_ms, MAX_WORK_FACTOR * known_ms)
        self._work_ms[service] += WORK_WEIGHT * (usual_ms - known_ms)
