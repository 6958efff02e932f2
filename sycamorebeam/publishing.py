"""Publishes changes of the catalogue and reads their outcome.

A change is appended once. Whether it was accepted is read from the log by
the change's id, also when the answer to the append was lost. An unresolved
change may still be accepted later: look up its id first, and only publish
again from the revisions that are current then.
"""

import asyncio
from collections.abc import Sequence
import uuid

import aiohttp
import attrs

from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_reader
from sycamorebeam import catalogue_records
from sycamorebeam import clocks
from sycamorebeam import records
from sycamorebeam.clients import ports
from sycamorebeam.clients import results

RESOLVE_TIMEOUT_MS = 15_000
POLL_WAIT_MS = 1_000
RETRY_MS = 200
IN_FORCE_TIMEOUT_MS = 11_000
STATUS_TIMEOUT_MS = 1_000
STATUS_POLL_MS = 100
MAX_STATUS_CALLS = 32


@attrs.frozen
class Accepted:
    """The change is part of the catalogue from ``offset`` on."""

    offset: int
    change_id: str


@attrs.frozen
class Rejected:
    """The change is not part of the catalogue and never will be.

    ``winner`` is the current revision of the entry in a revision conflict,
    else None. ``sent`` is False when nothing was appended to the log.
    """

    reason: str
    change_id: str
    winner: int | None = None
    sent: bool = True
    retry_after_ms: int = 0


@attrs.frozen
class Unresolved:
    """The change may have been accepted, may be accepted later, or never."""

    reason: str
    change_id: str


PublishResult = Accepted | Rejected | Unresolved


@attrs.frozen
class Author:
    """The author of a change and the reason for it."""

    name: str
    reason: str


async def read_fold(
    log: ports.Log,
) -> catalogue_fold.Fold | results.LogUnavailable:
    """Return the fold of the whole log, the base of new edits."""
    loaded = await catalogue_reader.load(log)
    if isinstance(loaded, catalogue_reader.Stopped):
        return results.LogUnavailable(str(loaded.error))
    return loaded


async def history(
    log: ports.Log,
) -> tuple[catalogue_fold.Decision, ...] | results.LogUnavailable:
    """Return the latest decisions on changes, oldest first."""
    fold = await read_fold(log)
    return fold.audit if isinstance(fold, catalogue_fold.Fold) else fold


async def publish(
    log: ports.Log,
    clock: clocks.Clock,
    edits: Sequence[catalogue_records.Edit],
    author: Author,
    timeout_ms: int = RESOLVE_TIMEOUT_MS,
) -> PublishResult:
    """Append one change and wait for the decision on it."""
    change = catalogue_records.Change(
        id=uuid.uuid4().hex,
        author=author.name,
        time_ms=clock.wall_ms(),
        reason=author.reason,
        edits=tuple(edits),
    )
    return await _append(log, clock, change, timeout_ms)


async def raise_format_level(
    log: ports.Log,
    clock: clocks.Clock,
    level: int,
    author: Author,
    timeout_ms: int = RESOLVE_TIMEOUT_MS,
) -> PublishResult:
    """Let writers use the record versions up to ``level``."""
    change = catalogue_records.FormatLevel(
        id=uuid.uuid4().hex,
        author=author.name,
        time_ms=clock.wall_ms(),
        level=level,
    )
    return await _append(log, clock, change, timeout_ms)


async def resolve(
    log: ports.Log,
    clock: clocks.Clock,
    change_id: str,
    timeout_ms: int = 0,
) -> PublishResult:
    """Look up a change by its id, waiting for it up to ``timeout_ms``."""
    fold = await read_fold(log)
    if isinstance(fold, results.LogUnavailable):
        return Unresolved(fold.reason, change_id)
    return await _await_decision(log, clock, fold, change_id, timeout_ms)


async def _append(
    log: ports.Log,
    clock: clocks.Clock,
    change: catalogue_records.Change | catalogue_records.FormatLevel,
    timeout_ms: int,
) -> PublishResult:
    fold = await read_fold(log)
    if isinstance(fold, results.LogUnavailable):
        return _not_sent(fold.reason, change.id, 0)
    envelope = records.pack_envelope([catalogue_records.to_record(change)])
    appended = await log.append(catalogue_records.STREAM, envelope)
    if isinstance(appended, results.AppendRefused):
        return _not_sent(appended.reason, change.id, appended.retry_after_ms)
    return await _await_decision(log, clock, fold, change.id, timeout_ms)


def _not_sent(reason: str, change_id: str, retry_after_ms: int) -> Rejected:
    return Rejected(
        f'the log takes no change ({reason}); publish it again later',
        change_id,
        sent=False,
        retry_after_ms=retry_after_ms,
    )


async def _await_decision(
    log: ports.Log,
    clock: clocks.Clock,
    fold: catalogue_fold.Fold,
    change_id: str,
    timeout_ms: int,
) -> PublishResult:
    """Read the log until it has the change; never append it again."""
    deadline_ms = clock.monotonic_ms() + timeout_ms
    reason = 'the log does not have the change yet'
    while True:
        decision = fold.find_decision(change_id)
        if decision is not None:
            return _publish_result(decision)
        left_ms = deadline_ms - clock.monotonic_ms()
        if left_ms <= 0:
            return Unresolved(reason, change_id)
        wait_ms = min(POLL_WAIT_MS, left_ms)
        step = await catalogue_reader.advance(log, fold, wait_ms)
        if isinstance(step, catalogue_reader.Advanced):
            continue
        reason = _failure_reason(step)
        await clock.sleep_ms(min(RETRY_MS, left_ms))
        newer = await read_fold(log)
        if isinstance(newer, catalogue_fold.Fold):
            fold = newer


def _failure_reason(
    step: catalogue_reader.Stopped | results.LogUnavailable,
) -> str:
    match step:
        case catalogue_reader.Stopped(error=error):
            return str(error)
        case results.LogUnavailable(reason=reason):
            return reason


def _publish_result(decision: catalogue_fold.Decision) -> PublishResult:
    match decision.rejection:
        case None:
            return Accepted(decision.offset, decision.change_id)
        case catalogue_fold.Rejection(reason=reason, winner=winner):
            return Rejected(reason, decision.change_id, winner)


@attrs.frozen
class InstanceOffset:
    """The catalogue offset that one instance reports as in force.

    ``offset`` is None when it could not be read; ``reason`` says why an
    instance is behind.
    """

    address: str
    offset: int | None
    reason: str = ''


@attrs.frozen
class InForce:
    """The instances where an offset is in force and those behind it."""

    offset: int
    reached: tuple[InstanceOffset, ...]
    behind: tuple[InstanceOffset, ...]

    @property
    def everywhere(self) -> bool:
        """Whether the offset is in force on all polled instances."""
        return not self.behind


async def wait_until_in_force(
    session: aiohttp.ClientSession,
    clock: clocks.Clock,
    addresses: Sequence[str],
    offset: int,
    timeout_ms: int = IN_FORCE_TIMEOUT_MS,
) -> InForce:
    """Poll the instances until all have ``offset`` in force or time is up.

    ``addresses`` are those of the instances' admin interfaces.
    """
    deadline_ms = clock.monotonic_ms() + timeout_ms
    latest = {address: InstanceOffset(address, None) for address in addresses}
    semaphore = asyncio.Semaphore(MAX_STATUS_CALLS)
    while True:
        behind = [
            address
            for address, instance in latest.items()
            if not _has_reached(instance, offset)
        ]
        answers = await asyncio.gather(
            *(_fetch_offset(session, semaphore, address) for address in behind)
        )
        latest.update({instance.address: instance for instance in answers})
        report = _new_report(list(latest.values()), offset)
        if report.everywhere or clock.monotonic_ms() >= deadline_ms:
            return report
        await clock.sleep_ms(STATUS_POLL_MS)


def _has_reached(instance: InstanceOffset, offset: int) -> bool:
    return instance.offset is not None and instance.offset >= offset


def _new_report(instances: list[InstanceOffset], offset: int) -> InForce:
    return InForce(
        offset,
        tuple(
            instance
            for instance in instances
            if _has_reached(instance, offset)
        ),
        tuple(
            instance
            for instance in instances
            if not _has_reached(instance, offset)
        ),
    )


async def _fetch_offset(
    session: aiohttp.ClientSession, semaphore: asyncio.Semaphore, address: str
) -> InstanceOffset:
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_MS / 1000)
    try:
        async with (
            semaphore,
            session.get(
                f'http://{address}/admin/status', timeout=timeout
            ) as response,
        ):
            status = await response.json()
            offset = int(status['catalogue']['offset'])
            return InstanceOffset(address, offset, 'an older one is in force')
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = str(error) or 'no answer'
        return InstanceOffset(address, None, reason)
    except (KeyError, TypeError, ValueError):
        return InstanceOffset(address, None, 'the status is malformed')
