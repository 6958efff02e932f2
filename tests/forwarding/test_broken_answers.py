"""Tests of an instance as a process, with targets that answer brokenly.

A caller gets such an answer neither as a success nor as a promise that its
request has not run, and a request that may not repeat is sent only once.
"""

import asyncio

import ddt

from tests import base
from tests.forwarding import processes
from tests.forwarding import test_forwarding
from tests.forwarding import wire

BODY = b'served'
STREAM = wire.event(1) + wire.event(2)
TOP = b'HTTP/1.1 200 OK\r\n'
SIGNED = b'X-Attempt-Id: %s\r\nX-Server-Signature: signed\r\n'
LENGTH = b'Content-Length: %d\r\n'
BODIES = {'plain': BODY, 'stream': STREAM}
PARTS = {'plain': BODY[:-3], 'stream': wire.event(1)}
UNKNOWN = 502  # promises nothing on whether the request has run
CUT = 'cut'
STATUSES_OUT_OF_RANGE = ('000', '099', '600', '999')
# More than the buffers of loopback hold, as targets have small ones.
UPLOAD_BYTES = 4_000_000


def answer(kind, top=TOP, fields=b'', length=LENGTH):
    """Return an answer that is whole but for what the arguments say."""
    body = BODIES[kind]
    if b'%d' in length:
        length = length % len(body)
    return top + SIGNED + fields + length + b'\r\n' + body


class BrokenTarget:
    """Answers each request by the steps that its header names."""

    def __init__(self, answers):
        self.answers = answers
        self.arrivals = []

    async def serve(self, reader, writer):
        try:
            top = await reader.readuntil(b'\r\n\r\n')
            lines = top.decode().strip().split('\r\n')
            headers = dict(line.lower().split(': ', 1) for line in lines[1:])
            attempt_id = headers['x-attempt-id']
            self.arrivals.append(attempt_id)
            server = wire.ScriptedServer()
            for step in self.answers[headers['x-answer']]:
                if isinstance(step, bytes):
                    step = step.replace(b'%s', attempt_id.encode())
                await server.step(step, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


@ddt.ddt
class BrokenAnswersTest(base.NetworkTestCase):
    async def send(self, process, kind, name, body=b''):
        return await test_forwarding.call(
            process.callers_address,
            raw=(
                f'POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\n'
                f'X-Attempt-Id: id-{name}\r\nX-Answer: {name}\r\n'
                'X-Credential: k1\r\nX-Deadline-Ms: 4000\r\n'
                'X-Chunks: 0\r\nX-Chunk-Key: k\r\n'
                f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
            ).encode()
            + body,
        )

    async def send_all(self, kind, answers, body=b''):
        """Return the caller's response to each answer of the target.

        Checks that no request was sent to a target twice.
        """
        target = BrokenTarget(
            {
                str(number): steps
                for number, steps in enumerate(answers.values())
            }
        )
        async with processes.instance_before(
            self.make_temp_dir(), target.serve
        ) as process:
            responses = {
                name: await self.send(process, kind, str(number), body)
                for number, name in enumerate(answers)
            }
        sent = [f'id-{number}' for number in range(len(answers))]
        self.assertEqual(sent, target.arrivals)
        return responses

    async def assert_never_whole(self, kind, answers, body=b''):
        """Check that each is a failure, or a stream that is cut off."""
        responses = await self.send_all(kind, answers, body)
        outcomes = {
            name: response.status if response.is_whole else CUT
            for name, response in responses.items()
        }
        allowed = {UNKNOWN, CUT} if kind == 'stream' else {UNKNOWN}
        broken = {k: v for k, v in outcomes.items() if v not in allowed}
        self.assertEqual({}, broken)

    @ddt.data('plain', 'stream')
    async def test_a_status_line_that_is_not_http(self, kind):
        """Guards against any three digits that are passed on as a status."""
        tops = [
            *(f'HTTP/1.1 {status} OK' for status in STATUSES_OUT_OF_RANGE),
            'HTTP/1.1 101 Switching Protocols',
            'HTTP/0.9 200 OK',
            'HTTP/2.0 200 OK',
            'RTSP/1.0 200 OK',
            'HTTP/1.1 200 O\x01K',
        ]
        answers = {top: [answer(kind, f'{top}\r\n'.encode())] for top in tops}
        answers['it says that it has not run'] = [
            answer(kind, b'HTTP/1.1 000 No\r\n', b'X-Not-Executed: 1\r\n')
        ]
        await self.assert_never_whole(kind, answers)

    @ddt.data('plain', 'stream')
    async def test_fields_that_are_not_http(self, kind):
        """Guards against names with blanks that are passed on or obeyed."""
        body = BODIES[kind]
        chunked = TOP + SIGNED + b'Transfer-Encoding%s: chunked\r\n\r\n'
        chunked += wire.chunk(body) + wire.STREAM_END
        lines = [
            form.replace(b'#', odd)
            for odd in (b' ', b'\t', b'\x01', b'\x0b', b'\x7f', b'\xa0')
            for form in (b'X#A: b', b'X-A#: b', b'Connection#: close')
        ]
        lines += [b' X-A: b', b'\tX-A: b', b'X-A: b\x01', b': b', b'X-A', b' ']
        answers = {
            repr(line): [answer(kind, fields=line + b'\r\n')] for line in lines
        }
        for odd in (b' ', b'\t', b'\x01'):
            name = repr(odd)
            length = b'Content-Length' + odd + b': %d\r\n'
            answers[f'length {name}'] = [answer(kind, length=length)]
            answers[f'chunks {name}'] = [chunked.replace(b'%s:', odd + b':')]
            first = TOP + odd + LENGTH % len(body) + SIGNED + b'\r\n' + body
            answers[f'first {name}'] = [first]
        await self.assert_never_whole(kind, answers)

    @ddt.data('plain', 'stream')
    async def test_bodies_that_nothing_delimits_for_sure(self, kind):
        """Guards against codings and lengths that the parser passes over."""
        body = BODIES[kind]
        chunks = wire.chunk(body) + wire.STREAM_END
        coded = [
            b'gzip',
            b'identity',
            b'',
            b'"chunked"',
            b'xchunked',
            b'chunked;a=b',
            b'gzip, chunked',
            b'chunked, gzip',
            b'chunked, chunked',
            b'chunked\r\nTransfer-Encoding: chunked',
            b'chunked\r\nTransfer-Encoding: identity',
            b'chunked\r\nContent-Length: %d' % len(body),
        ]
        answers = {
            repr(codings): [
                TOP + SIGNED + b'Transfer-Encoding: ' + codings,
                b'\r\n\r\n' + (chunks if b'chunked' in codings else body),
            ]
            for codings in coded
        }
        for length in (b'', b'+9', b'0x9', b'9, 9', b'-9', b'9 9'):
            answers[f'length {length!r}'] = [
                answer(kind, length=b'Content-Length: ' + length + b'\r\n')
            ]
        answers['a length of 2**64 - 1'] = [
            answer(kind, length=b'Content-Length: 18446744073709551615\r\n')
        ]
        answers['a length of many digits'] = [
            answer(kind, length=b'Content-Length: ' + b'9' * 6_000 + b'\r\n')
        ]
        answers['two lengths'] = [
            answer(kind, fields=b'Content-Length: 0\r\n')
        ]
        answers['chunks of HTTP/1.0'] = [
            b'HTTP/1.0 200 OK\r\n'
            + SIGNED
            + b'Transfer-Encoding: chunked\r\n',
            b'\r\n' + chunks,
        ]
        answers['an interim head with a body'] = [
            b'HTTP/1.1 103 Hints\r\nContent-Length: 4\r\n\r\nhint',
            answer(kind),
        ]
        answers['a part, a coding and a reset'] = [
            TOP + SIGNED + b'Transfer-Encoding: identity\r\n\r\n',
            PARTS[kind],
            20,
            wire.RESET,
        ]
        await self.assert_never_whole(kind, answers)

    @ddt.data('plain', 'stream')
    async def test_unusual_answers_are_served(self, kind):
        """Guards against checks that allow less than the protocol does."""
        whole = answer(kind)
        answers = {
            'no reason': [answer(kind, b'HTTP/1.1 200\r\n')],
            'an empty reason': [answer(kind, b'HTTP/1.1 200 \r\n')],
            'a reason of other bytes': [
                answer(kind, b'HTTP/1.1 200 Tr\xe8s\tbien\r\n')
            ],
            'HTTP/1.0': [answer(kind, b'HTTP/1.0 200 OK\r\n')],
            'line feeds alone': [whole.replace(b'\r\n', b'\n')],
            'empty lines before it': [b'\r\n\r\n' + whole],
            'an interim head': [b'HTTP/1.1 103 Hints\r\nA: b\r\n\r\n' + whole],
            'names and values of all kinds': [
                answer(kind, fields=b"x!#$%&'*+-.^_`|~9:\t\xe9 \t\r\nY:\r\n")
            ],
            'a length with zeros before it': [
                answer(kind, length=b'content-length:\t00%d \r\n')
            ],
            'chunks with extensions and trailers': [
                TOP + SIGNED + b'transfer-encoding:  Chunked \r\n\r\n',
                b'%x;a=b\r\n' % len(BODIES[kind]) + BODIES[kind],
                b'\r\n0\r\nA: b\r\n\r\n',
            ],
            'until the close': [TOP + SIGNED + b'\r\n' + BODIES[kind]],
            'in pieces': [whole[:9], 5, whole[9:40], 5, whole[40:]],
        }
        responses = await self.send_all(kind, answers)
        for name, response in responses.items():
            self.assertEqual(200, response.status, name)
            self.assertTrue(response.is_whole, name)
            self.assertEqual(BODIES[kind], response.body, name)

    @ddt.data('plain', 'stream')
    async def test_a_reset_beside_an_upload_ends_no_answer(self, kind):
        """Guards against a body without a length that is taken for whole."""
        begin = TOP + SIGNED + b'\r\n'
        part = PARTS[kind]
        await self.assert_never_whole(
            kind,
            {
                'at once': [begin + part, wire.RESET],
                'in two pieces': [begin, part, wire.RESET],
                'after a pause': [begin, 5, part, 20, wire.RESET],
                'no part': [begin, wire.RESET],
                'the upload is not read': [begin + part],
            },
            b'u' * UPLOAD_BYTES,
        )
