"""Measures claims: latency, claims a second and an append, memory.

All parts run in one process on loopback against the stand-in of the log.
The latency of a claim is what it adds to a plain call, which makes none.
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
CLAIMERS = 200
LOAD_MS = 4_000
DEADLINE_MS = 10_000
KEYS = 20_000
OUTPUT = {'ticket': 'T-0123456789', 'state': 'accepted'}
CLOCK = clocks.Clock()

Work = Callable[['Bench'], Awaitable[list[float]]]


@attrs.define
class Bench:
    """The claims of one instance over a stand-in log."""

    server: platform_server.PlatformServer
    claims: claims_controller.ClaimsController
    made: int = 0

    async def claim(self) -> float:
        """Claim a new key, store its outcome, return the claim's time."""
        self.made += 1
        key = claims.ClaimKey('team', 'pump', f'key-{self.made}')
        began_s = time.perf_counter()
        result = await self.claims.claim(key, b'd' * 32, DEADLINE_MS, True)
        took_ms = (time.perf_counter() - began_s) * 1000
        match result:
            case claims.Owned(permit):
                permit.use()
                outcome = claims.RunOutcome(True, OUTPUT)
                await self.claims.record(permit, outcome)
                return took_ms
        raise RuntimeError(f'a claim was not granted: {result}')


def configured(partitions: int) -> settings.Settings:
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


async def with_bench(
    linger_ms: int, partitions: int, delay_ms: float, work: Work
) -> tuple[list[float], float]:
    """Run ``work``; return its times and the claims per append."""
    server = await platform_server.start_platform()
    server.log.faults.delay_ms = delay_ms
    client = log_client.new_log_client(server.address, LOG_TIMEOUT_MS)
    appender = batching.new_appender(client, CLOCK, APPENDS_PER_S, linger_ms)
    bench = Bench(
        server,
        claims_controller.new_claims(
            client, appender, CLOCK, configured(partitions)
        ),
    )
    await bench.claim()
    before, made = server.log.counts.append_calls, bench.made
    times_ms = await work(bench)
    appends = server.log.counts.append_calls - before
    per_append = (bench.made - made) / max(1, appends)
    await bench.claims.stop()
    await appender.stop()
    await client.close()
    await server.close()
    return times_ms, per_append


async def paced(bench: Bench) -> list[float]:
    """Make one claim at a time, with pauses."""
    times_ms = []
    for _ in range(PACED_CLAIMS):
        times_ms.append(await bench.claim())
        await CLOCK.sleep_ms(PACE_MS)
    return times_ms


async def loaded(bench: Bench) -> list[float]:
    """Make claims from many tasks at once."""
    until_ms = CLOCK.monotonic_ms() + LOAD_MS
    times_ms: list[float] = []

    async def claimer() -> None:
        while CLOCK.monotonic_ms() < until_ms:
            times_ms.append(await bench.claim())

    await asyncio.gather(*(claimer() for _ in range(CLAIMERS)))
    return times_ms


def memory_per_thousand(with_outcome: bool) -> int:
    """Return the bytes that a thousand keys of a partition take."""
    gc.collect()
    tracemalloc.start()
    state = claim_partition.new_partition_state(10**9, max_keys=KEYS)
    for number in range(KEYS):
        _fold_one(state, number, with_outcome)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes * 1000 // len(state)


def _fold_one(
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


def _row(name: str, times_ms: list[float], *more: str) -> str:
    middle = statistics.median(times_ms)
    high = statistics.quantiles(times_ms, n=100)[94]
    return f'| {name} | {middle:.1f} | {high:.1f} | ' + ' | '.join(more) + ' |'


async def measure() -> None:
    """Print all tables."""
    print('| one claim at a time | median ms | 95% ms |\n|---|---|---|')
    for linger_ms in LINGERS_MS:
        times_ms, _ = await with_bench(linger_ms, 16, 0, paced)
        print(_row(f'linger {linger_ms} ms', times_ms).rstrip('| ') + ' |')
    times_ms, _ = await with_bench(5, 16, REGION_DELAY_MS, paced)
    name = f'linger 5 ms, {REGION_DELAY_MS} ms to the log'
    print(_row(name, times_ms).rstrip('| ') + ' |')
    print(f'\n| {CLAIMERS} at a time | median ms | 95% ms | ', end='')
    print('claims/s | claims per append |\n|---|---|---|---|---|')
    for partitions in (1, 16):
        for linger_ms in LINGERS_MS:
            times_ms, per_append = await with_bench(
                linger_ms, partitions, 0, loaded
            )
            rate = len(times_ms) * 1000 / LOAD_MS
            name = f'{partitions} partitions, linger {linger_ms} ms'
            print(_row(name, times_ms, f'{rate:.0f}', f'{per_append:.1f}'))
    print('\n| memory of a thousand keys | bytes |\n|---|---|')
    print(f'| claimed | {memory_per_thousand(False)} |')
    print(f'| with an answer of two fields | {memory_per_thousand(True)} |')


if __name__ == '__main__':
    logger.disable('sycamorebeam')
    uvloop.run(measure())
