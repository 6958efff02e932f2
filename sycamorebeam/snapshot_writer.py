"""Appends a snapshot to the log, chunk by chunk.

Each snapshot has its own id, so that concurrent writers do not interfere.
"""

import uuid

import attrs

from sycamorebeam import batching
from sycamorebeam import clocks
from sycamorebeam import snapshots
from sycamorebeam.clients import results

CHUNK_PAUSE_MS = 50


@attrs.frozen
class Written:
    """The snapshot is complete; ``offset`` is that of its manifest."""

    offset: int


@attrs.frozen
class NotWritten:
    """The snapshot is incomplete and will not be completed."""

    reason: str


WriteResult = Written | NotWritten


async def write(
    appender: batching.Appender,
    clock: clocks.Clock,
    frozen: snapshots.FrozenFold,
) -> WriteResult:
    """Append a snapshot; stop at the first append that fails."""
    snapshot_id = uuid.uuid4().hex
    first = None
    chunk_count = 0
    for data in snapshots.pack_chunks(frozen):
        chunk = snapshots.Chunk(
            snapshot_id=snapshot_id, index=chunk_count, data=data
        )
        offset = await _append(appender, chunk)
        if isinstance(offset, NotWritten):
            return offset
        first = offset if first is None else first
        chunk_count += 1
        await clock.sleep_ms(CHUNK_PAUSE_MS)
    manifest = snapshots.new_manifest(
        frozen, snapshot_id, chunk_count, first or 0, clock.wall_ms()
    )
    offset = await _append(appender, manifest)
    return offset if isinstance(offset, NotWritten) else Written(offset)


async def _append(
    appender: batching.Appender, part: snapshots.Chunk | snapshots.Manifest
) -> int | NotWritten:
    answer = await appender.submit(
        snapshots.STREAM,
        snapshots.to_record(part),
        batching.Priority.HOUSEKEEPING,
    )
    match answer.result:
        case results.Appended(offset=offset):
            return offset
        case refused:
            return NotWritten(refused.reason)
