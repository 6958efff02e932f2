"""Limits for the results of a request's stages, and their recent delays."""

import attrs

from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import rates

# Stages that recently took longer than their calls are expected to do so for
# about this time.
EXCESS_TIME_CONSTANT_MS = 1_500.0
NEWEST_WEIGHT = 0.3  # of the newest sample in the expected excess
# Requests expected to exceed their objective by up to this share of it are
# accepted: estimates are no more accurate than that.
TOLERANCE_SHARE = 0.2


@attrs.frozen(kw_only=True)
class Deadlines:
    """Limits for the results of a request, on the monotonic clock.

    After ``expiry_ms`` results are useless. A request whose results are
    expected after ``accept_by_ms`` is not begun. ``is_retry`` tells that the
    caller was refused before.
    """

    objective_ms: int
    accept_by_ms: int
    expiry_ms: int
    is_retry: bool = False


def deadlines_of(
    route: model.Route,
    arrived_ms: int,
    elapsed_ms: int,
    deadline_ms: int,
    *,
    is_retry: bool,
) -> Deadlines:
    """Return the limits of a request whose caller waited ``elapsed_ms``."""
    objective_ms = int(route.latency_objective_ms) - elapsed_ms
    abandoned_ms = arrived_ms + int(route.first_event_timeout_ms)
    expiry_ms = min(deadline_ms, abandoned_ms)
    accept_by_ms = arrived_ms + int(objective_ms * (1 + TOLERANCE_SHARE))
    return Deadlines(
        objective_ms=arrived_ms + objective_ms,
        accept_by_ms=expiry_ms if is_retry else accept_by_ms,
        expiry_ms=expiry_ms,
        is_retry=is_retry,
    )


class StageDelays:
    """Average time of stages beyond their own call, by service and rank."""

    def __init__(self) -> None:
        self._excess: dict[tuple[str, int], rates.DecayingExcess] = {}

    def record(
        self, service: str, rank: int, excess_ms: float, now_ms: int
    ) -> None:
        """Add the time that a stage took beyond its own call."""
        self._excess.setdefault(
            (service, rank),
            rates.DecayingExcess(EXCESS_TIME_CONSTANT_MS, NEWEST_WEIGHT),
        ).add(excess_ms, now_ms)

    def excess_ms(self, service: str, rank: int, now_ms: int) -> float:
        """Return the expected time of a stage beyond its own call."""
        excess = self._excess.get((service, rank))
        return 0.0 if excess is None else excess.value_ms(now_ms)
