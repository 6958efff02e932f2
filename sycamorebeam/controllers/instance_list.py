"""Keeps the targets up to date with the platform's instance list."""

from typing import Protocol

import attrs

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.clients import instances
from sycamorebeam.clients import results
from sycamorebeam.controllers import readiness
from sycamorebeam.controllers import target_registry

# Short, so that a poll whose connection went silent is soon given up.
POLL_WAIT_MS = 3_000
RETRY_MS = 500


class ListClient(Protocol):
    """The platform's instance list."""

    async def fetch(
        self, after_version: int = 0, wait_ms: int = 0
    ) -> instances.FetchResult:
        """Return the list, at once or when it is newer than a version."""
        ...


@attrs.define(eq=False)
class InstanceListFollower:
    """Follows the list with long polls; an outage leaves the last list."""

    _client: ListClient
    _targets: target_registry.TargetRegistry
    _clock: clocks.Clock
    _version: int = 0
    _failing: bool = False

    @property
    def version(self) -> int:
        """The version of the list last taken, 0 before any."""
        return self._version

    @property
    def readiness(self) -> readiness.State:
        """Ready once a list was read."""
        if self._version:
            return readiness.Ready()
        return readiness.NotReady('the instance list was not read yet')

    async def follow(self) -> None:
        """Take each new version of the list."""
        wait_ms = 0
        while True:
            page = await self._client.fetch(self._version, wait_ms)
            wait_ms = POLL_WAIT_MS
            match page:
                case instances.InstancePage(version, replicas):
                    self._take(version, list(replicas))
                case instances.InstancesUnavailable(reason):
                    self._note_failure(reason)
                    await self._clock.sleep_ms(RETRY_MS)

    def _take(self, version: int, replicas: list[results.Replica]) -> None:
        self._failing = False
        if version == self._version:
            return
        self._version = version
        self._targets.apply_list(replicas)
        telemetry.log_event(
            'instance_list', version=version, replicas=len(replicas)
        )

    def _note_failure(self, reason: str) -> None:
        if not self._failing:
            telemetry.log_event(
                'instance_list_unavailable', 'WARNING', reason=reason
            )
        self._failing = True
