"""Client for orders to engines, their state and their cache events."""

import json
from typing import Any

import attrs

from sycamorebeam import clocks
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import http
from sycamorebeam.clients import ports
from sycamorebeam.clients import reasons
from sycamorebeam.clients import results

READ_TIMEOUT_MS = 2_000


@attrs.frozen(kw_only=True)
class EngineOrder:
    """A declarative order; ``fence`` is the offset of its lease.

    ``kind`` is load_model, load_adapter, unload or set_role.
    """

    id: str
    fence: int
    kind: str
    name: str
    version: str = ''


@attrs.frozen(kw_only=True)
class EngineState:
    """What an engine has loaded, as it reports."""

    role: str
    models: dict[str, str]
    adapters: tuple[str, ...]
    fence: int


@attrs.frozen
class OrderDone:
    """The engine carried out the order; ``state`` is its state afterwards."""

    state: EngineState


@attrs.frozen
class OrderFenced:
    """The engine refused the order, as it has seen the higher ``fence``."""

    fence: int


OrderResult = (
    OrderDone | OrderFenced | results.TargetNotRun | results.TargetMaybeRun
)


@attrs.frozen
class StateUnavailable:
    """The state or the cache events of an engine could not be read."""

    reason: str


@attrs.frozen
class CacheEvent:
    """A prompt prefix was stored in an engine's cache or evicted."""

    seq: int
    prefix: str
    stored: bool


@attrs.frozen
class CachePage:
    """Cache events in order; ``gap`` is set if earlier ones are lost.

    ``next`` is the sequence number to read from next.
    """

    next: int
    events: tuple[CacheEvent, ...]
    gap: bool


class OrderClient:
    """Sends orders to engine replicas and reads their state."""

    def __init__(self, client: http.HttpClient) -> None:
        self._http = client

    async def order(
        self,
        replica: results.Replica,
        order: EngineOrder,
        deadline: clocks.Deadline,
        before_send: ports.BeforeSend | None = None,
    ) -> OrderResult:
        """Send ``order`` once, on a fresh connection.

        ``before_send`` runs once the connection is established, right
        before the first byte; if it raises, nothing is sent.
        """
        exchange = exchanges.Exchange(
            method='POST',
            address=replica.address,
            path='/v1/orders',
            deadline=deadline,
            body=json.dumps(attrs.asdict(order)).encode(),
            connection_kind=exchanges.ConnectionKind.FRESH,
            before_send=before_send,
        )
        reply = await self._http.fetch(exchange)
        if isinstance(reply, exchanges.HttpFailure):
            return _failure_result(reply)
        return _order_result(order, reply)

    async def state(
        self, replica: results.Replica
    ) -> EngineState | StateUnavailable:
        """Return the state that the engine reports."""
        answer = await self._get(replica, '/v1/state')
        if isinstance(answer, StateUnavailable):
            return answer
        return _state(answer) or StateUnavailable(reasons.Reason.MALFORMED)

    async def cache_events(
        self, replica: results.Replica, start: int
    ) -> CachePage | StateUnavailable:
        """Return the cache events from sequence number ``start`` on."""
        answer = await self._get(replica, f'/v1/cache-events?from={start}')
        if isinstance(answer, StateUnavailable):
            return answer
        try:
            return _page(answer, start)
        except (KeyError, TypeError, ValueError):
            return StateUnavailable(reasons.Reason.MALFORMED)

    async def _get(
        self, replica: results.Replica, path: str
    ) -> dict[str, Any] | StateUnavailable:
        deadline = clocks.deadline_in(self._http.clock, READ_TIMEOUT_MS)
        exchange = exchanges.Exchange(
            method='GET',
            address=replica.address,
            path=path,
            deadline=deadline,
            connection_kind=exchanges.ConnectionKind.FRESH,
        )
        reply = await self._http.fetch(exchange)
        if isinstance(reply, exchanges.HttpFailure):
            return StateUnavailable(reply.reason)
        if reply.status != 200:
            return StateUnavailable(reasons.Reason.FAILED)
        return exchanges.parse_object(reply.body)


def _failure_result(
    failure: exchanges.HttpFailure,
) -> results.TargetNotRun | results.TargetMaybeRun:
    if not failure.sent:
        return results.TargetNotRun(failure.reason)
    return results.TargetMaybeRun(failure.reason)


def _order_result(
    order: EngineOrder, reply: exchanges.HttpReply
) -> OrderResult:
    answer = exchanges.parse_object(reply.body)
    if answer.get('id', order.id) != order.id:
        return results.TargetMaybeRun(reasons.Reason.WRONG_ID)
    if reply.status == 409 and isinstance(answer.get('fence'), int):
        return OrderFenced(answer['fence'])
    if reply.status == 503 and reply.not_run and 'id' in answer:
        return results.TargetNotRun(reasons.Reason.REFUSED, reply.draining)
    if reply.status != 200:
        return results.TargetMaybeRun(reasons.Reason.FAILED)
    state = _state(answer)
    if state is None:
        return results.TargetMaybeRun(reasons.Reason.MALFORMED)
    return OrderDone(state)


def _state(answer: dict[str, Any]) -> EngineState | None:
    try:
        return EngineState(
            role=str(answer['role']),
            models={str(k): str(v) for k, v in answer['models'].items()},
            adapters=tuple(str(item) for item in answer['adapters']),
            fence=int(answer['fence']),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _page(answer: dict[str, Any], start: int) -> CachePage:
    events = []
    gap = False
    expected = start
    for event in answer['events']:
        seq = int(event['seq'])
        if seq < expected:
            continue
        gap |= seq > expected
        expected = seq + 1
        stored = event['kind'] == 'stored'
        events.append(CacheEvent(seq, str(event['prefix']), stored))
    next_seq = max(int(answer['next']), expected)
    return CachePage(next_seq, tuple(events), gap or next_seq > expected)
