"""The stages of a planned stop, within the grace period of the platform."""

import attrs

# The balancer checks readiness each second and removes an instance after two
# failed checks.
BALANCER_LAG_MS = 2_500
# Parts of the grace period: for the answers to requests that have not ended,
# and for exiting.
ANSWER_MARGIN_MS = 350
EXIT_MARGIN_MS = 350
MAX_MARGIN_SHARE = 1 / 4  # of a short grace period, both margins together


@attrs.frozen
class StopTimes:
    """When the stages of a stop end, on the monotonic clock.

    New requests are refused from ``refuse_ms``, requests in progress are
    answered at ``answer_ms``, and the process exits at ``exit_ms``.
    """

    refuse_ms: int
    answer_ms: int
    exit_ms: int


def plan(now_ms: int, grace_ms: float) -> StopTimes:
    """Return the times of a stop that begins now."""
    margins_ms = ANSWER_MARGIN_MS + EXIT_MARGIN_MS
    scale = min(1.0, grace_ms * MAX_MARGIN_SHARE / margins_ms)
    answer_ms = int(now_ms + grace_ms - scale * margins_ms)
    return StopTimes(
        refuse_ms=min(now_ms + BALANCER_LAG_MS, answer_ms),
        answer_ms=answer_ms,
        exit_ms=int(now_ms + grace_ms - scale * EXIT_MARGIN_MS),
    )
