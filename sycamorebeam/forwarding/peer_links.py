"""Streams between instances, shared by all parts that ask others.

An instance dials the instances that it asks, and serves those that ask it.
A stream that falls silent is closed, and its instance passed over until a
new stream to it works.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import itertools
from typing import Any

import attrs

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import membership
from sycamorebeam.peering import messages
from sycamorebeam.peering import peer_stream

# A few round trips between regions and a busy processor at the other end.
DIAL_TIMEOUT_MS = 300
PING_MS = 400
MAX_SILENCE_MS = 1_300  # three pings unanswered: the stream is dead
IDLE_TIMEOUT_S = 20.0
# Instances of one deployment reach each other on a closed network, and the
# platform hands out no secret for them to share.
NO_SECRET = b''
RECONNECT_INTERVAL_MS = 500  # between tries to reach a lost instance
# Each stream carries pings, so that an instance which hears nothing for this
# long, and has failed to reach others, is cut off from them.
ISOLATED_AFTER_MS = 1_500


class LinkLostError(Exception):
    """The other instance does not answer."""


@attrs.define
class Exchange:
    """A question to another instance, and the messages that answer it."""

    call_id: int
    _answers: asyncio.Queue[messages.Message | None] = attrs.field(
        factory=asyncio.Queue
    )

    def put(self, message: messages.Message | None) -> None:
        """Take an answer; None means that the stream has ended."""
        self._answers.put_nowait(message)

    async def next(self, timeout_ms: float | None = None) -> messages.Message:
        """Return the next answer. Raises LinkLostError without one."""
        timeout_s = None if timeout_ms is None else timeout_ms / 1000
        try:
            async with asyncio.timeout(timeout_s):
                message = await self._answers.get()
        except TimeoutError as error:
            raise LinkLostError(f'no answer in {timeout_ms} ms') from error
        if message is None:
            raise LinkLostError('the stream has ended')
        return message


class Link:
    """A stream to another instance, and what was asked on it."""

    def __init__(
        self,
        stream: peer_stream.PeerStream,
        clock: clocks.Clock,
        on_received: Callable[[], None],
        on_broadcast: Callable[[messages.Message], None],
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._on_received = on_received
        self._on_broadcast = on_broadcast
        self._call_ids = itertools.count(1)
        self._exchanges: dict[int, Exchange] = {}
        self._last_received_ms = clock.monotonic_ms()
        self.is_stopping = False
        self.is_closed = False

    @contextlib.contextmanager
    def exchange(self) -> Iterator[Exchange]:
        """Yield a new exchange; its later answers are dropped."""
        exchange = Exchange(next(self._call_ids))
        self._exchanges[exchange.call_id] = exchange
        if self.is_closed:
            exchange.put(None)
        try:
            yield exchange
        finally:
            del self._exchanges[exchange.call_id]

    def send(self, message: messages.Message) -> None:
        """Send a message."""
        self._stream.send(message)

    def abort(self) -> None:
        """Close the stream at once: nothing is expected of it."""
        self._stream.abort()

    async def receive(self) -> None:
        """Take messages until the stream ends or falls silent."""
        pings = asyncio.create_task(self._ping())
        try:
            async for message in self._stream.receive():
                self._last_received_ms = self._clock.monotonic_ms()
                self._on_received()
                self._dispatch(message)
        finally:
            pings.cancel()
            self.is_closed = True
            for exchange in self._exchanges.values():
                exchange.put(None)
            await self._stream.close()

    async def _ping(self) -> None:
        while True:
            await self._clock.sleep_ms(PING_MS)
            silent_ms = self._clock.monotonic_ms() - self._last_received_ms
            if silent_ms > MAX_SILENCE_MS:
                self._stream.abort()
                return
            self._stream.send(messages.Ping(-1, b''))

    def _dispatch(self, message: messages.Message) -> None:
        match message:
            case messages.Stopping():
                self.is_stopping = True
            case (
                messages.ItemsQueued(call_id=call_id)
                | messages.ItemsDone(call_id=call_id)
                | messages.ItemsFailed(call_id=call_id)
                | messages.ReadArriving(call_id=call_id)
                | messages.SharedRead(call_id=call_id)
                | messages.NoSharedRead(call_id=call_id)
                | messages.PromptPlaced(call_id=call_id)
            ):
                exchange = self._exchanges.get(call_id)
                if exchange is not None:
                    exchange.put(message)
            case messages.TargetLeaving():
                self._on_broadcast(message)


@attrs.define
class InboundLink:
    """A stream on which another instance asks; its calls end with it."""

    stream: peer_stream.PeerStream
    calls: dict[int, asyncio.Future[Any]] = attrs.field(factory=dict)

    @property
    def instance_id(self) -> str:
        """The instance that asks."""
        return self.stream.peer_id

    def start(
        self,
        call_id: int,
        future: asyncio.Future[Any],
        answer: Callable[[Any], messages.Message],
    ) -> None:
        """Send what a future's result becomes, unless it is cancelled."""
        self.calls[call_id] = future

        def send(done: asyncio.Future[Any]) -> None:
            self.calls.pop(call_id, None)
            if not done.cancelled():
                self.stream.send(answer(done.result()))

        future.add_done_callback(send)

    def cancel(self, call_id: int) -> None:
        """Cancel a call whose answer is not wanted any more."""
        future = self.calls.get(call_id)
        if future is not None:
            future.cancel()


MessageHandler = Callable[[InboundLink, messages.Message], None]
BroadcastHandler = Callable[[messages.Message], None]


class PeerLinks:
    """The streams to and from the other instances."""

    def __init__(
        self, clock: clocks.Clock, instances: membership.Membership
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._handlers: list[MessageHandler] = []
        self._broadcast_handlers: list[BroadcastHandler] = []
        self._links: dict[str, Link] = {}
        self._dialling: dict[str, asyncio.Task[Link | None]] = {}
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
        """Let a part of the instance serve messages of others."""
        self._handlers.append(handler)

    def add_broadcast_handler(self, handler: BroadcastHandler) -> None:
        """Let a part hear what others tell without being asked."""
        self._broadcast_handlers.append(handler)

    def broadcast(self, message: messages.Message) -> None:
        """Send news on all streams that exist, in both directions."""
        for stream in self._inbound_streams:
            stream.send(message)
        for link in self._links.values():
            link.send(message)

    def existing(self, instance_id: str) -> Link | None:
        """Return the link to an instance if there is one."""
        return self._links.get(instance_id)

    def is_stopping(self, instance_id: str) -> bool:
        """Whether an instance has said that it stops."""
        link = self._links.get(instance_id)
        return link is not None and link.is_stopping

    def announce_stopping(self) -> None:
        """Tell the others to ask this instance no more."""
        self._is_stopping = True
        for stream in self._inbound_streams:
            stream.send(messages.Stopping())

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a stream on which another instance asks."""
        stream = self._new_stream(reader, writer)
        inbound = InboundLink(stream)
        try:
            await self._handshake(stream)
            self._inbound_streams.add(stream)
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
            # The process ends; asyncio would report the cancelled task.
            return
        finally:
            self._inbound_streams.discard(stream)
            for future in list(inbound.calls.values()):
                future.cancel()
            await stream.close()

    async def connect(self, instance_id: str) -> Link | None:
        """Return a link to an instance, None when it cannot be reached."""
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

    async def connect_or_raise(self, instance_id: str) -> Link:
        """Return a link to an instance.

        Raises LinkLostError when it cannot be reached.
        """
        link = await self.connect(instance_id)
        if link is None:
            raise LinkLostError('it cannot be reached')
        return link

    def mark_unreachable(self, instance_id: str, error: BaseException) -> None:
        """Pass an instance over until it can be reached again."""
        link = self._links.pop(instance_id, None)
        if link is not None:
            link.abort()
        if not self._instances.mark_unreachable(instance_id):
            return
        telemetry.log_event(
            'peer_lost', 'WARNING', peer=instance_id, error=repr(error)
        )
        self._start(self._reconnect(instance_id))

    async def _dial(self, instance_id: str) -> Link | None:
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
        link = Link(
            stream, self._clock, self._record_received, self._handle_broadcast
        )
        self._links[instance_id] = link
        self._start(self._receive(instance_id, link))
        telemetry.log_event('peer_connected', peer=instance_id)
        return link

    async def _handshake(self, stream: peer_stream.PeerStream) -> None:
        """Open a stream, and learn whether the other end has restarted.

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

    def _record_received(self) -> None:
        self._last_received_ms = self._clock.monotonic_ms()

    def _new_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> peer_stream.PeerStream:
        return peer_stream.PeerStream(
            reader, writer, IDLE_TIMEOUT_S, may_drop=False
        )

    async def _receive(self, instance_id: str, link: Link) -> None:
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

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
