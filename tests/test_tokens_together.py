"""Tests that tokens of one chunk are delivered in one call."""

import json

import ddt

from sycamorebeam import clocks
from sycamorebeam import server
from sycamorebeam.clients import engine
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import ports
from sycamorebeam.clients import sse
from tests import base
from tests import build

TOKENS = [(0, 'a'), (1, 'b"\n'), (2, 'č'), (3, 'd')]
LIMIT_BYTES = 100_000


def token_event(token, call_id='a1'):
    data = {'id': call_id, 'i': token[0], 'text': token[1]}
    return f'event: token\ndata: {json.dumps(data)}\n\n'.encode()


class Response:
    """An engine's response whose body arrives in given chunks."""

    def __init__(self, chunks):
        self.content = self
        self.chunks = chunks

    async def iter_any(self):
        for chunk in self.chunks:
            yield chunk


class RecordedResponse:
    """Records the writes to the HTTP response of a caller."""

    def __init__(self):
        self.writes = []

    async def write(self, data):
        self.writes.append(data)


async def read(chunks, receiver='on_tokens'):
    received = []

    async def receive(*arguments):
        received.append(arguments)

    attempt = ports.Attempt(
        id='a1',
        operation='generate',
        input={},
        deadline=clocks.Deadline(at_ms=1_000_000),
        **{receiver: receive},
    )
    generation = engine.Generation(
        replica=build.replica('r1', 'engine'), attempt=attempt
    )
    exchange = exchanges.Exchange(
        method='POST', address='', path='', deadline=attempt.deadline
    )
    await engine._read_events(
        generation, exchange, Response(chunks), LIMIT_BYTES
    )
    return received


@ddt.ddt
class TokensTogetherTest(base.TestCase):
    @ddt.data(
        ('one_chunk', [[0, 1, 2, 3]], [[0, 1, 2, 3]]),
        ('two_chunks', [[0, 1], [2, 3]], [[0, 1], [2, 3]]),
        ('each_alone', [[0], [1], [2], [3]], [[0], [1], [2], [3]]),
        ('out_of_order', [[1], [0], [3, 2]], [[0, 1], [2, 3]]),
        ('twice', [[0, 0, 1], [1, 2, 3]], [[0, 1], [2, 3]]),
    )
    @ddt.unpack
    async def test_delivers_tokens_of_one_chunk_together(
        self, _, chunks, deliveries
    ):
        sent = [
            b''.join(token_event(TOKENS[i]) for i in one) for one in chunks
        ]
        received = await read(sent)
        expected = [([TOKENS[i] for i in one],) for one in deliveries]
        self.assertEqual(expected, received)

    async def test_delivers_tokens_before_wrong_id(self):
        other_event = token_event(TOKENS[1], 'another')
        received = await read(
            [token_event(TOKENS[0]) + other_event, token_event(TOKENS[1])]
        )
        self.assertEqual([([TOKENS[0]],)], received)

    async def test_on_token_gets_single_tokens(self):
        received = await read([b''.join(map(token_event, TOKENS))], 'on_token')
        self.assertEqual(TOKENS, received)

    async def test_one_write_for_tokens_that_arrived_together(self):
        stream = server.EventStream(None, 'r1')
        stream._response = response = RecordedResponse()
        await stream.emit_tokens(TOKENS)
        self.assertEqual(1, len(response.writes))
        events = list(sse.EventParser().feed(response.writes[0]))
        self.assertEqual({'token'}, {event.name for event in events})
        written = [json.loads(event.data) for event in events]
        self.assertEqual([{'i': i, 'text': t} for i, t in TOKENS], written)
