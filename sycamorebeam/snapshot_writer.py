"""Writes snapshots before the log's retention cuts the catalogue's tail.

One instance writes at a time, the one that rendezvous hashing picks; when
no snapshot comes from it for twice the time, any instance writes. Two
writers at once do no harm, since each snapshot has an id of its own.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
import uuid

import attrs

from sycamorebeam import batching
from sycamorebeam import catalogue_fold
from sycamorebeam import clock as clocks
from sycamorebeam import errors
from sycamorebeam import hashing
from sycamorebeam import snapshot_reader
from sycamorebeam import snapshots
from sycamorebeam import telemetry
from sycamorebeam.clients import ports
from sycamorebeam.clients import results

MAX_RECORDS_BEHIND = 1_000
MAX_AGE_MS = 3_600_000
CHECK_MS = 30_000
OVERDUE_FACTOR = 2
CHUNK_PAUSE_MS = 50
TAKE_OVER_MS = 120_000
DUTY = 'catalogue.snapshots'


@attrs.frozen
class Written:
    """The log holds the whole snapshot, up to its manifest's offset."""

    offset: int


@attrs.frozen
class NotWritten:
    """The snapshot is not whole, and never will be."""

    reason: str


WriteResult = Written | NotWritten


async def write(
    appender: batching.Appender,
    clock: clocks.Clock,
    frozen: snapshots.Frozen,
) -> WriteResult:
    """Append a snapshot; the first append that fails ends it."""
    snapshot_id = uuid.uuid4().hex
    first = None
    count = 0
    for data in snapshots.pack_chunks(frozen):
        chunk = snapshots.Chunk(
            snapshot_id=snapshot_id, index=count, data=data
        )
        offset = await _append(appender, chunk)
        if isinstance(offset, NotWritten):
            return offset
        first = offset if first is None else first
        count += 1
        await clock.sleep_ms(CHUNK_PAUSE_MS)
    manifest = snapshots.manifest_of(
        frozen, snapshot_id, count, first or 0, clock.wall_ms()
    )
    offset = await _append(appender, manifest)
    return offset if isinstance(offset, NotWritten) else Written(offset)


async def _append(
    appender: batching.Appender, item: snapshots.Chunk | snapshots.Manifest
) -> int | NotWritten:
    found = await appender.submit(
        snapshots.STREAM,
        snapshots.to_record(item),
        batching.Priority.HOUSEKEEPING,
    )
    match found.result:
        case results.Appended(offset=offset):
            return offset
        case refused:
            return NotWritten(refused.reason)


@attrs.define(eq=False)
class SnapshotDuty:
    """Looks at the newest snapshot now and then, and writes the next."""

    _instance_id: str
    _log: ports.Log
    _appender: batching.Appender
    _clock: clocks.Clock
    _fold: Callable[[], catalogue_fold.Fold]
    _digest_at: Callable[[int], bytes | None]
    _members: Callable[[], Iterable[str]]
    _on_alarm: Callable[[errors.SycamoreError], None]
    _random: random.Random
    _missing_since_ms: int | None = None

    async def run(self) -> None:
        """Check and write for ever."""
        while True:
            spread = self._random.uniform(0.5, 1.5)
            await self._clock.sleep_ms(CHECK_MS * spread)
            await self.check()

    async def check(self) -> WriteResult | None:
        """Compare the newest snapshot and write one when it is due."""
        located = await snapshot_reader.locate_newest(self._log)
        if isinstance(located, results.LogUnavailable):
            return None
        newest = located.manifest if located and not located.cut else None
        if newest is not None:
            self._compare(newest)
        if not self._is_due(newest):
            return None
        frozen = snapshots.freeze(self._fold())
        result = await write(self._appender, self._clock, frozen)
        telemetry.log_event(
            'snapshot', offset=frozen.offset, result=repr(result)
        )
        return result

    def _compare(self, newest: snapshots.Manifest) -> None:
        digest = self._digest_at(newest.offset)
        if digest is None or digest == newest.digest:
            return
        self._on_alarm(
            errors.DigestError(
                f'the snapshot of offset {newest.offset} has another digest '
                f'than this instance had there',
                'see the page on digest alarms',
            )
        )

    def _is_due(self, newest: snapshots.Manifest | None) -> bool:
        offset = self._fold().offset
        if offset < 0 or (newest is not None and offset < newest.offset):
            return False
        picked = hashing.pick(DUTY, {*self._members(), self._instance_id})
        patience = 1 if picked == self._instance_id else OVERDUE_FACTOR
        if newest is None:
            return patience == 1 or self._missing_ms() >= TAKE_OVER_MS
        self._missing_since_ms = None
        age_ms = self._clock.wall_ms() - newest.time_ms
        return (
            offset - newest.offset >= MAX_RECORDS_BEHIND * patience
            or age_ms >= MAX_AGE_MS * patience
        )

    def _missing_ms(self) -> int:
        """Return for how long no snapshot has been seen."""
        now_ms = self._clock.monotonic_ms()
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        return now_ms - self._missing_since_ms
