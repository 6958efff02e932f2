"""Probes on new connections whether a target still runs a call."""

import asyncio

import attrs

from sycamorebeam import clocks
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import http
from sycamorebeam.clients import results
from sycamorebeam.clients import watch

TIMEOUT_MS = 1_000
MAX_PROBES_PER_TARGET = 4


@attrs.define
class _Target:
    """Probes of one target; ``failed_ms`` is when one last failed."""

    slots: asyncio.Semaphore
    users: int = 0
    failed_ms: int = -1


class Prober:
    """Bounds the probes of each target, so as not to flood a slow one.

    When a probe can't reach its target, those queued behind it end as
    unreachable too, without being sent.
    """

    def __init__(self, client: http.HttpClient) -> None:
        self._http = client
        self._targets: dict[str, _Target] = {}

    async def probe(
        self, replica: results.Replica, attempt_id: str
    ) -> watch.CallState:
        """Return the state of a call as ``replica`` reports it."""
        started_ms = self._http.clock.monotonic_ms()
        target = self._acquire_target(replica.address)
        try:
            async with target.slots:
                if target.failed_ms >= started_ms:
                    return watch.CallState.UNREACHABLE
                state = await self._send_probe(replica, attempt_id)
                if state is watch.CallState.UNREACHABLE:
                    target.failed_ms = self._http.clock.monotonic_ms()
                return state
        finally:
            self._release_target(replica.address)

    def _acquire_target(self, address: str) -> _Target:
        if address not in self._targets:
            slots = asyncio.Semaphore(MAX_PROBES_PER_TARGET)
            self._targets[address] = _Target(slots)
        self._targets[address].users += 1
        return self._targets[address]

    def _release_target(self, address: str) -> None:
        self._targets[address].users -= 1
        if not self._targets[address].users:
            del self._targets[address]

    async def _send_probe(
        self, replica: results.Replica, attempt_id: str
    ) -> watch.CallState:
        clock = self._http.clock
        exchange = exchanges.Exchange(
            method='GET',
            address=replica.address,
            path=f'/v1/calls/{attempt_id}',
            deadline=clocks.deadline_in(clock, TIMEOUT_MS),
            connection_kind=exchanges.ConnectionKind.FRESH,
        )
        reply = await self._http.fetch(exchange)
        if isinstance(reply, exchanges.HttpFailure):
            return watch.CallState.UNREACHABLE
        answer = exchanges.parse_object(reply.body)
        if reply.status != 200 or answer.get('id') != attempt_id:
            return watch.CallState.UNSUPPORTED
        match answer.get('state'):
            case 'running':
                return watch.CallState.RUNNING
            case 'none':
                return watch.CallState.NONE
            case _:
                return watch.CallState.UNSUPPORTED
