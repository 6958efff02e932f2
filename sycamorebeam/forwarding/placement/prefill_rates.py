"""Learns how fast the engines of a service read prompts at usual pace.

It is designed for services whose engines are equal, so that all prompts of
a service teach the same rate. It does no I/O.
"""

import attrs

from sycamorebeam.forwarding.placement import pace

ASSUMED_TOKENS_PER_MS = 40.0
ASSUMED_WEIGHT_MS = 500.0  # of the assumption, as time spent reading
NEWEST_WEIGHT = 0.02  # of a new sample in the decaying sums
MIN_TOKENS = 1_000  # the time of shorter prompts is mostly overhead
# The rate of one prompt beyond these factors comes from a wrong guess of its
# cached parts, not from the engine.
MAX_DEVIATION = 3.0
# Samples are taken only near the usual pace, since the pace of the time in
# between is not known.
MAX_PACE_DEVIATION = 0.3


@attrs.define
class PrefillRate:
    """Decaying sums of the tokens read and of the time this took."""

    _tokens: float = ASSUMED_TOKENS_PER_MS * ASSUMED_WEIGHT_MS
    _spent_ms: float = ASSUMED_WEIGHT_MS

    @property
    def tokens_per_ms(self) -> float:
        """The rate at usual pace."""
        return self._tokens / self._spent_ms

    def record(self, tokens: float, spent_ms: float, pace_now: float) -> None:
        """Record the reading of a prompt whose cached parts were certain."""
        deviation = abs(pace_now / pace.USUAL_PACE - 1)
        if tokens < MIN_TOKENS or deviation > MAX_PACE_DEVIATION:
            return
        usual_ms = max(1.0, spent_ms * pace.USUAL_PACE / pace_now)
        ratio = tokens / usual_ms / self.tokens_per_ms
        if not 1 / MAX_DEVIATION <= ratio <= MAX_DEVIATION:
            return
        self._tokens = self._tokens * (1 - NEWEST_WEIGHT) + tokens
        self._spent_ms = self._spent_ms * (1 - NEWEST_WEIGHT) + usual_ms
