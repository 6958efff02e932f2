"""The queue of one stage service: selects the items of each call.

A call has a high fixed cost, and items arrive from many requests at once, so
that only full calls carry the peak load. The queue does no I/O and reads no
clock: callers pass in the replicas and the time.
"""

from collections.abc import Mapping
import math
import types

import attrs

from sycamorebeam.forwarding import announced_groups
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import rates
from sycamorebeam.forwarding import stage_forecast
from sycamorebeam.forwarding import stage_groups
from sycamorebeam.forwarding import stage_replica
from sycamorebeam.forwarding.stage_admission import contention
from sycamorebeam.forwarding.stage_admission import policy as admission_policy
from sycamorebeam.forwarding.stage_calls import eligibility

# A burst shows in the arrival rate within about a second.
ARRIVAL_TIME_CONSTANT_MS = 1_500.0
RESIDENCE_WEIGHT = 0.02  # of one result; some dozens are freed a second
MIN_RETRY_AFTER_MS = 200.0  # the caller's round trip dominates below this
NO_REPLICA_RETRY_MS = 300.0  # a replacement is listed within a second


@attrs.frozen
class Accepted:
    """The group was admitted."""


@attrs.frozen
class Rejected:
    """The results are not expected in time; a retry may succeed later."""

    retry_after_ms: float


class StageQueue:
    """Holds the groups whose items wait for calls, and admits new groups."""

    def __init__(
        self,
        batching: model.Batching,
        policy: admission_policy.Policy = admission_policy.Policy(),  # noqa: B008
        region_of_zone: Mapping[str, str] = types.MappingProxyType({}),
    ) -> None:
        self._batching = batching
        self._admission = contention.Contention(policy, region_of_zone)
        self._pending: dict[int, stage_groups.PendingGroup] = {}
        self._announced = announced_groups.AnnouncedGroups()
        self._arrivals: dict[int, rates.DecayingRate] = {}
        self._residence_ms = 0.0

    @property
    def residence_ms(self) -> float:
        """How long replicas keep a result after its call, as an average."""
        return self._residence_ms

    @property
    def admission(self) -> contention.Contention:
        """Decides between groups while replicas report their pace."""
        return self._admission

    def record_residence(self, kept_ms: float) -> None:
        """Add to the average how long a result was kept after its call."""
        change_ms = kept_ms - self._residence_ms
        self._residence_ms += RESIDENCE_WEIGHT * change_ms

    @property
    def batching(self) -> model.Batching:
        """The configured limits and durations of the replicas' calls."""
        return self._batching

    @batching.setter
    def batching(self, batching: model.Batching) -> None:
        self._batching = batching

    @property
    def waiting_item_count(self) -> int:
        """The number of waiting items."""
        return sum(
            len(pending.remaining) for pending in self._pending.values()
        )

    def call_ms(self, item_count: int) -> float:
        """Return the configured duration of a call with that many items."""
        return stage_forecast.call_ms(self._batching, item_count)

    def submit(
        self,
        group: stage_groups.Group,
        replicas: list[stage_replica.Replica],
        now_ms: int,
    ) -> Accepted | Rejected:
        """Queue a group unless its results are expected too late.

        Announced groups were admitted before and are always queued.
        """
        if not self._announced.remove_arrived(group):
            rejected = self._check_admission(group, replicas, now_ms, now_ms)
            if rejected is not None:
                return rejected
        self._arrivals.setdefault(
            group.rank, rates.DecayingRate(ARRIVAL_TIME_CONSTANT_MS)
        ).add(group.size, now_ms)
        self._pending[group.group_id] = stage_groups.PendingGroup(
            group, list(range(group.size))
        )
        return Accepted()

    def announce(
        self,
        group: stage_groups.Group,
        replicas: list[stage_replica.Replica],
        arrives_ms: int,
        now_ms: int,
    ) -> Accepted | Rejected:
        """Reserve capacity for a group unless its results come too late.

        An accepted group is queued without a check when it arrives.
        """
        rejected = self._check_admission(group, replicas, arrives_ms, now_ms)
        if rejected is not None:
            return rejected
        self._announced.add(group, arrives_ms)
        return Accepted()

    def withdraw(self, attempt_id: str, stage: int) -> None:
        """Remove the announcement of a group."""
        self._announced.withdraw(attempt_id, stage)

    def expire_announcements(self, now_ms: int) -> None:
        """Remove announcements whose groups are long overdue."""
        self._announced.expire(now_ms)

    def _check_admission(
        self,
        group: stage_groups.Group,
        replicas: list[stage_replica.Replica],
        arrives_ms: int,
        now_ms: int,
    ) -> Rejected | None:
        if group.allowed_zones is not None and not any(
            group.may_run_in(replica.zone) for replica in replicas
        ):
            return Rejected(NO_REPLICA_RETRY_MS)
        expected_end_ms = self._expected_end_ms(
            group, replicas, arrives_ms, now_ms
        )
        is_busy = bool(self._pending or self._announced)
        if is_busy and self._admission.is_strict(group, now_ms):
            if (
                expected_end_ms <= group.expiry_ms
                and self._admission.takes_place(group, now_ms)
            ):
                return None
            return self._check_timely_admission(
                group, expected_end_ms, replicas, arrives_ms, now_ms
            )
        limit_ms = group.accept_by_ms if is_busy else group.expiry_ms
        if expected_end_ms <= limit_ms:
            return None
        excess_ms = expected_end_ms - limit_ms
        return Rejected(max(MIN_RETRY_AFTER_MS, excess_ms))

    def _check_timely_admission(
        self,
        group: stage_groups.Group,
        expected_end_ms: float,
        replicas: list[stage_replica.Replica],
        arrives_ms: int,
        now_ms: int,
    ) -> Rejected | None:
        late_end_ms = expected_end_ms
        if group.is_retry:
            last = attrs.evolve(group, objective_ms=now_ms)
            late_end_ms = self._expected_end_ms(
                last, replicas, arrives_ms, now_ms
            )
        retry_after_ms = self._admission.refusal_ms(
            group,
            expected_end_ms,
            late_end_ms,
            self._items_per_ms(replicas, group),
            now_ms,
        )
        if retry_after_ms is None:
            return None
        return Rejected(max(MIN_RETRY_AFTER_MS, retry_after_ms))

    def requeue(self, item: stage_groups.GroupItem) -> None:
        """Queue an item again that its call did not produce."""
        pending = self._pending.setdefault(
            item.group.group_id, stage_groups.PendingGroup(item.group, [])
        )
        pending.remaining.append(item.index)

    def cancel(self, group_id: int) -> None:
        """Drop the waiting items of a group."""
        self._pending.pop(group_id, None)

    def drop_unservable(
        self, replicas: list[stage_replica.Replica], now_ms: int
    ) -> list[stage_groups.Dropped]:
        """Drop and return the groups that would expire before their results.

        More urgent groups have overtaken them, or replicas have left. They are
        dropped early, so that their callers have time for a retry. Started
        groups stay as long as a call that begins now would end in time.
        """
        dropped_groups = []
        items_ahead = 0
        items_per_ms = self._items_per_ms(replicas)
        first_free_in_ms = min(
            (replica.free_in_ms(now_ms) for replica in replicas), default=0
        )
        for pending in self._by_urgency(now_ms):
            group = pending.group
            call_ms = self.call_ms(
                min(len(pending.remaining), self._batching.max_items)
            )
            expected_end_ms = now_ms + call_ms
            if not pending.is_started and replicas:
                expected_end_ms += first_free_in_ms + stage_forecast.wait_ms(
                    self._batching,
                    items_ahead,
                    items_per_ms,
                    self._overtaking_per_ms(
                        self._urgency(group, False, now_ms), now_ms
                    ),
                )
            excess_ms = expected_end_ms - group.expiry_ms
            if excess_ms > 0:
                dropped_groups.append(stage_groups.Dropped(group, excess_ms))
            else:
                items_ahead += len(pending.remaining)
        for dropped in dropped_groups:
            del self._pending[dropped.group.group_id]
        return dropped_groups

    def next_call(
        self,
        replica: stage_replica.Replica,
        replicas: list[stage_replica.Replica],
        now_ms: int,
    ) -> list[stage_groups.GroupItem]:
        """Remove and return the items of the next call of a free replica."""
        ordered = self._by_urgency(now_ms)
        eligible = eligibility.eligible_groups(
            self._batching,
            ordered,
            replica,
            replicas,
            now_ms,
            fillable_zones=self._admission.fillable_zones(
                replica.zone,
                self.waiting_item_count,
                self._batching.max_items * len(replicas),
                now_ms,
            ),
        )
        places = self._batching.max_items
        free_bytes = self._batching.memory_bytes - replica.held_bytes
        taken: list[stage_groups.GroupItem] = []
        partial: stage_groups.PendingGroup | None = None
        for pending in eligible:
            fitting_count = stage_groups.count_fitting(
                pending.group, places, free_bytes
            )
            if fitting_count < len(pending.remaining):
                # Results are of use only when the whole group is done, so
                # whole groups go before a part of one.
                partial = partial or pending
                continue
            places -= len(pending.remaining)
            free_bytes -= pending.group.result_bytes * len(pending.remaining)
            taken.extend(self._take_items(pending, len(pending.remaining)))
        if partial is not None and (
            partial.is_started
            or stage_groups.count_fitting(partial.group, places, math.inf)
            <= stage_groups.count_fitting(partial.group, places, free_bytes)
            or not self._admission.saves_memory(replica.held_bytes, now_ms)
        ):
            fitting_count = stage_groups.count_fitting(
                partial.group, places, free_bytes
            )
            taken.extend(self._take_items(partial, fitting_count))
        return taken

    def _by_urgency(self, now_ms: int) -> list[stage_groups.PendingGroup]:
        return sorted(
            self._pending.values(),
            key=lambda pending: self._urgency(
                pending.group, pending.is_started, now_ms
            ),
        )

    def _urgency(
        self, group: stage_groups.Group, is_started: bool, now_ms: int
    ) -> stage_groups.Urgency:
        """Return the sort key of a group: by rank, started groups first.

        Within a rank, a group that misses its objective anyway goes last: it
        is worth little and must not make other groups miss theirs.
        """
        end_ms = now_ms + self.call_ms(group.size)
        misses_objective = end_ms > group.objective_ms and not is_started
        return stage_groups.Urgency(
            misses_objective and self._admission.puts_timely_first(now_ms),
            group.rank,
            misses_objective,
            not is_started,
            group.objective_ms,
            group.group_id,
        )

    def _take_items(
        self, pending: stage_groups.PendingGroup, count: int
    ) -> list[stage_groups.GroupItem]:
        taken = pending.take(count)
        if not pending.remaining:
            del self._pending[pending.group.group_id]
        return taken

    def _expected_end_ms(
        self,
        group: stage_groups.Group,
        replicas: list[stage_replica.Replica],
        arrives_ms: int,
        now_ms: int,
    ) -> float:
        """Return when the last result of a group is expected.

        Announced groups count like waiting ones.
        """
        call_size = self._batching.max_items
        # Other waiting items fill up the call, which makes it longer.
        call_ms = self.call_ms(
            min(call_size, self.waiting_item_count + group.size)
        )
        if not replicas:
            return arrives_ms + call_ms + self._batching.call_ms
        own_urgency = self._urgency(group, False, now_ms)
        items_ahead = group.size - 1
        items_ahead += sum(
            len(pending.remaining)
            for pending in self._pending.values()
            if self._urgency(pending.group, pending.is_started, now_ms)
            < own_urgency
        )
        items_ahead += self._announced.count_items(
            lambda other: self._urgency(other, False, now_ms) < own_urgency
        )
        wait_ms = stage_forecast.wait_ms(
            self._batching,
            items_ahead,
            self._items_per_ms(replicas, group),
            self._overtaking_per_ms(own_urgency, now_ms),
        )
        # Waiting groups are assumed to be spread evenly over the regions.
        first_free_in_ms = min(
            replica.free_in_ms(now_ms)
            for replica in replicas
            if group.may_run_in(replica.zone)
        )
        return max(arrives_ms, now_ms + first_free_in_ms + wait_ms) + call_ms

    def _items_per_ms(
        self,
        replicas: list[stage_replica.Replica],
        group: stage_groups.Group | None = None,
    ) -> float:
        """Return how many items the replicas produce in a millisecond.

        The size of results is the mean over the waiting items and ``group``.
        """
        full_call_ms = self.call_ms(self._batching.max_items)
        return stage_forecast.capacity_per_ms(
            self._batching,
            [replica.pace(full_call_ms) for replica in replicas],
            stage_groups.mean_result_bytes(self._pending.values(), group),
            self.residence_ms,
        )

    def _overtaking_per_ms(
        self, own_urgency: stage_groups.Urgency, now_ms: int
    ) -> float:
        """Return how many more urgent items arrive in a millisecond."""
        return sum(
            rate.per_ms(now_ms)
            for rank, rate in self._arrivals.items()
            if own_urgency.yields
            or rank < own_urgency.rank
            or (rank == own_urgency.rank and own_urgency.misses_objective)
        )
