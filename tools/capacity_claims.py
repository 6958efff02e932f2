"""Measures claims: their records, their state and their appends."""

import asyncio
import hashlib
import random

import async_solipsism

from sycamorebeam import batching
from sycamorebeam import claim_fold
from sycamorebeam import claim_partition
from sycamorebeam import claim_records
from sycamorebeam import clocks
from sycamorebeam import records
from sycamorebeam.clients import results
from tools import fits

KEYS = (1_000, 3_000, 10_000, 30_000, 100_000)
RATES_PER_S = (5, 20, 50, 150, 500)
APPEND_DURATION_S = 10
LOG_DELAY_MS = 3
SEED = 5
WINDOW_MS = 3_600_000
ANSWER = {'operation': 'order-restart', 'done': True, 'ticket': 'T-1048576'}


def claim_and_outcome(
    number: int,
) -> tuple[claim_records.Claim, claim_records.Outcome]:
    """Return the claim and the outcome of one request."""
    digest = hashlib.sha256(b'%d' % number).digest()
    claim_id = digest[:16].hex()
    claim = claim_records.Claim(
        key_digest=digest,
        claim_id=claim_id,
        request_digest=digest[::-1],
        deadline_ms=15_000,
        owner=f'entry-{number % 410}',
    )
    outcome = claim_records.Outcome(
        key_digest=digest,
        claim_id=claim_id,
        known=True,
        output=ANSWER,
        target_request_id=claim_id,
    )
    return claim, outcome


def pack_appends(keys: int) -> list[bytes]:
    """Return the records of ``keys`` keys, each packed as an append."""
    return [
        records.pack_envelope([claim_records.to_record(item)])
        for number in range(keys)
        for item in claim_and_outcome(number)
    ]


def fold_appends(data: list[bytes]) -> claim_partition.PartitionState:
    """Return the state of a partition after these appends."""
    state = claim_partition.new_partition_state(WINDOW_MS, 0, 10**9)
    for offset, append in enumerate(data):
        state.advance(offset, offset // 10)
        for index, record in enumerate(records.unpack_envelope(append)):
            claim_record = claim_records.from_record(record)
            assert not isinstance(claim_record, claim_records.Tick)
            position = claim_fold.Position(offset, index, offset // 10)
            state.fold(claim_record, position)
    return state


def measure() -> list[fits.Series]:
    """Measure the series by keys and by the rate of claims."""
    state_bytes, cpu_ms, log_bytes = [], [], []
    for keys in KEYS:
        data = pack_appends(keys)
        state_bytes.append(
            fits.Point(keys, fits.held_bytes(lambda: fold_appends(data))[0])  # noqa: B023
        )
        cpu_ms.append(
            fits.Point(keys, fits.cpu_ms(lambda: fold_appends(data), 1))  # noqa: B023
        )
        log_bytes.append(fits.Point(keys, sum(map(len, data))))
    appends = tuple(
        fits.Point(rate, _appends_per_s(rate)) for rate in RATES_PER_S
    )
    return [
        _series('claims.state', 'keys', 'bytes', state_bytes),
        _series('claims.fold', 'keys', 'ms', cpu_ms),
        _series('claims.log_bytes', 'keys', 'bytes', log_bytes),
        fits.Series(
            name='claims.appends',
            size_unit='records/s at one instance',
            value_unit='appends/s',
            points=appends,
        ),
    ]


def _series(
    name: str, size_unit: str, value_unit: str, points: list[fits.Point]
) -> fits.Series:
    return fits.Series(
        name=name,
        size_unit=size_unit,
        value_unit=value_unit,
        points=tuple(points),
    )


class CountingLog:
    """A log that accepts each append after a delay, and counts them."""

    def __init__(self) -> None:
        self.appends = 0

    async def append(self, stream: str, data: bytes) -> results.AppendResult:
        """Accept the record."""
        self.appends += 1
        await asyncio.sleep(LOG_DELAY_MS / 1000)
        return results.Appended(self.appends)

    async def read(
        self, stream: str, start: int, limit: int = 100, wait_ms: int = 0
    ) -> results.ReadResult:
        """Return an empty page."""
        return results.LogPage(0, 0, ())

    async def bounds(self, stream: str) -> results.LogPage:
        """Return the bounds of an empty stream."""
        return results.LogPage(0, 0, ())


def _appends_per_s(rate: int) -> float:
    """Return the appends per second for records that arrive at random.

    ``rate`` is their mean per second over 16 partitions. The appender limits
    its own rate.
    """
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(_append_at_rate(rate))


async def _append_at_rate(rate: int) -> float:
    log = CountingLog()
    clock = clocks.Clock()
    generator = random.Random(SEED)
    appender = batching.new_appender(log, clock, 1_000.0, 5, generator)
    tasks = []
    claim, _ = claim_and_outcome(1)
    end_ms = clock.monotonic_ms() + APPEND_DURATION_S * 1000
    while clock.monotonic_ms() < end_ms:
        await clock.sleep_ms(generator.expovariate(rate) * 1000)
        stream = claim_records.stream_of(generator.randrange(16))
        submitting = appender.submit(
            stream, claim_records.to_record(claim), batching.Priority.CLAIM
        )
        tasks.append(asyncio.create_task(submitting))
    await asyncio.gather(*tasks)
    await appender.stop()
    return log.appends / APPEND_DURATION_S
