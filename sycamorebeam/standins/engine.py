"""The stand-in of a model engine, which streams tokens."""

import asyncio
from collections.abc import AsyncIterator
import json
from typing import Any

from aiohttp import web
import attrs

from sycamorebeam import errors
from sycamorebeam.standins import batch
from sycamorebeam.standins import faults
from sycamorebeam.standins import prefixcache
from sycamorebeam.standins import replica
from sycamorebeam.standins import runs

HEARTBEAT_MS = 500
HEARTBEAT = b': alive\n\n'
MAX_TOKENS = 100_000
# The caller notices its own deadline before the engine cancels.
DEADLINE_GRACE_MS = 50


@attrs.define
class EngineState:
    """The state that orders set."""

    role: str = 'generate'
    models: dict[str, str] = attrs.field(factory=dict)
    adapters: list[str] = attrs.field(factory=list)
    fence: int = 0


@attrs.frozen(kw_only=True)
class StreamShape:
    """The deviations of one token stream from a correct one."""

    id: str
    lost: int | None
    doubled: bool
    shuffled: bool
    babble: bool


class Engine(replica.Replica):
    """An engine replica that streams a text derived from the prompt."""

    def __init__(self, group: str, options: replica.TargetOptions) -> None:
        super().__init__(group, options)
        self._state = EngineState()
        self._cache = prefixcache.PrefixCache(
            options.cached_prefixes,
            options.cache_events_lag_ms,
            lambda: self.faults.consume('lose_cache_events'),
        )
        self._batch = batch.Batch(
            options.capacity, options.token_ms, self._start_run, self._prefill
        )

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of an engine."""
        super().add_routes(router)
        router.add_post('/v1/generate', self._generate)
        router.add_post('/v1/generate/{id}/resume', self._resume)
        router.add_delete('/v1/generate/{id}', self._cancel)
        router.add_get('/v1/cache-events', self._get_cache_events)
        router.add_get('/v1/state', self._get_state)
        router.add_post('/v1/orders', self._execute_order)

    def load(self) -> tuple[int, int]:
        """Return the numbers of running and of waiting generations."""
        return self._batch.running, self._batch.waiting

    def _start_run(self, generation: batch.Generation) -> runs.Run:
        return self.runs.start(generation.id, 'generate')

    async def _prefill(self, generation: batch.Generation) -> None:
        hit = self._cache.use(generation.prompt)
        if not hit:
            await asyncio.sleep(self.options.prefill_ms / 1000)

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        try:
            generation = _parse_generation(await replica.read_call(request))
        except errors.SettingsError as error:
            return web.json_response({'error': str(error)}, status=400)
        fault_response = await self.admit(request, generation.id)
        if fault_response is not None:
            return fault_response
        if self._batch.find(generation.id) is not None:
            return web.json_response({'id': generation.id}, status=409)
        if self._batch.waiting >= self.options.queue:
            return self.not_run(generation.id)
        self._batch.submit(generation)
        lifetime_ms = replica.deadline_ms(request) + DEADLINE_GRACE_MS
        loop = asyncio.get_running_loop()
        loop.call_later(lifetime_ms / 1000, self._batch.cancel, generation.id)
        await self.delay()
        if self.faults.consume('errors'):
            return web.json_response({'id': generation.id}, status=500)
        if self.faults.consume('hang'):
            return await faults.hang(request)
        return await self._stream(request, generation, 0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        self.runs.resumes += 1
        generation_id = request.match_info['id']
        fault_response = await self.admit(request, generation_id)
        if fault_response is not None:
            return fault_response
        fields = await replica.read_call(request)
        generation = self._batch.find(generation_id)
        start = fields.get('from')
        if generation is None or generation.cancelled:
            return web.json_response({'id': generation_id}, status=404)
        if not isinstance(start, int) or start < 0:
            return web.json_response({'id': generation_id}, status=400)
        return await self._stream(request, generation, start)

    async def _stream(
        self, request: web.Request, generation: batch.Generation, start: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self.headers())
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        ends_early = self.faults.consume('early_end')
        cut = self.faults.consume('cut')
        stall = self.faults.consume('stall')
        middle = (start + generation.max_tokens) // 2
        is_complete = not (ends_early or cut or stall)
        stop = generation.max_tokens + 1 if is_complete else middle
        try:
            async for event in self._events(generation, start, stop):
                await response.write(event)
        except ConnectionError:
            return response
        if stall:
            await self.go_silent(request)
        if cut:
            faults.drop(request)
        if is_complete:
            await response.write(self._end_event(generation))
        return response

    async def _events(
        self, generation: batch.Generation, start: int, stop: int
    ) -> AsyncIterator[bytes]:
        shape = self._choose_shape(generation, start, stop)
        delayed = b''
        async for item in generation.read(start, HEARTBEAT_MS):
            if item is None:
                yield HEARTBEAT
                continue
            index, text = item
            if index >= stop:
                return
            if index == shape.lost:
                continue
            event = _token_event(shape.id, index, text)
            if shape.shuffled and index % 2 == 0 and index + 1 < stop:
                delayed = event
                continue
            yield event + delayed + (event if shape.doubled else b'')
            delayed = b''
        yield delayed
        if shape.babble:
            yield _token_event(shape.id, generation.max_tokens, 'more')

    def _choose_shape(
        self, generation: batch.Generation, start: int, stop: int
    ) -> StreamShape:
        last = min(stop, generation.max_tokens)
        middle = (start + last) // 2
        return StreamShape(
            id=self.response_id(generation.id),
            lost=middle if self.faults.consume('gap') else None,
            doubled=self.faults.consume('doubled'),
            shuffled=self.faults.consume('shuffled'),
            babble=self.faults.consume('babble'),
        )

    def _end_event(self, generation: batch.Generation) -> bytes:
        digest = generation.digest
        if self.faults.consume('wrong_digest'):
            digest = digest[::-1]
        data = {
            'id': generation.id,
            'count': len(generation.texts),
            'digest': digest,
        }
        if generation.cancelled:
            return _format_event('cancelled', {'id': generation.id})
        return _format_event('end', data)

    async def _cancel(self, request: web.Request) -> web.Response:
        self.runs.cancels += 1
        self._batch.cancel(request.match_info['id'])
        return web.Response(status=204, headers=self.headers())

    async def _get_cache_events(self, request: web.Request) -> web.Response:
        start = int(request.query.get('from', 0))
        next_seq, events = self._cache.page(start)
        items = [attrs.asdict(event) for event in events]
        return web.json_response({'next': next_seq, 'events': items})

    async def _get_state(self, request: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(self._state))

    async def _execute_order(self, request: web.Request) -> web.StreamResponse:
        fields = await replica.read_call(request)
        call_id = str(fields['id'])
        fault_response = await self.admit(request, call_id)
        if fault_response is not None:
            return fault_response
        fence = fields.get('fence')
        if not isinstance(fence, int):
            return web.json_response({'id': call_id}, status=400)
        if self.options.checks_fencing:
            if fence < self._state.fence:
                conflict = {'id': call_id, 'fence': self._state.fence}
                return web.json_response(conflict, status=409)
            self._state.fence = fence
        run = self.runs.start(call_id, str(fields.get('kind')))
        await self.delay()
        self._apply_order(fields)
        run.state = runs.RunState.FINISHED
        if self.faults.consume('errors'):
            return web.json_response({'id': call_id}, status=500)
        if self.faults.consume('hang'):
            return await faults.hang(request)
        answer = attrs.asdict(self._state) | {'id': self.response_id(call_id)}
        return web.json_response(answer, headers=self.headers())

    def _apply_order(self, order: dict[str, Any]) -> None:
        name = order.get('name', '')
        match order.get('kind'):
            case 'load_model':
                self._state.models[name] = order.get('version', '')
            case 'load_adapter' if name not in self._state.adapters:
                self._state.adapters.append(name)
            case 'unload':
                self._state.models.pop(name, None)
                kept = [
                    adapter
                    for adapter in self._state.adapters
                    if adapter != name
                ]
                self._state.adapters = kept
            case 'set_role':
                self._state.role = name
            case _:
                return


def _parse_generation(fields: dict[str, Any]) -> batch.Generation:
    try:
        return batch.Generation(
            id=fields['id'],
            model=str(fields.get('model') or ''),
            prompt=str(fields['prompt']),
            max_tokens=min(max(int(fields['max_tokens']), 1), MAX_TOKENS),
            priority=int(fields.get('priority', 1)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.SettingsError(
            f'the call is not a generation ({error!r})',
            'send id, prompt and max_tokens',
        ) from error


def _token_event(call_id: str, index: int, text: str) -> bytes:
    return _format_event('token', {'id': call_id, 'i': index, 'text': text})


def _format_event(name: str, data: dict[str, object]) -> bytes:
    text = json.dumps(data, ensure_ascii=False, separators=(',', ':'))
    return f'event: {name}\ndata: {text}\n\n'.encode()
