"""Token streams from model engines, in order and resumed when interrupted."""

import asyncio
from collections.abc import Iterable
import json
from typing import Any

import aiohttp
import attrs

from sycamorebeam import errors
from sycamorebeam.clients import cancels
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import http
from sycamorebeam.clients import ports
from sycamorebeam.clients import reasons
from sycamorebeam.clients import results
from sycamorebeam.clients import sse
from sycamorebeam.clients import tokens
from sycamorebeam.clients import unary


@attrs.frozen(kw_only=True)
class StreamSettings:
    """When a stream counts as silent, and how often it is resumed.

    ``max_idle_resumes`` bounds consecutive resumes that bring no token,
    ``max_resumes`` all resumes of one attempt.
    """

    silence_ms: int = 3_000
    max_idle_resumes: int = 4
    max_resumes: int = 32
    resume_pause_ms: int = 50


@attrs.frozen
class Complete:
    """The stream reached its end event, and count and digest match."""


@attrs.frozen
class Interrupted:
    """The stream ended early; a resume may continue it."""

    reason: reasons.Reason


@attrs.frozen
class AttemptEnded:
    """The attempt failed for good and must not be resumed."""

    result: results.TargetNotRun | results.TargetMaybeRun


StreamOutcome = Complete | Interrupted | AttemptEnded


@attrs.define(kw_only=True)
class Generation:
    """The state of one attempt over all its streams.

    ``undelivered`` holds the tokens not yet passed to the callback.
    """

    replica: results.Replica
    attempt: ports.Attempt
    table: tokens.TokenTable = attrs.field(factory=tokens.TokenTable)
    undelivered: list[tuple[int, str]] = attrs.field(factory=list)
    sent: bool = False
    draining: bool = False
    sent_bytes: int = 0
    received_bytes: int = 0


class TokenCallbackError(Exception):
    """The token callback raised; its error is the cause."""


class EngineClient:
    """Runs generation attempts at engine replicas."""

    def __init__(
        self,
        client: http.HttpClient,
        canceller: cancels.Canceller,
        settings: StreamSettings,
    ) -> None:
        self._http = client
        self._canceller = canceller
        self._settings = settings
        self._resumes = 0

    @property
    def resumes(self) -> int:
        """The number of resumes sent."""
        return self._resumes

    async def call(
        self, replica: results.Replica, attempt: ports.Attempt
    ) -> results.TargetResult:
        """Run ``attempt``; pass each token on once and in order."""
        prompt = attempt.input.get('prompt')
        if not isinstance(prompt, str):
            return results.TargetNotRun(reasons.Reason.NO_PROMPT)
        generation = Generation(replica=replica, attempt=attempt)
        complete = False
        try:
            result = await self._run(generation, prompt)
            complete = isinstance(result, results.TargetAnswer)
        except TokenCallbackError as error:
            raise error.__cause__ or error from None
        finally:
            if generation.sent and not complete:
                self._cancel(generation)
        return result

    async def _run(
        self, generation: Generation, prompt: str
    ) -> results.TargetResult:
        exchange = self._first_exchange(generation, prompt)
        reason = reasons.Reason.ENDED_EARLY
        idle_resumes = 0
        for _ in range(self._settings.max_resumes + 1):
            tokens_before = generation.table.next
            outcome = await self._run_stream(generation, exchange)
            match outcome:
                case Complete():
                    return _complete_answer(generation)
                case AttemptEnded(result):
                    return result
                case Interrupted(reason):
                    if not generation.sent:
                        return results.TargetNotRun(reason)
            idle_resumes = (
                0
                if generation.table.next > tokens_before
                else idle_resumes + 1
            )
            if reason is reasons.Reason.DEADLINE:
                break
            if idle_resumes > self._settings.max_idle_resumes:
                break
            await self._http.clock.sleep_ms(self._settings.resume_pause_ms)
            exchange = self._resume_exchange(generation)
        return results.TargetMaybeRun(_describe_incomplete(generation, reason))

    def _first_exchange(
        self, generation: Generation, prompt: str
    ) -> exchanges.Exchange:
        attempt = generation.attempt
        body = {
            'id': attempt.id,
            'model': attempt.model,
            'prompt': prompt,
            'max_tokens': attempt.max_tokens,
            'priority': attempt.priority,
        }
        connection_kind = unary.connection_kind_of(attempt)
        return self._new_exchange(
            generation, '/v1/generate', body, connection_kind
        )

    def _resume_exchange(self, generation: Generation) -> exchanges.Exchange:
        self._resumes += 1
        attempt_id = generation.attempt.id
        body = {'id': attempt_id, 'from': generation.table.next}
        path = f'/v1/generate/{attempt_id}/resume'
        return self._new_exchange(
            generation, path, body, exchanges.ConnectionKind.FRESH
        )

    def _new_exchange(
        self,
        generation: Generation,
        path: str,
        body: dict[str, Any],
        connection_kind: exchanges.ConnectionKind,
    ) -> exchanges.Exchange:
        return exchanges.Exchange(
            method='POST',
            address=generation.replica.address,
            path=path,
            deadline=generation.attempt.deadline,
            body=json.dumps(body).encode(),
            connection_kind=connection_kind,
            silence_ms=self._settings.silence_ms,
        )

    async def _run_stream(
        self, generation: Generation, exchange: exchanges.Exchange
    ) -> StreamOutcome:
        remaining_ms = exchange.deadline.remaining_ms(self._http.clock)
        if not remaining_ms:
            return Interrupted(reasons.Reason.DEADLINE)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                return await self._receive(generation, exchange)
        except exchanges.FAILURES as error:
            return Interrupted(self._http.failure(exchange, error).reason)
        except errors.PlatformError:
            return Interrupted(reasons.Reason.MALFORMED)
        finally:
            generation.sent |= exchange.connected
            generation.sent_bytes += exchange.sent_bytes
            generation.received_bytes += exchange.received_bytes
            self._http.report_bytes(exchange)

    async def _receive(
        self, generation: Generation, exchange: exchanges.Exchange
    ) -> StreamOutcome:
        response = await self._http.send(exchange)
        try:
            generation.draining |= exchanges.is_draining(response)
            if response.status != 200:
                return await _classify_error_response(generation, response)
            limit_bytes = self._http.limits.answer_bytes
            outcome = await _read_events(
                generation, exchange, response, limit_bytes
            )
            if not isinstance(outcome, Complete):
                exchange.close_connection()
            return outcome
        finally:
            response.close()

    def _cancel(self, generation: Generation) -> None:
        path = f'/v1/generate/{generation.attempt.id}'
        self._canceller.cancel(generation.replica, path)


async def _classify_error_response(
    generation: Generation, response: aiohttp.ClientResponse
) -> StreamOutcome:
    body = await response.content.read(http.READ_BYTES)
    same_id = exchanges.parse_object(body).get('id') == generation.attempt.id
    not_run = response.headers.get('Not-Run') == '1'
    is_first_exchange = not generation.sent
    match response.status:
        case 503 if not_run and same_id and is_first_exchange:
            return AttemptEnded(
                results.TargetNotRun(
                    reasons.Reason.REFUSED, generation.draining
                )
            )
        case 503 if not_run:
            return Interrupted(reasons.Reason.REFUSED)
        case 404 if not is_first_exchange:
            return AttemptEnded(
                _maybe_run_result(generation, reasons.Reason.NOT_FOUND)
            )
        case _:
            return AttemptEnded(
                _maybe_run_result(generation, reasons.Reason.FAILED)
            )


async def _read_events(
    generation: Generation,
    exchange: exchanges.Exchange,
    response: aiohttp.ClientResponse,
    limit_bytes: int,
) -> StreamOutcome:
    parser = sse.EventParser()
    async for chunk in response.content.iter_any():
        exchange.received_bytes += len(chunk)
        if exchange.received_bytes > limit_bytes:
            return AttemptEnded(
                _maybe_run_result(generation, reasons.Reason.TOO_LARGE)
            )
        outcome = _process_events(generation, parser.feed(chunk))
        if generation.undelivered:
            await _deliver_tokens(generation)
        if outcome is not None:
            return outcome
    return Interrupted(reasons.Reason.ENDED_EARLY)


def _process_events(
    generation: Generation, events: Iterable[sse.Event]
) -> StreamOutcome | None:
    for event in events:
        outcome = _process_event(generation, event)
        if outcome is not None:
            return outcome
    return None


def _process_event(
    generation: Generation, event: sse.Event
) -> StreamOutcome | None:
    data = exchanges.parse_object(event.data)
    if data.get('id') != generation.attempt.id:
        return Interrupted(reasons.Reason.WRONG_ID)
    match event.name:
        case 'token':
            return _process_token(generation, data)
        case 'end':
            return _process_end(generation, data)
        case 'cancelled':
            return AttemptEnded(
                _maybe_run_result(generation, reasons.Reason.CANCELLED)
            )
        case _:
            return None


def _process_token(
    generation: Generation, data: dict[str, Any]
) -> StreamOutcome | None:
    index, text = data.get('i'), data.get('text')
    if not isinstance(index, int) or not isinstance(text, str):
        return Interrupted(reasons.Reason.MALFORMED)
    if not 0 <= index < generation.attempt.max_tokens:
        return AttemptEnded(
            _maybe_run_result(generation, reasons.Reason.MALFORMED)
        )
    due = generation.table.add(index, text)
    if due is None:
        return Interrupted(reasons.Reason.MALFORMED)
    generation.undelivered.extend(due)
    return None


async def _deliver_tokens(generation: Generation) -> None:
    due, generation.undelivered = generation.undelivered, []
    attempt = generation.attempt
    try:
        if attempt.on_tokens is not None:
            await attempt.on_tokens(due)
        elif attempt.on_token is not None:
            for index, text in due:
                await attempt.on_token(index, text)
    except Exception as error:
        # Keeps the callback's connection errors apart from the engine's.
        raise TokenCallbackError from error


def _process_end(
    generation: Generation, data: dict[str, Any]
) -> StreamOutcome:
    table = generation.table
    if data.get('count') != table.next:
        return Interrupted(reasons.Reason.ENDED_EARLY)
    if data.get('digest') != table.digest:
        return AttemptEnded(
            _maybe_run_result(generation, reasons.Reason.WRONG_DIGEST)
        )
    return Complete()


def _maybe_run_result(
    generation: Generation, reason: reasons.Reason
) -> results.TargetMaybeRun:
    return results.TargetMaybeRun(_describe_incomplete(generation, reason))


def _describe_incomplete(
    generation: Generation, reason: reasons.Reason
) -> str:
    return f'{reason}, after {generation.table.next} tokens'


def _complete_answer(generation: Generation) -> results.TargetAnswer:
    return results.TargetAnswer(
        output={'text': generation.table.text},
        sent_bytes=generation.sent_bytes,
        received_bytes=generation.received_bytes,
        tokens=generation.table.next,
        draining=generation.draining,
    )
