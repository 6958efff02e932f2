"""Stand-ins of pools and plain services: one answer to each call."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import json
from typing import Any

from aiohttp import web

from sycamorebeam import errors
from sycamorebeam import hashing
from sycamorebeam.standins import faults
from sycamorebeam.standins import replica
from sycamorebeam.standins import runs

Work = Coroutine[Any, Any, None]
Compute = Callable[[str, dict[str, Any]], dict[str, Any]]


class UnaryCalls:
    """Runs calls with bounded concurrency and answers each once."""

    def __init__(self, base: replica.Replica, compute: Compute) -> None:
        self._base = base
        self._compute = compute
        self._slots = asyncio.Semaphore(base.options.capacity)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._begun: set[str] = set()
        self._served = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the calls that pools and services share."""
        router.add_get('/v1/calls/{id}', self._get_state)
        router.add_delete('/v1/calls/{id}', self._cancel)

    async def answer(
        self, request: web.Request, operation: str | None = None
    ) -> web.StreamResponse:
        """Run the call in ``request`` and answer it."""
        try:
            fields = await replica.read_call(request)
        except errors.SettingsError as error:
            return web.json_response({'error': str(error)}, status=400)
        call_id = str(fields['id'])
        ended = await self._base.admit(request, call_id)
        if ended is not None:
            return ended
        _, waiting = self.load()
        if waiting >= self._base.options.queue:
            return self._base.not_run(call_id)
        named = operation or str(fields.get('operation', ''))
        inputs = _inputs(fields)
        work = self._work(request, call_id, named, inputs)
        if not await self._track(call_id, work):
            return self._base.not_run(call_id)
        return await self._reply(request, call_id, named, inputs)

    def load(self) -> tuple[int, int]:
        """Return how many calls run and how many wait."""
        return len(self._begun), len(self._tasks) - len(self._begun)

    async def _track(self, call_id: str, work: Work) -> bool:
        """Return whether the call ran, False when it was cancelled."""
        task = asyncio.create_task(work)
        self._tasks[call_id] = task
        try:
            await task
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            return False
        finally:
            self._tasks.pop(call_id, None)
        return True

    async def _work(
        self,
        request: web.Request,
        call_id: str,
        operation: str,
        inputs: dict[str, Any],
    ) -> None:
        async with self._slots:
            self._begun.add(call_id)
            run = self._base.runs.start(call_id, operation, inputs.get('key'))
            try:
                await asyncio.sleep(self._base.options.work_ms / 1000)
                run.state = runs.RunState.FINISHED
                await self._base.delay()
                if self._base.faults.consume('hang'):
                    await faults.hang(request)
            finally:
                self._begun.discard(call_id)

    async def _reply(
        self,
        request: web.Request,
        call_id: str,
        operation: str,
        inputs: dict[str, Any],
    ) -> web.StreamResponse:
        switches = self._base.faults
        self._served += 1
        request_id = f'{operation}-{self._served}'
        headers = self._base.headers() | {'Request-Id': request_id}
        if switches.consume('errors'):
            return web.json_response(
                {'id': call_id}, status=500, headers=headers
            )
        output = self._compute(operation, inputs)
        body = self._body(call_id, request_id, output)
        if switches.consume('early_end'):
            return await _send_part(request, body, headers)
        if switches.consume('stall'):
            await _begin(request, body, headers)
            return await self._base.go_silent(request)
        response = web.Response(
            body=body, content_type='application/json', headers=headers
        )
        if switches.consume('doubled'):
            _write_again(request, body, headers, switches.doubled_after_ms)
        return response

    def _body(
        self, call_id: str, request_id: str, output: dict[str, Any]
    ) -> bytes:
        digest = hashing.digest_value(output).hex()
        if self._base.faults.consume('wrong_digest'):
            digest = digest[::-1]
        answer = {
            'id': self._base.response_id(call_id),
            'request_id': request_id,
            'output': output,
            'digest': digest,
        }
        return json.dumps(answer).encode()

    async def _get_state(self, request: web.Request) -> web.Response:
        call_id = request.match_info['id']
        state = 'running' if call_id in self._tasks else 'none'
        return web.json_response({'id': call_id, 'state': state})

    async def _cancel(self, request: web.Request) -> web.Response:
        self._base.runs.cancels += 1
        call_id = request.match_info['id']
        task = self._tasks.get(call_id)
        if task is not None and call_id not in self._begun:
            task.cancel()
        return web.Response(status=204, headers=self._base.headers())


def _inputs(fields: dict[str, object]) -> dict[str, Any]:
    found = fields.get('input')
    return found if isinstance(found, dict) else {}


async def _begin(
    request: web.Request, body: bytes, headers: dict[str, str]
) -> web.StreamResponse:
    """Send the headers and half of ``body``."""
    response = web.StreamResponse(headers=headers)
    response.content_type = 'application/json'
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    return response


async def _send_part(
    request: web.Request, body: bytes, headers: dict[str, str]
) -> web.StreamResponse:
    """Send half of ``body`` and close the connection."""
    response = await _begin(request, body, headers)
    if request.transport is not None:
        request.transport.close()
    return response


def _write_again(
    request: web.Request,
    body: bytes,
    headers: dict[str, str],
    after_ms: float,
) -> None:
    """Send a second copy of an answer, which nobody asked for."""
    head = [
        'HTTP/1.1 200 OK',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        *(f'{name}: {value}' for name, value in headers.items()),
    ]
    copy = '\r\n'.join(head).encode() + b'\r\n\r\n' + body
    transport = request.transport
    if transport is not None:
        loop = asyncio.get_running_loop()
        loop.call_later(max(after_ms, 1) / 1000, transport.write, copy)
