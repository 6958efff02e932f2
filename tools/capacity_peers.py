"""Measures the overlay of instances, all in one process over loopback."""

import asyncio
import random
import time

import attrs
import loguru
import uvloop

from sycamorebeam import clocks
from sycamorebeam.clients import results
from sycamorebeam.controllers import peers
from tools import fits

INSTANCES = (4, 12, 40, 130, 410)
SETTLE_S = 5
WINDOW_S = 8
NEWS_S = 2
NEWS = 5
SECRET = b'a shared secret'
CLOCK = clocks.Clock()


class Source:
    """A catalogue that does not change."""

    def offset_and_digest(self) -> tuple[int, bytes]:
        """Return an offset and a digest."""
        return 1_000_000, bytes(32)

    def pack_state(self, above: int = -1) -> bytes:
        """Return nothing."""
        return b''


class Node:
    """One instance's peers, and when it heard of a target."""

    def __init__(self, number: int) -> None:
        self.id = f'entry-{number:03}'
        self.address = ''
        self.heard_s: dict[str, float] = {}
        self.peers = peers.Peers(
            self.id, SECRET, CLOCK, self._hear, random.Random(number)
        )
        self.peers.set_catalogue_source(Source())
        self.tasks: list[asyncio.Task[None]] = []

    def _hear(self, target_id: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.heard_s.setdefault(target_id, now_s)

    async def listen(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self.peers.accept, '127.0.0.1', 0
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def start(self, known: dict[str, results.Replica]) -> None:
        """Dial the others."""
        self.peers.set_instance_source(lambda: known)
        self.tasks = [
            asyncio.create_task(self.peers.dial_forever()),
            asyncio.create_task(self.peers.ping_forever()),
        ]

    def stop(self) -> None:
        """End the tasks; the loop ends the rest."""
        for task in self.tasks:
            task.cancel()
        self.server.close()


@attrs.frozen
class _Found:
    sent_bytes_per_s: float
    most_bytes_per_s: float
    cpu_share: float
    streams: float
    news_bytes: float
    hops: int
    reached: int
    wanted_ms: float


def measure() -> list[fits.Series]:
    """Return the series by instances."""
    loguru.logger.remove()
    found = [(count, _by_instances(count)) for count in INSTANCES]

    def series(name: str, unit: str, field: str) -> fits.Series:
        points = tuple(
            fits.Point(count, getattr(item, field)) for count, item in found
        )
        return fits.Series(
            name=name, size_unit='instances', value_unit=unit, points=points
        )

    return [
        series('peers.bytes', 'bytes/s', 'sent_bytes_per_s'),
        series('peers.most_bytes', 'bytes/s', 'most_bytes_per_s'),
        series('peers.cpu', 'ms/s', 'cpu_share'),
        series('peers.streams', 'streams', 'streams'),
        series('peers.news', 'bytes for one news', 'news_bytes'),
        series('peers.hops', 'hops to the last', 'hops'),
        series('peers.reached', 'instances reached', 'reached'),
        series('peers.choice', 'ms', 'wanted_ms'),
    ]


def _by_instances(count: int) -> _Found:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(count))


async def _run(count: int) -> _Found:
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    nodes = [Node(number) for number in range(count)]
    for node in nodes:
        await node.listen()
    known = {
        node.id: results.Replica(
            node.id,
            'entry',
            node.address,
            'zone-0',
            'region-0',
            peer_address=node.address,
        )
        for node in nodes
    }
    for node in nodes:
        node.start(known)
    await asyncio.sleep(SETTLE_S)
    before = _sent(nodes)
    start = time.process_time()
    await asyncio.sleep(WINDOW_S)
    taken_ms = (time.process_time() - start) * 1000
    idle = [
        (now - then) / WINDOW_S
        for now, then in zip(_sent(nodes), before, strict=True)
    ]
    news_bytes, reached = await _spread_news(nodes, sum(idle))
    found = _Found(
        sent_bytes_per_s=sum(idle) / count,
        most_bytes_per_s=max(idle),
        cpu_share=taken_ms / WINDOW_S / count,
        streams=sum(len(node.peers.connected) for node in nodes) / count,
        news_bytes=news_bytes / count,
        hops=_hops(nodes),
        reached=reached,
        wanted_ms=fits.cpu_ms(nodes[0].peers._peers_to_dial),
    )
    for node in nodes:
        node.stop()
    return found


def _sent(nodes: list[Node]) -> list[int]:
    return [node.peers.sent_bytes for node in nodes]


async def _spread_news(
    nodes: list[Node], idle_bytes_per_s: float
) -> tuple[float, int]:
    """Return the bytes for one news, and the fewest that heard it."""
    before = sum(_sent(nodes))
    for number in range(NEWS):
        nodes[0].peers.broadcast_leaving(f'engines-{number:05}')
    await asyncio.sleep(NEWS_S)
    moved = sum(_sent(nodes)) - before - idle_bytes_per_s * NEWS_S
    heard = [
        sum(f'engines-{number:05}' in node.heard_s for node in nodes[1:])
        for number in range(NEWS)
    ]
    return moved / NEWS, min(heard) + 1


def _hops(nodes: list[Node]) -> int:
    """Return the most streams between the first instance and another."""
    links = {node.id: node.peers.connected for node in nodes}
    reached = {nodes[0].id}
    edge = set(reached)
    hops = 0
    while edge:
        edge = {far for near in edge for far in links[near]} - reached
        reached |= edge
        hops += bool(edge)
    return hops
