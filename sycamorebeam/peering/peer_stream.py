"""One authenticated stream of messages to another instance."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import hmac
import os

import msgpack

from sycamorebeam.clients import parse_turns
from sycamorebeam.peering import messages

NONCE_BYTES = 16
READ_BYTES = 65_536
MAX_QUEUED_MESSAGES = 256
# Some seconds of the messages between two instances in a burst.
MAX_QUEUED_MESSAGES_RELIABLE = 4_096
HANDSHAKE_TIMEOUT_S = 2.0
# Before a peer is authenticated; its messages have about 100 bytes each.
HANDSHAKE_BYTES = 4 * 1024
# A peer pings several times in this period; without any the stream is dead.
IDLE_TIMEOUT_S = 15.0
MESSAGE_COST = 16  # in a turn of the event loop, as bytes of overhead


class HandshakeError(Exception):
    """The peer did not prove that it knows the shared secret."""


class PeerStream:
    """Sends and receives messages; never blocks the sender.

    Messages beyond ``MAX_QUEUED_MESSAGES`` are dropped and counted, as their
    protocol repeats or requests them again. Where it does not (``may_drop`` is
    false) a full queue closes the stream, so that both ends notice.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        *,
        may_drop: bool = True,
    ) -> None:
        self._idle_timeout_s = idle_timeout_s
        self._may_drop = may_drop
        self._reader = reader
        self._writer = writer
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=messages.MAX_MESSAGE_BYTES,
            # Its first buffer, 1 MB by default; it grows as needed.
            read_size=READ_BYTES,
        )
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(
            MAX_QUEUED_MESSAGES if may_drop else MAX_QUEUED_MESSAGES_RELIABLE
        )
        self._sender: asyncio.Task[None] | None = None
        self._peer_id = ''
        self._peer_started_ms = 0
        self._sent_bytes = 0
        self._received_bytes = 0
        self._dropped = 0

    @property
    def peer_id(self) -> str:
        """The id of the other instance, empty before the handshake."""
        return self._peer_id

    @property
    def peer_started_ms(self) -> int:
        """When the peer's process started, in wall time; 0 if unknown."""
        return self._peer_started_ms

    @property
    def sent_bytes(self) -> int:
        """How many bytes were sent on this stream."""
        return self._sent_bytes

    @property
    def dropped(self) -> int:
        """How many messages were dropped because the queue was full."""
        return self._dropped

    async def handshake(
        self, own_id: str, secret: bytes, started_wall_ms: int = 0
    ) -> None:
        """Authenticate both ends by the secret, or raise HandshakeError.

        ``started_wall_ms`` is the start of this process, sent to the peer.
        """
        nonce = os.urandom(NONCE_BYTES)
        self._write(messages.Hello(own_id, nonce, started_wall_ms))
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await self._authenticate(own_id, nonce, secret)
        except (TimeoutError, OSError, ValueError) as error:
            raise HandshakeError(f'handshake failed: {error!r}') from error
        self._sender = asyncio.create_task(self._send_queued())

    def send(self, message: messages.Message) -> None:
        """Queue a message."""
        try:
            self._queue.put_nowait(messages.pack(message))
        except asyncio.QueueFull:
            self._dropped += 1
            if not self._may_drop:
                self.abort()

    async def receive(self) -> AsyncIterator[messages.Message]:
        """Yield messages until the stream ends or its idle timeout passes."""
        with contextlib.suppress(TimeoutError, OSError, ValueError):
            while True:
                async with asyncio.timeout(self._idle_timeout_s):
                    message = await self._next_message()
                if message is None:
                    return
                yield message

    def abort(self) -> None:
        """Close the connection at once, dropping unsent messages."""
        self._writer.transport.abort()

    async def close(self) -> None:
        """Close the stream; queued messages are dropped."""
        if self._sender is not None:
            self._sender.cancel()
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    async def _authenticate(
        self, own_id: str, nonce: bytes, secret: bytes
    ) -> None:
        hello = await self._next_message()
        if not isinstance(hello, messages.Hello):
            raise HandshakeError('the first message is not a hello')
        if hello.instance_id == own_id:
            raise HandshakeError('the peer has the id of this instance')
        own = _proof(secret, own_id, hello.nonce)
        self._write(messages.Proof(own))
        expected = _proof(secret, hello.instance_id, nonce)
        proof = await self._next_message()
        if not isinstance(proof, messages.Proof):
            raise HandshakeError('the second message is not a proof')
        if not hmac.compare_digest(proof.digest, expected):
            raise HandshakeError('the peer has another secret')
        self._peer_id = hello.instance_id
        self._peer_started_ms = hello.started_wall_ms

    async def _next_message(self) -> messages.Message | None:
        """Return the next message of a known type, None at the end."""
        turns = parse_turns.of_loop(asyncio.get_running_loop())
        while True:
            for array in self._unpacker:
                await turns.acquire(MESSAGE_COST)
                message = messages.unpack(array)
                if message is not None:
                    return message
            if not self._peer_id and self._received_bytes > HANDSHAKE_BYTES:
                raise ValueError('too many bytes for a handshake')
            data = await self._reader.read(READ_BYTES)
            if not data:
                return None
            self._received_bytes += len(data)
            try:
                self._unpacker.feed(data)
            except msgpack.BufferFull as error:
                raise ValueError('a message is too large') from error

    def _write(self, message: messages.Message) -> None:
        self._write_bytes(messages.pack(message))

    def _write_bytes(self, data: bytes) -> None:
        self._writer.write(data)
        self._sent_bytes += len(data)

    async def _send_queued(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                self._write_bytes(await self._queue.get())
                await self._writer.drain()


def _proof(secret: bytes, prover_id: str, nonce: bytes) -> bytes:
    """Return a proof that includes its prover, so it cannot be reflected."""
    return hmac.digest(secret, prover_id.encode() + b'\x00' + nonce, 'sha256')
