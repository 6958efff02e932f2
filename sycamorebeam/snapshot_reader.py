"""Finds and loads the newest complete snapshot on the log."""

import attrs

from sycamorebeam import catalogue_fold
from sycamorebeam import errors
from sycamorebeam import snapshots
from sycamorebeam.clients import ports
from sycamorebeam.clients import results

PAGE_RECORDS = 4


@attrs.frozen
class LocatedManifest:
    """A manifest and its offset on the log.

    ``is_truncated`` is set when retention has removed some of its chunks.
    """

    offset: int
    manifest: snapshots.Manifest
    is_truncated: bool = False


@attrs.frozen
class Loaded:
    """The fold of the newest complete snapshot.

    ``alarms`` are the errors of damaged snapshots that were skipped.
    """

    fold: catalogue_fold.Fold
    alarms: tuple[errors.DigestError, ...] = ()


@attrs.frozen
class NoSnapshot:
    """The log is available but holds no usable snapshot."""

    alarms: tuple[errors.DigestError, ...] = ()


LoadResult = Loaded | NoSnapshot | results.LogUnavailable


async def load_newest(log: ports.Log, above: int = -1) -> LoadResult:
    """Return the fold of the newest complete and undamaged snapshot.

    Only a snapshot of an offset higher than ``above`` is read.
    """
    alarms: list[errors.DigestError] = []
    below = None
    while True:
        located = await locate_newest(log, below)
        match located:
            case results.LogUnavailable():
                return located
            case None:
                return NoSnapshot(tuple(alarms))
            case LocatedManifest(manifest=manifest) if (
                manifest.offset <= above
            ):
                return NoSnapshot(tuple(alarms))
        below = located.offset
        if located.is_truncated:
            continue
        restored = await _restore_fold(log, located)
        match restored:
            case results.LogUnavailable():
                return restored
            case errors.DigestError():
                alarms.append(restored)
            case catalogue_fold.Fold():
                return Loaded(restored, tuple(alarms))


async def locate_newest(
    log: ports.Log, below: int | None = None
) -> LocatedManifest | results.LogUnavailable | None:
    """Return the newest manifest, if any, below an offset.

    The stream is read backwards one record at a time: the newest record is
    a manifest unless a snapshot is being written.
    """
    bounds = await log.bounds(snapshots.STREAM)
    if isinstance(bounds, results.LogUnavailable):
        return bounds
    offset = bounds.next if below is None else below
    while offset > bounds.oldest:
        offset -= 1
        page = await log.read(snapshots.STREAM, offset, limit=1)
        match page:
            case results.LogUnavailable():
                return page
            case results.LogGap():
                return None
        if not page.records:
            return results.LogUnavailable('the log gave none of its records')
        part = snapshots.parse(page.records[0].data)
        if isinstance(part, snapshots.Manifest):
            is_truncated = part.chunks > 0 and part.first < bounds.oldest
            return LocatedManifest(offset, part, is_truncated)
    return None


async def _restore_fold(
    log: ports.Log, located: LocatedManifest
) -> catalogue_fold.Fold | errors.DigestError | results.LogUnavailable:
    """Restore the fold from the chunks that precede the manifest."""
    builder = snapshots.new_fold_builder(located.manifest)
    offset = located.manifest.first
    try:
        while builder.missing_chunks and offset < located.offset:
            page = await log.read(snapshots.STREAM, offset, PAGE_RECORDS)
            match page:
                case results.LogUnavailable():
                    return page
                case results.LogGap():
                    break
            if not page.records:
                break
            for record in page.records:
                part = snapshots.parse(record.data)
                if isinstance(part, snapshots.Chunk):
                    builder.add_chunk(part)
            offset += len(page.records)
        return builder.finish()
    except errors.DigestError as error:
        return error
