"""Follows one claim stream and reports the decision on each claim."""

import asyncio
import contextlib
import random

import attrs
from loguru import logger

from sycamorebeam import claim_fold
from sycamorebeam import claim_partition
from sycamorebeam import claim_records
from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam import log_health
from sycamorebeam import records
from sycamorebeam.clients import ports
from sycamorebeam.clients import results

PAGE_RECORDS = 500
FOLLOW_WAIT_MS = 5_000
READ_TIMEOUT_MARGIN_MS = 500
FIRST_RETRY_MS = 10
MAX_RETRY_MS = 1_000


@attrs.frozen
class Decided:
    """The record that decides a claim has been read.

    ``state`` is the key's state right after that record, ``horizon`` the
    newest record that the reader had evicted or could not read by then.
    """

    state: claim_fold.KeyState | None
    time_ms: int
    horizon: claim_fold.Horizon | None
    by_abandon: bool


@attrs.frozen
class Undecided:
    """The claim was not decided: the log is down or has a gap."""

    reason: str


@attrs.frozen
class Refused:
    """The append of the claim was refused; the log does not hold it."""

    reason: str
    retry_after_ms: int


Verdict = Decided | Undecided | Refused


@attrs.define(eq=False)
class PartitionView:
    """The folded state of one stream, updated by a follower task.

    ``ready`` is set once all records that the stream held at the start have
    been read. A record that this version cannot decode blocks the view:
    skipping it could free a key that is owned.
    """

    stream: str
    state: claim_partition.PartitionState
    _log: ports.Log
    _clock: clocks.Clock
    _health: log_health.LogHealth
    _random: random.Random
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    last_used_ms: int = 0
    _folded_at_ms: int = 0
    _has_bounds: bool = False
    _initial_end_offset: int = 0
    _blocked: str | None = None
    _waiters: dict[str, asyncio.Future[Verdict]] = attrs.field(factory=dict)
    _task: asyncio.Task[None] | None = None
    _read_timeout: asyncio.Timeout | None = None

    @property
    def blocked(self) -> str | None:
        """Why the stream cannot be folded any further, None if it can."""
        return self._blocked

    @property
    def is_idle(self) -> bool:
        """Whether no claim is waiting for a record of this stream."""
        return not self._waiters

    @property
    def has_current_time(self) -> bool:
        """Whether a record appended after the view's start has been read.

        Older records do not give the log's current time.
        """
        return self.ready.is_set() and (
            self.state.next_offset > self._initial_end_offset
        )

    def now_ms(self) -> int:
        """Return an estimate of the log's current time.

        It only decides between "in progress" and "outcome unknown", neither
        of which lets a request run.
        """
        elapsed_ms = self._clock.monotonic_ms() - self._folded_at_ms
        return self.state.last_time_ms + elapsed_ms

    def start(self) -> None:
        """Start following the stream."""
        self._task = asyncio.create_task(self._follow())

    def cancel(self) -> None:
        """Cancel the follower task."""
        if self._task is not None:
            self._task.cancel()

    async def stop(self) -> None:
        """Cancel the follower task and wait for its end."""
        self.cancel()
        if self._task is None:
            return
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def restart_read(self) -> None:
        """Abort the pending read, so that a new one is sent.

        The connection of the pending read may have stopped responding.
        """
        if self._read_timeout is not None and not self._read_timeout.expired():
            self._read_timeout.reschedule(asyncio.get_running_loop().time())

    def add_waiter(self, claim_id: str) -> asyncio.Future[Verdict]:
        """Return a future that receives the verdict on a claim."""
        future = asyncio.get_running_loop().create_future()
        self._waiters[claim_id] = future
        return future

    def remove_waiter(self, claim_id: str) -> None:
        """Stop waiting for the verdict on a claim."""
        self._waiters.pop(claim_id, None)

    def is_waiting(self, claim_id: str) -> bool:
        """Return whether a claim has a waiter but no verdict yet."""
        waiter = self._waiters.get(claim_id)
        return waiter is not None and not waiter.done()

    def decide(self, claim_id: str, verdict: Verdict) -> None:
        """Set the verdict on a claim, unless it has one or no waiter."""
        if self.is_waiting(claim_id):
            self._waiters[claim_id].set_result(verdict)

    def fail_waiters(self, reason: str) -> None:
        """Leave every waiting claim undecided."""
        for claim_id in list(self._waiters):
            self.decide(claim_id, Undecided(reason))

    async def _follow(self) -> None:
        failures = 0
        while self._blocked is None:
            if await self._read_once():
                failures = 0
                continue
            failures += 1
            retry_ms = min(
                MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** min(failures, 9)
            )
            await self._clock.sleep_ms(retry_ms * self._random.uniform(0.5, 1))

    async def _read_once(self) -> bool:
        """Read one page; return whether the log answered."""
        is_long_poll = (
            self.ready.is_set() and not self._health.last_read_failed
        )
        wait_ms = FOLLOW_WAIT_MS if is_long_poll else 0
        result = await self._request_next(wait_ms)
        match result:
            case results.LogUnavailable(reason=reason):
                self._health.read_failed(reason)
                return False
            case results.LogGap():
                self._health.read_succeeded()
                self._restart_after_gap(result)
            case results.LogPage():
                self._health.read_succeeded()
                self._fold_page(result)
        return True

    async def _request_next(self, wait_ms: int) -> results.ReadResult:
        timeout_s = (wait_ms + READ_TIMEOUT_MARGIN_MS) / 1000
        try:
            async with asyncio.timeout(timeout_s) as self._read_timeout:
                if not self._has_bounds:
                    return await self._log.bounds(self.stream)
                return await self._log.read(
                    self.stream,
                    self.state.next_offset,
                    limit=PAGE_RECORDS,
                    wait_ms=wait_ms,
                )
        except TimeoutError:
            return results.LogUnavailable(f'no answer within {timeout_s} s')
        finally:
            self._read_timeout = None

    def _fold_page(self, page: results.LogPage) -> None:
        if not self._has_bounds:
            self._reset_state(page.oldest, page.next)
        for log_record in page.records:
            if self._blocked is None:
                self._fold(log_record)
        if self.state.next_offset >= self._initial_end_offset:
            self.ready.set()

    def _reset_state(self, oldest: int, end: int) -> None:
        self._has_bounds = True
        self._initial_end_offset = end
        self.state = claim_partition.new_partition_state(
            self.state.window_ms, oldest, self.state.max_keys
        )

    def _restart_after_gap(self, gap: results.LogGap) -> None:
        """Restart at the oldest record, with the lost ones as horizon."""
        logger.warning(
            'event=claims_gap stream={} expected={} oldest={}',
            self.stream,
            self.state.next_offset,
            gap.oldest,
        )
        self.ready.clear()
        self._reset_state(gap.oldest, gap.next)
        self.fail_waiters('records of the claim stream left the log unread')

    def _fold(self, log_record: results.LogRecord) -> None:
        self._folded_at_ms = self._clock.monotonic_ms()
        self.state.advance(log_record.offset, log_record.time_ms)
        try:
            envelope = records.unpack_envelope(log_record.data)
            claim_items = [
                claim_records.from_record(entry) for entry in envelope
            ]
        except errors.VersionError as error:
            self._block(log_record.offset, error)
            return
        for index, record in enumerate(claim_items):
            if isinstance(record, claim_records.Tick):
                continue
            position = claim_fold.Position(
                log_record.offset, index, log_record.time_ms
            )
            state = self.state.fold(record, position)
            self._notify_waiter(record, state, log_record.time_ms)

    def _notify_waiter(
        self,
        record: claim_records.KeyRecord,
        state: claim_fold.KeyState | None,
        time_ms: int,
    ) -> None:
        match record:
            case claim_records.Claim() | claim_records.Abandon():
                by_abandon = isinstance(record, claim_records.Abandon)
                if record.claim_id in self._waiters:
                    self._health.append_succeeded()
                verdict = Decided(
                    state, time_ms, self.state.horizon, by_abandon
                )
                self.decide(record.claim_id, verdict)

    def _block(self, offset: int, error: errors.VersionError) -> None:
        logger.error(
            'event=claims_blocked stream={} offset={} detail="{}" remedy="{}"',
            self.stream,
            offset,
            error.detail,
            error.remedy,
        )
        self._blocked = str(error)
        self.fail_waiters(self._blocked)
        self.ready.set()


def new_partition_view(
    stream: str,
    log: ports.Log,
    clock: clocks.Clock,
    health: log_health.LogHealth,
    generator: random.Random,
    window_ms: int,
    max_keys: int,
) -> PartitionView:
    """Return a view of ``stream`` that has not been started."""
    state = claim_partition.new_partition_state(window_ms, 0, max_keys)
    return PartitionView(stream, state, log, clock, health, generator)
