"""Client of the platform's list of instances and replicas of targets."""

from typing import Any

import attrs

from sycamorebeam import clocks
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import http
from sycamorebeam.clients import reasons
from sycamorebeam.clients import results

ANSWER_TIMEOUT_MS = 2_000
SILENCE_MS = 1_000


@attrs.frozen
class InstancePage:
    """The complete list at ``version``."""

    version: int
    replicas: tuple[results.Replica, ...]


@attrs.frozen
class InstancesUnavailable:
    """The list could not be read; ``reason`` says why."""

    reason: str


FetchResult = InstancePage | InstancesUnavailable


class InstanceListClient:
    """Reads the instance list, with long polling for changes."""

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self._address = address
        self._clock = clock
        self._http = http.HttpClient(clock, http.HttpLimits())

    async def fetch(
        self, after_version: int = 0, wait_ms: int = 0
    ) -> FetchResult:
        """Return the list.

        Waits up to ``wait_ms`` for a version above ``after_version``.
        """
        query = f'after={after_version}&wait_ms={wait_ms}'
        limit_ms = wait_ms + ANSWER_TIMEOUT_MS
        exchange = exchanges.Exchange(
            method='GET',
            address=self._address,
            path=f'/v1/instances?{query}',
            deadline=clocks.deadline_in(self._clock, limit_ms),
            silence_ms=wait_ms + SILENCE_MS,
        )
        reply = await self._http.fetch(exchange)
        if isinstance(reply, exchanges.HttpFailure):
            return InstancesUnavailable(reply.reason)
        if reply.status != 200:
            return InstancesUnavailable(f'status {reply.status}')
        return _page(exchanges.parse_object(reply.body))

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()


def new_instance_list_client(
    address: str, clock: clocks.Clock
) -> InstanceListClient:
    """Return a client of the list at ``address``; close it when done."""
    return InstanceListClient(address, clock)


def _page(answer: dict[str, Any]) -> FetchResult:
    try:
        replicas = tuple(_replica(item) for item in answer['items'])
        return InstancePage(int(answer['version']), replicas)
    except (KeyError, TypeError, ValueError, AttributeError):
        return InstancesUnavailable(reasons.Reason.MALFORMED)


def _replica(item: dict[str, Any]) -> results.Replica:
    return results.Replica(
        id=str(item['id']),
        group=str(item['group']),
        address=str(item['address']),
        zone=str(item['zone']),
        region=str(item['region']),
        leaving=item.get('state') == 'leaving',
        peer_address=item.get('peer_address'),
    )
