"""Streams between instances, shared by all modules of an instance.

An instance dials those that it sends requests to, and serves those that dial
it. A stream on which nothing arrives is closed, and its instance is not used
until a new stream to it works.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
from typing import Any

import attrs

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import peer_link
from sycamorebeam.peering import messages
from sycamorebeam.peering import peer_stream

# Allows for a few round trips between regions and a busy instance.
DIAL_TIMEOUT_MS = 300
IDLE_TIMEOUT_S = 20.0
# Instances of a deployment communicate on a closed network, and the platform
# provides no shared secret.
NO_SECRET = b''
RECONNECT_INTERVAL_MS = 500  # between attempts to reach a lost instance
# Every stream carries pings. An instance that receives nothing for this long
# and has unreachable peers is isolated.
ISOLATED_AFTER_MS = 1_500


@attrs.define
class InboundLink:
    """A stream that another instance dialled, and its pending calls.

    The calls are cancelled when the stream ends.
    """

    stream: peer_stream.PeerStream
    calls: dict[int, asyncio.Future[Any]] = attrs.field(factory=dict)

    @property
    def instance_id(self) -> str:
        """The instance at the other end."""
        return self.stream.peer_id

    def answer_when_done(
        self,
        call_id: int,
        future: asyncio.Future[Any],
        make_answer: Callable[[Any], messages.Message],
    ) -> None:
        """Send the answer made of a future's result, unless cancelled."""
        self.calls[call_id] = future

        def send(done: asyncio.Future[Any]) -> None:
            self.calls.pop(call_id, None)
            if not done.cancelled():
                self.stream.send(make_answer(done.result()))

        future.add_done_callback(send)

    def cancel(self, call_id: int) -> None:
        """Cancel a call whose answer is not needed any more."""
        future = self.calls.get(call_id)
        if future is not None:
            future.cancel()


MessageHandler = Callable[[InboundLink, messages.Message], None]
BroadcastHandler = Callable[[messages.Message], None]
Greeting = Callable[[], messages.Message | None]


class PeerLinks:
    """The streams to and from all other instances."""

    def __init__(
        self, clock: clocks.Clock, instances: membership.Membership
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._handlers: list[MessageHandler] = []
        self._broadcast_handlers: list[BroadcastHandler] = []
        self._greetings: list[Greeting] = []
        self._links: dict[str, peer_link.Link] = {}
        self._dialling: dict[str, asyncio.Task[peer_link.Link | None]] = {}
        self._inbound_streams: set[peer_stream.PeerStream] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopping = False
        self._last_received_ms = clock.monotonic_ms()
        self._was_isolated = False

    @property
    def is_isolated(self) -> bool:
        """Whether no other instance can be reached, though some are known."""
        silent_ms = self._clock.monotonic_ms() - self._last_received_ms
        is_isolated = silent_ms > ISOLATED_AFTER_MS and bool(
            self._instances.unreachable_count
        )
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            telemetry.log_event(
                'peers_lost' if is_isolated else 'peers_regained',
                'WARNING' if is_isolated else 'INFO',
                silent_ms=silent_ms,
                unreachable=self._instances.unreachable_count,
                known=self._instances.count() - 1,
            )
        return is_isolated

    def add_handler(self, handler: MessageHandler) -> None:
        """Register a handler for the messages on inbound streams."""
        self._handlers.append(handler)

    def add_broadcast_handler(self, handler: BroadcastHandler) -> None:
        """Register a handler for broadcasts of other instances."""
        self._broadcast_handlers.append(handler)

    def add_greeting(self, greeting: Greeting) -> None:
        """Register what is sent first on each new stream, if anything."""
        self._greetings.append(greeting)

    def broadcast(self, message: messages.Message) -> None:
        """Send a message on all open streams, inbound and outbound."""
        for stream in self._inbound_streams:
            stream.send(message)
        for link in self._links.values():
            link.send(message)

    def existing(self, instance_id: str) -> peer_link.Link | None:
        """Return the link to an instance, or None; never dial."""
        return self._links.get(instance_id)

    def is_stopping(self, instance_id: str) -> bool:
        """Whether an instance has announced that it is stopping."""
        link = self._links.get(instance_id)
        return link is not None and link.is_stopping

    def announce_stopping(self) -> None:
        """Tell other instances to send no new requests to this one."""
        self._is_stopping = True
        for stream in self._inbound_streams:
            stream.send(messages.Stopping())

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a stream that another instance dialled."""
        stream = self._new_stream(reader, writer)
        inbound = InboundLink(stream)
        try:
            await self._handshake(stream)
            self._inbound_streams.add(stream)
            self._greet(stream)
            if self._is_stopping:
                stream.send(messages.Stopping())
            async for message in stream.receive():
                self._record_received()
                if isinstance(message, messages.Ping):
                    stream.send(message)
                for handler in self._handlers:
                    handler(inbound, message)
                self._handle_broadcast(message)
        except peer_stream.HandshakeError as error:
            telemetry.log_event('peer_refused', 'WARNING', reason=str(error))
        except asyncio.CancelledError:
            # The process is stopping; asyncio would log the cancelled task.
            return
        finally:
            self._inbound_streams.discard(stream)
            for future in list(inbound.calls.values()):
                future.cancel()
            await stream.close()

    async def connect(self, instance_id: str) -> peer_link.Link | None:
        """Return an open link to an instance, dialling it if needed.

        None when it cannot be reached.
        """
        link = self._links.get(instance_id)
        if link is not None and not link.is_closed:
            return link
        dialling = self._dialling.get(instance_id)
        if dialling is None:
            dialling = asyncio.create_task(self._dial(instance_id))
            self._dialling[instance_id] = dialling
            dialling.add_done_callback(
                lambda _: self._dialling.pop(instance_id, None)
            )
        return await asyncio.shield(dialling)

    def send_soon(self, instance_id: str, message: messages.Message) -> None:
        """Send a message to an instance, over a new stream if needed.

        It is lost if the instance cannot be reached.
        """
        self._start_task(self._connect_and_send(instance_id, message))

    async def connect_or_raise(self, instance_id: str) -> peer_link.Link:
        """Return an open link to an instance.

        Raises LinkLostError when it cannot be reached.
        """
        link = await self.connect(instance_id)
        if link is None:
            raise peer_link.LinkLostError('the instance cannot be reached')
        return link

    def mark_unreachable(self, instance_id: str, error: BaseException) -> None:
        """Close the link to an instance, and avoid it until it reconnects."""
        link = self._links.pop(instance_id, None)
        if link is not None:
            link.abort()
        if not self._instances.mark_unreachable(instance_id):
            return
        telemetry.log_event(
            'peer_lost', 'WARNING', peer=instance_id, error=repr(error)
        )
        self._start_task(self._reconnect(instance_id))

    async def _dial(self, instance_id: str) -> peer_link.Link | None:
        address = self._instances.address(instance_id)
        if address is None:
            return None
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_MS / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                stream = self._new_stream(reader, writer)
                await self._handshake(stream)
        except (OSError, TimeoutError, peer_stream.HandshakeError) as error:
            self.mark_unreachable(instance_id, error)
            return None
        link = peer_link.Link(
            stream, self._clock, self._record_received, self._handle_broadcast
        )
        self._links[instance_id] = link
        self._greet(stream)
        self._start_task(self._receive(instance_id, link))
        telemetry.log_event('peer_connected', peer=instance_id)
        return link

    async def _connect_and_send(
        self, instance_id: str, message: messages.Message
    ) -> None:
        link = await self.connect(instance_id)
        if link is not None:
            link.send(message)

    async def _handshake(self, stream: peer_stream.PeerStream) -> None:
        """Open a stream, and detect a restart of the other instance.

        Raises HandshakeError.
        """
        own = self._instances.own_entry
        await stream.handshake(own.instance_id, NO_SECRET, own.started_wall_ms)
        if self._instances.update_start_time(
            stream.peer_id, stream.peer_started_ms
        ):
            telemetry.log_event(
                'peer_restarted',
                peer=stream.peer_id,
                started_wall_ms=stream.peer_started_ms,
            )

    def _handle_broadcast(self, message: messages.Message) -> None:
        for handler in self._broadcast_handlers:
            handler(message)

    def _greet(self, stream: peer_stream.PeerStream) -> None:
        for greeting in self._greetings:
            message = greeting()
            if message is not None:
                stream.send(message)

    def _record_received(self) -> None:
        self._last_received_ms = self._clock.monotonic_ms()

    def _new_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> peer_stream.PeerStream:
        return peer_stream.PeerStream(
            reader, writer, IDLE_TIMEOUT_S, may_drop=False
        )

    async def _receive(self, instance_id: str, link: peer_link.Link) -> None:
        with contextlib.suppress(OSError):
            await link.receive()
        if self._links.get(instance_id) is link:
            del self._links[instance_id]
        telemetry.log_event('peer_disconnected', peer=instance_id)

    async def _reconnect(self, instance_id: str) -> None:
        while self._instances.address(instance_id) is not None:
            await self._clock.sleep_ms(RECONNECT_INTERVAL_MS)
            if await self.connect(instance_id) is not None:
                self._instances.mark_reachable(instance_id)
                telemetry.log_event('peer_regained', peer=instance_id)
                return

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
