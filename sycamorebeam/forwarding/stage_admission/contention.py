"""Decides between the groups that contend for one stage service.

Designed for bursts of 1.5 to 2.4 times the usual rate in one request class,
in which late groups took capacity from groups that could be in time.
"""

from typing import TypeVar

import attrs

from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import stage_groups
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding.stage_admission import pace_reports
from sycamorebeam.forwarding.stage_admission import policy as admission_policy

# Waiting items that exceed this share of the places in a call of each replica
# show that the service is short of full calls, not of replicas near the data.
FILLING_SHARE = 0.3

_Asked = TypeVar('_Asked', stages.StageRequest, stages.Announcement)


class Contention:
    """The decisions of one queue; none applies unless a pace is reported."""

    def __init__(self, policy: admission_policy.Policy) -> None:
        self._policy = policy
        self._paces = pace_reports.PaceReports()

    def record_load(
        self, target_id: str, load: model.Load | None, now_ms: int
    ) -> None:
        """Record the load that a replica reported along with results."""
        self._paces.record(load, now_ms)

    def is_in_effect(self, now_ms: int) -> bool:
        """Whether the replicas of the service report a pace."""
        return self._paces.are_recent(now_ms)

    def adjusted(self, asked: _Asked, now_ms: int) -> _Asked:
        """Return a request with the measured start of its engine.

        Designed for engines that start in 66 to 200 ms at the median, against
        the assumed 150 ms, where objectives leave 500 ms for all waits.
        """
        if not self.is_in_effect(now_ms):
            return asked
        if not self._policy.measures_engine_start or not asked.engine_gain_ms:
            return asked
        gain_ms = asked.engine_gain_ms
        in_time_ms = asked.in_time_within_ms
        return attrs.evolve(
            asked,
            objective_in_ms=asked.objective_in_ms + gain_ms,
            accept_within_ms=asked.accept_within_ms + gain_ms,
            expires_in_ms=asked.expires_in_ms + gain_ms,
            in_time_within_ms=None
            if in_time_ms is None
            else in_time_ms + gain_ms,
        )

    def fills_calls(
        self, waiting_items: int, places: int, now_ms: int
    ) -> bool:
        """Whether groups take empty places outside the zone of their data.

        Designed for a service whose calls had 65 of 91 places filled while
        600 items waited for their zone, and the stage before it could not go
        on, since its replicas held the inputs of these items.
        """
        return (
            self._policy.fills_calls
            and waiting_items > FILLING_SHARE * places
            and self.is_in_effect(now_ms)
        )

    def puts_timely_first(self, now_ms: int) -> bool:
        """Whether late groups go after timely ones of any rank.

        Designed for answers of which a late one is worth 15% of one in time.
        """
        return self._policy.puts_timely_first and self.is_in_effect(now_ms)

    def is_strict(self, group: stage_groups.Group, now_ms: int) -> bool:
        """Whether a group must be in time, or leave capacity to others."""
        return group.in_time_ms is not None and self.puts_timely_first(now_ms)

    def refusal_ms(
        self,
        group: stage_groups.Group,
        expected_end_ms: float,
        late_end_ms: float,
    ) -> float | None:
        """Return the delay of a retry if a group is refused, else None.

        A group that cannot be in time is admitted only if its caller returns
        and it can be served after all groups that can be in time.
        ``late_end_ms`` is when its results are expected then.

        Designed for a burst in which half of the served requests were late.
        """
        assert group.in_time_ms is not None
        if expected_end_ms <= group.in_time_ms:
            return None
        if group.is_retry:
            excess_ms = late_end_ms - group.accept_by_ms
            return excess_ms if excess_ms > 0 else None
        return expected_end_ms - group.in_time_ms
