"""Groups of stage items, and their order in a queue."""

from collections.abc import Iterable
import math

import attrs

from sycamorebeam.forwarding import stages


@attrs.frozen(kw_only=True)
class Group:
    """All items of one request's stage, with times on the monotonic clock.

    Results by ``objective_ms`` meet the latency objective; after
    ``expiry_ms`` they are of no use. While other items wait, the group is
    accepted only if it is expected by ``accept_by_ms``. Calls in ``zone`` move
    the least data; it is empty if all zones are equal in that. Only replicas
    in ``allowed_zones`` may run the items; None allows all zones. If
    ``in_time_ms`` is set, a group expected later is served only from capacity
    that no other group can use in time.
    """

    group_id: int
    rank: int
    queued_ms: int
    objective_ms: int
    accept_by_ms: int
    expiry_ms: int
    zone: str
    result_bytes: float
    work: stages.Work
    positions: tuple[int, ...]
    allowed_zones: frozenset[str] | None = None
    in_time_ms: int | None = None
    is_retry: bool = False

    @property
    def size(self) -> int:
        """The number of items in the group."""
        return len(self.positions)

    def may_run_in(self, zone: str) -> bool:
        """Whether replicas in a zone may run the items."""
        return self.allowed_zones is None or zone in self.allowed_zones


@attrs.frozen
class Dropped:
    """A group that will not be served, and the delay of a retry."""

    group: Group
    retry_after_ms: float


@attrs.frozen
class GroupItem:
    """One item of a group; ``index`` counts within the group."""

    group: Group
    index: int

    @property
    def position(self) -> int:
        """The item's position in its stage."""
        return self.group.positions[self.index]


@attrs.define
class PendingGroup:
    """A queued group; ``remaining`` has the items that no call has taken."""

    group: Group
    remaining: list[int]

    @property
    def is_started(self) -> bool:
        """Whether a call has taken any of the items."""
        return len(self.remaining) < self.group.size

    def take(self, count: int) -> list[GroupItem]:
        """Remove and return the first of the remaining items."""
        taken, self.remaining = self.remaining[:count], self.remaining[count:]
        return [GroupItem(self.group, index) for index in taken]


@attrs.frozen(order=True)
class Urgency:
    """The sort key of groups; the lowest one goes first."""

    yields: bool
    rank: int
    misses_objective: bool
    is_unstarted: bool
    objective_ms: int
    group_id: int


def from_request(
    request: stages.StageRequest,
    group_id: int,
    zone: str,
    allowed_zones: frozenset[str] | None,
    now_ms: int,
) -> Group:
    """Return the group of a request that arrives now."""
    return Group(
        group_id=group_id,
        rank=request.rank,
        queued_ms=now_ms,
        objective_ms=now_ms + request.objective_in_ms,
        accept_by_ms=now_ms + request.accept_within_ms,
        expiry_ms=now_ms + request.expires_in_ms,
        zone=zone if allowed_zones is None or zone in allowed_zones else '',
        result_bytes=request.result_bytes,
        work=request.work,
        positions=request.positions,
        allowed_zones=allowed_zones,
        in_time_ms=_in_time_ms(request, now_ms),
        is_retry=request.is_retry,
    )


def from_announcement(
    announcement: stages.Announcement,
    group_id: int,
    allowed_zones: frozenset[str] | None,
    now_ms: int,
) -> Group:
    """Return the group that a request announces now."""
    return Group(
        group_id=group_id,
        rank=announcement.rank,
        queued_ms=now_ms,
        objective_ms=now_ms + announcement.objective_in_ms,
        accept_by_ms=now_ms + announcement.accept_within_ms,
        expiry_ms=now_ms + announcement.expires_in_ms,
        zone='',
        result_bytes=announcement.result_bytes,
        work=stages.Work(
            announcement.attempt_id, announcement.stage, '', True, ()
        ),
        positions=tuple(range(announcement.items)),
        allowed_zones=allowed_zones,
        in_time_ms=_in_time_ms(announcement, now_ms),
        is_retry=announcement.is_retry,
    )


def _in_time_ms(
    source: stages.StageRequest | stages.Announcement, now_ms: int
) -> int | None:
    within_ms = source.in_time_within_ms
    return None if within_ms is None else now_ms + within_ms


def mean_result_bytes(
    waiting_groups: Iterable[PendingGroup], group: Group | None
) -> float:
    """Return the mean size of results of waiting items and ``group``."""
    waiting = [
        (pending.group, len(pending.remaining)) for pending in waiting_groups
    ]
    if group is not None:
        waiting.append((group, group.size))
    item_count = sum(count for _, count in waiting)
    total_bytes = sum(other.result_bytes * count for other, count in waiting)
    return total_bytes / item_count if item_count else 0.0


def count_fitting(group: Group, places: int, free_bytes: float) -> int:
    """Return how many items of a group fit a call's places and memory."""
    if not group.result_bytes or free_bytes == math.inf:
        return places
    return min(places, max(0, int(free_bytes / group.result_bytes)))
