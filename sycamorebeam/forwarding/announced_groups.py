"""Groups of items that will arrive when the stages before them have run.

Admission counts them like waiting items. Where a later stage of a chain is the
bottleneck, its queue is still short while the requests that will wait there
are at the stages before it.
"""

from collections.abc import Callable

import attrs

from sycamorebeam.forwarding import stage_groups

# A group this overdue is not expected any more: its sender has ended without
# a withdrawal.
ARRIVAL_GRACE_MS = 1_500


@attrs.frozen
class _AnnouncedGroup:
    group: stage_groups.Group
    arrives_ms: int


class AnnouncedGroups:
    """Holds the groups that a queue has admitted before their arrival."""

    def __init__(self) -> None:
        self._announced: dict[tuple[str, int], _AnnouncedGroup] = {}

    def __len__(self) -> int:
        return len(self._announced)

    def add(self, group: stage_groups.Group, arrives_ms: int) -> None:
        """Record an admitted group and when it is expected."""
        self._announced[_key(group)] = _AnnouncedGroup(group, arrives_ms)

    def remove_arrived(self, group: stage_groups.Group) -> bool:
        """Remove a group that has arrived; return whether it was announced."""
        return self._announced.pop(_key(group), None) is not None

    def withdraw(self, attempt_id: str, stage: int) -> None:
        """Remove a group that will not arrive."""
        self._announced.pop((attempt_id, stage), None)

    def expire(self, now_ms: int) -> None:
        """Remove the groups that are overdue by more than the grace period."""
        late = [
            key
            for key, announced in self._announced.items()
            if announced.arrives_ms + ARRIVAL_GRACE_MS < now_ms
        ]
        for key in late:
            del self._announced[key]

    def count_items(
        self, predicate: Callable[[stage_groups.Group], bool]
    ) -> int:
        """Return the number of items in the groups that match."""
        return sum(
            announced.group.size
            for announced in self._announced.values()
            if predicate(announced.group)
        )


def _key(group: stage_groups.Group) -> tuple[str, int]:
    return group.work.attempt_id, group.work.stage
