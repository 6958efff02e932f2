"""Measures the time and memory of a start from a snapshot with many teams.

The start runs in a separate process, so that the memory is its own.
"""

import asyncio
import hashlib
import json
import os
import subprocess
import sys
import time
from typing import Any

import attrs
import psutil

from demo import processes
from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import clocks
from sycamorebeam import records
from sycamorebeam import snapshots
from sycamorebeam.clients import results
from sycamorebeam.controllers import catalogue_follower
from sycamorebeam.controllers import readiness

TEAMS = 27_000
STALE_MS = 30_000
SNAPSHOT_ID = 'measured'
TIMEOUT_S = 30.0
MIB = 1_048_576


@attrs.frozen(kw_only=True)
class Start:
    """The bytes read, the time and the retained memory of a start."""

    teams: int
    read_bytes: int
    ready_ms: float
    cpu_ms: float
    kept_mib: float


@attrs.define
class InMemoryLog:
    """A read-only log in memory."""

    oldest: dict[str, int] = attrs.field(factory=dict)
    records: dict[str, list[results.LogRecord]] = attrs.field(factory=dict)

    def put(self, stream: str, data: bytes) -> None:
        """Add a record."""
        stream_records = self.records.setdefault(stream, [])
        stream_records.append(results.LogRecord(len(stream_records), 0, data))

    async def append(self, stream: str, data: bytes) -> results.AppendResult:
        """Refuse the append: a start only reads."""
        return results.AppendRefused('this log is read-only')

    async def read(
        self, stream: str, start: int, limit: int = 100, wait_ms: int = 0
    ) -> results.ReadResult:
        """Return the records from ``start`` on."""
        await asyncio.sleep(wait_ms / 1_000)
        page = await self.bounds(stream)
        stream_records = self.records.get(stream, [])[start : start + limit]
        return attrs.evolve(page, records=tuple(stream_records))

    async def bounds(self, stream: str) -> results.LogPage:
        """Return the bounds of a stream."""
        stream_records = self.records.get(stream, [])
        return results.LogPage(
            self.oldest.get(stream, 0), len(stream_records), ()
        )


class NoPeers:
    """Peers of an instance that is connected to none."""

    def highest_offset(self) -> None:
        """Return None: no peer is reachable."""

    async def fetch_state(self, peer_id: str, above: int) -> None:
        """Return None: no peer sent its state."""


def measure() -> Start:
    """Measure one start in a separate process."""
    completed = subprocess.run(
        [sys.executable, '-m', 'tools.measure_start'],
        check=True,
        capture_output=True,
        cwd=processes.ROOT,
        timeout=TIMEOUT_S,
    )
    return Start(**json.loads(completed.stdout))


async def _measure() -> Start:
    log, read_bytes = _log_with_snapshot()
    process = psutil.Process(os.getpid())
    rss_before = process.memory_info().rss
    started_s, cpu_s = time.perf_counter(), time.process_time()
    follower = catalogue_follower.new_catalogue_follower(
        log, clocks.Clock(), NoPeers(), STALE_MS
    )
    follower.start()
    async with asyncio.timeout(TIMEOUT_S):
        await _wait_until_ready(follower)
    start = Start(
        teams=len(follower.catalogue.entries),
        read_bytes=read_bytes,
        ready_ms=(time.perf_counter() - started_s) * 1_000,
        cpu_ms=(time.process_time() - cpu_s) * 1_000,
        kept_mib=(process.memory_info().rss - rss_before) / MIB,
    )
    await follower.stop()
    return start


async def _wait_until_ready(
    follower: catalogue_follower.CatalogueFollower,
) -> None:
    while True:
        if isinstance(follower.readiness, readiness.Ready):
            return
        await asyncio.sleep(0)


def _log_with_snapshot() -> tuple[InMemoryLog, int]:
    """Return a log whose catalogue is in a snapshot, and its size."""
    log = InMemoryLog()
    log.put(catalogue_records.STREAM, b'')
    log.oldest[catalogue_records.STREAM] = 1
    frozen = snapshots.freeze(_fold())
    chunks = list(snapshots.pack_chunks(frozen))
    for index, data in enumerate(chunks):
        _append_record(
            log,
            snapshots.Chunk(snapshot_id=SNAPSHOT_ID, index=index, data=data),
        )
    _append_record(
        log, snapshots.new_manifest(frozen, SNAPSHOT_ID, len(chunks), 0, 0)
    )
    stream_records = log.records[snapshots.STREAM]
    return log, sum(len(record.data) for record in stream_records)


def _append_record(
    log: InMemoryLog, content: snapshots.Chunk | snapshots.Manifest
) -> None:
    record = snapshots.to_record(content)
    log.put(snapshots.STREAM, records.pack_envelope([record]))


def _fold() -> catalogue_fold.Fold:
    fold = catalogue_fold.new_fold(
        offset=0,
        level=catalogue_records.FIRST_LEVEL,
        history=bytes(catalogue_store.DIGEST_BYTES),
        audit=(),
    )
    for number in range(TEAMS):
        team = {
            'owner': f'owner-{number % 100}',
            'class': 'normal',
            'limits': {'requests_per_s': 10, 'concurrency': 16},
            'token_sha256': [_token_digest(number)],
        }
        stored = catalogue_store.pack(0, team)
        fold.store.put(f'team/team-{number:05}', stored)
    return fold


def _token_digest(number: int) -> str:
    return hashlib.sha256(str(number).encode()).hexdigest()


def rows(start: Start) -> list[list[str]]:
    """Return the row of the page's table."""
    return [
        [
            f'{start.teams:,}',
            f'{start.read_bytes / MIB:.2f}',
            f'{start.ready_ms:.0f}',
            f'{start.cpu_ms:.0f}',
            f'{start.kept_mib:.1f}',
        ]
    ]


def document(start: Start) -> dict[str, Any]:
    """Return the measurement as plain data for JSON."""
    return attrs.asdict(start)


if __name__ == '__main__':
    print(json.dumps(attrs.asdict(asyncio.run(_measure()))))
