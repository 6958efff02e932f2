"""Tests of tokens that arrive together and leave together."""

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


def event(token, call_id='a1'):
    data = {'id': call_id, 'i': token[0], 'text': token[1]}
    return f'event: token\ndata: {json.dumps(data)}\n\n'.encode()


class Response:
    """An engine's answer that arrives in these chunks."""

    def __init__(self, chunks):
        self.content = self
        self.chunks = chunks

    async def iter_any(self):
        for chunk in self.chunks:
            yield chunk


class Written:
    """Stands in for the HTTP response to a caller."""

    def __init__(self):
        self.writes = []

    async def write(self, data):
        self.writes.append(data)


async def read(chunks, receiver='on_tokens'):
    given = []

    async def take(*arguments):
        given.append(arguments)

    attempt = ports.Attempt(
        id='a1',
        operation='generate',
        input={},
        deadline=clocks.Deadline(at_ms=1_000_000),
        **{receiver: take},
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
    return given


@ddt.ddt
class TogetherTest(base.TestCase):
    @ddt.data(
        ('one_chunk', [[0, 1, 2, 3]], [[0, 1, 2, 3]]),
        ('two_chunks', [[0, 1], [2, 3]], [[0, 1], [2, 3]]),
        ('each_alone', [[0], [1], [2], [3]], [[0], [1], [2], [3]]),
        ('out_of_order', [[1], [0], [3, 2]], [[0, 1], [2, 3]]),
        ('twice', [[0, 0, 1], [1, 2, 3]], [[0, 1], [2, 3]]),
    )
    @ddt.unpack
    async def test_gives_a_chunk_of_tokens_at_once(self, _, chunks, wanted):
        sent = [b''.join(event(TOKENS[i]) for i in one) for one in chunks]
        given = await read(sent)
        expected = [([TOKENS[i] for i in one],) for one in wanted]
        self.assertEqual(expected, given)

    async def test_gives_tokens_before_a_wrong_id_ends_the_stream(self):
        stranger = event(TOKENS[1], 'another')
        given = await read([event(TOKENS[0]) + stranger, event(TOKENS[1])])
        self.assertEqual([([TOKENS[0]],)], given)

    async def test_gives_one_by_one_where_asked(self):
        given = await read([b''.join(map(event, TOKENS))], 'on_token')
        self.assertEqual(TOKENS, given)

    async def test_one_write_carries_the_events(self):
        stream = server.EventStream(None, 'r1')
        stream._response = response = Written()
        await stream.emit_tokens(TOKENS)
        self.assertEqual(1, len(response.writes))
        events = list(sse.EventParser().feed(response.writes[0]))
        self.assertEqual({'token'}, {item.name for item in events})
        found = [json.loads(item.data) for item in events]
        self.assertEqual([{'i': i, 'text': t} for i, t in TOKENS], found)
