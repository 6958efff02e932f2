"""Measures the time until changes are in force, and the CPU of following."""

import asyncio
import pathlib
import time
from typing import Any

import attrs

from demo import sites
from sycamorebeam import catalogue
from sycamorebeam import publishing
from tools import measure_load

USER = 'kovacik'
PORT_SHIFT = 6_000
SIZES = (3, 6)
CHANGES = 10
POLL_S = 0.002
TIMEOUT_S = 10.0
IDLE_S = 2.0
FOLLOWED_CHANGES = 30
SETTLE_S = 0.5
TEAM = 'team/back-office'


@attrs.frozen(kw_only=True)
class ChangeTimes:
    """Times until changes were in force in a fleet of one size.

    They run from the publisher's append until the last instance reports the
    change as in force; each instance is polled every 2 ms.
    """

    instances: int
    times_ms: tuple[float, ...]
    cpu_ms_per_change: float


async def measure(directory: pathlib.Path) -> list[ChangeTimes]:
    """Measure a fleet of each size."""
    return [await _measure(directory / str(size), size) for size in SIZES]


async def _measure(directory: pathlib.Path, size: int) -> ChangeTimes:
    site = sites.Site(USER, directory, PORT_SHIFT)
    numbers = list(range(1, size + 1))
    try:
        await site.start(numbers)
        pids = [site.instances[i].handle.pid for i in numbers]
        times = [
            await _time_change(site, numbers, change_number)
            for change_number in range(1, CHANGES + 1)
        ]
        used_s = await _following_cpu_s(site, pids)
    finally:
        await site.stop()
    return ChangeTimes(
        instances=size,
        times_ms=tuple(times),
        cpu_ms_per_change=used_s * 1_000 / FOLLOWED_CHANGES / size,
    )


async def _time_change(
    site: sites.Site, numbers: list[int], change_number: int
) -> float:
    """Return the ms until a published change is in force everywhere."""
    started_s = time.perf_counter()
    offset = await _publish_change(site, change_number)
    await asyncio.gather(
        *(_wait_until_in_force(site, number, offset) for number in numbers)
    )
    return (time.perf_counter() - started_s) * 1_000


async def _following_cpu_s(site: sites.Site, pids: list[int]) -> float:
    """Return the CPU time of following changes, without the idle CPU time."""
    idle_share = await _idle_cpu_share(pids)
    before_s = _total_cpu_s(pids)
    started_s = time.perf_counter()
    for change_number in range(FOLLOWED_CHANGES):
        await _publish_change(site, CHANGES + 1 + change_number)
    await asyncio.sleep(SETTLE_S)
    elapsed_s = time.perf_counter() - started_s
    return _total_cpu_s(pids) - before_s - idle_share * elapsed_s


async def _publish_change(site: sites.Site, change_number: int) -> int:
    """Publish a new limit of one team and return its offset."""
    team = site.entries[TEAM]
    limits = catalogue.Limits(concurrency=4 + change_number)
    result = await site.publish({TEAM: attrs.evolve(team, limits=limits)})
    if not isinstance(result, publishing.Accepted):
        raise RuntimeError(f'the change was not accepted: {result}')
    return result.offset


async def _wait_until_in_force(
    site: sites.Site, number: int, offset: int
) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            status = await site.get(
                site.admin_address(number), '/admin/status'
            )
            if status['catalogue']['offset'] >= offset:
                return
            await asyncio.sleep(POLL_S)


async def _idle_cpu_share(pids: list[int]) -> float:
    """Return the CPU seconds that the idle processes use per second."""
    before_s = _total_cpu_s(pids)
    await asyncio.sleep(IDLE_S)
    return (_total_cpu_s(pids) - before_s) / IDLE_S


def _total_cpu_s(pids: list[int]) -> float:
    return sum(map(measure_load.cpu_s, pids))


def rows(results: list[ChangeTimes]) -> list[list[str]]:
    """Return the rows of the page's table."""
    return [
        [
            str(result.instances),
            str(len(result.times_ms)),
            f'{sorted(result.times_ms)[len(result.times_ms) // 2]:.0f}',
            f'{max(result.times_ms):.0f}',
            f'{result.cpu_ms_per_change:.1f}',
        ]
        for result in results
    ]


def document(results: list[ChangeTimes]) -> list[dict[str, Any]]:
    """Return the measurements as plain data for JSON."""
    return [attrs.asdict(result) for result in results]
