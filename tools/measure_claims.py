"""Measures claims: latency, claims per second and per append, memory.

All parts run in one process, over loopback, against the stand-in log. The
latency of a claim is its overhead over a plain call, which makes no claim.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import gc
import random
import statistics
import time
import tracemalloc

import attrs
from loguru import logger
import uvloop

from sycamorebeam import batching
from sycamorebeam import claim_fold
from sycamorebeam import claim_partition
from sycamorebeam import claim_records
from sycamorebeam import claims
from sycamorebeam import clocks
from sycamorebeam import hashing
from sycamorebeam import settings
from sycamorebeam.clients import log_client
from sycamorebeam.controllers import claims_controller
from sycamorebeam.standins import platform_server

LINGERS_MS = (0, 2, 5, 10, 20)
REGION_DELAY_MS = 24
APPENDS_PER_S = 40.0
LOG_TIMEOUT_MS = 1_000
PACED_CLAIMS = 60
PACE_MS = 100
CONCURRENT_CLAIMS = 200
LOAD_MS = 4_000
DEADLINE_MS = 10_000
KEYS = 20_000
OUTPUT = {'ticket': 'T-0123456789', 'state': 'accepted'}
CLOCK = clocks.Clock()

Workload = Callable[['Bench'], Awaitable[list[float]]]


@attrs.define
class Bench:
    """The claims of one instance on a stand-in log."""

    server: platform_server.PlatformServer
    claims: claims_controller.ClaimsController
    claims_made: int = 0

    async def claim(self) -> float:
        """Claim a new key, record its outcome; return the ms of the claim."""
        self.claims_made += 1
        key = claims.ClaimKey('team', 'pump', f'key-{self.claims_made}')
        started_s = time.perf_counter()
        result = await self.claims.claim(key, b'd' * 32, DEADLINE_MS, True)
        duration_ms = (time.perf_counter() - started_s) * 1000
        match result:
            case claims.Owned(permit):
                permit.use()
                outcome = claims.RunOutcome(True, OUTPUT)
                await self.claims.record(permit, outcome)
                return duration_ms
        raise RuntimeError(f'a claim was not granted: {result}')


def instance_settings(partitions: int) -> settings.Settings:
    """Return the settings of the measured instance."""
    return settings.Settings(
        instance_id='measured',
        placement=settings.Placement(zone='z1', region='r1'),
        addresses=settings.Addresses(
            callers='127.0.0.1:0', peers='127.0.0.1:0'
        ),
        platform=settings.Platform(log='', instances=''),
        peer_secret_file='',
        claim_partitions=partitions,
    )


async def run_with_bench(
    linger_ms: int, partitions: int, delay_ms: float, workload: Workload
) -> tuple[list[float], float]:
    """Run ``workload``; return its times in ms and the claims per append."""
    server = await platform_server.start_platform()
    server.log.faults.delay_ms = delay_ms
    client = log_client.new_log_client(server.address, LOG_TIMEOUT_MS)
    appender = batching.new_appender(client, CLOCK, APPENDS_PER_S, linger_ms)
    bench = Bench(
        server,
        claims_controller.new_claims_controller(
            client, appender, CLOCK, instance_settings(partitions)
        ),
    )
    await bench.claim()
    appends_before, claims_before = (
        server.log.counts.append_calls,
        bench.claims_made,
    )
    times_ms = await workload(bench)
    appends = server.log.counts.append_calls - appends_before
    per_append = (bench.claims_made - claims_before) / max(1, appends)
    await bench.claims.stop()
    await appender.stop()
    await client.close()
    await server.close()
    return times_ms, per_append


async def claim_one_at_a_time(bench: Bench) -> list[float]:
    """Make one claim at a time, with pauses."""
    times_ms = []
    for _ in range(PACED_CLAIMS):
        times_ms.append(await bench.claim())
        await CLOCK.sleep_ms(PACE_MS)
    return times_ms


async def claim_concurrently(bench: Bench) -> list[float]:
    """Make claims from concurrent tasks."""
    end_ms = CLOCK.monotonic_ms() + LOAD_MS
    times_ms: list[float] = []

    async def claim_until_end() -> None:
        while CLOCK.monotonic_ms() < end_ms:
            times_ms.append(await bench.claim())

    await asyncio.gather(
        *(claim_until_end() for _ in range(CONCURRENT_CLAIMS))
    )
    return times_ms


def bytes_per_thousand_keys(with_outcome: bool) -> int:
    """Return the memory of a thousand keys of a partition, in bytes."""
    gc.collect()
    tracemalloc.start()
    state = claim_partition.new_partition_state(10**9, max_keys=KEYS)
    for number in range(KEYS):
        _fold_key(state, number, with_outcome)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes * 1000 // len(state)


def _fold_key(
    state: claim_partition.PartitionState, number: int, with_outcome: bool
) -> None:
    digest = hashing.digest(b'%d' % number)
    claim_id = f'{random.getrandbits(128):032x}'
    claim = claim_records.Claim(
        key_digest=digest,
        claim_id=claim_id,
        request_digest=digest,
        deadline_ms=DEADLINE_MS,
        owner='measured',
    )
    outcome = claim_records.Outcome(
        key_digest=digest, claim_id=claim_id, known=True, output=OUTPUT
    )
    state.advance(number, number)
    position = claim_fold.Position(number, 0, number)
    state.fold(claim, position)
    if with_outcome:
        state.fold(outcome, position)


def _row(name: str, times_ms: list[float], *extra_columns: str) -> str:
    median_ms = statistics.median(times_ms)
    p95_ms = statistics.quantiles(times_ms, n=100)[94]
    return (
        f'| {name} | {median_ms:.1f} | {p95_ms:.1f} | '
        + ' | '.join(extra_columns)
        + ' |'
    )


async def measure() -> None:
    """Print all tables."""
    print('| one claim at a time | median ms | 95% ms |\n|---|---|---|')
    for linger_ms in LINGERS_MS:
        times_ms, _ = await run_with_bench(
            linger_ms, 16, 0, claim_one_at_a_time
        )
        print(_row(f'linger {linger_ms} ms', times_ms).rstrip('| ') + ' |')
    times_ms, _ = await run_with_bench(
        5, 16, REGION_DELAY_MS, claim_one_at_a_time
    )
    name = f'linger 5 ms, {REGION_DELAY_MS} ms to the log'
    print(_row(name, times_ms).rstrip('| ') + ' |')
    print(f'\n| {CONCURRENT_CLAIMS} at a time | median ms | 95% ms | ', end='')
    print('claims/s | claims per append |\n|---|---|---|---|---|')
    for partitions in (1, 16):
        for linger_ms in LINGERS_MS:
            times_ms, per_append = await run_with_bench(
                linger_ms, partitions, 0, claim_concurrently
            )
            rate = len(times_ms) * 1000 / LOAD_MS
            name = f'{partitions} partitions, linger {linger_ms} ms'
            print(_row(name, times_ms, f'{rate:.0f}', f'{per_append:.1f}'))
    print('\n| memory of a thousand keys | bytes |\n|---|---|')
    print(f'| claimed | {bytes_per_thousand_keys(False)} |')
    print(
        f'| with an answer of two fields | {bytes_per_thousand_keys(True)} |'
    )


if __name__ == '__main__':
    logger.disable('sycamorebeam')
    uvloop.run(measure())
