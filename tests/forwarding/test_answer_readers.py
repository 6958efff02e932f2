"""Tests that each reader of answers rejects those that can't be trusted.

A rejected answer says nothing on whether the request has taken effect.
"""

import asyncio
import itertools
import json
import random
from unittest import mock

from aiohttp import http_exceptions
from aiohttp import http_parser
import ddt
import msgpack

from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam.cli import history_commands
from sycamorebeam.cli import status_command
from sycamorebeam.clients import answer_heads
from sycamorebeam.clients import caller
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import http
from sycamorebeam.clients import log_client
from sycamorebeam.clients import reasons
from sycamorebeam.clients import results
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import upstream
from sycamorebeam.platform import http_codec
from sycamorebeam.platform import store_client
from tests import base
from tests.forwarding import build
from tests.forwarding import test_forwarding
from tests.forwarding import wire

REJECTED = 'rejected'
UNRELIABLE = (reasons.Reason.MALFORMED, reasons.Reason.ENDED_EARLY)
TOP = b'HTTP/1.1 200 OK\r\n'
JSON = b'Content-Type: application/json\r\n'
RESULTS = {'entries': [{'handle': '127.0.0.1:1/r'}]}
PAGE = {'entries': [], 'has_more': False, 'end_offset': 7}
LOG_PAGE = {'oldest': 0, 'next': 0, 'records': []}
STATUS = {'catalogue': {'offset': 7}}
ITEM = stages.TimedItem(stages.Work('id-1', 0, 'k', False, ()), 0, 1_000)


async def read_target(address):
    client = upstream.Upstream(1, build.request_memory())
    try:
        answer = await client.open(address, 'POST', '/', [], b'body')
        try:
            return await answer.read_body()
        finally:
            answer.close()
    except upstream.BrokenError:
        return REJECTED
    finally:
        await client.close()


async def call_stage(address, call):
    client = upstream.Upstream(1, build.request_memory())
    try:
        return await call(http_codec.StageClient(client))
    except upstream.BrokenError:
        return REJECTED
    finally:
        await client.close()


async def run_stage(address):
    return await call_stage(
        address, lambda client: client.run(address, 't0', [ITEM])
    )


async def free_results(address):
    return await call_stage(
        address, lambda client: client.free(address, ['r'])
    )


async def call_store(address, call):
    client = store_client.StoreClient(address)
    try:
        return await call(client)
    except store_client.StoreError:
        return REJECTED
    finally:
        await client.close()


async def read_records(address):
    return await call_store(address, lambda client: client.read('t', 0))


async def read_newest(address):
    return await call_store(address, lambda client: client.read_newest('t'))


async def append(address):
    return await call_store(
        address, lambda client: client.append('t', 'key', b'value')
    )


async def fetch(address):
    """Call a target, the instance list or an engine on our own interface."""
    clock = clocks.Clock()
    client = http.HttpClient(clock, http.HttpLimits())
    exchange = exchanges.Exchange(
        method='POST',
        address=address,
        path='/',
        deadline=clocks.deadline_in(clock, 2_000),
        body=b'{}',
    )
    try:
        reply = await client.fetch(exchange)
    finally:
        await client.close()
    if isinstance(reply, exchanges.HttpFailure):
        assert reply.sent
        assert reply.reason in UNRELIABLE
        return REJECTED
    return reply


async def call_log(address, call):
    client = log_client.new_log_client(address, 2_000)
    try:
        result = await call(client)
    finally:
        await client.close()
    is_unknown = isinstance(
        result, (results.AppendUnknown, results.LogUnavailable)
    )
    return REJECTED if is_unknown else result


async def append_to_log(address):
    return await call_log(
        address, lambda client: client.append('stream', b'record')
    )


async def read_log(address):
    return await call_log(address, lambda client: client.read('stream', 0))


async def read_log_bounds(address):
    return await call_log(address, lambda client: client.bounds('stream'))


async def send_as_caller(address):
    result = await caller.send(
        caller.Call(address=address, pipeline='p', input={}, token='t')
    )
    if isinstance(result, caller.CallLost):
        assert result.sent
        return REJECTED
    return result


async def read_status(address):
    try:
        return await status_command.fetch_status(address)
    except errors.PlatformError:
        return REJECTED


async def read_offset(address):
    offsets = await history_commands._fetch_offsets([address])
    return REJECTED if offsets[address] is None else offsets


# Each with the body of a sound answer.
READERS = {
    read_target: b'whole',
    run_stage: json.dumps(RESULTS).encode(),
    free_results: b'{}',
    read_records: bytes(16),
    read_newest: json.dumps(PAGE).encode(),
    append: b'{"offset":0}',
    fetch: b'{}',
    append_to_log: msgpack.packb({'offset': 0}),
    read_log: msgpack.packb(LOG_PAGE),
    read_log_bounds: msgpack.packb(LOG_PAGE),
    send_as_caller: b'{"output": {}}',
    read_status: json.dumps(STATUS).encode(),
    read_offset: json.dumps(STATUS).encode(),
}
MALFORMED = {
    'a status out of range': [b'HTTP/1.1 000 OK\r\n', b''],
    'another protocol': [b'RTSP/1.0 200 OK\r\n', b''],
    'a blank in a name': [TOP, b'Connection : close\r\n'],
    'a control byte in a name': [TOP, b'X\x01A: b\r\n'],
    'a control byte in a value': [TOP, b'X-A: b\x01\r\n'],
    'a blank before a name': [TOP, b' X-A: b\r\n'],
    'a coding beside a length': [TOP, b'Transfer-Encoding: identity\r\n'],
    'two lengths': [TOP, b'Content-Length: 0\r\n'],
}

MUTATIONS = 5_000  # of each seed
INSERTED = [
    *(b'\r\n', b'\n', b'\r', b' ', b'\t', b'\x00', b'\x80', b':'),
    *(b'\r\n\r\n', b'\n\n', b'\r\n\n', b'\n\r\n', b'X: a\r\n'),
    *(b'Content-Length: 5\r\n', b'Transfer-Encoding: chunked\r\n'),
    *(b'Connection: close\r\n', b'HTTP/1.1 103 E\r\n\r\n'),
    *(b'HTTP/1.1 200 OK\r\n', b'HTTP/1.1 304 N\r\n\r\n', b'hello'),
]
MUTATED = [
    b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello',
    b'HTTP/1.1 103 E\r\nL: z\r\n\r\nHTTP/1.1 200 OK\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
    b'HTTP/1.1 200 OK\r\n\r\nhello',
]


@ddt.ddt
class AnswerReadersTest(base.NetworkTestCase):
    async def read(self, reader, top, fields, body):
        length = b'Content-Length: %d\r\n' % len(body)
        data = top + JSON + length + fields + b'\r\n' + body
        async with wire.serving([data]) as served:
            return await reader(served.address)

    @ddt.data(*READERS)
    async def test_sound_answers_are_read(self, reader):
        result = await self.read(reader, TOP, b'', READERS[reader])
        self.assertNotEqual(REJECTED, result)

    @ddt.data(*itertools.product(READERS, MALFORMED))
    @ddt.unpack
    async def test_malformed_answers_are_rejected(self, reader, name):
        top, fields = MALFORMED[name]
        result = await self.read(reader, top, fields, READERS[reader])
        self.assertEqual(REJECTED, result)

    async def test_what_may_repeat_is_sent_to_another_target(self):
        broken = [wire.answer(b'no', '000 No')]
        async with (
            wire.serving(broken) as first,
            wire.serving(test_forwarding.OK) as second,
            test_forwarding.running(
                [first.address, second.address],
                kind=test_forwarding.IDEMPOTENT,
            ) as setup,
        ):
            for _ in range(4):
                response = await test_forwarding.call(setup.address)
                self.assertEqual(200, response.status)
                self.assertEqual(b'served', response.body)

    @ddt.data(*READERS)
    async def test_unknown_codings_are_rejected(self, reader):
        """Guards against a coded body that is taken for the whole one."""
        head = TOP + JSON + b'Transfer-Encoding: gzip\r\n\r\n'
        async with wire.serving([head + READERS[reader]]) as served:
            self.assertEqual(REJECTED, await reader(served.address))

    @ddt.data(*READERS)
    async def test_a_line_of_blanks_ends_no_head(self, reader):
        """Guards against a head that the parser ends before the check."""
        head = TOP + b' \r\n'
        async with wire.serving([head + READERS[reader]]) as served:
            self.assertEqual(REJECTED, await reader(served.address))

    @ddt.data(*READERS)
    async def test_a_reset_ends_no_answer(self, reader):
        """Guards against a body without a length that looks whole."""
        steps = [TOP + JSON + b'\r\n' + READERS[reader], 20, wire.RESET]
        async with wire.serving(steps) as served:
            self.assertEqual(REJECTED, await reader(served.address))

    @ddt.data(*READERS)
    async def test_a_close_ends_an_answer(self, reader):
        steps = [TOP + JSON + b'\r\n' + READERS[reader], 20]
        async with wire.serving(steps) as served:
            self.assertNotEqual(REJECTED, await reader(served.address))


@ddt.ddt
class HeadCheckerTest(base.TestCase):
    @ddt.data(1, 2, 3, 7, 1_000)
    def test_heads_split_anywhere(self, size):
        """Guards against an end of a head that is missed between reads."""
        data = (
            b'\r\n\r\nHTTP/1.1 103 Hints\nA: b\r\n\nHTTP/1.1 200 OK\r\n'
            b'Content-Length: 99\r\n\r\nHTTP/1.1 000 No\r\n\r\n'
        )
        checker = answer_heads.HeadChecker()
        for start in range(0, len(data), size):
            checker.feed(data[start : start + size])
        checker = answer_heads.HeadChecker()
        with self.assertRaises(answer_heads.MalformedHeadError):
            for start in range(0, len(data), size):
                checker.feed(
                    data.replace(b'200 OK', b'000 No')[start : start + size]
                )

    def mutate(self, rng):
        data = bytearray(rng.choice(MUTATED))
        for _ in range(rng.randint(1, 4)):
            at = rng.randrange(len(data) + 1)
            choice = rng.random()
            if choice < 0.6:
                data[at:at] = rng.choice(INSERTED)
            elif choice < 0.8:
                del data[at : at + rng.randint(1, 3)]
            else:
                data[at : at + 1] = bytes([rng.randrange(256)])
        return bytes(data)

    def parsed_heads(self, parser, data):
        """Return how many heads of whole answers ``data`` completes."""
        messages, _, _ = parser.feed_data(data)
        return sum(message.code >= 200 for message, _ in messages)

    @ddt.data(1, 2, 3)
    async def test_the_parser_ends_no_head_before_the_check(self, seed):
        """Guards against heads that a lenient parser ends unchecked."""
        rng = random.Random(seed)
        ended = 0
        for _ in range(MUTATIONS):
            data = self.mutate(rng)
            step = rng.choice([1, 7, 2_048])
            checker = answer_heads.HeadChecker()
            parser = http_parser.HttpResponseParser(
                mock.Mock(),
                asyncio.get_running_loop(),
                65_536,
                read_until_eof=True,
                auto_decompress=False,
            )
            parsed = 0
            try:
                for start in range(0, len(data), step):
                    part = data[start : start + step]
                    checker.feed(part)
                    parsed += self.parsed_heads(parser, part)
            except (
                answer_heads.MalformedHeadError,
                http_exceptions.HttpProcessingError,
            ):
                continue
            self.assertEqual(checker.has_ended, parsed > 0, data)
            ended += checker.has_ended
        self.assertGreater(ended, MUTATIONS / 20)
