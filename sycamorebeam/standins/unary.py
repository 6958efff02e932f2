"""Unary calls of pools and services: one response to each call."""

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

Execution = Coroutine[Any, Any, None]
Compute = Callable[[str, dict[str, Any]], dict[str, Any]]


class UnaryCalls:
    """Runs calls with bounded concurrency and sends one response to each."""

    def __init__(
        self, target_replica: replica.Replica, compute: Compute
    ) -> None:
        self._replica = target_replica
        self._compute = compute
        self._slots = asyncio.Semaphore(target_replica.options.capacity)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._running: set[str] = set()
        self._answered = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes that pools and services share."""
        router.add_get('/v1/calls/{id}', self._get_state)
        router.add_delete('/v1/calls/{id}', self._cancel)

    async def answer(
        self, request: web.Request, operation: str | None = None
    ) -> web.StreamResponse:
        """Run the call in ``request`` and return the response."""
        try:
            fields = await replica.read_call(request)
        except errors.SettingsError as error:
            return web.json_response({'error': str(error)}, status=400)
        call_id = str(fields['id'])
        fault_response = await self._replica.admit(request, call_id)
        if fault_response is not None:
            return fault_response
        _, waiting = self.load()
        if waiting >= self._replica.options.queue:
            return self._replica.not_run(call_id)
        operation_name = operation or str(fields.get('operation', ''))
        inputs = _parse_inputs(fields)
        execution = self._execute(request, call_id, operation_name, inputs)
        if not await self._track(call_id, execution):
            return self._replica.not_run(call_id)
        return await self._respond(request, call_id, operation_name, inputs)

    def load(self) -> tuple[int, int]:
        """Return the numbers of running and of waiting calls."""
        return len(self._running), len(self._tasks) - len(self._running)

    async def _track(self, call_id: str, execution: Execution) -> bool:
        """Run the call; return False if it was cancelled."""
        task = asyncio.create_task(execution)
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

    async def _execute(
        self,
        request: web.Request,
        call_id: str,
        operation: str,
        inputs: dict[str, Any],
    ) -> None:
        async with self._slots:
            self._running.add(call_id)
            run = self._replica.runs.start(
                call_id, operation, inputs.get('key')
            )
            try:
                await asyncio.sleep(self._replica.options.work_ms / 1000)
                run.state = runs.RunState.FINISHED
                await self._replica.delay()
                if self._replica.faults.consume('hang'):
                    await faults.hang(request)
            finally:
                self._running.discard(call_id)

    async def _respond(
        self,
        request: web.Request,
        call_id: str,
        operation: str,
        inputs: dict[str, Any],
    ) -> web.StreamResponse:
        switches = self._replica.faults
        self._answered += 1
        request_id = f'{operation}-{self._answered}'
        headers = self._replica.headers() | {'Request-Id': request_id}
        if switches.consume('errors'):
            return web.json_response(
                {'id': call_id}, status=500, headers=headers
            )
        output = self._compute(operation, inputs)
        body = self._build_body(call_id, request_id, output)
        if switches.consume('early_end'):
            return await _send_half_and_close(request, body, headers)
        if switches.consume('stall'):
            await _send_half(request, body, headers)
            return await self._replica.go_silent(request)
        response = web.Response(
            body=body, content_type='application/json', headers=headers
        )
        if switches.consume('doubled'):
            _write_duplicate(request, body, headers, switches.doubled_after_ms)
        return response

    def _build_body(
        self, call_id: str, request_id: str, output: dict[str, Any]
    ) -> bytes:
        digest = hashing.digest_value(output).hex()
        if self._replica.faults.consume('wrong_digest'):
            digest = digest[::-1]
        answer = {
            'id': self._replica.response_id(call_id),
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
        self._replica.runs.cancels += 1
        call_id = request.match_info['id']
        task = self._tasks.get(call_id)
        if task is not None and call_id not in self._running:
            task.cancel()
        return web.Response(status=204, headers=self._replica.headers())


def _parse_inputs(fields: dict[str, object]) -> dict[str, Any]:
    inputs = fields.get('input')
    return inputs if isinstance(inputs, dict) else {}


async def _send_half(
    request: web.Request, body: bytes, headers: dict[str, str]
) -> web.StreamResponse:
    """Send the headers and the first half of ``body``."""
    response = web.StreamResponse(headers=headers)
    response.content_type = 'application/json'
    response.content_length = len(body)
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    return response


async def _send_half_and_close(
    request: web.Request, body: bytes, headers: dict[str, str]
) -> web.StreamResponse:
    """Send the first half of ``body`` and close the connection."""
    response = await _send_half(request, body, headers)
    if request.transport is not None:
        request.transport.close()
    return response


def _write_duplicate(
    request: web.Request,
    body: bytes,
    headers: dict[str, str],
    after_ms: float,
) -> None:
    """Send an unrequested second copy of a response after ``after_ms``."""
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
