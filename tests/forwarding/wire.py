"""A scripted server that sends raw bytes, for tests of HTTP clients."""

import asyncio
import contextlib
import socket
import struct
import threading

import attrs

RESET = object()  # ends a connection by a reset
HANG = object()  # keeps the connection open and sends nothing more


@attrs.frozen
class Endless:
    """Bytes that are sent again and again until the caller closes."""

    data: bytes


class ScriptedServer:
    """Answers each request by the next entry of a script; repeats the last.

    An entry is a list of steps: bytes to send, pauses in milliseconds, or one
    of the objects above. The connection is closed after them.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []
        self.closed = asyncio.Event()
        self.address = ''
        self.sent_bytes = 0

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            body = b''
            for line in head.lower().split(b'\r\n'):
                if line.startswith(b'content-length:'):
                    body = await reader.readexactly(int(line[15:]))
            self.requests.append(head + body)
            steps = self.script[0]
            if len(self.script) > 1:
                self.script.pop(0)
            for step in steps:
                await self.step(step, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed.set()
            writer.close()

    async def step(self, step, reader, writer):
        if step is RESET:
            opened = writer.get_extra_info('socket')
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
        elif step is HANG:
            await reader.read()
        elif isinstance(step, int):
            await asyncio.sleep(step / 1_000)
        elif isinstance(step, Endless):
            while not writer.is_closing():
                await self.send(step.data, writer)
        else:
            await self.send(step, writer)

    async def send(self, data, writer):
        writer.write(data)
        await writer.drain()
        self.sent_bytes += len(data)


@contextlib.asynccontextmanager
async def serving(*script):
    wire = ScriptedServer(*script)
    server = await asyncio.start_server(wire.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    wire.address = f'127.0.0.1:{port}'
    try:
        yield wire
    finally:
        server.close()


@contextlib.asynccontextmanager
async def serving_in_thread(*script):
    """Serve from another thread, so that it does not block this loop."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    async def run_there(work):
        future = asyncio.run_coroutine_threadsafe(work, loop)
        return await asyncio.wrap_future(future)

    server = serving(*script)
    try:
        wire = await run_there(server.__aenter__())
        yield wire
        await run_there(asyncio.wait_for(wire.closed.wait(), 1))
    finally:
        await run_there(server.__aexit__(None, None, None))
        loop.call_soon_threadsafe(loop.stop)
        await asyncio.to_thread(thread.join)
        loop.close()


def answer(body=b'ok', status='200 OK', headers=(), attempt_id='id-1'):
    lines = [
        f'HTTP/1.1 {status}',
        f'X-Attempt-Id: {attempt_id}',
        'X-Server-Signature: signed',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Signature: signed\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
STREAM_END = b'0\r\n\r\n'


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def event(number):
    return b'id: %d\ndata: piece %d\n\n' % (number, number)
