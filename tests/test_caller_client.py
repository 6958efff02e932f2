"""Tests of the caller's client with a server on loopback."""

import socket

from aiohttp import web
import ddt

from sycamorebeam import claim_records
from sycamorebeam import claims
from sycamorebeam.clients import caller
from tests import base

NOW_MS = 1_796_000_000_123
RESULT = b'event: result\ndata: {"output": {"text": "ab"}}\n\n'
TOKENS = b'event: token\ndata: {"i": 0, "text": "a"}\n\n'
ERROR = b'event: error\ndata: {"outcome": "partial"}\n\n'
PROBLEM = b'{"outcome": "not_run"}'


@ddt.ddt
class CallerTest(base.NetworkTestCase):
    async def serve(self, body, content_type, status, cut=False):
        self.requests = []

        async def answer(request):
            self.requests.append(dict(request.headers))
            response = web.StreamResponse(status=status)
            response.content_type = content_type
            await response.prepare(request)
            await response.write(body)
            if cut:
                request.transport.abort()
            return response

        app = web.Application()
        app.router.add_post('/v1/pipelines/{name}/requests', answer)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        return runner

    async def send(self, *response, **changes):
        runner = await self.serve(*response)
        host, port = runner.addresses[0]
        call = caller.Call(
            address=f'{host}:{port}',
            pipeline='notes',
            input={},
            token='secret',
            **changes,
        )
        tokens = []
        try:
            return await caller.send(call, tokens.append), tokens
        finally:
            await runner.cleanup()

    @ddt.data(
        ('whole', TOKENS + RESULT, caller.EVENT_STREAM, 200, 'CallAnswered'),
        ('error', TOKENS + ERROR, caller.EVENT_STREAM, 200, 'CallRefused'),
        ('quiet', TOKENS, caller.EVENT_STREAM, 200, 'CallLost'),
        ('cut', TOKENS, caller.EVENT_STREAM, 200, 'CallLost', True),
        ('half', RESULT[:-2], caller.EVENT_STREAM, 200, 'CallLost'),
        ('plain', b'{"output": {}}', 'application/json', 200, 'CallAnswered'),
        ('refused', PROBLEM, caller.PROBLEM, 503, 'CallRefused'),
        ('no-json', b'{"out', 'application/json', 200, 'CallLost'),
        ('other', b'{}', 'application/json', 500, 'CallLost'),
        ('silent', b'', 'application/json', 200, 'CallLost', True),
    )
    @ddt.unpack
    async def test_recognizes_complete_answers(
        self, _, body, content_type, status, expected, cut=False
    ):
        result, _ = await self.send(body, content_type, status, cut)
        self.assertEqual(expected, type(result).__name__, result)
        self.assertEqual(1, len(self.requests))
        if isinstance(result, caller.CallLost):
            self.assertTrue(result.sent)

    async def test_passes_tokens_on_and_sends_headers(self):
        _, tokens = await self.send(
            TOKENS + RESULT,
            caller.EVENT_STREAM,
            200,
            key='k',
            first_attempt=True,
            deadline_ms=900,
        )
        self.assertEqual(['a'], tokens)
        sent = self.requests[0]
        self.assertEqual('Bearer secret', sent['Authorization'])
        self.assertEqual('k', sent['Idempotency-Key'])
        self.assertEqual('1', sent['First-Attempt'])
        self.assertEqual('900', sent['Deadline-Ms'])

    async def test_sends_nothing_without_listener(self):
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            address = f'127.0.0.1:{unused.getsockname()[1]}'
            call = caller.Call(
                address=address, pipeline='notes', input={}, token='t'
            )
            result = await caller.send(call)
        self.assertFalse(result.sent)


class KeyTest(base.TestCase):
    def test_new_key_contains_its_time_and_is_unique(self):
        keys = {caller.new_key(NOW_MS) for _ in range(100)}
        self.assertEqual(100, len(keys))
        times = {
            claim_records.created_ms(claims.ClaimKey('team', 'pipeline', key))
            for key in keys
        }
        self.assertEqual({NOW_MS}, times)
