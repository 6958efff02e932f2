"""The way of a request over HTTP: callers, an instance, targets."""

import asyncio
import contextlib

from aiohttp import web
import attrs
import ddt

from sycamorebeam import clocks
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import directory
from sycamorebeam.forwarding import elapsed_times
from sycamorebeam.forwarding import forwarder
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import frontend
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import metrics
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import placement
from sycamorebeam.forwarding import prompt_streams
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_attempts
from sycamorebeam.forwarding import upstream
from sycamorebeam.platform import http_codec
from tests import base
from tests.forwarding import build
from tests.forwarding import wire

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
    """Gives results or fails, and notes what was freed."""

    def __init__(self):
        self.asked = []
        self.freed = []
        self.failure = None
        self.is_isolated = False

    async def produce(self, request):
        self.asked.append(request)
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
    """An instance before some targets."""

    address: str
    state: active_state.ActiveState
    lease: freshness.FreshnessLease
    directory: directory.Directory
    producer: FakeProducer
    front: frontend.Frontend


@contextlib.asynccontextmanager
async def running(targets, keys=(), budget=100.0, **route):
    """Serve one route whose targets are the wires of ``targets``."""
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
    listed = directory.Directory()
    listed.replace(
        [
            directory.Entry(f't{n}', build.target(f't{n}', address=address))
            for n, address in enumerate(targets)
        ],
        0,
    )
    places = placement.Placement('a1', build.ZONES)
    client = upstream.Upstream(100)
    producer = FakeProducer()
    counted = metrics.Metrics()
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
                directory=listed,
                places=places,
                prompts=prompt_streams.PromptStreams(
                    clock,
                    membership.Membership(build.instance('i0'), clock),
                    build.FakeLinks(),
                    listed,
                    places,
                ),
                client=client,
                codec=http_codec,
                notices=build.notices(listed),
                metrics=counted,
            ),
            metrics=counted,
        ),
        http_codec.decode_request,
    )
    server = web.Server(
        front.handle, handler_cancellation=True, access_log=None
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    try:
        yield Setup(f'127.0.0.1:{port}', state, lease, listed, producer, front)
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
    """Send one request on a connection of its own; read all that comes."""
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
    found = dict(line.lower().split(': ', 1) for line in lines[1:])
    is_whole = not is_reset
    if found.get('transfer-encoding') == 'chunked':
        is_whole = body.endswith(b'0\r\n\r\n')
        body = unchunk(body)
    return Response(int(lines[0].split()[1]), found, body, is_whole)


def unchunk(data):
    parts = []
    while data:
        size, _, data = data.partition(b'\r\n')
        parts.append(data[: int(size, 16)])
        data = data[int(size, 16) + 2 :]
    return b''.join(parts)


LEAVING = ['Server-Leaving: 1']
REST = ['Retry-After: 1.5', 'X-Not-Executed: 1']
REST_UNSAID = ['Retry-After: 1.5']


@ddt.ddt
class NoticeTest(base.NetworkTestCase):
    """What targets say of themselves beside their answers."""

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
            [wire.answer(b'', '503 Full', [*LEAVING, *REST])],
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
    async def test_a_target_that_says_it_leaves_gets_nothing_more(
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
                reborn = attrs.evolve(listed, incarnation=2)
                setup.directory.update([directory.Entry('t0', reborn)], 0)
                response = await call(setup.address)
                self.assertEqual(200, response.status)

    @ddt.data(('declined', REST, 503), ('it may have run', REST_UNSAID, 503))
    @ddt.unpack
    async def test_a_target_that_wants_rest_gets_nothing_meanwhile(
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
                # Callers come back when the target wants requests.
                returns_s = float(response.headers['retry-after'])
                self.assertGreaterEqual(returns_s, 1.0)
                self.assertLessEqual(returns_s, 1.5)
            self.assertEqual(1, len(target.requests))
            await asyncio.sleep(1.6)
            response = await call(setup.address)
            self.assertEqual(200, response.status)

    async def test_others_serve_while_a_target_wants_rest(self):
        script = [wire.answer(b'', '503 Full', REST)]
        async with wire.serving(script, OK) as full, wire.serving(OK) as well:
            async with running([full.address, well.address]) as setup:
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
        ('a bad time', {}, ['X-Deadline-Ms: soon'], 400),
    )
    @ddt.unpack
    async def test_nothing_reaches_a_target(self, _, fields, headers, status):
        async with (
            wire.serving(OK) as target,
            running([target.address], keys=[KEY]) as setup,
        ):
            found = await call(setup.address, *headers, **fields)
        self.assertEqual(status, found.status)
        self.assertEqual([], target.requests)

    @ddt.data('no state', 'stale state')
    async def test_without_a_fresh_state_nothing_runs(self, case):
        async with (
            wire.serving(OK) as target,
            running([target.address], keys=[KEY]) as setup,
        ):
            if case == 'no state':
                setup.state.desired = None
            else:
                setup.lease._read_began_ms -= 4_700
            found = await call(setup.address, 'X-Credential: k1')
        self.assertEqual(503, found.status)
        self.assertLessEqual(float(found.headers['retry-after']), 1.0)
        self.assertEqual([], target.requests)

    async def test_a_state_that_goes_stale_on_the_way_stops_the_send(self):
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
                found = await call(
                    setup.address, 'X-Credential: k1', 'X-Chunks: 1'
                )
        self.assertEqual(503, found.status)
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
            found = await call(setup.address, raw=raw)
        self.assertEqual(400, found.status)
        self.assertEqual([], target.requests)

    async def test_no_target_is_said_at_once(self):
        async with running([]) as setup:
            found = await call(setup.address)
        self.assertEqual(503, found.status)
        self.assertIn('retry-after', found.headers)


@ddt.ddt
class AttemptTest(base.NetworkTestCase):
    @ddt.data(
        ('whole', IDEMPOTENT, [OK], 200, 1),
        ('an error again', IDEMPOTENT, [ERROR, OK], 200, 2),
        ('two errors', IDEMPOTENT, [ERROR, ERROR], 500, 2),
        ('a cut answer again', IDEMPOTENT, [[OK[0][:-1]], OK], 200, 2),
        ('a reset again', IDEMPOTENT, [[wire.RESET], OK], 200, 2),
        ('an error once', NON_IDEMPOTENT, [ERROR, OK], 500, 1),
        ('a cut answer once', NON_IDEMPOTENT, [[OK[0][:-1]], OK], 502, 1),
        ('a reset once', NON_IDEMPOTENT, [[wire.RESET], OK], 502, 1),
        ('no HTTP once', NON_IDEMPOTENT, [[b'\x00\r\n\r\n'], OK], 502, 1),
        ('full', NON_IDEMPOTENT, [FULL, OK], 200, 2),
        ('full twice', NON_IDEMPOTENT, [FULL, FULL], 503, 2),
        ('a reset, then full', IDEMPOTENT, [[wire.RESET], FULL], 502, 2),
        ('another target', NON_IDEMPOTENT, [OTHER_TARGET, OK], 200, 2),
        ('other targets', NON_IDEMPOTENT, [OTHER_TARGET], 503, 2),
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
    async def test_what_may_repeat_is_repeated(
        self, _, kind, scripts, status, runs
    ):
        """Both targets follow one script, so that the order is known."""
        async with wire.serving(*scripts) as target:
            targets = [target.address, target.address]
            async with running(targets, kind=kind) as setup:
                found = await call(setup.address)
        self.assertEqual(status, found.status)
        self.assertEqual(runs, len(target.requests))
        if status == 503:
            self.assertIn('retry-after', found.headers)

    async def test_the_budget_bounds_repeats(self):
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

    async def test_a_reused_address_is_no_attempt(self):
        async with (
            wire.serving(OTHER_TARGET, OK) as target,
            running(
                [target.address, target.address],
                kind=NON_IDEMPOTENT,
                max_attempts=1,
            ) as setup,
        ):
            found = await call(setup.address)
        self.assertEqual(200, found.status)

    async def test_a_target_that_refuses_connections_is_no_attempt(self):
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
            found = await call(setup.address)
        self.assertEqual(200, found.status)

    @ddt.data(
        ('the route ends it', [], 300.0, 504),
        ('the caller ends it', ['X-Deadline-Ms: 300'], 5_000.0, 504),
    )
    @ddt.unpack
    async def test_a_silent_target_is_given_up_in_time(
        self, _, headers, timeout_ms, status
    ):
        async with (
            wire.serving([wire.HANG]) as target,
            running(
                [target.address], kind=NON_IDEMPOTENT, timeout_ms=timeout_ms
            ) as setup,
        ):
            began = asyncio.get_running_loop().time()
            found = await call(setup.address, *headers)
            took = asyncio.get_running_loop().time() - began
            await asyncio.wait_for(target.closed.wait(), 0.5)
        self.assertEqual(status, found.status)
        self.assertLess(took, 0.8)
        self.assertIn(b'X-Deadline-Ms: ', target.requests[0])

    async def test_the_target_is_left_when_the_caller_leaves(self):
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
            found = await sent
        self.assertEqual((200, b'served'), (found.status, found.body))
        self.assertEqual('close', found.headers['connection'])

    async def test_a_closed_instance_refuses_at_once(self):
        """Callers may be sent here until the process ends."""
        async with (
            wire.serving([300, *OK]) as target,
            running([target.address]) as setup,
        ):
            early = asyncio.create_task(call(setup.address))
            await asyncio.sleep(0.1)
            setup.front.disable_keep_alive()
            setup.front.refuse_new_requests()
            late = await call(setup.address)
            found = await early
        self.assertEqual(200, found.status)
        self.assertEqual(503, late.status)
        self.assertIn('retry-after', late.headers)
        self.assertEqual(1, len(target.requests))

    async def test_a_caller_that_is_gone_is_no_error(self):
        """An answer of any kind may meet a connection that was reset."""

        class Gone:
            async def handle(self, request, reply):
                raise ConnectionResetError

        async with running([]) as setup:
            setup.front._forwarder = Gone()
            with self.assertNoLogs('aiohttp.server'):
                found = await call(setup.address)
        self.assertEqual(b'', found.body)


EVENTS = [wire.event(n) for n in range(1, 5)]


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
                found = await call(setup.address)
        self.assertEqual(status, found.status)
        self.assertEqual(is_whole, found.is_whole)
        self.assertEqual(runs, len(target.requests))
        if status == 200:
            expected = b''.join(EVENTS)
            self.assertTrue(expected.startswith(found.body))
            if is_whole:
                self.assertEqual(expected, found.body)
        if runs == 2:
            self.assertIn(b'Last-Event-Id: 2', target.requests[1])

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
            found = await call(setup.address, f'X-Chunks: {counts}')
        self.assertEqual(200, found.status)
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

    async def test_a_stage_that_fails_is_a_refusal_with_a_time(self):
        stage = model.Stage(service='desk', after=(), result_bytes=1.0)
        async with (
            wire.serving(OK) as target,
            running([target.address], kind=STREAM, stages=(stage,)) as setup,
        ):
            setup.producer.failure = stages.Failure(
                stages.FailureReason.OVERLOADED, 400.0
            )
            found = await call(setup.address, 'X-Chunks: 2')
        self.assertEqual(503, found.status)
        self.assertEqual('0.400', found.headers['retry-after'])
        self.assertEqual([], target.requests)

    @ddt.data(
        ('stages', '2', (2_000,), [503]),
        ('nothing to produce', '0', (2_000,), [200]),
        ('a caller that came back', '2', (2_000, 1_800), [503, 200]),
        ('first attempts', '2', (2_000, 2_000), [503, 503]),
    )
    @ddt.unpack
    async def test_an_isolated_instance_leaves_stages_to_others(
        self, _, counts, deadlines_ms, statuses
    ):
        stage = model.Stage(service='desk', after=(), result_bytes=1.0)
        found = []
        async with (
            wire.serving(stream(1)) as target,
            running([target.address], kind=STREAM, stages=(stage,)) as setup,
        ):
            setup.producer.is_isolated = True
            for deadline_ms in deadlines_ms:
                found.append(
                    await call(
                        setup.address,
                        f'X-Chunks: {counts}',
                        f'X-Deadline-Ms: {deadline_ms}',
                    )
                )
        self.assertEqual(statuses, [answer.status for answer in found])
        if found[0].status == 503:
            # Then the second attempt is known to be one.
            returned_ms = 1_000 * float(found[0].headers['retry-after'])
            self.assertGreater(returned_ms, elapsed_times.CERTAIN_ELAPSED_MS)

    async def test_inputs_that_are_gone_are_produced_again(self):
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
            found = await call(setup.address, 'X-Chunks: 1')
        self.assertEqual(200, found.status)
        self.assertEqual(2, len(setup.producer.asked))
