"""Follows one claim stream and tells claimers what it decided."""

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
READ_GUARD_MS = 500
FIRST_RETRY_MS = 10
MAX_RETRY_MS = 1_000


@attrs.frozen
class Seen:
    """The record that decides a claim was read.

    ``state`` is the key's state right after that record, ``horizon`` what
    the reader had lost by then.
    """

    state: claim_fold.KeyState | None
    time_ms: int
    horizon: claim_fold.Horizon | None
    by_abandon: bool


@attrs.frozen
class Cut:
    """The claim cannot be decided here: the log is down or has a gap."""

    reason: str


@attrs.frozen
class Refused:
    """The claim's append was refused; the log holds nothing of it."""

    reason: str
    retry_after_ms: int


Verdict = Seen | Cut | Refused


@attrs.define(eq=False)
class PartitionView:
    """The folded state of one stream, kept up by a follower task.

    ``ready`` is set once everything that the stream held at the start was
    read. A record that this program cannot read blocks the view: to skip
    it could free a key that is owned.
    """

    stream: str
    state: claim_partition.PartitionState
    _log: ports.Log
    _clock: clocks.Clock
    _health: log_health.LogHealth
    _random: random.Random
    ready: asyncio.Event = attrs.field(factory=asyncio.Event)
    used_ms: int = 0
    _read_ms: int = 0
    _opened: bool = False
    _target_offset: int = 0
    _blocked: str | None = None
    _waiters: dict[str, asyncio.Future[Verdict]] = attrs.field(factory=dict)
    _task: asyncio.Task[None] | None = None
    _reading: asyncio.Timeout | None = None

    @property
    def blocked(self) -> str | None:
        """Why the stream cannot be folded further, if so."""
        return self._blocked

    @property
    def is_idle(self) -> bool:
        """Whether no claim waits for this stream."""
        return not self._waiters

    @property
    def knows_time(self) -> bool:
        """Whether a record was read that came while following.

        Older records do not tell the log's present time.
        """
        return self.ready.is_set() and (
            self.state.next_offset > self._target_offset
        )

    def now_ms(self) -> int:
        """Return the log's time as far as it is known here.

        It decides between "in progress" and "outcome unknown" only;
        neither lets anything run.
        """
        elapsed_ms = self._clock.monotonic_ms() - self._read_ms
        return self.state.last_time_ms + elapsed_ms

    def start(self) -> None:
        """Begin to follow the stream."""
        self._task = asyncio.create_task(self._follow())

    def cancel(self) -> None:
        """Stop to follow the stream."""
        if self._task is not None:
            self._task.cancel()

    async def stop(self) -> None:
        """Stop to follow the stream and wait until it is done."""
        self.cancel()
        if self._task is None:
            return
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def read_again(self) -> None:
        """Give up the read that is waiting and read anew.

        The connection of the old one may have gone silent.
        """
        if self._reading is not None and not self._reading.expired():
            self._reading.reschedule(asyncio.get_running_loop().time())

    def expect(self, claim_id: str) -> asyncio.Future[Verdict]:
        """Return a future that gets the verdict on a claim."""
        future = asyncio.get_running_loop().create_future()
        self._waiters[claim_id] = future
        return future

    def forget(self, claim_id: str) -> None:
        """Expect a verdict no longer."""
        self._waiters.pop(claim_id, None)

    def awaits(self, claim_id: str) -> bool:
        """Return whether a claim still waits for its verdict."""
        waiter = self._waiters.get(claim_id)
        return waiter is not None and not waiter.done()

    def decide(self, claim_id: str, verdict: Verdict) -> None:
        """Give a claim its verdict, unless it has one."""
        if self.awaits(claim_id):
            self._waiters[claim_id].set_result(verdict)

    def cut(self, reason: str) -> None:
        """End the wait of every claim."""
        for claim_id in list(self._waiters):
            self.decide(claim_id, Cut(reason))

    async def _follow(self) -> None:
        failures = 0
        while self._blocked is None:
            if await self._step():
                failures = 0
                continue
            failures += 1
            retry_ms = min(
                MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** min(failures, 9)
            )
            await self._clock.sleep_ms(retry_ms * self._random.uniform(0.5, 1))

    async def _step(self) -> bool:
        """Read once; return whether the log answered."""
        waits = self.ready.is_set() and not self._health.is_read_suspect
        wait_ms = FOLLOW_WAIT_MS if waits else 0
        result = await self._read(wait_ms)
        match result:
            case results.LogUnavailable(reason=reason):
                self._health.read_failed(reason)
                return False
            case results.LogGap():
                self._health.read_worked()
                self._restart(result)
            case results.LogPage():
                self._health.read_worked()
                self._take(result)
        return True

    async def _read(self, wait_ms: int) -> results.ReadResult:
        guard_s = (wait_ms + READ_GUARD_MS) / 1000
        try:
            async with asyncio.timeout(guard_s) as self._reading:
                if not self._opened:
                    return await self._log.bounds(self.stream)
                return await self._log.read(
                    self.stream,
                    self.state.next_offset,
                    limit=PAGE_RECORDS,
                    wait_ms=wait_ms,
                )
        except TimeoutError:
            return results.LogUnavailable(f'no answer within {guard_s} s')
        finally:
            self._reading = None

    def _take(self, page: results.LogPage) -> None:
        if not self._opened:
            self._begin(page.oldest, page.next)
        for item in page.records:
            if self._blocked is None:
                self._fold(item)
        if self.state.next_offset >= self._target_offset:
            self.ready.set()

    def _begin(self, oldest: int, target: int) -> None:
        self._opened = True
        self._target_offset = target
        self.state = claim_partition.new_partition_state(
            self.state.window_ms, oldest, self.state.max_keys
        )

    def _restart(self, gap: results.LogGap) -> None:
        """Begin again behind a gap, knowing that records were lost."""
        logger.warning(
            'event=claims_gap stream={} expected={} oldest={}',
            self.stream,
            self.state.next_offset,
            gap.oldest,
        )
        self.ready.clear()
        self._begin(gap.oldest, gap.next)
        self.cut('records of the claim stream left the log unread')

    def _fold(self, item: results.LogRecord) -> None:
        self._read_ms = self._clock.monotonic_ms()
        self.state.advance(item.offset, item.time_ms)
        try:
            envelope = records.unpack_envelope(item.data)
            found = [claim_records.from_record(entry) for entry in envelope]
        except errors.VersionError as error:
            self._block(item.offset, error)
            return
        for index, record in enumerate(found):
            if isinstance(record, claim_records.Tick):
                continue
            position = claim_fold.Position(item.offset, index, item.time_ms)
            state = self.state.fold(record, position)
            self._announce(record, state, item.time_ms)

    def _announce(
        self,
        record: claim_records.KeyRecord,
        state: claim_fold.KeyState | None,
        time_ms: int,
    ) -> None:
        match record:
            case claim_records.Claim() | claim_records.Abandon():
                by_abandon = isinstance(record, claim_records.Abandon)
                if record.claim_id in self._waiters:
                    self._health.append_worked()
                verdict = Seen(state, time_ms, self.state.horizon, by_abandon)
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
        self.cut(self._blocked)
        self.ready.set()


def new_partition_view(
    stream: str,
    log: ports.Log,
    clock_: clocks.Clock,
    health: log_health.LogHealth,
    random_: random.Random,
    window_ms: int,
    max_keys: int,
) -> PartitionView:
    """Return a view of ``stream``, not yet started."""
    state = claim_partition.new_partition_state(window_ms, 0, max_keys)
    return PartitionView(stream, state, log, clock_, health, random_)
