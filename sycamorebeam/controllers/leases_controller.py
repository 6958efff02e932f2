"""Acquires, renews and releases leases of engines through the log.

A lease stream is read on demand, to its end before each order. So an
engine that needs no order causes no call to the log, and no orders are
sent while the log cannot be read.
"""

import asyncio

import attrs

from sycamorebeam import batching
from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam import lease_fold
from sycamorebeam import lease_records
from sycamorebeam import leases
from sycamorebeam import records
from sycamorebeam import telemetry
from sycamorebeam.clients import ports
from sycamorebeam.clients import results

READ_TIMEOUT_MS = 2_000
PAGE_RECORDS = 500
# A reader starts this many records before the end of the stream; leases in
# older records have expired.
TAIL_RECORDS = 2_000


@attrs.define(eq=False)
class LeaseReader:
    """Reads one lease stream on demand and folds its records."""

    stream: str
    _log: ports.Log
    _clock: clocks.Clock
    fold: lease_fold.LeaseFold = attrs.field(factory=lease_fold.LeaseFold)
    next_offset: int = -1
    _log_time_ms: int = 0
    _read_at_ms: int = 0
    _blocked: str | None = None
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def now_ms(self) -> int:
        """Return an estimate of the log's time that is never ahead of it."""
        elapsed_ms = self._clock.monotonic_ms() - self._read_at_ms
        return self._log_time_ms + elapsed_ms

    async def read_to_end(self) -> str | None:
        """Read the new records; return why that failed, None if it did not."""
        async with self._lock:
            try:
                async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
                    return await self._read_to_end()
            except TimeoutError:
                return 'the log does not answer reads'

    async def _read_to_end(self) -> str | None:
        if self.next_offset < 0:
            bounds = await self._log.bounds(self.stream)
            if isinstance(bounds, results.LogUnavailable):
                return f'the log cannot be read: {bounds.reason}'
            self._start_near_end(bounds.oldest, bounds.next)
        while self._blocked is None:
            page = await self._log.read(
                self.stream, self.next_offset, PAGE_RECORDS
            )
            match page:
                case results.LogUnavailable(reason=reason):
                    return f'the log cannot be read: {reason}'
                case results.LogGap(oldest=oldest, next=end):
                    self._start_near_end(oldest, end)
                case results.LogPage():
                    for log_record in page.records:
                        self._fold_record(log_record)
                    if self.next_offset >= page.next:
                        self.fold.drop_expired(self.now_ms())
                        return self._blocked or self._truncation_reason(page)
        return self._blocked

    def _truncation_reason(self, page: results.LogPage) -> str | None:
        if page.next < self.next_offset:
            return f'the log ends at {page.next}, before a record read earlier'
        return None

    def _start_near_end(self, oldest: int, end: int) -> None:
        self.fold = lease_fold.LeaseFold()
        self.next_offset = max(oldest, end - TAIL_RECORDS)

    def _fold_record(self, log_record: results.LogRecord) -> None:
        if self._blocked is not None:
            return
        self._log_time_ms = log_record.time_ms
        self._read_at_ms = self._clock.monotonic_ms()
        try:
            lease_items = [
                lease_records.from_record(record)
                for record in records.unpack_envelope(log_record.data)
            ]
        except errors.VersionError as error:
            self._blocked = str(error)
            telemetry.log_event(
                'leases_blocked', 'ERROR', stream=self.stream, detail=error
            )
            return
        for record in lease_items:
            self.fold.apply(record, log_record.offset, log_record.time_ms)
        self.next_offset = log_record.offset + 1


@attrs.define
class _OwnLease:
    """The state of this process's lease of one engine.

    ``valid_until_ms`` and ``renewed_ms`` are monotonic times, counted from
    before the append was sent. ``engine_fence`` is the highest fencing
    number that the engine named when it refused an order.
    """

    valid_until_ms: int = 0
    renewed_ms: int = 0
    engine_fence: int = -1


@attrs.define(eq=False)
class LeasesController:
    """The leases of one process; ``holder`` is unique to the process."""

    holder: str
    _log: ports.Log
    _appender: batching.Appender
    _clock: clocks.Clock
    _readers: dict[str, LeaseReader] = attrs.field(factory=dict)
    _own_leases: dict[str, _OwnLease] = attrs.field(factory=dict)

    def state(self, engine: str) -> leases.LeaseState | None:
        """Return the newest lease of an engine, as last read."""
        return self._reader(engine).fold.state(engine)

    def forget(self, engine: str) -> None:
        """Drop the state of this process's lease of an engine."""
        self._own_leases.pop(engine, None)

    async def refresh(self, engine: str) -> leases.NotHeld | None:
        """Read the engine's stream to its end; return a failure, if any."""
        reason = await self._reader(engine).read_to_end()
        return leases.NotHeld(reason) if reason else None

    def holding(self, engine: str) -> leases.Holding:
        """Return whether an order may be sent now, as last read."""
        state = self.state(engine)
        own_lease = self._own_leases.get(engine)
        if state is None or own_lease is None:
            return leases.NotHeld('no lease')
        if state.holder != self.holder or state.from_renewal:
            return leases.NotHeld(f'held by {state.holder}')
        if state.released:
            return leases.NotHeld('released')
        if state.fence < own_lease.engine_fence:
            return leases.NotHeld(
                f'the engine has seen {own_lease.engine_fence}'
            )
        if self._clock.monotonic_ms() >= own_lease.valid_until_ms:
            return leases.NotHeld('the lease was not renewed in time')
        return leases.Held(state.fence)

    async def acquire(self, engine: str) -> leases.Holding:
        """Return the lease if this process holds it, else try to get it."""
        failure = await self.refresh(engine)
        if failure is not None:
            return failure
        held = self.holding(engine)
        if isinstance(held, leases.Held):
            return held
        refusal = self._acquire_refusal(engine)
        if refusal is not None:
            return refusal
        own_lease = self._own_leases.setdefault(engine, _OwnLease())
        record = lease_records.Lease(engine=engine, holder=self.holder)
        return await self._append_and_check(engine, own_lease, record)

    async def renew(self, engine: str) -> leases.Holding:
        """Renew the lease if it is held and RENEW_MS have passed."""
        held = self.holding(engine)
        if isinstance(held, leases.NotHeld):
            return held
        own_lease = self._own_leases[engine]
        if self._clock.monotonic_ms() - own_lease.renewed_ms < leases.RENEW_MS:
            return held
        record = lease_records.Renew(
            engine=engine, holder=self.holder, fence=held.fence
        )
        return await self._append_and_check(engine, own_lease, record)

    async def release(self, engine: str) -> None:
        """Release the lease, so that others need not wait for its expiry."""
        held = self.holding(engine)
        self.forget(engine)
        if isinstance(held, leases.Held):
            record = lease_records.Release(
                engine=engine, holder=self.holder, fence=held.fence
            )
            await self._submit(engine, record)

    def mark_fenced(self, engine: str, fence: int) -> None:
        """Invalidate the lease: the engine has seen the higher ``fence``."""
        own_lease = self._own_leases.setdefault(engine, _OwnLease())
        own_lease.engine_fence = max(own_lease.engine_fence, fence)
        own_lease.valid_until_ms = 0

    def _acquire_refusal(self, engine: str) -> leases.NotHeld | None:
        reader = self._reader(engine)
        state = reader.fold.state(engine)
        if state and not state.is_available_to(self.holder, reader.now_ms()):
            return leases.NotHeld(f'held by {state.holder}')
        own_lease = self._own_leases.get(engine)
        if own_lease is None:
            return None
        if reader.next_offset <= own_lease.engine_fence:
            return leases.NotHeld(
                f'the engine has seen {own_lease.engine_fence}, '
                f'the log ends at {reader.next_offset}'
            )
        return None

    async def _append_and_check(
        self,
        engine: str,
        own_lease: _OwnLease,
        record: lease_records.Lease | lease_records.Renew,
    ) -> leases.Holding:
        """Append ``record``, read the stream and return the holding."""
        started_ms = self._clock.monotonic_ms()
        result = await self._submit(engine, record)
        if isinstance(result, results.AppendRefused):
            return leases.NotHeld(result.reason)
        failure = await self.refresh(engine)
        if failure is not None:
            return failure
        if isinstance(result, results.AppendUnknown):
            return leases.NotHeld(f'outcome unknown: {result.reason}')
        own_lease.renewed_ms = started_ms
        own_lease.valid_until_ms = (
            started_ms + leases.LEASE_MS - leases.SAFETY_MARGIN_MS
        )
        return self.holding(engine)

    async def _submit(
        self, engine: str, record: lease_records.LeaseRecord
    ) -> results.AppendResult:
        submitted = await self._appender.submit(
            lease_records.stream_of(engine),
            lease_records.to_record(record),
            batching.Priority.NORMAL,
        )
        return submitted.result

    def _reader(self, engine: str) -> LeaseReader:
        stream = lease_records.stream_of(engine)
        if stream not in self._readers:
            self._readers[stream] = LeaseReader(stream, self._log, self._clock)
        return self._readers[stream]
