"""A replica whose answers have no end: a body in chunks of one byte.

Arguments: its port, and how many bytes a second it sends on all connections.
"""

import asyncio
import sys
import time

CHUNKS = b'1\r\nx\r\n' * 10_000


class Link:
    """The replica's link, which all its connections share."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0

    async def carry(self, size: int) -> None:
        """Wait until the link has carried some bytes."""
        now_s = time.monotonic()
        begin_s = max(now_s, self._free_at_s)
        self._free_at_s = begin_s + size / self._bytes_per_s
        await asyncio.sleep(self._free_at_s - now_s)


LINK = Link(float(sys.argv[2]))


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer one request until the caller closes the connection."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except (OSError, asyncio.IncompleteReadError):
        writer.close()
        return
    attempt_id = next(
        line.partition(':')[2].strip()
        for line in head.split('\r\n')
        if line.lower().startswith('x-attempt-id:')
    )
    writer.write(
        f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\n'
        f'X-Server-Signature: s.{attempt_id}\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'.encode()
    )
    try:
        while not writer.is_closing():
            await LINK.carry(len(CHUNKS))
            writer.write(CHUNKS)
            await writer.drain()
    except OSError:
        writer.close()


async def main() -> None:
    """Serve until the process is killed."""
    server = await asyncio.start_server(serve, '127.0.0.1', int(sys.argv[1]))
    await server.serve_forever()


asyncio.run(main())
