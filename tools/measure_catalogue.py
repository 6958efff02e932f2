"""Measures the catalogue: time until in force, start, cost of following.

All parts run in one process, over loopback, against the stand-in log.
"""

import gc
import hashlib
import random
import statistics
import time
import tracemalloc
from typing import Any

import uvloop

from sycamorebeam import batching
from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import clocks
from sycamorebeam import publishing
from sycamorebeam import records
from sycamorebeam import snapshot_reader
from sycamorebeam import snapshot_writer
from sycamorebeam import snapshots
from sycamorebeam.clients import log_client
from sycamorebeam.clients import ports
from sycamorebeam.controllers import catalogue_follower
from sycamorebeam.standins import platform_server

TEAMS = 27_000
INSTANCE_COUNTS = (3, 9, 30)
CHANGES = 20
FOLLOWED_CHANGES = 200
CHANGES_PER_DAY = 21_000
DAY_S = 86_400
STALE_MS = 30_000
TIMEOUT_MS = 2_000
CLOCK = clocks.Clock()
AUTHOR = publishing.Author('measure', 'measurement')


class NoPeers:
    """Peers of an instance that is connected to none."""

    def highest_offset(self) -> None:
        """Return None: no peer is reachable."""

    async def fetch_state(self, peer_id: str, above: int) -> None:
        """Return None: no peer sent its state."""


def team_value(number: int) -> dict[str, Any]:
    """Return the entry of a team as plain data."""
    digest = hashlib.sha256(f'token-{number}'.encode()).hexdigest()
    return {
        'owner': f'owner-{number % 300}',
        'class': 'normal',
        'limits': {'requests_per_s': 5.0, 'concurrency': 20},
        'token_sha256': [digest],
    }


def large_fold() -> catalogue_fold.Fold:
    """Return a fold with all teams."""
    fold = catalogue_fold.Fold()
    size = catalogue_records.MAX_EDITS
    for first in range(0, TEAMS, size):
        edits = tuple(
            catalogue_records.Edit(
                f'team/team-{number}',
                catalogue_store.ABSENT,
                team_value(number),
            )
            for number in range(first, min(first + size, TEAMS))
        )
        change = catalogue_records.Change(
            id=str(first), author='m', time_ms=0, reason='', edits=edits
        )
        record = catalogue_records.to_record(change)
        fold.apply(fold.offset + 1, records.pack_envelope([record]))
    return fold


def start_follower(log: ports.Log) -> catalogue_follower.CatalogueFollower:
    """Create a follower of the log and start it."""
    started_follower = catalogue_follower.new_catalogue_follower(
        log, CLOCK, NoPeers(), STALE_MS, random.Random(1)
    )
    started_follower.start()
    return started_follower


async def wait_until_in_force(
    followers: list[catalogue_follower.CatalogueFollower], offset: int
) -> None:
    """Wait until an offset is in force at all followers."""
    while any(follower.offset < offset for follower in followers):
        await CLOCK.sleep_ms(1)


async def measure_in_force(count: int) -> None:
    """Print the time from publishing until in force everywhere."""
    standin_platform = await platform_server.start_platform()
    logs = [
        log_client.new_log_client(standin_platform.address, TIMEOUT_MS)
        for _ in range(count)
    ]
    followers = [start_follower(log) for log in logs]
    await CLOCK.sleep_ms(200)
    durations_ms = []
    for number in range(CHANGES):
        edit = catalogue_records.Edit(
            f'team/team-{number}', catalogue_store.ABSENT, team_value(number)
        )
        started_s = time.perf_counter()
        result = await publishing.publish(logs[0], CLOCK, [edit], AUTHOR)
        assert isinstance(result, publishing.Accepted), result
        await wait_until_in_force(followers, result.offset)
        durations_ms.append((time.perf_counter() - started_s) * 1000)
    print(
        f'in_force instances={count} changes={CHANGES} '
        f'median_ms={statistics.median(durations_ms):.1f} '
        f'worst_ms={max(durations_ms):.1f}'
    )
    for follower in followers:
        await follower.stop()
    for log in logs:
        await log.close()
    await standin_platform.close()


async def measure_start(fold: catalogue_fold.Fold) -> None:
    """Print the cost of a start from a large snapshot, then of following."""
    standin_platform = await platform_server.start_platform()
    log = log_client.new_log_client(standin_platform.address, TIMEOUT_MS)
    for _ in range(fold.offset + 1):
        await log.append(catalogue_records.STREAM, b'')
    appender = batching.new_appender(log, CLOCK, 40.0, 5)
    started_s = time.perf_counter()
    result = await snapshot_writer.write(
        appender, CLOCK, snapshots.freeze(fold)
    )
    write_s = time.perf_counter() - started_s
    assert isinstance(result, snapshot_writer.Written), result
    del fold
    gc.collect()
    bytes_before = standin_platform.log.counts.bytes_read
    started_s = time.perf_counter()
    loaded = await snapshot_reader.load_newest(log)
    load_s = time.perf_counter() - started_s
    assert isinstance(loaded, snapshot_reader.Loaded), loaded
    count = len(loaded.fold.store.stored)
    read_bytes = standin_platform.log.counts.bytes_read - bytes_before
    del loaded
    kept_mb, peak_mb = await measure_load_memory(log)
    print(
        f'start teams={count} write_s={write_s:.2f} load_s={load_s:.3f} '
        f'bytes={read_bytes} kept_mb={kept_mb:.1f} peak_mb={peak_mb:.1f}'
    )
    await measure_following(standin_platform, log)
    await log.close()
    await standin_platform.close()


async def measure_load_memory(log: ports.Log) -> tuple[float, float]:
    """Return the memory of a loaded fold and the peak while loading, in MB."""
    gc.collect()
    tracemalloc.start()
    loaded = await snapshot_reader.load_newest(log)
    assert isinstance(loaded, snapshot_reader.Loaded), loaded
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept / 1e6, peak / 1e6


async def measure_following(
    standin_platform: platform_server.PlatformServer, log: ports.Log
) -> None:
    """Print the cost per change of a follower."""
    follower = start_follower(log)
    while follower.lag_ms == 0 and follower.offset < 0:
        await CLOCK.sleep_ms(10)
    bytes_before = standin_platform.log.counts.bytes_read
    cpu_before_s = time.process_time()
    for number in range(FOLLOWED_CHANGES):
        edit = catalogue_records.Edit(
            f'team/new-{number}',
            catalogue_store.ABSENT,
            team_value(-1 - number),
        )
        change = catalogue_records.Change(
            id=str(number), author='m', time_ms=0, reason='', edits=(edit,)
        )
        record = catalogue_records.to_record(change)
        data = records.pack_envelope([record])
        await log.append(catalogue_records.STREAM, data)
        await wait_until_in_force([follower], follower.offset + 1)
    cpu_ms = (time.process_time() - cpu_before_s) * 1000 / FOLLOWED_CHANGES
    size_bytes = standin_platform.log.counts.bytes_read - bytes_before
    bytes_per_change = size_bytes / FOLLOWED_CHANGES
    share = cpu_ms / 1000 * CHANGES_PER_DAY / DAY_S
    print(
        f'follow changes={FOLLOWED_CHANGES} cpu_ms_per_change={cpu_ms:.2f} '
        f'bytes_per_change={bytes_per_change:.0f} '
        f'cpu_share_at_{CHANGES_PER_DAY}_a_day={share:.4%}'
    )
    await follower.stop()


async def main() -> None:
    """Run all measurements."""
    for count in INSTANCE_COUNTS:
        await measure_in_force(count)
    await measure_start(large_fold())


if __name__ == '__main__':
    uvloop.run(main())
