"""Tests of the callers' HTTP interface over real connections."""

import asyncio
import contextlib
import json

import aiohttp
from aiohttp import web
import ddt
import hypothesis
from hypothesis import strategies

from sycamorebeam import answers
from sycamorebeam import openapi
from sycamorebeam import server
from sycamorebeam import settings
from sycamorebeam import telemetry
from sycamorebeam.controllers import limits
from sycamorebeam.controllers import readiness
from sycamorebeam.controllers import shutdown
from sycamorebeam.filters import admission
from sycamorebeam.filters import chain
from sycamorebeam.filters import deadline
from sycamorebeam.filters import identity
from sycamorebeam.filters import not_run
from sycamorebeam.filters import validation
from tests import base
from tests import build
from tests import fake_targets

BOUNDS = settings.Bounds(
    body_bytes=2_000, body_timeout_ms=200, idle_timeout_ms=1_000
)
GOOD = {'input': {'text': 'why'}}
TOKEN = {'Authorization': 'Bearer crew-token'}


class Service:
    """The callers' interface with fake targets, on a free port."""

    def __init__(self, script=None, stop=None, state=None):
        self.targets = fake_targets.FakeTargets(script)
        self.ready = state or readiness.Ready()
        self.stopping = shutdown.Shutdown(
            build.CLOCK, stop or settings.Shutdown(balancer_lag_ms=100)
        )
        registry = build.new_target_registry()
        runner = build.new_runner(self.targets, registry=registry)
        handler = chain.chain(
            [
                not_run.NotRunFilter(),
                identity.Identity(build.view(build.ENTRIES)),
                deadline.DeadlineFilter(build.CLOCK),
                validation.Validation(),
                admission.Admission(
                    limits.LimitsController(build.CLOCK, 100), registry
                ),
            ],
            runner.run,
        )
        self.server = server.CallerServer(
            handler,
            readiness.Readiness([lambda: self.ready]),
            self.stopping,
            BOUNDS,
            telemetry.Metrics(),
            dict,
        )

    async def __aenter__(self):
        self._runner = web.AppRunner(
            self.server.application(with_admin=True),
            handler_cancellation=True,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        host, port = self._runner.addresses[0]
        self.address = (host, port)
        self.url = f'http://{host}:{port}'
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_):
        await self.session.close()
        await self._runner.cleanup()

    async def post(self, name='answer', data=None, headers=None):
        url = f'{self.url}/v1/pipelines/{name}/requests'
        body = json.dumps(GOOD) if data is None else data
        sent = {'Content-Type': 'application/json', **TOKEN}
        sent.update(headers or {})
        response = await self.session.post(url, data=body, headers=sent)
        async with response:
            text = await response.text()
        return response, text


def document(text):
    return json.loads(text)


BAD_INPUT = (
    ('unknown_pipeline', {'name': 'nothing'}, 404, 'unknown-pipeline'),
    ('wrong_token', {'headers': {'Authorization': 'Bearer x'}}, 401, ''),
    ('no_scheme', {'headers': {'Authorization': 'crew-token'}}, 401, ''),
    ('oversized', {'data': json.dumps({'input': 'x' * 3_000})}, 413, ''),
    ('not_json', {'data': '{'}, 400, 'bad-request'),
    ('deeply_nested', {'data': '[' * 1_500}, 400, 'bad-request'),
    ('array', {'data': '[]'}, 400, 'bad-request'),
    ('input_missing', {'data': '{}'}, 400, 'bad-request'),
    ('input_text', {'data': '{"input": "x"}'}, 400, 'bad-request'),
    ('unknown_field', {'data': '{"input": {}, "inptu": 1}'}, 400, ''),
    ('content_type', {'headers': {'Content-Type': 'text/plain'}}, 400, ''),
    ('expired', {'headers': {'Deadline-Ms': '0'}}, 504, 'deadline'),
    ('negative', {'headers': {'Deadline-Ms': '-5'}}, 504, 'deadline'),
    ('no_number', {'headers': {'Deadline-Ms': 'soon'}}, 400, 'bad-request'),
    ('long_key', {'headers': {'Idempotency-Key': 'k' * 201}}, 400, ''),
)


@ddt.ddt
class BadInputTest(base.NetworkTestCase):
    @ddt.data(*BAD_INPUT)
    @ddt.unpack
    async def test_is_refused_and_runs_nothing(self, _, sent, status, slug):
        async with Service() as service:
            response, text = await service.post(**sent)
            after, _ = await service.post()
        problem = document(text)
        self.assertEqual(status, response.status, text)
        self.assertEqual(status, problem['status'])
        self.assertEqual('application/problem+json', response.content_type)
        self.assertTrue(problem['type'].endswith(slug))
        self.assertTrue(problem['remedy'])
        self.assertIn(problem['outcome'], ('not_run', 'attempt_not_run'))
        self.assertEqual(200, after.status)
        self.assertEqual(4, len(service.targets.attempts))

    @ddt.data(
        ('no_key', {}, 'not_run'),
        ('first', {'Idempotency-Key': 'k', 'First-Attempt': '1'}, 'not_run'),
        ('later', {'Idempotency-Key': 'k'}, 'attempt_not_run'),
    )
    @ddt.unpack
    async def test_a_refusal_reports_the_outcome_of_the_attempt_or_request(
        self, _, sent, outcome
    ):
        for state in (readiness.Ready(), readiness.NotReady('why')):
            async with Service(state=state) as service:
                headers = {**sent, 'Deadline-Ms': '0'}
                _, text = await service.post('order', headers=headers)
            self.assertEqual(outcome, document(text)['outcome'])

    @ddt.data('Idempotency-Key', 'Deadline-Ms', 'Authorization')
    async def test_doubled_headers(self, name):
        raw = f'{name}: 1\r\n{name}: 2\r\nContent-Length: 2\r\n\r\n{{}}'
        async with Service() as service:
            answer = await self.raw(service, raw)
        self.assertIn(b' 400 ', answer)
        self.assertEqual([], service.targets.attempts)

    async def test_a_slow_body_times_out(self):
        raw = 'Content-Length: 50\r\n\r\n{"inp'
        async with Service() as service:
            answer = await self.raw(service, raw)
        self.assertIn(b' 408 ', answer)
        self.assertEqual([], service.targets.attempts)

    async def test_an_oversized_header_is_refused(self):
        raw = f'X-Long: {"x" * 20_000}\r\nContent-Length: 2\r\n\r\n{{}}'
        async with Service() as service:
            answer = await self.raw(service, raw)
        self.assertIn(b' 400 ', answer)

    async def raw(self, service, rest):
        reader, writer = await asyncio.open_connection(*service.address)
        path = '/v1/pipelines/answer/requests'
        head = f'POST {path} HTTP/1.1\r\nHost: x\r\n'
        head += 'Content-Type: application/json\r\n'
        writer.write((head + rest).encode())
        async with asyncio.timeout(5):
            answer = await reader.read(1_000)
        writer.close()
        return answer

    @hypothesis.settings(
        derandomize=True, max_examples=60, deadline=None, database=None
    )
    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_body_gets_a_problem_or_a_result(self, data):
        async def send():
            async with Service() as service:
                response, _ = await service.post(data=data)
                return response.status, len(service.targets.attempts)

        with asyncio.Runner(loop_factory=self.new_loop) as runner:
            status, attempts = runner.run(send())
        self.assertIn(status, (200, 400))
        self.assertEqual(4 if status == 200 else 0, attempts)


class AnswerTest(base.NetworkTestCase):
    async def test_a_stream_ends_with_the_result(self):
        async with Service() as service:
            _, text = await service.post(
                headers={'Accept': 'text/event-stream'}
            )
        events = [item for item in text.split('\n\n') if item]
        names = [item.split('\n')[0] for item in events]
        self.assertEqual(['event: token', 'event: result'], names)

    async def test_a_broken_stream_ends_with_an_error_event(self):
        async def fail_midway(replica, attempt):
            await attempt.on_tokens([(0, 'half')])
            raise RuntimeError('a fault of ours')

        script = {'generate': [fail_midway]}
        async with Service(script) as service:
            _, text = await service.post(
                headers={'Accept': 'text/event-stream'}
            )
        self.assertIn('event: error', text)
        self.assertIn('"outcome": "unknown"', text)

    async def test_a_caller_that_disconnects_cancels_the_work(self):
        async with Service({'encode': [3_000]}) as service:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await service.post()
            await asyncio.sleep(0.2)
            self.assertEqual(1, len(service.targets.cancelled))

    async def test_an_instance_that_is_not_ready_refuses(self):
        state = readiness.NotReady('no catalogue')
        async with Service(state=state) as service:
            response, text = await service.post()
            probe = await service.session.get(service.url + '/readyz')
        self.assertEqual((503, 503), (response.status, probe.status))
        self.assertEqual('not_run', document(text)['outcome'])
        self.assertIn('retry_after_ms', document(text))


class StopTest(base.NetworkTestCase):
    async def test_a_planned_stop_completes_all_requests(self):
        async with Service({'encode': [400]}) as service:
            request = asyncio.ensure_future(service.post())
            await asyncio.sleep(0.1)
            leaving = asyncio.ensure_future(service.stopping.leave())
            await asyncio.sleep(0.05)
            probe = await service.session.get(service.url + '/readyz')
            late, _ = await service.post()
            await leaving
            drained = await service.stopping.drain()
            response, _ = await request
        self.assertEqual(503, probe.status)
        self.assertEqual([200, 200], [response.status, late.status])
        self.assertEqual('close', late.headers['Connection'])
        self.assertEqual(shutdown.Drained(), drained)

    async def test_stop_waiting_ends_requests_with_a_problem(self):
        async with Service({'encode': [5_000]}) as service:
            request = asyncio.ensure_future(service.post())
            await asyncio.sleep(0.1)
            service.stopping.stop_waiting()
            await service.stopping.leave()
            cut = await service.stopping.drain()
            response, text = await request
        self.assertEqual(shutdown.CutOff(1), cut)
        self.assertEqual(503, response.status)
        self.assertEqual('unknown', document(text)['outcome'])


class OpenApiTest(base.NetworkTestCase):
    async def test_the_document_lists_the_served_operations(self):
        service = Service()
        app = service.server.application(with_admin=False)
        served = {
            (route.method.lower(), route.resource.canonical)
            for route in app.router.routes()
            if route.method != 'HEAD'
        }
        paths = openapi.document()['paths']
        documented = {
            (method, path) for path in paths for method in paths[path]
        }
        self.assertEqual(documented, served)

    async def test_answers_have_the_documented_fields(self):
        schemas = openapi.document()['components']['schemas']
        async with Service() as service:
            _, good = await service.post()
            _, bad = await service.post(data='{')
        for text, name in ((good, 'Result'), (bad, 'Problem')):
            fields = set(document(text))
            schema = schemas[name]
            self.assertLessEqual(set(schema['required']), fields)
            self.assertLessEqual(fields, set(schema['properties']))

    def test_every_problem_kind_has_a_documented_status(self):
        operation = openapi.document()['paths'][openapi.REQUESTS_PATH]
        documented = set(operation['post']['responses'])
        statuses = {str(kind.status) for kind in answers.ProblemKind}
        self.assertLessEqual(statuses, documented)
