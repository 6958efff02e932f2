"""Decides between the groups that contend for one stage service.

Designed for bursts of 1.5 to 2.4 times the usual rate in one request class,
in which late groups took capacity from groups that could be in time.
"""

from collections.abc import Collection
from collections.abc import Mapping
from typing import TypeVar

import attrs

from sycamorebeam.forwarding import stage_groups
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding.stage_admission import pace_reports
from sycamorebeam.forwarding.stage_admission import policy as admission_policy
from sycamorebeam.forwarding.stage_admission import retry_places

# Waiting items that exceed this share of the places in a call of each replica
# show that the service is short of full calls, not of replicas near the data.
FILLING_SHARE = 0.3
# Estimates are off by about this much; a group admitted too late takes
# capacity from the next one, which is then late too. Without the margin 0.539
# instead of 0.672 of the medium prompts of a simulated burst are in time.
MARGIN_MS = 100.0
# Callers return after at most this share of their remaining time.
MAX_RETRY_SHARE = 1 / 3
MIN_RETURN_MS = 200.0  # the caller's round trip dominates below this

_Asked = TypeVar('_Asked', stages.StageRequest, stages.Announcement)


@attrs.define
class Counts:
    """Groups refused, and places kept and used, since the last reading."""

    refused: int = 0
    kept: int = 0
    used: int = 0


class Contention:
    """The decisions of one queue; none applies unless a pace is reported."""

    def __init__(
        self,
        policy: admission_policy.Policy,
        region_of_zone: Mapping[str, str],
    ) -> None:
        self._policy = policy
        self._region_of_zone = region_of_zone
        self._paces = pace_reports.PaceReports()
        self._places = retry_places.RetryPlaces()
        self._counts = Counts()

    def pop_counts(self) -> Counts:
        """Return the counts since the last reading."""
        counts, self._counts = self._counts, Counts()
        return counts

    def is_in_effect(self, now_ms: int) -> bool:
        """Whether the targets of recent requests report a pace."""
        return self._paces.are_recent(now_ms)

    def adjusted(self, asked: _Asked, now_ms: int) -> _Asked:
        """Return a request with the measured start of its engine.

        Designed for engines that start in 66 to 200 ms at the median, against
        the assumed 150 ms, where objectives leave 500 ms for all waits.
        """
        if asked.reports_pace:
            self._paces.record(now_ms)
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

    def fillable_zones(
        self, zone: str, waiting_items: int, places: int, now_ms: int
    ) -> Collection[str]:
        """Return the zones whose groups take empty places of a replica.

        ``places`` is the number of places in one call of each replica.
        Groups stay in the region of their data, since all traffic between
        regions shares one narrow link.

        Designed for a service whose calls had 65 of 91 places filled while
        600 items waited for their zone, and the stage before it could not go
        on, since its replicas held the inputs of these items.
        """
        if (
            not self._policy.fills_calls
            or waiting_items <= FILLING_SHARE * places
            or not self.is_in_effect(now_ms)
        ):
            return ()
        region = self._region_of_zone.get(zone)
        return [
            other
            for other, other_region in self._region_of_zone.items()
            if other_region == region
        ]

    def saves_memory(self, held_bytes: float, now_ms: int) -> bool:
        """Whether results must not take up memory before they are of use.

        Results of a part of a group fill a replica until the rest is done
        elsewhere. An empty replica takes parts, since some groups may need
        more memory than a replica has.

        Designed for a service with places for 58 items whose calls had 45,
        since results of earlier calls filled 0.97 of the memory.
        """
        return (
            self._policy.saves_memory
            and held_bytes > 0
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
        items_per_ms: float,
        now_ms: int,
    ) -> float | None:
        """Return the delay of a retry if a group is refused, else None.

        A group that cannot be in time is admitted only if its caller returns
        and it can be served after all groups that can be in time.
        ``late_end_ms`` is when its results are expected then.

        Designed for a burst in which half of the served requests were late.
        """
        assert group.in_time_ms is not None
        if expected_end_ms + MARGIN_MS <= group.in_time_ms:
            return None
        if group.is_retry and late_end_ms <= group.accept_by_ms:
            return None
        self._counts.refused += 1
        limit_ms = group.accept_by_ms if group.is_retry else group.in_time_ms
        excess_ms = max(0.0, late_end_ms - limit_ms)
        if not self._policy.keeps_retry_places or not items_per_ms:
            # Without a replica there is no capacity to promise.
            return excess_ms
        latest_ms = now_ms + MAX_RETRY_SHARE * (group.expiry_ms - now_ms)
        earliest_ms = min(latest_ms, now_ms + max(MIN_RETURN_MS, excess_ms))
        due_ms = self._places.book(
            group.rank, group.size, earliest_ms, latest_ms, items_per_ms
        )
        if due_ms is None:
            return latest_ms - now_ms
        self._counts.kept += 1
        return due_ms - now_ms

    def takes_place(self, group: stage_groups.Group, now_ms: int) -> bool:
        """Whether a place is kept for a returning caller's group.

        Designed for callers that return at the time that they were given.
        """
        if not (self._policy.keeps_retry_places and group.is_retry):
            return False
        if not self._places.take(group.rank, group.size, now_ms):
            return False
        self._counts.used += 1
        return True
