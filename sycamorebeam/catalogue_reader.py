"""Reads the catalogue's stream into a fold, page by page."""

import asyncio

import attrs

from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_records
from sycamorebeam import errors
from sycamorebeam import snapshot_reader
from sycamorebeam.clients import ports
from sycamorebeam.clients import results

PAGE_RECORDS = 100


@attrs.frozen
class Advanced:
    """These records were folded; ``next`` is the log's next offset."""

    records: tuple[results.LogRecord, ...]
    next: int


@attrs.frozen
class Stopped:
    """The fold cannot continue with the log's contents.

    ``records`` are the records that were folded before the error.
    """

    error: errors.VersionError | errors.GapError | errors.PlatformError
    records: tuple[results.LogRecord, ...] = ()


AdvanceResult = Advanced | Stopped | results.LogUnavailable


async def advance(
    log: ports.Log, fold: catalogue_fold.Fold, wait_ms: int = 0
) -> AdvanceResult:
    """Read one page after the fold's offset and fold it."""
    start = fold.offset + 1
    page = await log.read(
        catalogue_records.STREAM, start, PAGE_RECORDS, wait_ms
    )
    match page:
        case results.LogUnavailable():
            return page
        case results.LogGap(oldest=oldest):
            return Stopped(_gap_error(start, oldest))
        case results.LogPage(next=next_) if next_ < start:
            return Stopped(_lost_records_error(start, next_))
    if not page.records and page.next > start:
        return results.LogUnavailable('the log gave none of its records')
    applied: list[results.LogRecord] = []
    for record in page.records:
        try:
            fold.apply(record.offset, record.data)
        except (errors.VersionError, errors.GapError) as error:
            return Stopped(error, tuple(applied))
        applied.append(record)
        # A page may hold large changes: let other tasks run in between.
        await asyncio.sleep(0)
    return Advanced(tuple(applied), page.next)


async def load(
    log: ports.Log,
) -> catalogue_fold.Fold | Stopped | results.LogUnavailable:
    """Return the fold of the newest snapshot and all records after it."""
    loaded = await snapshot_reader.load_newest(log)
    match loaded:
        case results.LogUnavailable():
            return loaded
        case snapshot_reader.NoSnapshot():
            fold = catalogue_fold.Fold()
        case snapshot_reader.Loaded(fold=fold):
            pass
    while True:
        step = await advance(log, fold)
        match step:
            case Advanced(next=next_) if next_ > fold.offset + 1:
                continue
            case Advanced():
                return fold
            case _:
                return step


def _gap_error(start: int, oldest: int) -> errors.GapError:
    return errors.GapError(
        f'the catalogue needs offset {start}, the log keeps from {oldest}',
        'a newer snapshot or a peer is needed; see the page on gaps',
    )


def _lost_records_error(start: int, next_: int) -> errors.PlatformError:
    return errors.PlatformError(
        f'the log ends at offset {next_}, the catalogue was read up to '
        f'{start - 1}',
        'check whether the log lost records; see the page on gaps',
    )
