"""Groups of stage items whose requests wait for results."""

import asyncio

import attrs

from sycamorebeam.forwarding import stage_groups
from sycamorebeam.forwarding import stages


@attrs.define
class _WaitingGroup:
    group: stage_groups.Group
    future: asyncio.Future[stages.Outcome]
    results: dict[int, str] = attrs.field(factory=dict)
    is_started: bool = False
    broken_calls: int = 0


# A group may be the reason why replicas break off its calls; beyond this
# number it is not passed on to further ones.
MAX_BROKEN_CALLS = 3


class WaitingGroups:
    """Collects each group's results and resolves its future."""

    def __init__(self) -> None:
        self._waiting: dict[int, _WaitingGroup] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(
        self,
        group: stage_groups.Group,
        future: asyncio.Future[stages.Outcome],
    ) -> None:
        """Track a group; ``future`` gets its results or its failure."""
        self._waiting[group.group_id] = _WaitingGroup(group, future)

    def is_waiting(self, group: stage_groups.Group) -> bool:
        """Whether the future of a group is unresolved."""
        waiting = self._waiting.get(group.group_id)
        return waiting is not None and not waiting.future.done()

    def mark_started(self, items: list[stage_groups.GroupItem]) -> None:
        """Mark the groups of items that a call has taken."""
        for item in items:
            waiting = self._waiting.get(item.group.group_id)
            if waiting is not None:
                waiting.is_started = True

    def record_broken_call(
        self, items: list[stage_groups.GroupItem]
    ) -> list[stage_groups.Group]:
        """Count a broken call of the groups of items.

        Returns the groups that are not to be called again.
        """
        given_up = []
        for group_id in {item.group.group_id for item in items}:
            waiting = self._waiting.get(group_id)
            if waiting is None:
                continue
            waiting.broken_calls += 1
            if waiting.broken_calls >= MAX_BROKEN_CALLS:
                given_up.append(waiting.group)
        return given_up

    def unstarted(self) -> list[stage_groups.Group]:
        """Return the groups of which no call has taken an item."""
        return [
            waiting.group
            for waiting in self._waiting.values()
            if not waiting.is_started
        ]

    def add_result(self, item: stage_groups.GroupItem, result: str) -> bool:
        """Add an item's result; return whether its group still waits.

        The last result of a group resolves the group's future.
        """
        waiting = self._waiting.get(item.group.group_id)
        if waiting is None or waiting.future.done():
            return False
        waiting.results[item.index] = result
        if len(waiting.results) == item.group.size:
            ordered = [
                waiting.results[index] for index in range(len(waiting.results))
            ]
            waiting.future.set_result(stages.Results(tuple(ordered)))
        return True

    def fail(
        self,
        group: stage_groups.Group,
        reason: stages.FailureReason,
        retry_after_ms: float,
    ) -> None:
        """Resolve a group's future with a failure, unless it is resolved."""
        waiting = self._waiting.get(group.group_id)
        if waiting is not None and not waiting.future.done():
            waiting.future.set_result(stages.Failure(reason, retry_after_ms))

    def remove(self, group: stage_groups.Group) -> list[str]:
        """Remove a group that has ended; return its unused results."""
        waiting = self._waiting.pop(group.group_id, None)
        if waiting is None:
            return []
        if not waiting.future.cancelled() and isinstance(
            waiting.future.result(), stages.Results
        ):
            return []
        return list(waiting.results.values())
