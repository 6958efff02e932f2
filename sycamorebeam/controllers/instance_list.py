"""Keeps the target registry current with the platform's instance list."""

from typing import Protocol

import attrs

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.clients import instances
from sycamorebeam.clients import results
from sycamorebeam.controllers import readiness
from sycamorebeam.controllers import target_registry

# Short, so that a poll on a silent connection times out early.
POLL_WAIT_MS = 3_000
RETRY_MS = 500


class ListClient(Protocol):
    """The platform's instance list."""

    async def fetch(
        self, after_version: int = 0, wait_ms: int = 0
    ) -> instances.FetchResult:
        """Return the list once it is newer than ``after_version``.

        Wait for that for at most ``wait_ms``.
        """
        ...


@attrs.define(eq=False)
class InstanceListFollower:
    """Follows the list with long polls; keeps the last list in an outage."""

    _client: ListClient
    _registry: target_registry.TargetRegistry
    _clock: clocks.Clock
    _version: int = 0
    _failing: bool = False

    @property
    def version(self) -> int:
        """The version of the last list applied, 0 before the first."""
        return self._version

    @property
    def readiness(self) -> readiness.State:
        """Ready once a list has been read."""
        if self._version:
            return readiness.Ready()
        return readiness.NotReady('the instance list was not read yet')

    async def follow(self) -> None:
        """Apply each new version of the list, until cancelled."""
        wait_ms = 0
        while True:
            page = await self._client.fetch(self._version, wait_ms)
            wait_ms = POLL_WAIT_MS
            match page:
                case instances.InstancePage(version, replicas):
                    self._apply(version, list(replicas))
                case instances.InstancesUnavailable(reason):
                    self._log_failure(reason)
                    await self._clock.sleep_ms(RETRY_MS)

    def _apply(self, version: int, replicas: list[results.Replica]) -> None:
        self._failing = False
        if version == self._version:
            return
        self._version = version
        self._registry.apply_list(replicas)
        telemetry.log_event(
            'instance_list', version=version, replicas=len(replicas)
        )

    def _log_failure(self, reason: str) -> None:
        if not self._failing:
            telemetry.log_event(
                'instance_list_unavailable', 'WARNING', reason=reason
            )
        self._failing = True
