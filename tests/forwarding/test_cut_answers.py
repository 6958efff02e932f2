"""Tests of an instance as a process, with targets that cut their answers.

A caller gets a success only with the whole body, whatever the route, the
framing of the answer, the place of the cut and the end of the connection.
"""

import asyncio
import itertools

import ddt

from tests import base
from tests.forwarding import processes
from tests.forwarding import test_forwarding
from tests.forwarding import wire

REQUESTS_AT_ONCE = 60
BODY = b'served'
EVENTS = [wire.event(number) for number in (1, 2, 3)]
STREAM = b''.join(EVENTS)
TOP = b'HTTP/1.1 200 OK\r\n'
NAMES = b'X-Attempt-Id: %s\r\nX-Server-Signature: signed\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'


def with_length(body):
    return b'Content-Length: %d\r\n' % len(body)


# Answers to commands and reads, with the body in chunks where it is framed.
COMMAND_ANSWERS = {
    'length': TOP + NAMES + with_length(BODY) + b'\r\n' + BODY,
    'length first': TOP + with_length(BODY) + NAMES + b'\r\n' + BODY,
    'no body': TOP + NAMES + with_length(b'') + b'\r\n',
    'line feeds': (TOP + NAMES + with_length(BODY) + b'\r\n').replace(
        b'\r\n', b'\n'
    )
    + BODY,
    'chunks': TOP
    + NAMES
    + CHUNKED
    + b'\r\n'
    + wire.chunk(BODY[:3])
    + wire.chunk(BODY[3:])
    + wire.STREAM_END,
    'after an interim head': b'HTTP/1.1 103 Hints\r\n'
    + NAMES
    + b'\r\n'
    + TOP
    + NAMES
    + with_length(BODY)
    + b'\r\n'
    + BODY,
    'until the close': TOP + NAMES + b'\r\n' + BODY,
}
STREAM_ANSWERS = {
    'length': TOP + NAMES + with_length(STREAM) + b'\r\n' + STREAM,
    'chunks': TOP
    + NAMES
    + CHUNKED
    + b'\r\n'
    + b''.join(wire.chunk(event) for event in EVENTS)
    + wire.STREAM_END,
    'until the close': TOP + NAMES + b'\r\n' + STREAM,
}
ENDS = {'close': [], 'reset': [20, wire.RESET]}


class CuttingTarget:
    """Cuts each answer where the header of its request says."""

    async def serve(self, reader, writer):
        try:
            while True:
                await self.answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer):
        top = await reader.readuntil(b'\r\n\r\n')
        lines = top.decode().strip().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in lines[1:])
        kind, name, end, is_split, cut = headers['x-cut'].split(',')
        answers = STREAM_ANSWERS if kind == 'stream' else COMMAND_ANSWERS
        whole = answers[name].replace(b'%s', headers['x-attempt-id'].encode())
        data = whole[: int(cut)]
        half = len(data) // 2 if is_split == 'split' else 0
        steps = [data[:half], 5, data[half:]] if half else [data]
        server = wire.ScriptedServer()
        for step in [*steps, *ENDS[end]]:
            await server.step(step, reader, writer)
        raise ConnectionAbortedError


def cases(kind, name):
    """Yield the header of each request of a test, and whether it is whole."""
    answers = STREAM_ANSWERS if kind == 'stream' else COMMAND_ANSWERS
    size = len(answers[name].replace(b'%s', b'id-0000'))
    for end, split in itertools.product(ENDS, ('whole', 'split')):
        for cut in range(size + 1):
            yield f'{kind},{name},{end},{split},{cut}', cut == size


@ddt.ddt
class CutAnswersTest(base.NetworkTestCase):
    @ddt.data(
        *(('plain', name) for name in COMMAND_ANSWERS),
        *(('stream', name) for name in STREAM_ANSWERS),
    )
    @ddt.unpack
    async def test_only_whole_answers_look_whole(self, kind, name):
        """Guards against a cut head or body that is framed as whole."""
        limit = asyncio.Semaphore(REQUESTS_AT_ONCE)

        async def send(process, number, cut):
            async with limit:
                return await test_forwarding.call(
                    process.callers_address,
                    raw=(
                        f'POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\n'
                        f'X-Attempt-Id: id-{number:04}\r\nX-Cut: {cut}\r\n'
                        'X-Credential: k1\r\nX-Deadline-Ms: 4000\r\n'
                        'X-Chunks: 0\r\nX-Chunk-Key: k\r\n'
                        'Content-Length: 0\r\nConnection: close\r\n\r\n'
                    ).encode(),
                )

        sent = list(cases(kind, name))
        folder = self.make_temp_dir()
        async with processes.instance_before(
            folder, CuttingTarget().serve
        ) as process:
            responses = await asyncio.gather(
                *(
                    send(process, number, cut)
                    for number, (cut, _) in enumerate(sent)
                )
            )
        whole_body = STREAM if kind == 'stream' else BODY
        if name == 'no body':
            whole_body = b''
        served = 0
        for (cut, is_whole), response in zip(sent, responses, strict=True):
            is_served = response.status == 200 and response.is_whole
            served += is_served and is_whole
            if name == 'until the close' and ',close,' in cut:
                # Only a reset shows that such an answer isn't whole.
                self.assertTrue(whole_body.startswith(response.body[:0]))
                if is_served:
                    self.assertTrue(whole_body.startswith(response.body), cut)
            elif is_served:
                self.assertEqual(whole_body, response.body, cut)
        self.assertGreater(served, 0)
