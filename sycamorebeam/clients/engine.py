"""Streams from model engines: whole, in order, resumed when they break."""

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
from sycamorebeam.clients import plain
from sycamorebeam.clients import ports
from sycamorebeam.clients import reasons
from sycamorebeam.clients import results
from sycamorebeam.clients import sse
from sycamorebeam.clients import tokens


@attrs.frozen(kw_only=True)
class StreamSettings:
    """When a stream counts as silent, and how often it is resumed.

    ``resumes`` bounds those in a row that bring no token and
    ``resumes_in_all`` those of one attempt.
    """

    silence_ms: int = 3_000
    resumes: int = 4
    resumes_in_all: int = 32
    resume_pause_ms: int = 50


@attrs.frozen
class Whole:
    """The stream came to its end event, and all that it says is true."""


@attrs.frozen
class Broken:
    """The stream stopped; a resume may bring the rest."""

    reason: reasons.Reason


@attrs.frozen
class Final:
    """The attempt cannot become whole."""

    result: results.TargetNotRun | results.TargetMaybeRun


Ending = Whole | Broken | Final


@attrs.define(kw_only=True)
class Generation:
    """One attempt over all its streams.

    ``due`` are the tokens that the attempt's receiver has not got yet.
    """

    replica: results.Replica
    attempt: ports.Attempt
    table: tokens.TokenTable = attrs.field(factory=tokens.TokenTable)
    due: list[tuple[int, str]] = attrs.field(factory=list)
    sent: bool = False
    draining: bool = False
    sent_bytes: int = 0
    received_bytes: int = 0


class TokenCallbackError(Exception):
    """The receiver of tokens failed; its error is the cause."""


class EngineClient:
    """Generates at engine replicas."""

    def __init__(
        self,
        client: http.Http,
        canceller: cancels.Canceller,
        settings: StreamSettings,
    ) -> None:
        self._http = client
        self._canceller = canceller
        self._settings = settings
        self._resumes = 0

    @property
    def resumes(self) -> int:
        """How many streams were resumed."""
        return self._resumes

    async def call(
        self, replica: results.Replica, attempt: ports.Attempt
    ) -> results.TargetResult:
        """Generate, and pass each token on once and in order."""
        prompt = attempt.input.get('prompt')
        if not isinstance(prompt, str):
            return results.TargetNotRun(reasons.Reason.NO_PROMPT)
        generation = Generation(replica=replica, attempt=attempt)
        whole = False
        try:
            result = await self._run(generation, prompt)
            whole = isinstance(result, results.TargetAnswer)
        except TokenCallbackError as error:
            raise error.__cause__ or error from None
        finally:
            if generation.sent and not whole:
                self._cancel(generation)
        return result

    async def _run(
        self, generation: Generation, prompt: str
    ) -> results.TargetResult:
        exchange = self._first(generation, prompt)
        reason = reasons.Reason.ENDED_EARLY
        idle = 0
        for _ in range(self._settings.resumes_in_all + 1):
            came = generation.table.next
            ending = await self._stream(generation, exchange)
            match ending:
                case Whole():
                    return _answer(generation)
                case Final(result):
                    return result
                case Broken(reason):
                    if not generation.sent:
                        return results.TargetNotRun(reason)
            idle = 0 if generation.table.next > came else idle + 1
            if reason is reasons.Reason.DEADLINE:
                break
            if idle > self._settings.resumes:
                break
            await self._http.clock.sleep_ms(self._settings.resume_pause_ms)
            exchange = self._resume(generation)
        return results.TargetMaybeRun(_incomplete(generation, reason))

    def _first(
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
        lane = plain.lane_of(attempt)
        return self._exchange(generation, '/v1/generate', body, lane)

    def _resume(self, generation: Generation) -> exchanges.Exchange:
        self._resumes += 1
        attempt_id = generation.attempt.id
        body = {'id': attempt_id, 'from': generation.table.next}
        path = f'/v1/generate/{attempt_id}/resume'
        return self._exchange(generation, path, body, exchanges.Lane.FRESH)

    def _exchange(
        self,
        generation: Generation,
        path: str,
        body: dict[str, Any],
        lane: exchanges.Lane,
    ) -> exchanges.Exchange:
        return exchanges.Exchange(
            method='POST',
            address=generation.replica.address,
            path=path,
            deadline=generation.attempt.deadline,
            body=json.dumps(body).encode(),
            lane=lane,
            silence_ms=self._settings.silence_ms,
        )

    async def _stream(
        self, generation: Generation, exchange: exchanges.Exchange
    ) -> Ending:
        remaining_ms = exchange.deadline.remaining_ms(self._http.clock)
        if not remaining_ms:
            return Broken(reasons.Reason.DEADLINE)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                return await self._receive(generation, exchange)
        except exchanges.FAILURES as error:
            return Broken(self._http.failure(exchange, error).reason)
        except errors.PlatformError:
            return Broken(reasons.Reason.MALFORMED)
        finally:
            generation.sent |= exchange.connected
            generation.sent_bytes += exchange.sent_bytes
            generation.received_bytes += exchange.received_bytes
            self._http.account(exchange)

    async def _receive(
        self, generation: Generation, exchange: exchanges.Exchange
    ) -> Ending:
        response = await self._http.send(exchange)
        try:
            generation.draining |= exchanges.is_draining(response)
            if response.status != 200:
                return await _refusal(generation, response)
            limit_bytes = self._http.limits.answer_bytes
            ending = await _read_events(
                generation, exchange, response, limit_bytes
            )
            if not isinstance(ending, Whole):
                exchange.drop()
            return ending
        finally:
            response.close()

    def _cancel(self, generation: Generation) -> None:
        path = f'/v1/generate/{generation.attempt.id}'
        self._canceller.cancel(generation.replica, path)


async def _refusal(
    generation: Generation, response: aiohttp.ClientResponse
) -> Ending:
    body = await response.content.read(http.READ_BYTES)
    same_id = exchanges.parse(body).get('id') == generation.attempt.id
    not_run = response.headers.get('Not-Run') == '1'
    first = not generation.sent
    match response.status:
        case 503 if not_run and same_id and first:
            return Final(
                results.TargetNotRun(
                    reasons.Reason.REFUSED, generation.draining
                )
            )
        case 503 if not_run:
            return Broken(reasons.Reason.REFUSED)
        case 404 if not first:
            return Final(_maybe_run(generation, reasons.Reason.NOT_FOUND))
        case _:
            return Final(_maybe_run(generation, reasons.Reason.FAILED))


async def _read_events(
    generation: Generation,
    exchange: exchanges.Exchange,
    response: aiohttp.ClientResponse,
    limit_bytes: int,
) -> Ending:
    parser = sse.EventParser()
    async for chunk in response.content.iter_any():
        exchange.received_bytes += len(chunk)
        if exchange.received_bytes > limit_bytes:
            return Final(_maybe_run(generation, reasons.Reason.TOO_LARGE))
        ending = _take_all(generation, parser.feed(chunk))
        if generation.due:
            await _give(generation)
        if ending is not None:
            return ending
    return Broken(reasons.Reason.ENDED_EARLY)


def _take_all(
    generation: Generation, events: Iterable[sse.Event]
) -> Ending | None:
    for event in events:
        ending = _take(generation, event)
        if ending is not None:
            return ending
    return None


def _take(generation: Generation, event: sse.Event) -> Ending | None:
    data = exchanges.parse(event.data)
    if data.get('id') != generation.attempt.id:
        return Broken(reasons.Reason.WRONG_ID)
    match event.name:
        case 'token':
            return _take_token(generation, data)
        case 'end':
            return _take_end(generation, data)
        case 'cancelled':
            return Final(_maybe_run(generation, reasons.Reason.CANCELLED))
        case _:
            return None


def _take_token(generation: Generation, data: dict[str, Any]) -> Ending | None:
    index, text = data.get('i'), data.get('text')
    if not isinstance(index, int) or not isinstance(text, str):
        return Broken(reasons.Reason.MALFORMED)
    if not 0 <= index < generation.attempt.max_tokens:
        return Final(_maybe_run(generation, reasons.Reason.MALFORMED))
    due = generation.table.add(index, text)
    if due is None:
        return Broken(reasons.Reason.MALFORMED)
    generation.due.extend(due)
    return None


async def _give(generation: Generation) -> None:
    due, generation.due = generation.due, []
    attempt = generation.attempt
    try:
        if attempt.on_tokens is not None:
            await attempt.on_tokens(due)
        elif attempt.on_token is not None:
            for index, text in due:
                await attempt.on_token(index, text)
    except Exception as error:
        # The receiver's connection errors must not pass for the engine's.
        raise TokenCallbackError from error


def _take_end(generation: Generation, data: dict[str, Any]) -> Ending:
    table = generation.table
    if data.get('count') != table.next:
        return Broken(reasons.Reason.ENDED_EARLY)
    if data.get('digest') != table.digest:
        return Final(_maybe_run(generation, reasons.Reason.WRONG_DIGEST))
    return Whole()


def _maybe_run(
    generation: Generation, reason: reasons.Reason
) -> results.TargetMaybeRun:
    return results.TargetMaybeRun(_incomplete(generation, reason))


def _incomplete(generation: Generation, reason: reasons.Reason) -> str:
    return f'{reason}, after {generation.table.next} tokens'


def _answer(generation: Generation) -> results.TargetAnswer:
    return results.TargetAnswer(
        output={'text': generation.table.text},
        sent_bytes=generation.sent_bytes,
        received_bytes=generation.received_bytes,
        tokens=generation.table.next,
        draining=generation.draining,
    )
