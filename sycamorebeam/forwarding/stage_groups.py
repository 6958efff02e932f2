"""Groups of stage items, and their order in a queue."""

import attrs

from sycamorebeam.forwarding import stages


@attrs.frozen(kw_only=True)
class Group:
    """All items of one request's stage.

    The results serve their latency objective until ``objective_ms``, and
    are of no use after ``deadline_ms``. While other items wait, the group is
    accepted only if it is expected by ``accept_ms``. ``zone`` is where least
    data has to be moved, empty where that makes no difference.
    """

    group_id: int
    rank: int
    queued_ms: int
    objective_ms: int
    accept_ms: int
    deadline_ms: int
    zone: str
    result_bytes: float
    work: stages.Work
    positions: tuple[int, ...]

    @property
    def size(self) -> int:
        """How many items the group has."""
        return len(self.positions)


@attrs.frozen
class Dropped:
    """A group that will not be served; come back after some time."""

    group: Group
    retry_after_ms: float


@attrs.frozen
class GroupItem:
    """An item of a group in a call."""

    group: Group
    index: int

    @property
    def position(self) -> int:
        """The item's position in its stage."""
        return self.group.positions[self.index]


@attrs.frozen(order=True)
class Urgency:
    """The order of groups; the lowest one goes first."""

    rank: int
    misses_objective: bool
    is_unstarted: bool
    objective_ms: int
    group_id: int


def from_request(
    request: stages.StageRequest, group_id: int, zone: str, now_ms: int
) -> Group:
    """Return the group of a request that arrives now."""
    return Group(
        group_id=group_id,
        rank=request.rank,
        queued_ms=now_ms,
        objective_ms=now_ms + request.objective_in_ms,
        accept_ms=now_ms + request.accept_within_ms,
        deadline_ms=now_ms + request.expires_in_ms,
        zone=zone,
        result_bytes=request.result_bytes,
        work=request.work,
        positions=request.positions,
    )


def from_announcement(
    announcement: stages.Announcement, group_id: int, now_ms: int
) -> Group:
    """Return the group that a request announces now."""
    return Group(
        group_id=group_id,
        rank=announcement.rank,
        queued_ms=now_ms,
        objective_ms=now_ms + announcement.objective_in_ms,
        accept_ms=now_ms + announcement.accept_within_ms,
        deadline_ms=now_ms + announcement.expires_in_ms,
        zone='',
        result_bytes=announcement.result_bytes,
        work=stages.Work(
            announcement.attempt_id, announcement.stage, '', True, ()
        ),
        positions=tuple(range(announcement.items)),
    )
