"""Groups of items that will arrive when the stages before them have run.

The load answered here is chains of stages of which a later one is the
bottleneck: its queue is still short while the requests that will wait there
are at the stages before it.
"""

from collections.abc import Callable

import attrs

from sycamorebeam.forwarding import stage_groups

# A group that is later than this does not come: who announced it has ended.
ARRIVAL_GRACE_MS = 1_500


@attrs.frozen
class _AnnouncedGroup:
    group: stage_groups.Group
    arrives_ms: int


class AnnouncedGroups:
    """The groups that a queue has admitted and that have not arrived yet."""

    def __init__(self) -> None:
        self._announced: dict[tuple[str, int], _AnnouncedGroup] = {}

    def __len__(self) -> int:
        return len(self._announced)

    def add(self, group: stage_groups.Group, arrives_ms: int) -> None:
        """Expect a group."""
        self._announced[_key(group)] = _AnnouncedGroup(group, arrives_ms)

    def remove_arrived(self, group: stage_groups.Group) -> bool:
        """Note that a group has arrived; return whether it was expected."""
        return self._announced.pop(_key(group), None) is not None

    def withdraw(self, attempt_id: str, stage: int) -> None:
        """Expect a group no more."""
        self._announced.pop((attempt_id, stage), None)

    def expire(self, now_ms: int) -> None:
        """Expect the groups no more that should have arrived long ago."""
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
        """Return how many items the groups have for which that holds."""
        return sum(
            announced.group.size
            for announced in self._announced.values()
            if predicate(announced.group)
        )


def _key(group: stage_groups.Group) -> tuple[str, int]:
    return group.work.attempt_id, group.work.stage
