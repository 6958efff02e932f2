"""The HTTP interface for callers and operators."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import json
from typing import Any

from aiohttp import typedefs
from aiohttp import web

from sycamorebeam import answers
from sycamorebeam import caller_requests
from sycamorebeam import http_problems
from sycamorebeam import openapi
from sycamorebeam import settings
from sycamorebeam import telemetry
from sycamorebeam.controllers import readiness
from sycamorebeam.controllers import shutdown
from sycamorebeam.filters import chain

STOP_RETRY_MS = 1_000


class EventStream:
    """A response of server-sent events, started by the first event.

    A request refused before its first event can thus still be answered by
    a plain problem document with its own HTTP status.
    """

    def __init__(self, http: web.Request, request_id: str) -> None:
        self._http = http
        self._request_id = request_id
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, None until an event is sent."""
        return self._response

    async def emit(self, name: str, data: dict[str, Any]) -> None:
        """Send one event."""
        await self._write(f'event: {name}\ndata: {json.dumps(data)}\n\n')

    async def emit_tokens(self, tokens: Sequence[tuple[int, str]]) -> None:
        """Send the events of tokens that arrived together, in one write."""
        await self._write(''.join(map(_token_event, tokens)))

    async def _write(self, text: str) -> None:
        if self._response is None:
            self._response = await self._start_response()
        await self._response.write(text.encode())

    async def _start_response(self) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                'Content-Type': caller_requests.EVENT_STREAM,
                'Cache-Control': 'no-store',
                'Request-Id': self._request_id,
            }
        )
        await response.prepare(self._http)
        return response


class CallerServer:
    """Turns HTTP requests into requests for the filter chain."""

    def __init__(
        self,
        handler: chain.Handler,
        instance_readiness: readiness.Readiness,
        planned_stop: shutdown.Shutdown,
        bounds: settings.Bounds,
        metrics: telemetry.Metrics,
        status: Callable[[], dict[str, Any]],
    ) -> None:
        self._handler = handler
        self._readiness = instance_readiness
        self._shutdown = planned_stop
        self._bounds = bounds
        self._metrics = metrics
        self._status = status

    def application(self, *, with_admin: bool) -> web.Application:
        """Return the application for the callers' listener."""
        app = web.Application(
            client_max_size=self._bounds.body_bytes,
            middlewares=[self._convert_errors],
        )
        app.router.add_post(openapi.REQUESTS_PATH, self._post_request)
        app.router.add_get('/livez', self._get_livez)
        app.router.add_get('/readyz', self._get_readyz)
        app.router.add_get('/openapi.json', self._get_openapi)
        if with_admin:
            self._add_admin(app)
        return app

    def admin_application(self) -> web.Application:
        """Return the application for the operators' listener."""
        app = web.Application()
        self._add_admin(app)
        app.router.add_get('/livez', self._get_livez)
        app.router.add_get('/readyz', self._get_readyz)
        return app

    def _add_admin(self, app: web.Application) -> None:
        app.router.add_get('/admin/status', self._get_status)

    async def _post_request(self, http: web.Request) -> web.StreamResponse:
        request_id = caller_requests.request_id_of(http)
        self._metrics.count('request.received')
        refusal = self._refuse_if_not_ready(http)
        if refusal is not None:
            return self._problem_response(refusal, request_id)
        request = await caller_requests.read_request(
            http, request_id, self._bounds
        )
        if isinstance(request, caller_requests.Unreadable):
            problem = answers.Problem(
                request.kind,
                caller_requests.refused_outcome(http),
                request.detail,
                request.remedy,
            )
            return self._problem_response(problem, request_id)
        stream = None
        if caller_requests.wants_stream(http):
            stream = EventStream(http, request_id)
            request.emit_tokens = stream.emit_tokens
        answer = await self._run(request)
        if stream is not None:
            return await self._end_stream(stream, answer, request_id)
        return self._plain_response(answer, request_id)

    async def _run(self, request: chain.Request) -> answers.Answer:
        """Run a request as a task that a planned stop waits for.

        The task is cancelled when the caller disconnects, unless the request
        holds a dispatch permit: then it continues, so that its outcome is
        recorded.
        """
        task = asyncio.ensure_future(self._handler(request))
        self._shutdown.track(task)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():
                return _stopped_problem(request)
            if request.permit is None:
                task.cancel()
            self._metrics.count('request.abandoned')
            raise
        except Exception as error:
            return _internal_problem(error, request.request_id)

    def _refuse_if_not_ready(
        self, http: web.Request
    ) -> answers.Problem | None:
        state = self._readiness.state
        if isinstance(state, readiness.Ready):
            return None
        return answers.Problem(
            answers.ProblemKind.NOT_READY,
            caller_requests.refused_outcome(http),
            state.reason,
            'send the request again; the balancer takes another instance',
            STOP_RETRY_MS,
        )

    def _plain_response(
        self, answer: answers.Answer, request_id: str
    ) -> web.StreamResponse:
        match answer:
            case answers.Completed():
                self._metrics.count('request.complete')
                body = result_document(answer, request_id)
                return self._close_if_stopping(
                    web.json_response(body, headers={'Request-Id': request_id})
                )
            case answers.Problem():
                return self._problem_response(answer, request_id)

    async def _end_stream(
        self, stream: EventStream, answer: answers.Answer, request_id: str
    ) -> web.StreamResponse:
        match answer:
            case answers.Completed():
                self._metrics.count('request.complete')
                await stream.emit(
                    'result', result_document(answer, request_id)
                )
            case answers.Problem() if stream.response is None:
                return self._problem_response(answer, request_id)
            case answers.Problem():
                self._count_problem(answer)
                document = http_problems.document(answer, request_id)
                await stream.emit('error', document)
        assert stream.response is not None
        await stream.response.write_eof()
        return stream.response

    def _problem_response(
        self, problem: answers.Problem, request_id: str
    ) -> web.StreamResponse:
        self._count_problem(problem)
        telemetry.log_event(
            'request_refused',
            request=request_id,
            kind=problem.kind.slug,
            outcome=problem.outcome.value,
            detail=problem.detail,
        )
        return self._close_if_stopping(
            http_problems.response(problem, request_id)
        )

    def _count_problem(self, problem: answers.Problem) -> None:
        self._metrics.count(f'request.problem.{problem.kind.slug}')

    def _close_if_stopping(self, response: web.Response) -> web.Response:
        """Close the connection after this response during a planned stop."""
        if self._shutdown.state is not shutdown.State.SERVING:
            response.force_close()
        return response

    @web.middleware
    async def _convert_errors(
        self, request: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        """Turn HTTP errors and unexpected errors into problem documents."""
        try:
            return await handler(request)
        except web.HTTPException as error:
            problem = answers.Problem(
                answers.ProblemKind.BAD_REQUEST,
                answers.Outcome.NOT_RUN,
                f'{request.method} {request.path}: {error.reason}',
                'see /openapi.json for what this interface offers',
            )
            response = http_problems.response(
                problem, caller_requests.request_id_of(request)
            )
            response.set_status(error.status)
            return response
        except Exception as error:
            request_id = caller_requests.request_id_of(request)
            return self._problem_response(
                _internal_problem(error, request_id), request_id
            )

    async def _get_livez(self, http: web.Request) -> web.Response:
        return web.Response(text='live\n')

    async def _get_readyz(self, http: web.Request) -> web.Response:
        if self._shutdown.state is not shutdown.State.SERVING:
            return web.Response(status=503, text='stopping\n')
        match self._readiness.state:
            case readiness.Ready():
                return web.Response(text='ready\n')
            case readiness.NotReady(reason):
                return web.Response(status=503, text=f'not ready: {reason}\n')

    async def _get_openapi(self, http: web.Request) -> web.Response:
        return web.json_response(openapi.document())

    async def _get_status(self, http: web.Request) -> web.Response:
        return web.json_response(self._status())


def _token_event(token: tuple[int, str]) -> str:
    index, text = token
    data = f'{{"i": {index}, "text": {json.dumps(text)}}}'
    return f'event: token\ndata: {data}\n\n'


def result_document(
    answer: answers.Completed, request_id: str
) -> dict[str, Any]:
    """Return the response body of a completed request."""
    return {
        'request_id': request_id,
        'output': answer.output,
        'replayed': answer.replayed,
        'usage': {
            'stage_ms': answer.usage.stage_ms,
            'stage_cost': answer.usage.stage_cost,
            'region_bytes': answer.usage.region_bytes,
            'tokens': answer.usage.tokens,
            'retries': answer.usage.retries,
        },
    }


def _stopped_problem(request: chain.Request) -> answers.Problem:
    return answers.Problem(
        answers.ProblemKind.NOT_READY,
        answers.Outcome.UNKNOWN,
        'this instance was stopped before the answer was whole',
        'send the request again with the same Idempotency-Key',
        STOP_RETRY_MS,
    )


def _internal_problem(error: Exception, request_id: str) -> answers.Problem:
    telemetry.log_event(
        'request_error', 'ERROR', request=request_id, error=repr(error)
    )
    return answers.Problem(
        answers.ProblemKind.INTERNAL,
        answers.Outcome.UNKNOWN,
        'an unexpected error, see the log of this instance',
        'report the request id to the operators',
    )
