"""The gossip overlay of instances: leaving targets and catalogue offsets.

Each instance dials a few peers picked by rendezvous hashing and accepts
streams from others. An instance forwards a broadcast when it first receives
it and ignores repeats, so that a broadcast reaches all instances in a few
hops and each one sends a bounded number of messages, whatever the size of
the fleet.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
import contextlib
import itertools
import random
from typing import Protocol
import uuid

import attrs

from sycamorebeam import clocks
from sycamorebeam import hashing
from sycamorebeam import telemetry
from sycamorebeam.clients import results
from sycamorebeam.peering import messages
from sycamorebeam.peering import peer_stream

DIALLED_PEERS = 4
MAX_STREAMS = 16
PING_MS = 4_000
DIAL_RETRY_MS = 1_000
FETCH_TIMEOUT_MS = 3_000
MAX_BROADCASTS_KEPT = 1_024


class CatalogueSource(Protocol):
    """Provides the catalogue that this instance offers to its peers."""

    def offset_and_digest(self) -> tuple[int, bytes]:
        """Return the offset in force and the digest of its state."""
        ...

    def pack_state(self, above: int = -1) -> bytes:
        """Return the state that a peer at offset ``above`` lacks."""
        ...


class NoCatalogue:
    """An empty source, used until ``set_catalogue_source`` is called."""

    def offset_and_digest(self) -> tuple[int, bytes]:
        """Return an offset lower than any other."""
        return -1, b''

    def pack_state(self, above: int = -1) -> bytes:
        """Return no state."""
        return b''


@attrs.frozen
class PeerOffset:
    """The catalogue that a peer has in force."""

    peer_id: str
    offset: int
    digest: bytes


class Peers:
    """Manages the streams to peers and the state received over them."""

    def __init__(
        self,
        instance_id: str,
        secret: bytes,
        clock: clocks.Clock,
        on_leaving: Callable[[str], None],
        generator: random.Random,
    ) -> None:
        self._instance_id = instance_id
        self._secret = secret
        self._clock = clock
        self._source: CatalogueSource = NoCatalogue()
        self._on_leaving = on_leaving
        self._random = generator
        self._streams: dict[str, peer_stream.PeerStream] = {}
        self._offsets: dict[str, PeerOffset] = {}
        self._seen_broadcasts: OrderedDict[str, None] = OrderedDict()
        self._pending_fetches: dict[
            int, asyncio.Future[messages.CatalogueState]
        ] = {}
        self._fetch_ids = itertools.count(1)
        self._closed_bytes = 0
        self._instances: Callable[[], dict[str, results.Replica]] = dict

    @property
    def connected(self) -> list[str]:
        """The ids of the instances with an open stream."""
        return sorted(self._streams)

    @property
    def sent_bytes(self) -> int:
        """The number of bytes sent to peers."""
        open_bytes = sum(
            stream.sent_bytes for stream in self._streams.values()
        )
        return self._closed_bytes + open_bytes

    def set_catalogue_source(self, source: CatalogueSource) -> None:
        """Offer the catalogue of ``source`` to the peers."""
        self._source = source

    def set_instance_source(
        self, instances: Callable[[], dict[str, results.Replica]]
    ) -> None:
        """Choose the peers to dial among the result of ``instances``."""
        self._instances = instances

    def broadcast_leaving(self, target_id: str) -> None:
        """Broadcast to all instances that a target is leaving."""
        message = messages.TargetsLeaving(uuid.uuid4().hex, [target_id])
        self._remember_broadcast(message.broadcast_id)
        self._broadcast(message)

    def highest_offset(self) -> PeerOffset | None:
        """Return the highest catalogue offset that a peer has in force."""
        offsets = self._offsets.values()
        return max(offsets, key=lambda peer: peer.offset, default=None)

    async def fetch_state(
        self, peer_id: str, above: int
    ) -> messages.CatalogueState | None:
        """Return a peer's catalogue state, None if it sent none in time."""
        stream = self._streams.get(peer_id)
        if stream is None:
            return None
        call_id = next(self._fetch_ids)
        future: asyncio.Future[messages.CatalogueState] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_fetches[call_id] = future
        stream.send(messages.FetchCatalogue(call_id, above))
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000):
                answer = await future
        except TimeoutError:
            return None
        finally:
            del self._pending_fetches[call_id]
        return answer if answer.state else None

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one stream that a peer dialled."""
        await self._run_stream(peer_stream.PeerStream(reader, writer))

    async def dial_forever(self) -> None:
        """Keep streams to the peers that rendezvous hashing picks."""
        dialling: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                addresses = self._peers_to_dial()
                dialling = {
                    name: task
                    for name, task in dialling.items()
                    if not task.done()
                }
                for name in addresses.keys() - dialling.keys():
                    if name not in self._streams:
                        address = addresses[name]
                        dialling[name] = asyncio.create_task(
                            self._dial(address)
                        )
                jitter_ms = self._random.uniform(0.5, 1.5) * DIAL_RETRY_MS
                await self._clock.sleep_ms(jitter_ms)
        finally:
            for task in dialling.values():
                task.cancel()

    async def ping_forever(self) -> None:
        """Send the offset in force to the peers periodically."""
        while True:
            self.broadcast_offset()
            await self._clock.sleep_ms(PING_MS)

    def broadcast_offset(self) -> None:
        """Send the offset in force to the peers now."""
        offset, digest = self._source.offset_and_digest()
        self._broadcast(messages.Ping(offset, digest))

    def _peers_to_dial(self) -> dict[str, str]:
        addresses = {
            name: replica.peer_address
            for name, replica in self._instances().items()
            if replica.peer_address
            and not replica.leaving
            and name != self._instance_id
        }
        picked = hashing.rank(self._instance_id, addresses, DIALLED_PEERS)
        return {name: addresses[name] for name in picked}

    async def _dial(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(peer_stream.HANDSHAKE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
            await self._run_stream(peer_stream.PeerStream(reader, writer))

    async def _run_stream(self, stream: peer_stream.PeerStream) -> None:
        try:
            await stream.handshake(self._instance_id, self._secret)
            existing = self._streams.get(stream.peer_id)
            if len(self._streams) >= MAX_STREAMS and existing is None:
                return
            self._streams[stream.peer_id] = stream
            telemetry.log_event('peer_connected', peer=stream.peer_id)
            offset, digest = self._source.offset_and_digest()
            stream.send(messages.Ping(offset, digest))
            async for message in stream.receive():
                self._handle(stream, message)
        except peer_stream.HandshakeError as error:
            telemetry.log_event('peer_refused', 'WARNING', reason=str(error))
        finally:
            await self._close_stream(stream)

    async def _close_stream(self, stream: peer_stream.PeerStream) -> None:
        if self._streams.get(stream.peer_id) is stream:
            del self._streams[stream.peer_id]
            self._offsets.pop(stream.peer_id, None)
            telemetry.log_event('peer_disconnected', peer=stream.peer_id)
        self._closed_bytes += stream.sent_bytes
        await stream.close()

    def _handle(
        self, stream: peer_stream.PeerStream, message: messages.Message
    ) -> None:
        match message:
            case messages.Ping(offset, digest):
                self._offsets[stream.peer_id] = PeerOffset(
                    stream.peer_id, offset, digest
                )
            case messages.TargetsLeaving(broadcast_id, target_ids):
                self._handle_leaving(stream, message, broadcast_id, target_ids)
            case messages.FetchCatalogue(call_id, above):
                stream.send(self._catalogue_state(call_id, above))
            case messages.CatalogueState(call_id):
                future = self._pending_fetches.get(call_id)
                if future is not None and not future.done():
                    future.set_result(message)

    def _handle_leaving(
        self,
        source: peer_stream.PeerStream,
        message: messages.Message,
        broadcast_id: str,
        target_ids: list[str],
    ) -> None:
        if broadcast_id in self._seen_broadcasts:
            return
        self._remember_broadcast(broadcast_id)
        for target_id in target_ids:
            self._on_leaving(target_id)
        self._broadcast(message, excluded=source)

    def _catalogue_state(
        self, call_id: int, above: int
    ) -> messages.CatalogueState:
        offset, _ = self._source.offset_and_digest()
        state = self._source.pack_state(above) if offset > above else b''
        return messages.CatalogueState(call_id, offset, state)

    def _broadcast(
        self,
        message: messages.Message,
        excluded: peer_stream.PeerStream | None = None,
    ) -> None:
        for stream in self._streams.values():
            if stream is not excluded:
                stream.send(message)

    def _remember_broadcast(self, broadcast_id: str) -> None:
        self._seen_broadcasts[broadcast_id] = None
        if len(self._seen_broadcasts) > MAX_BROADCASTS_KEPT:
            self._seen_broadcasts.popitem(last=False)
