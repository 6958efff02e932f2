"""Requests over HTTP from callers through one instance to targets."""

import asyncio
import contextlib

from aiohttp import web
import attrs
import ddt

from sycamorebeam import clocks
from sycamorebeam.clients import sliced_input
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import caller_server
from sycamorebeam.forwarding import elapsed_times
from sycamorebeam.forwarding import forwarder
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import frontend
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import region_prompt_placer
from sycamorebeam.forwarding import request_memory
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_attempts
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_limits
from sycamorebeam.forwarding import upstream
from sycamorebeam.platform import http_codec
from tests import base
from tests.forwarding import build
from tests.forwarding import wire

CHUNKED = 'Transfer-Encoding: chunked'
KEY = ('k1', 'crew', 0)
STREAM = model.Kind.STREAM
IDEMPOTENT = model.Kind.IDEMPOTENT
NON_IDEMPOTENT = model.Kind.NON_IDEMPOTENT
OK = [wire.answer(b'served')]
ERROR = [wire.answer(b'oops', '500 Internal Server Error')]
FULL = [wire.answer(b'', '503 Service Unavailable', ['X-Not-Executed: 1'])]
OTHER_TARGET = [wire.answer(b'', '421 Misdirected Request')]
INPUTS_GONE = [wire.answer(b'', '409 Conflict', ['X-Not-Executed: 1'])]


class FakeProducer:
    """Returns results or a failure; records requests and freed results."""

    def __init__(self):
        self.requests = []
        self.freed = []
        self.failure = None
        self.is_isolated = False

    async def produce(self, request):
        self.requests.append(request)
        if self.failure is not None:
            return self.failure
        return stages.Results(
            tuple(f'{request.service}/{n}' for n in request.positions)
        )

    async def announce(self, announcement):
        return None

    def withdraw(self, service, attempt_id, stage):
        pass

    def free(self, service, results):
        self.freed.extend(results)


@attrs.define
class Setup:
    """A running instance and the parts of it that tests use."""

    address: str
    state: active_state.ActiveState
    lease: freshness.FreshnessLease
    directory: target_directory.TargetDirectory
    producer: FakeProducer
    front: frontend.Frontend
    memory: request_memory.RequestMemory


@contextlib.asynccontextmanager
async def running(targets, keys=(), budget=100.0, **route):
    """Serve one route to targets at the addresses ``targets``."""
    clock = clocks.Clock()
    state = active_state.ActiveState()
    state.replace_if_newer(
        build.desired(
            routes=[build.route(**route)],
            services=[
                build.service(
                    has_engine=route.get('kind') is STREAM,
                ),
                build.service('desk', batching=build.batching()),
            ],
            keys=keys,
            has_teams=bool(keys),
        )
    )
    lease = freshness.FreshnessLease(5_000, True)
    lease.renew(clock.boottime_ms())
    directory = target_directory.TargetDirectory()
    directory.replace(
        [
            target_directory.TargetEntry(
                f't{n}', build.target(f't{n}', address=address)
            )
            for n, address in enumerate(targets)
        ],
        0,
    )
    chooser = target_choice.TargetChooser('a1', build.ZONES)
    limits = target_limits.TargetLimits()
    client = upstream.Upstream(100, build.request_memory())
    producer = FakeProducer()
    metrics = prometheus_metrics.Metrics()
    members = membership.Membership(build.instance('i0'), clock)
    cold = build.cold_targets(members)
    front = frontend.Frontend(
        clock,
        forwarder.Forwarder(
            clock=clock,
            state=state,
            lease=lease,
            budgets=retry_budget.RetryBudgets(0.0, budget, 10_000, lambda: 1),
            producer=producer,
            attempts=target_attempts.Attempts(
                clock=clock,
                state=state,
                lease=lease,
                directory=directory,
                chooser=chooser,
                prompt_placer=region_prompt_placer.RegionPromptPlacer(
                    clock,
                    members,
                    build.FakeLinks(),
                    directory,
                    chooser,
                    cold,
                ),
                client=client,
                codec=http_codec,
                feedback_handler=build.feedback_handler(directory, limits),
                permits=build.send_permits_alone(limits),
                crashing_prompts=build.crashing_prompts_alone(client),
                cold=cold,
                metrics=metrics,
            ),
            metrics=metrics,
        ),
        http_codec.decode_request,
        client.memory,
    )
    server = caller_server.CallerServer(
        front.handle, handler_cancellation=True, access_log=None
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    try:
        yield Setup(
            f'127.0.0.1:{port}',
            state,
            lease,
            directory,
            producer,
            front,
            client.memory,
        )
    finally:
        await runner.cleanup()
        await client.close()


def head(*headers, method='POST', path='/p/x', length=4):
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: h.example',
        'X-Attempt-Id: id-1',
        f'Content-Length: {length}',
        *headers,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


@attrs.frozen
class Response:
    status: int
    headers: dict
    body: bytes
    is_whole: bool


async def call(address, *headers, raw=None, **fields):
    """Send one request on its own connection; read until it closes."""
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        raw or head('Connection: close', *headers, **fields) + b'body'
    )
    try:
        data = await reader.read()
        is_reset = False
    except ConnectionError:
        data, is_reset = bytes(reader._buffer), True
    finally:
        writer.close()
    if not data:
        return Response(0, {}, b'', False)
    top, _, body = data.partition(b'\r\n\r\n')
    lines = top.decode().split('\r\n')
    answer_headers = dict(line.lower().split(': ', 1) for line in lines[1:])
    is_whole = not is_reset
    if answer_headers.get('transfer-encoding') == 'chunked':
        is_whole = body.endswith(b'0\r\n\r\n')
        body = unchunk(body)
    return Response(int(lines[0].split()[1]), answer_headers, body, is_whole)


async def read_answer(reader):
    """Read one answer, with a length or in chunks, from a connection."""
    top = await reader.readuntil(b'\r\n\r\n')
    lines = top.decode().strip().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines[1:])
    if headers.get('transfer-encoding') == 'chunked':
        body = unchunk(await reader.readuntil(b'0\r\n\r\n'))
    else:
        body = await reader.readexactly(int(headers['content-length']))
    return Response(int(lines[0].split()[1]), headers, body, True)


def unchunk(data):
    parts = []
    while data:
        size, _, data = data.partition(b'\r\n')
        parts.append(data[: int(size, 16)])
        data = data[int(size, 16) + 2 :]
    return b''.join(parts)


LEAVING = ['Server-Leaving: 1']
DECLINED_RETRY_AFTER = ['Retry-After: 1.5', 'X-Not-Executed: 1']
RETRY_AFTER = ['Retry-After: 1.5']


@ddt.ddt
class TargetFeedbackTest(base.NetworkTestCase):
    """Answers in which targets announce their leaving or ask for a pause."""

    @ddt.data(
        ('an answer', [wire.answer(b'served', headers=LEAVING)], 200),
        ('an error', [wire.answer(b'', '500 Odd', LEAVING)], 500),
        (
            'a failure of the request',
            [wire.answer(b'', '404 No', LEAVING)],
            404,
        ),
        (
            'a request turned away',
            [wire.answer(b'', '503 Full', [*LEAVING, *DECLINED_RETRY_AFTER])],
            503,
        ),
        (
            'a stream that breaks off',
            [
                wire.STREAM_HEAD.replace(
                    b'\r\n\r\n', b'\r\nServer-Leaving: 1\r\n\r\n'
                ),
                wire.RESET,
            ],
            502,
        ),
    )
    @ddt.unpack
    async def test_a_leaving_target_gets_no_more_requests(
        self, _, script, status
    ):
        async with wire.serving(script, OK) as target:
            kind = STREAM if status == 502 else NON_IDEMPOTENT
            async with running([target.address], kind=kind) as setup:
                response = await call(setup.address)
                self.assertEqual(status, response.status)
                response = await call(setup.address)
                self.assertEqual(503, response.status)
                listed = build.target('t0', address=target.address)
                restarted = attrs.evolve(listed, incarnation=2)
                setup.directory.update(
                    [target_directory.TargetEntry('t0', restarted)], 0
                )
                response = await call(setup.address)
                self.assertEqual(200, response.status)

    @ddt.data(
        ('declined', DECLINED_RETRY_AFTER, 503),
        ('it may have run', RETRY_AFTER, 502),
    )
    @ddt.unpack
    async def test_a_target_gets_no_requests_during_its_retry_after(
        self, _, headers, status
    ):
        script = [wire.answer(b'', '503 Full', headers)]
        async with (
            wire.serving(script, OK) as target,
            running(
                [target.address], kind=NON_IDEMPOTENT, timeout_ms=9_000.0
            ) as setup,
        ):
            response = await call(setup.address)
            self.assertEqual(status, response.status)
            for _ in range(3):
                response = await call(setup.address)
                self.assertEqual(503, response.status)
                # It says when the target accepts requests again.
                retry_after_s = float(response.headers['retry-after'])
                self.assertGreaterEqual(retry_after_s, 1.0)
                self.assertLessEqual(retry_after_s, 1.5)
            self.assertEqual(1, len(target.requests))
            await asyncio.sleep(1.6)
            response = await call(setup.address)
            self.assertEqual(200, response.status)

    async def test_requests_beyond_a_limit_are_refused_until_a_permit(self):
        limited = [wire.answer(b'served', headers=['Server-Limit: 0.5'])]
        async with (
            wire.serving(limited, limited) as target,
            running(
                [target.address], kind=NON_IDEMPOTENT, timeout_ms=9_000.0
            ) as setup,
        ):
            response = await call(setup.address)
            self.assertEqual(200, response.status)
            loop = asyncio.get_running_loop()
            asked_s = loop.time()
            for _ in range(3):
                response = await call(setup.address)
                self.assertEqual(503, response.status)
                retry_after_s = float(response.headers['retry-after'])
                due_s = loop.time() + retry_after_s
                # Both the clock and the header are rounded to 1 ms.
                self.assertGreaterEqual(due_s - asked_s, 2.0 - 0.002)
            self.assertEqual(1, len(target.requests))
            await asyncio.sleep(retry_after_s + 0.1)
            response = await call(setup.address)
            self.assertEqual(200, response.status)

    async def test_other_targets_serve_what_is_beyond_a_limit(self):
        limited = [wire.answer(b'served', headers=['Server-Limit: 0.5'])]
        async with (
            wire.serving(limited, limited, limited) as slow,
            wire.serving(OK) as other,
            running([slow.address, other.address]) as setup,
        ):
            for _ in range(8):
                response = await call(setup.address)
                self.assertEqual(200, response.status)
            self.assertLessEqual(len(slow.requests), 1)

    async def test_other_targets_serve_during_a_retry_after(self):
        script = [wire.answer(b'', '503 Full', DECLINED_RETRY_AFTER)]
        async with wire.serving(script, OK) as full, wire.serving(OK) as idle:
            async with running([full.address, idle.address]) as setup:
                for _ in range(8):
                    response = await call(setup.address)
                    self.assertEqual(200, response.status)
            self.assertLessEqual(len(full.requests), 1)


@ddt.ddt
class RefusalTest(base.NetworkTestCase):
    @ddt.data(
        ('an unknown path', {'path': '/x/'}, [], 404),
        ('no key', {}, [], 401),
        ('an unknown key', {}, ['X-Credential: k2'], 401),
        ('a malformed deadline', {}, ['X-Deadline-Ms: soon'], 400),
    )
    @ddt.unpack
    async def test_refused_requests_reach_no_target(
        self, _, fields, headers, status
    ):
        async with (
            wire.serving(OK) as target,
            running([target.address], keys=[KEY]) as setup,
        ):
            response = await call(setup.address, *headers, **fields)
        self.assertEqual(status, response.status)
        self.assertEqual([], target.requests)

    @ddt.data('no state', 'stale state')
    async def test_a_missing_or_stale_state_refuses_requests(self, case):
        async with (
            wire.serving(OK) as target,
            running([target.address], keys=[KEY]) as setup,
        ):
            if case == 'no state':
                setup.state.desired = None
            else:
                setup.lease._read_began_ms -= 4_700
            response = await call(setup.address, 'X-Credential: k1')
        self.assertEqual(503, response.status)
        self.assertLessEqual(float(response.headers['retry-after']), 1.0)
        self.assertEqual([], target.requests)

    async def test_a_state_that_goes_stale_during_a_stage_stops_the_send(self):
        async with wire.serving(OK) as target:
            stage = model.Stage(service='desk', after=(), result_bytes=1.0)
            async with running(
                [target.address], keys=[KEY], kind=STREAM, stages=(stage,)
            ) as setup:
                produce = setup.producer.produce

                async def slow_produce(request):
                    setup.lease._read_began_ms -= 4_700
                    return await produce(request)

                setup.producer.produce = slow_produce
                response = await call(
                    setup.address, 'X-Credential: k1', 'X-Chunks: 1'
                )
        self.assertEqual(503, response.status)
        self.assertEqual([], target.requests)

    @ddt.data(
        b'POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\n'
        b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\nGET /p/smuggled HTTP/1.1\r\nHost: h.example\r\n\r\n',
        b'POST /p/x HTTP/1.1\nHost: h.example\nX-Attempt-Id: id-1\n\n',
        b'POST /p/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n'
        b'Content-Length: 9\r\n\r\nbody',
        b'POST /p/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: +4\r\n\r\n',
        b'nonsense\r\n\r\n',
    )
    async def test_malformed_requests_are_not_passed_on(self, raw):
        async with (
            wire.serving(OK) as target,
            running([target.address]) as setup,
        ):
            response = await call(setup.address, raw=raw)
        self.assertEqual(400, response.status)
        self.assertEqual([], target.requests)

    async def test_without_targets_requests_are_refused(self):
        async with running([]) as setup:
            response = await call(setup.address)
        self.assertEqual(503, response.status)
        self.assertIn('retry-after', response.headers)


@ddt.ddt
class AttemptTest(base.NetworkTestCase):
    @ddt.data(
        ('success', IDEMPOTENT, [OK], 200, 1),
        ('an error, then success', IDEMPOTENT, [ERROR, OK], 200, 2),
        ('two errors', IDEMPOTENT, [ERROR, ERROR], 500, 2),
        ('a cut answer, then success', IDEMPOTENT, [[OK[0][:-1]], OK], 200, 2),
        ('a reset, then success', IDEMPOTENT, [[wire.RESET], OK], 200, 2),
        ('an error, no retry', NON_IDEMPOTENT, [ERROR, OK], 500, 1),
        ('a cut answer, no retry', NON_IDEMPOTENT, [[OK[0][:-1]], OK], 502, 1),
        ('a reset, no retry', NON_IDEMPOTENT, [[wire.RESET], OK], 502, 1),
        ('no HTTP, no retry', NON_IDEMPOTENT, [[b'\x00\r\n\r\n'], OK], 502, 1),
        ('full', NON_IDEMPOTENT, [FULL, OK], 200, 2),
        ('full twice', NON_IDEMPOTENT, [FULL, FULL], 503, 2),
        ('a reset, then full', IDEMPOTENT, [[wire.RESET], FULL], 502, 2),
        ('misdirected', NON_IDEMPOTENT, [OTHER_TARGET, OK], 200, 2),
        ('misdirected twice', NON_IDEMPOTENT, [OTHER_TARGET], 503, 2),
        (
            "another request's answer",
            NON_IDEMPOTENT,
            [[wire.answer(b'other', attempt_id='id-9')], OK],
            502,
            1,
        ),
        (
            'an encoded answer',
            NON_IDEMPOTENT,
            [[wire.answer(b'zip', headers=['Content-Encoding: gzip'])], OK],
            502,
            1,
        ),
        (
            'no signature',
            NON_IDEMPOTENT,
            [
                [
                    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n'
                    b'Content-Length: 2\r\n\r\nok'
                ],
                OK,
            ],
            502,
            1,
        ),
    )
    @ddt.unpack
    async def test_only_requests_that_may_run_again_are_retried(
        self, _, kind, scripts, status, runs
    ):
        """Both targets follow one script, so that the order is known."""
        async with wire.serving(*scripts) as target:
            targets = [target.address, target.address]
            async with running(targets, kind=kind) as setup:
                response = await call(setup.address)
        self.assertEqual(status, response.status)
        self.assertEqual(runs, len(target.requests))
        if status == 503:
            self.assertIn('retry-after', response.headers)

    @ddt.data(
        ('full', '503 Service Unavailable', ['X-Not-Executed: 1']),
        ('limited', '429 Too Many Requests', ['X-Not-Executed: 1']),
        ('misdirected', '421 Misdirected Request', []),
    )
    @ddt.unpack
    async def test_a_refusal_of_another_request_proves_nothing(
        self, _, status, headers
    ):
        stale = wire.answer(b'', status, headers, attempt_id='id-0')
        async with (
            wire.serving([stale], OK) as target,
            running([target.address] * 2, kind=NON_IDEMPOTENT) as setup,
        ):
            response = await call(setup.address)
        self.assertEqual(502, response.status)
        self.assertEqual(1, len(target.requests))

    async def test_a_refusal_written_once_more_reaches_no_other_request(self):
        refusal = wire.answer(
            b'', '503 Service Unavailable', ['X-Not-Executed: 1']
        )
        async with (
            wire.serving([refusal, refusal], OK) as target,
            running([target.address], kind=NON_IDEMPOTENT) as setup,
        ):
            responses = [await call(setup.address) for _ in range(2)]
        self.assertEqual([503, 200], [each.status for each in responses])
        self.assertEqual(2, len(target.requests))

    async def test_the_budget_bounds_retries(self):
        async with wire.serving(ERROR) as target:
            targets = [target.address, target.address]
            async with running(targets, budget=2.0) as setup:
                for _ in range(5):
                    await call(setup.address)
        self.assertEqual(5 + 1, len(target.requests))

    async def test_the_route_bounds_attempts(self):
        async with (
            wire.serving(ERROR) as target,
            running([target.address] * 4, max_attempts=3) as setup,
        ):
            await call(setup.address)
        self.assertEqual(3, len(target.requests))

    async def test_a_misdirected_request_does_not_count_as_an_attempt(self):
        async with (
            wire.serving(OTHER_TARGET, OK) as target,
            running(
                [target.address, target.address],
                kind=NON_IDEMPOTENT,
                max_attempts=1,
            ) as setup,
        ):
            response = await call(setup.address)
        self.assertEqual(200, response.status)

    async def test_a_refused_connection_does_not_count_as_an_attempt(self):
        async with wire.serving([]) as closed:
            pass
        async with (
            wire.serving(OK) as target,
            running(
                [closed.address, target.address],
                kind=NON_IDEMPOTENT,
                max_attempts=1,
            ) as setup,
        ):
            response = await call(setup.address)
        self.assertEqual(200, response.status)

    @ddt.data(
        ('the deadline of the route', [], 300.0, 504),
        ('the deadline of the caller', ['X-Deadline-Ms: 300'], 5_000.0, 504),
    )
    @ddt.unpack
    async def test_a_hanging_target_is_abandoned_at_the_deadline(
        self, _, headers, timeout_ms, status
    ):
        async with (
            wire.serving([wire.HANG]) as target,
            running(
                [target.address], kind=NON_IDEMPOTENT, timeout_ms=timeout_ms
            ) as setup,
        ):
            began = asyncio.get_running_loop().time()
            response = await call(setup.address, *headers)
            took = asyncio.get_running_loop().time() - began
            await asyncio.wait_for(target.closed.wait(), 0.5)
        self.assertEqual(status, response.status)
        self.assertLess(took, 0.8)
        self.assertIn(b'X-Deadline-Ms: ', target.requests[0])

    async def test_a_request_with_no_time_left_is_not_sent(self):
        """Guards against a deadline that is taken for a planned stop."""
        async with (
            wire.serving(OK) as target,
            running([target.address]) as setup,
        ):
            response = await call(setup.address, 'X-Deadline-Ms: 10')
        self.assertEqual(504, response.status)
        self.assertEqual([], target.requests)

    async def test_a_disconnected_caller_ends_the_exchange_with_the_target(
        self,
    ):
        async with (
            wire.serving([wire.HANG]) as target,
            running([target.address]) as setup,
        ):
            host, port = setup.address.split(':')
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(head() + b'body')
            await asyncio.sleep(0.1)
            self.assertEqual(1, len(target.requests))
            writer.close()
            await asyncio.wait_for(target.closed.wait(), 0.5)

    @ddt.data((b'', 'Content-Length: 0'), (b'1\r\nx\r\n0\r\n\r\n', CHUNKED))
    @ddt.unpack
    async def test_a_kept_connection_serves_many_requests(self, body, framing):
        """Guards against overhead that is summed up over requests."""
        request = (
            'POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\n'
            f'X-Padding: {"x" * 4_000}\r\n{framing}\r\n\r\n'
        ).encode() + body
        count = 2 * sliced_input.MAX_OVERHEAD_BYTES // len(request)
        async with wire.serving(OK) as target, running([target.address]) as up:
            host, port = up.address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            for _ in range(count):
                writer.write(request)
                answer = await reader.readuntil(b'served')
                self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
            writer.close()

    @ddt.data(
        *(
            (kind, status)
            for kind in (NON_IDEMPOTENT, IDEMPOTENT, STREAM)
            for status in (408, 429, 503)
        )
    )
    @ddt.unpack
    async def test_a_request_that_has_run_is_not_said_not_to_have(
        self, kind, status
    ):
        """Guards against a target's 503 that is taken for a promise."""
        steps = [wire.answer(b'oops', f'{status} Failed')]
        async with (
            wire.serving(steps) as target,
            running([target.address], kind=kind, max_attempts=1) as setup,
        ):
            response = await call(setup.address)
        self.assertEqual(1, len(target.requests))
        self.assertEqual(502, response.status)
        self.assertNotIn('x-server-signature', response.headers)

    @ddt.data('200 OK', '500 Internal Server Error')
    async def test_no_second_answer_follows_one_that_is_read_slowly(
        self, status
    ):
        """Guards against a 504 that is taken for the next answer."""
        large = [wire.answer(b'x' * 7_000_000, status)]
        async with (
            wire.serving(large) as target,
            running(
                [target.address],
                kind=NON_IDEMPOTENT,
                timeout_ms=300,
                max_attempts=1,
            ) as setup,
        ):
            host, port = setup.address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head() + b'body')
            await asyncio.sleep(0.6)
            received = b''
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(1_000_000):
                    received += part
            writer.close()
        self.assertEqual(1, received.count(b'HTTP/1.1 '))
        self.assertTrue(received.startswith(b'HTTP/1.1 ' + status.encode()))

    @ddt.data(
        (IDEMPOTENT, [wire.HANG]),
        (NON_IDEMPOTENT, [wire.HANG]),
        (NON_IDEMPOTENT, [wire.answer(b'x' * 9)[:-1], wire.HANG]),
        (STREAM, [wire.HANG]),
        (STREAM, [wire.STREAM_HEAD, wire.HANG]),
        (STREAM, [wire.STREAM_HEAD, wire.chunk(wire.event(1)), wire.HANG]),
    )
    @ddt.unpack
    async def test_targets_that_answer_nothing_in_time_are_avoided(
        self, kind, steps
    ):
        """Guards against targets whose answers only end by deadlines."""
        sound = [wire.answer(wire.event(1))]
        async with (
            wire.serving(steps) as first,
            wire.serving(steps) as second,
            wire.serving(sound) as third,
            wire.serving(sound) as fourth,
            running(
                [t.address for t in (first, second, third, fourth)],
                kind=kind,
                timeout_ms=150,
                max_attempts=1,
            ) as setup,
        ):
            served = []
            for number in range(24):
                prompt = f'X-Prompt-Prefix: p{number}:9,q{number}:9'
                response = await call(setup.address, prompt)
                served.append(response.status == 200 and response.is_whole)
        # Each of the two fails three times before it is ejected.
        self.assertGreaterEqual(sum(served[8:]), 12)

    async def test_a_stopping_instance_answers_and_closes(self):
        async with (
            wire.serving([200, *OK]) as target,
            running([target.address]) as setup,
        ):
            sent = asyncio.create_task(
                call(setup.address, raw=head() + b'body')
            )
            await asyncio.sleep(0.1)
            setup.front.disable_keep_alive()
            await setup.front.wait_idle()
            response = await sent
        self.assertEqual((200, b'served'), (response.status, response.body))
        self.assertEqual('close', response.headers['connection'])

    async def test_an_instance_about_to_exit_refuses_new_requests(self):
        """The balancer may send callers here until the process exits."""
        async with (
            wire.serving([300, *OK]) as target,
            running([target.address]) as setup,
        ):
            early = asyncio.create_task(call(setup.address))
            await asyncio.sleep(0.1)
            setup.front.disable_keep_alive()
            setup.front.refuse_new_requests()
            late = await call(setup.address)
            response = await early
        self.assertEqual(200, response.status)
        self.assertEqual(503, late.status)
        self.assertIn('retry-after', late.headers)
        self.assertEqual(1, len(target.requests))

    async def test_a_disconnected_caller_is_not_logged_as_an_error(self):
        """Sending any kind of answer may fail with a connection reset."""

        class ResetForwarder:
            async def handle(self, request, reply):
                raise ConnectionResetError

        async with running([]) as setup:
            setup.front._forwarder = ResetForwarder()
            with self.assertNoLogs('aiohttp.server'):
                response = await call(setup.address)
        self.assertEqual(b'', response.body)


EVENTS = [wire.event(n) for n in range(1, 5)]


UNDELIMITED_STREAM_HEAD = wire.STREAM_HEAD.replace(
    b'Transfer-Encoding: chunked\r\n', b''
)


def stream(*numbers, end=True):
    steps = [wire.STREAM_HEAD]
    steps.extend(wire.chunk(wire.event(n)) for n in numbers)
    if end:
        steps.append(wire.STREAM_END)
    return steps


@ddt.ddt
class StreamTest(base.NetworkTestCase):
    @ddt.data(
        ('whole', False, [stream(1, 2, 3, 4)], 200, True, 1),
        ('cut', False, [stream(1, 2, end=False), OK], 200, False, 1),
        (
            'cut within an event',
            False,
            [[*stream(1, end=False), wire.chunk(b'id: 2\nda')], OK],
            200,
            False,
            1,
        ),
        ('cut at once', False, [[wire.STREAM_HEAD], OK], 502, True, 1),
        (
            'resumed',
            True,
            [stream(1, 2, end=False), stream(3, 4)],
            200,
            True,
            2,
        ),
        (
            'resumed within an event',
            True,
            [
                [*stream(1, 2, end=False), wire.chunk(b'id: 3\nda')],
                stream(3, 4),
            ],
            200,
            True,
            2,
        ),
        (
            'resumed and cut again',
            True,
            [stream(1, 2, end=False), stream(3, end=False)],
            200,
            False,
            2,
        ),
    )
    @ddt.unpack
    async def test_only_whole_streams_look_complete(
        self, _, is_resumable, scripts, status, is_whole, runs
    ):
        async with wire.serving(*scripts) as target:
            targets = [target.address, target.address]
            async with running(
                targets, kind=STREAM, is_resumable=is_resumable
            ) as setup:
                response = await call(setup.address)
        self.assertEqual(status, response.status)
        self.assertEqual(is_whole, response.is_whole)
        self.assertEqual(runs, len(target.requests))
        if status == 200:
            expected = b''.join(EVENTS)
            self.assertTrue(expected.startswith(response.body))
            if is_whole:
                self.assertEqual(expected, response.body)
        if runs == 2:
            self.assertIn(b'Last-Event-Id: 2', target.requests[1])

    @ddt.data(
        ('not found', wire.answer(b'oops', '404 Not Found')),
        ('failed', wire.answer(b'oops', '500 Internal Server Error')),
        ('moved', wire.answer(b'oops', '302 Found', ['Location: /x'])),
        (
            'full',
            wire.answer(b'', '503 Service Unavailable', ['X-Not-Executed: 1']),
        ),
        ('unsigned', b'HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n\r\noops'),
        ('of another', wire.answer(b'oops', attempt_id='id-2')),
    )
    @ddt.unpack
    async def test_an_error_after_a_broken_stream_is_not_part_of_it(
        self, _, error
    ):
        script = [stream(1, 2, end=False), [error]]
        async with (
            wire.serving(*script) as target,
            running(
                [target.address] * 2, kind=STREAM, is_resumable=True
            ) as setup,
        ):
            response = await call(setup.address)
        self.assertEqual(2, len(target.requests))
        self.assertEqual(EVENTS[0] + EVENTS[1], response.body)
        self.assertFalse(response.is_whole)

    @ddt.data(
        ('whole', [*EVENTS[:2]], 200, 2, True),
        ('in an event', [EVENTS[0], b'id: 2\nda'], 200, 1, False),
        ('before any event', [], 502, 0, True),
        ('reset', [*EVENTS[:2], 50, wire.RESET], 200, 2, False),
    )
    @ddt.unpack
    async def test_a_stream_without_length_is_whole_if_its_events_are(
        self, _, steps, status, events, is_whole
    ):
        steps = [UNDELIMITED_STREAM_HEAD, *steps]
        async with (
            wire.serving(steps) as target,
            running([target.address], kind=STREAM) as setup,
        ):
            response = await call(setup.address)
        self.assertEqual(status, response.status)
        self.assertEqual(is_whole, response.is_whole)
        if status == 200:
            self.assertEqual(b''.join(EVENTS[:events]), response.body)

    async def test_a_chunked_stream_that_ends_in_an_event_is_broken(self):
        steps = [
            *stream(1, end=False),
            wire.chunk(b'id: 2\nda'),
            wire.STREAM_END,
        ]
        async with (
            wire.serving(steps) as target,
            running([target.address], kind=STREAM) as setup,
        ):
            response = await call(setup.address)
        self.assertEqual(EVENTS[0], response.body)
        self.assertFalse(response.is_whole)

    async def test_events_are_passed_on_as_they_arrive(self):
        steps = [*stream(1, end=False), 400, *stream(2)[1:]]
        async with (
            wire.serving(steps) as target,
            running([target.address], kind=STREAM) as setup,
        ):
            host, port = setup.address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head() + b'body')
            async with asyncio.timeout(0.3):
                await reader.readuntil(b'piece 1')
            await reader.readuntil(b'piece 2')
            writer.close()

    @ddt.data(
        ('no items', '0', ''),
        ('some items', '2', 'desk/0,desk/1'),
    )
    @ddt.unpack
    async def test_results_go_to_the_engine_and_are_freed(
        self, _, counts, expected
    ):
        stage = model.Stage(service='desk', after=(), result_bytes=1.0)
        async with (
            wire.serving(stream(1)) as target,
            running([target.address], kind=STREAM, stages=(stage,)) as setup,
        ):
            response = await call(setup.address, f'X-Chunks: {counts}')
        self.assertEqual(200, response.status)
        sent = [
            line
            for line in target.requests[0].decode().split('\r\n')
            if line.startswith('X-Input-Items')
        ]
        self.assertEqual(
            [f'X-Input-Items: {expected}'.strip()],
            [line.strip() for line in sent],
        )
        self.assertEqual(
            [name for name in expected.split(',') if name],
            setup.producer.freed,
        )

    async def test_a_failed_stage_is_refused_with_a_retry_after(self):
        stage = model.Stage(service='desk', after=(), result_bytes=1.0)
        async with (
            wire.serving(OK) as target,
            running([target.address], kind=STREAM, stages=(stage,)) as setup,
        ):
            setup.producer.failure = stages.Failure(
                stages.FailureReason.OVERLOADED, 400.0
            )
            response = await call(setup.address, 'X-Chunks: 2')
        self.assertEqual(503, response.status)
        self.assertEqual('0.400', response.headers['retry-after'])
        self.assertEqual([], target.requests)

    @ddt.data(
        ('items', '2', (2_000,), [503]),
        ('no items', '0', (2_000,), [200]),
        ("a caller's retry", '2', (2_000, 1_800), [503, 200]),
        ('first attempts', '2', (2_000, 2_000), [503, 503]),
    )
    @ddt.unpack
    async def test_an_isolated_instance_refuses_first_attempts_with_items(
        self, _, counts, deadlines_ms, statuses
    ):
        stage = model.Stage(service='desk', after=(), result_bytes=1.0)
        responses = []
        async with (
            wire.serving(stream(1)) as target,
            running([target.address], kind=STREAM, stages=(stage,)) as setup,
        ):
            setup.producer.is_isolated = True
            for deadline_ms in deadlines_ms:
                responses.append(
                    await call(
                        setup.address,
                        f'X-Chunks: {counts}',
                        f'X-Deadline-Ms: {deadline_ms}',
                    )
                )
        self.assertEqual(statuses, [response.status for response in responses])
        if responses[0].status == 503:
            # A retry after this time is recognised as one.
            retry_after_ms = 1_000 * float(responses[0].headers['retry-after'])
            self.assertGreater(
                retry_after_ms, elapsed_times.CERTAIN_ELAPSED_MS
            )

    async def test_lost_stage_results_are_produced_again(self):
        stage = model.Stage(service='desk', after=(), result_bytes=1.0)
        async with (
            wire.serving(INPUTS_GONE, stream(1)) as target,
            running(
                [target.address, target.address],
                kind=STREAM,
                stages=(stage,),
                max_attempts=2,
            ) as setup,
        ):
            response = await call(setup.address, 'X-Chunks: 1')
        self.assertEqual(200, response.status)
        self.assertEqual(2, len(setup.producer.requests))
