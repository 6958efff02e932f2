"""An outbound stream to another instance, and the exchanges on it."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools

import attrs

from sycamorebeam import clocks
from sycamorebeam.peering import crash_messages
from sycamorebeam.peering import messages
from sycamorebeam.peering import peer_stream
from sycamorebeam.peering import placement_messages

PING_MS = 400
MAX_SILENCE_MS = 1_300  # three unanswered pings


class LinkLostError(Exception):
    """The other instance did not answer or cannot be reached."""


@attrs.define
class Exchange:
    """A request to another instance, and the queue of its answers."""

    call_id: int
    _answers: asyncio.Queue[messages.Message | None] = attrs.field(
        factory=asyncio.Queue
    )

    def put(self, message: messages.Message | None) -> None:
        """Queue an answer; None means that the stream has ended."""
        self._answers.put_nowait(message)

    async def next(self, timeout_ms: float | None = None) -> messages.Message:
        """Return the next answer.

        Raises LinkLostError on a timeout or when the stream has ended.
        """
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
    """An outbound stream to another instance, and its open exchanges."""

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
        """Yield a new exchange; answers after its end are dropped."""
        exchange = Exchange(next(self._call_ids))
        self._exchanges[exchange.call_id] = exchange
        if self.is_closed:
            exchange.put(None)
        try:
            yield exchange
        finally:
            del self._exchanges[exchange.call_id]

    def send(self, message: messages.Message) -> None:
        """Queue a message."""
        self._stream.send(message)

    def abort(self) -> None:
        """Close the stream at once, without sending queued messages."""
        self._stream.abort()

    async def receive(self) -> None:
        """Dispatch messages until the stream ends or times out."""
        pings = asyncio.create_task(self._ping_until_silent())
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

    async def _ping_until_silent(self) -> None:
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
                | placement_messages.PromptPlaced(call_id=call_id)
                | messages.PermitAnswer(call_id=call_id)
            ):
                if exchange := self._exchanges.get(call_id):
                    exchange.put(message)
            case (
                messages.TargetLeaving()
                | messages.TargetLimitChanged()
                | crash_messages.EngineCrashed()
                | crash_messages.PartsSurvived()
                | crash_messages.PartsBlocked()
            ):
                self._on_broadcast(message)
