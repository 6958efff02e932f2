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
ANNOUNCEMENT_WAIT_S = 2
ANNOUNCEMENTS = 5
SECRET = b'a shared secret'
CLOCK = clocks.Clock()


class FixedCatalogue:
    """A catalogue that does not change."""

    def offset_and_digest(self) -> tuple[int, bytes]:
        """Return an offset and a digest."""
        return 1_000_000, bytes(32)

    def pack_state(self, above: int = -1) -> bytes:
        """Return an empty state."""
        return b''


class Node:
    """The peers of one instance, and when it learned of leaving targets."""

    def __init__(self, number: int) -> None:
        self.id = f'entry-{number:03}'
        self.address = ''
        self.received_at_s: dict[str, float] = {}
        self.peers = peers.Peers(
            self.id, SECRET, CLOCK, self._record_leaving, random.Random(number)
        )
        self.peers.set_catalogue_source(FixedCatalogue())
        self.tasks: list[asyncio.Task[None]] = []

    def _record_leaving(self, target_id: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.received_at_s.setdefault(target_id, now_s)

    async def listen(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self.peers.accept, '127.0.0.1', 0
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def start(self, replicas: dict[str, results.Replica]) -> None:
        """Start to connect to the other nodes."""
        self.peers.set_instance_source(lambda: replicas)
        self.tasks = [
            asyncio.create_task(self.peers.dial_forever()),
            asyncio.create_task(self.peers.ping_forever()),
        ]

    def stop(self) -> None:
        """Cancel the tasks; the runner cancels the others at its end."""
        for task in self.tasks:
            task.cancel()
        self.server.close()


@attrs.frozen
class _OverlayCosts:
    sent_bytes_per_s: float
    max_bytes_per_s: float
    cpu_ms_per_s: float
    streams: float
    announcement_bytes: float
    hops: int
    reached: int
    choice_ms: float


def measure() -> list[fits.Series]:
    """Measure the series by the number of instances."""
    loguru.logger.remove()
    measured = [(count, _overlay_costs(count)) for count in INSTANCES]

    def series(name: str, unit: str, field: str) -> fits.Series:
        points = tuple(
            fits.Point(count, getattr(costs, field))
            for count, costs in measured
        )
        return fits.Series(
            name=name, size_unit='instances', value_unit=unit, points=points
        )

    return [
        series('peers.bytes', 'bytes/s', 'sent_bytes_per_s'),
        series('peers.most_bytes', 'bytes/s', 'max_bytes_per_s'),
        series('peers.cpu', 'ms/s', 'cpu_ms_per_s'),
        series('peers.streams', 'streams', 'streams'),
        series('peers.news', 'bytes for one news', 'announcement_bytes'),
        series('peers.hops', 'hops to the last', 'hops'),
        series('peers.reached', 'instances reached', 'reached'),
        series('peers.choice', 'ms', 'choice_ms'),
    ]


def _overlay_costs(count: int) -> _OverlayCosts:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_measure_overlay(count))


async def _measure_overlay(count: int) -> _OverlayCosts:
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    nodes = [Node(number) for number in range(count)]
    for node in nodes:
        await node.listen()
    replicas = {
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
        node.start(replicas)
    await asyncio.sleep(SETTLE_S)
    sent_before = _sent_bytes(nodes)
    start = time.process_time()
    await asyncio.sleep(WINDOW_S)
    taken_ms = (time.process_time() - start) * 1000
    idle_bytes_per_s = [
        (later - earlier) / WINDOW_S
        for later, earlier in zip(_sent_bytes(nodes), sent_before, strict=True)
    ]
    announcement_bytes, reached = await _broadcast_leaving(
        nodes, sum(idle_bytes_per_s)
    )
    costs = _OverlayCosts(
        sent_bytes_per_s=sum(idle_bytes_per_s) / count,
        max_bytes_per_s=max(idle_bytes_per_s),
        cpu_ms_per_s=taken_ms / WINDOW_S / count,
        streams=sum(len(node.peers.connected) for node in nodes) / count,
        announcement_bytes=announcement_bytes / count,
        hops=_max_hops(nodes),
        reached=reached,
        choice_ms=fits.cpu_ms(nodes[0].peers._peers_to_dial),
    )
    for node in nodes:
        node.stop()
    return costs


def _sent_bytes(nodes: list[Node]) -> list[int]:
    return [node.peers.sent_bytes for node in nodes]


async def _broadcast_leaving(
    nodes: list[Node], idle_bytes_per_s: float
) -> tuple[float, int]:
    """Return the bytes per announcement, and the fewest nodes reached."""
    sent_before = sum(_sent_bytes(nodes))
    for number in range(ANNOUNCEMENTS):
        nodes[0].peers.broadcast_leaving(f'engines-{number:05}')
    await asyncio.sleep(ANNOUNCEMENT_WAIT_S)
    moved_bytes = (
        sum(_sent_bytes(nodes))
        - sent_before
        - idle_bytes_per_s * ANNOUNCEMENT_WAIT_S
    )
    receivers = [
        sum(f'engines-{number:05}' in node.received_at_s for node in nodes[1:])
        for number in range(ANNOUNCEMENTS)
    ]
    return moved_bytes / ANNOUNCEMENTS, min(receivers) + 1


def _max_hops(nodes: list[Node]) -> int:
    """Return the largest distance from the first node, in streams."""
    links = {node.id: node.peers.connected for node in nodes}
    reached = {nodes[0].id}
    frontier = set(reached)
    hops = 0
    while frontier:
        frontier = {
            neighbour for node_id in frontier for neighbour in links[node_id]
        } - reached
        reached |= frontier
        hops += bool(frontier)
    return hops
