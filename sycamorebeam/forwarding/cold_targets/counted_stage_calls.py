"""Counts the calls to replicas of stage services that may be cold."""

from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import upstream
from sycamorebeam.forwarding.cold_targets import cold_targets


class CountedStageCalls:
    """Calls replicas, unless their shares of this instance are used up."""

    def __init__(
        self,
        calls: stages.StageCalls,
        cold: cold_targets.ColdTargets,
        directory: target_directory.TargetDirectory,
    ) -> None:
        self._calls = calls
        self._cold = cold
        self._directory = directory

    async def run(
        self, address: str, target_id: str, items: list[stages.TimedItem]
    ) -> stages.CallResult:
        """Run some items in one call, or decline to call the replica."""
        target = self._directory.targets.get(target_id)
        if target is not None and not self._cold.take(target):
            wait_ms = self._cold.wait_ms([target])
            self._cold.record_refusal(target.service, wait_ms)
            return stages.CallDeclined(
                is_gone=False, feedback=model.Feedback(backoff_ms=wait_ms)
            )
        return await self._calls.run(address, target_id, items)

    async def free(self, address: str, results: list[str]) -> model.Feedback:
        """Free results.

        Raises upstream.NotSentError if no call is left for the replica, which
        then drops the results by itself later.
        """
        for target in self._directory.targets.values():
            if target.address == address and not self._cold.take(target):
                raise upstream.NotSentError(
                    f"{target.target_id}: this instance's share is used up"
                )
        return await self._calls.free(address, results)

    def holder_address(self, result: str) -> str:
        """Return the address of the replica that holds a result."""
        return self._calls.holder_address(result)
