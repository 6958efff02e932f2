"""Calls with a single answer, as to pools and plain services."""

import asyncio
from collections.abc import Callable
import json
from typing import Any

from sycamorebeam import hashing
from sycamorebeam.clients import cancels
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import http
from sycamorebeam.clients import ports
from sycamorebeam.clients import probes
from sycamorebeam.clients import reasons
from sycamorebeam.clients import results
from sycamorebeam.clients import watch


class UnaryClient:
    """Sends calls, watches for silent connections and verifies answers."""

    def __init__(
        self,
        client: http.HttpClient,
        canceller: cancels.Canceller,
        settings: watch.WatchSettings,
    ) -> None:
        self._http = client
        self._canceller = canceller
        self._settings = settings
        self._prober = probes.Prober(client)

    async def call(
        self,
        replica: results.Replica,
        attempt: ports.Attempt,
        path: str,
        body: dict[str, Any],
    ) -> results.TargetResult:
        """Send ``body`` to ``path`` and return the result of the attempt."""
        exchange = exchanges.Exchange(
            method='POST',
            address=replica.address,
            path=path,
            deadline=attempt.deadline,
            body=json.dumps(body).encode(),
            connection_kind=connection_kind_of(attempt),
            before_send=attempt.before_send,
        )
        try:
            reply = await self._fetch(replica, attempt, exchange)
        except asyncio.CancelledError:
            if exchange.connected:
                self._cancel(replica, attempt)
            raise
        match reply:
            case exchanges.HttpFailure(sent=True):
                self._cancel(replica, attempt)
                return failure_result(reply)
            case exchanges.HttpFailure():
                return failure_result(reply)
            case exchanges.HttpReply():
                return verified_result(attempt, exchange, reply)

    async def _fetch(
        self,
        replica: results.Replica,
        attempt: ports.Attempt,
        exchange: exchanges.Exchange,
    ) -> exchanges.HttpReply | exchanges.HttpFailure:
        if not attempt.deadline.remaining_ms(self._http.clock):
            return exchanges.HttpFailure(reasons.Reason.DEADLINE, sent=False)
        timeout = asyncio.timeout(None)
        call_watch = watch.CallWatch(
            self._http.clock,
            self._settings,
            lambda: self._prober.probe(replica, attempt.id),
            _new_expire_callback(exchange, timeout),
        )
        try:
            return await self._http.fetch(exchange, timeout)
        finally:
            call_watch.stop()

    def _cancel(
        self, replica: results.Replica, attempt: ports.Attempt
    ) -> None:
        self._canceller.cancel(replica, f'/v1/calls/{attempt.id}')


def _new_expire_callback(
    exchange: exchanges.Exchange, timeout: asyncio.Timeout
) -> Callable[[], None]:
    def expire() -> None:
        if timeout.expired():
            return
        exchange.silent = True
        timeout.reschedule(asyncio.get_running_loop().time())

    return expire


def connection_kind_of(attempt: ports.Attempt) -> exchanges.ConnectionKind:
    """Return the kind of connection for the first exchange."""
    if attempt.fresh_connection:
        return exchanges.ConnectionKind.FRESH
    return exchanges.ConnectionKind.POOLED


def failure_result(failure: exchanges.HttpFailure) -> results.TargetResult:
    """Return the result of an attempt whose exchange failed."""
    if not failure.sent:
        return results.TargetNotRun(failure.reason)
    return results.TargetMaybeRun(failure.reason, failure.request_id)


def verified_result(
    attempt: ports.Attempt,
    exchange: exchanges.Exchange,
    reply: exchanges.HttpReply,
) -> results.TargetResult:
    """Return the answer in ``reply`` if its id and digest match.

    Closes the connection if the id is not that of ``attempt``.
    """
    answer = exchanges.parse_object(reply.body)
    if answer.get('id') != attempt.id:
        exchange.close_connection()
        return results.TargetMaybeRun(_mismatch(reply, answer))
    if reply.status == 503 and reply.not_run:
        return results.TargetNotRun(reasons.Reason.REFUSED, reply.draining)
    request_id = reply.request_id or _text(answer.get('request_id'))
    if reply.status != 200:
        return results.TargetMaybeRun(reasons.Reason.FAILED, request_id)
    output = answer.get('output')
    if not isinstance(output, dict):
        return results.TargetMaybeRun(reasons.Reason.MALFORMED, request_id)
    if answer.get('digest') != hashing.digest_value(output).hex():
        return results.TargetMaybeRun(reasons.Reason.WRONG_DIGEST, request_id)
    return results.TargetAnswer(
        output=output,
        sent_bytes=exchange.sent_bytes,
        received_bytes=exchange.received_bytes,
        target_request_id=request_id,
        draining=reply.draining,
    )


def _mismatch(
    reply: exchanges.HttpReply, answer: dict[str, Any]
) -> reasons.Reason:
    if 'id' in answer:
        return reasons.Reason.WRONG_ID
    if reply.status != 200:
        return reasons.Reason.FAILED
    return reasons.Reason.MALFORMED


def _text(value: object) -> str | None:
    return value if isinstance(value, str) else None
