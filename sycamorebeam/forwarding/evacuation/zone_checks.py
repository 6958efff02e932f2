"""Checks that run once the connection to a target is open.

A request may wait for its placement, a permit and a connection after its
target was chosen, and the target's zone may have been evacuated meanwhile.
"""

from collections.abc import Callable
from typing import Protocol

from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import upstream


def check_zone(
    directory: target_directory.TargetDirectory, target_id: str
) -> None:
    """Raise NotSentError if a target's zone is evacuated."""
    if directory.is_evacuated(target_id):
        raise upstream.NotSentError(f'the zone of {target_id} is evacuated')


class GuardedStageCalls(stages.StageCalls, Protocol):
    """Calls replicas that run stages, with a check before each call."""

    async def run(
        self,
        address: str,
        target_id: str,
        items: list[stages.TimedItem],
        before_send: Callable[[], None] | None = None,
    ) -> stages.CallResult:
        """Run some items in one call, unless ``before_send`` raises."""
        ...


class CheckedStageCalls:
    """Runs stage calls, except at replicas in evacuated zones.

    Results in an evacuated zone are still freed: this runs nothing, and the
    replicas need the memory for calls in progress and after the evacuation.
    """

    def __init__(
        self,
        stage_calls: GuardedStageCalls,
        directory: target_directory.TargetDirectory,
    ) -> None:
        self._stage_calls = stage_calls
        self._directory = directory

    async def run(
        self, address: str, target_id: str, items: list[stages.TimedItem]
    ) -> stages.CallResult:
        """Run some items in one call, as ``StageCalls.run``."""
        return await self._stage_calls.run(
            address,
            target_id,
            items,
            lambda: check_zone(self._directory, target_id),
        )

    async def free(self, address: str, results: list[str]) -> model.Feedback:
        """Free results, as ``StageCalls.free``."""
        return await self._stage_calls.free(address, results)

    def holder_address(self, result: str) -> str:
        """Return the address of the replica that holds a result."""
        return self._stage_calls.holder_address(result)
