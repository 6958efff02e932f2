"""Measures what grows with targets and teams: lists, polls and limits."""

import asyncio
from collections.abc import Callable
import json
import threading
import time
from typing import Any

import attrs

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam import settings
from sycamorebeam.clients import instances
from sycamorebeam.clients import results
from sycamorebeam.clients import target_client
from sycamorebeam.controllers import limits
from sycamorebeam.controllers import target_registry
from sycamorebeam.policy import subset
from sycamorebeam.standins import target_server
from tools import fits

REPLICAS = (120, 400, 1_200, 4_000, 12_000)
INSTANCES = (6, 20, 60, 200, 600)
TEAMS = (40, 120, 400, 1_200, 4_000)
POLLS = (10, 30, 100, 300, 1_000)
GROUPS = 16
GROUP_COUNTS = (1, 4, 12, 40, 100)
MAX_REPLICAS = 12_000
ZONES = 33
REGIONS = 11
DECISIONS = 200
CLOCK = clocks.Clock()
PLACEMENT = settings.Placement(zone='zone-0', region='region-0')


def new_list_items(
    replicas: int, entries: int = 0, groups: int = GROUPS
) -> list[dict[str, Any]]:
    """Return the items of an instance list, spread over zones."""
    list_items = []
    for number in range(replicas + entries):
        zone = number % ZONES
        group = f'group-{number // ZONES % groups}'
        item = {
            'id': f'{group}-{number:05}',
            'group': group,
            'address': f'10.{number >> 16}.{number >> 8 & 255}.'
            f'{number & 255}:21401',
            'zone': f'zone-{zone}',
            'region': f'region-{zone % REGIONS}',
            'state': 'live',
        }
        if number >= replicas:
            item |= {
                'id': f'entry-{number:05}',
                'group': target_registry.ENTRY_GROUP,
                'peer_address': item['address'],
            }
        list_items.append(item)
    return list_items


def list_answer(replicas: int) -> bytes:
    """Return the platform's response with an instance list."""
    return json.dumps(
        {'version': 1, 'items': new_list_items(replicas)}
    ).encode()


def parse_list(data: bytes) -> list[results.Replica]:
    """Return the replicas of a response, parsed as the client does."""
    page = instances._page(json.loads(data))
    assert isinstance(page, instances.InstancePage)
    return list(page.replicas)


def new_registry(
    replicas: list[results.Replica],
) -> target_registry.TargetRegistry:
    """Return the target registry of an instance that applied one list."""
    registry = target_registry.TargetRegistry(
        'entry-1', PLACEMENT, CLOCK, subset.SubsetSizes()
    )
    asyncio.run(_apply_list(registry, replicas))
    return registry


async def _apply_list(
    registry: target_registry.TargetRegistry, replicas: list[results.Replica]
) -> None:
    registry.apply_list(replicas)


def measure() -> list[fits.Series]:
    """Measure the series of lists, targets, limits, instances and polls."""
    return [
        *_list_series(),
        _registry_series(),
        _limits_series(),
        _instance_count_series(),
        *_poll_series(),
    ]


@attrs.frozen
class _ListCosts:
    list_bytes: int
    parse_ms: float
    peak_bytes: int
    apply_ms: float


def _list_series() -> list[fits.Series]:
    measured = [(count, _list_costs(count)) for count in REPLICAS]

    def series(name: str, unit: str, field: str) -> fits.Series:
        points = tuple(
            fits.Point(count, getattr(costs, field))
            for count, costs in measured
        )
        return fits.Series(
            name=name, size_unit='replicas', value_unit=unit, points=points
        )

    return [
        series('list.answer', 'bytes', 'list_bytes'),
        series('list.parse', 'ms', 'parse_ms'),
        series('list.peak', 'bytes', 'peak_bytes'),
        series('targets.replace', 'ms', 'apply_ms'),
    ]


def _list_costs(count: int) -> _ListCosts:
    data = list_answer(count)
    replicas = parse_list(data)
    _, peak_bytes = fits.held_bytes(lambda: parse_list(data))
    registry = new_registry(replicas)
    return _ListCosts(
        list_bytes=len(data),
        parse_ms=fits.cpu_ms(lambda: parse_list(data)),
        peak_bytes=peak_bytes,
        apply_ms=fits.cpu_ms(
            lambda: asyncio.run(_apply_list(registry, replicas))
        ),
    )


def _registry_series() -> fits.Series:
    """Measure the memory of the registry by the replicas in use."""
    points = []
    for count in GROUP_COUNTS:
        items = new_list_items(MAX_REPLICAS, groups=count)
        data = json.dumps({'version': 1, 'items': items}).encode()
        registry = new_registry(parse_list(data))
        in_use = sum(len(group) for group in registry.groups.values())
        held, _ = fits.held_bytes(lambda: new_registry(parse_list(data)))  # noqa: B023
        points.append(fits.Point(in_use, held))
    return fits.Series(
        name='targets.state',
        size_unit='replicas in use',
        value_unit='bytes',
        points=tuple(points),
    )


def _limits_series() -> fits.Series:
    points = tuple(
        fits.Point(
            count,
            fits.held_bytes(lambda: asyncio.run(_admit_teams(count)))[0],  # noqa: B023
        )
        for count in TEAMS
    )
    return fits.Series(
        name='limits.state',
        size_unit='teams seen',
        value_unit='bytes',
        points=points,
    )


async def _admit_teams(teams: int) -> limits.LimitsController:
    controller = limits.LimitsController(CLOCK, 65_536)
    team_limits = catalogue.Limits(requests_per_s=10.0, concurrency=16)
    for number in range(teams):
        controller.admit(
            {f'team/{number:05}': team_limits},
            catalogue.ServiceClass.NORMAL,
            410,
        )
    return controller


def _instance_count_series() -> fits.Series:
    """Measure the CPU time of an admission's count of live instances."""
    points = []
    for count in INSTANCES:
        page = instances._page(
            {'version': 1, 'items': new_list_items(0, count)}
        )
        assert isinstance(page, instances.InstancePage)
        registry = new_registry(list(page.replicas))
        work = _repeated(lambda: registry.live_instance_count)  # noqa: B023
        points.append(fits.Point(count, fits.cpu_ms(work) / DECISIONS))
    return fits.Series(
        name='limits.live_instances',
        size_unit='instances',
        value_unit='ms',
        points=tuple(points),
    )


def _repeated(work: Callable[[], object]) -> Callable[[], None]:
    def run() -> None:
        for _ in range(DECISIONS):
            work()

    return run


class TargetThread:
    """One stand-in replica in its own thread."""

    def __init__(self, kind: catalogue.TargetKind) -> None:
        self._kind = kind
        self._loop = asyncio.new_event_loop()
        self._stop = asyncio.Event()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.address = ''

    def __enter__(self) -> 'TargetThread':
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(self, *_: object) -> None:
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()

    def _run(self) -> None:
        with asyncio.Runner(loop_factory=lambda: self._loop) as runner:
            runner.run(self._serve())

    async def _serve(self) -> None:
        server = await target_server.start_target(self._kind)
        self.address = server.address
        self._started.set()
        await self._stop.wait()
        await server.close()


def _poll_series() -> list[fits.Series]:
    """Measure load polls over loopback; CPU time is that of this thread."""
    sizes, times = [], []
    with TargetThread(catalogue.TargetKind.ENGINE) as server:
        for count in POLLS:
            moved_bytes, taken_ms = asyncio.run(_poll(server.address, count))
            sizes.append(fits.Point(count, moved_bytes))
            times.append(fits.Point(count, taken_ms))
    return [
        fits.Series(
            name='polls.bytes',
            size_unit='polls',
            value_unit='bytes',
            points=tuple(sizes),
        ),
        fits.Series(
            name='polls.cpu',
            size_unit='polls',
            value_unit='ms',
            points=tuple(times),
        ),
    ]


async def _poll(address: str, count: int) -> tuple[int, float]:
    byte_counts = []
    client = target_client.new_target_client(
        CLOCK,
        on_bytes=lambda _, sent, received: byte_counts.append(sent + received),
    )
    replica = results.Replica('e', 'engines', address, 'zone-0', 'region-0')
    assert await client.load(replica) is not None
    byte_counts.clear()
    start = time.thread_time()
    for _ in range(count):
        assert await client.load(replica) is not None
    taken_ms = (time.thread_time() - start) * 1000
    await client.close()
    return sum(byte_counts), taken_ms
