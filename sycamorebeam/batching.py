"""Batched appends to the log, with one rate limit for the whole instance.

Records of one stream that are queued together share one append. Each append
is sent once: its result goes to all submitters of the batch, which decide
how to handle an unknown outcome. After a failure, new records are refused
at once for a growing, jittered time, and the rate restarts low, so that
instances do not overload the log when it is available again.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum
import random

import attrs

from sycamorebeam import clocks
from sycamorebeam import records
from sycamorebeam.clients import ports
from sycamorebeam.clients import results

MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 262_144
MAX_RECORD_BYTES = 1_000_000
MAX_QUEUE_RECORDS = 8_192
MAX_QUEUE_BYTES = 8_388_608
HOUSEKEEPING_SHARE = 0.5
MAX_IN_FLIGHT = 8
BURST_APPENDS = 4.0
QUEUE_TIMEOUT_MS = 1_000
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2_000
MIN_RATE_SHARE = 0.1
RATE_STEP_SHARE = 0.02
ENVELOPE_OVERHEAD_BYTES = 16


class Priority(enum.IntEnum):
    """The order in which queued records are sent, lowest value first."""

    CLAIM = 0
    NORMAL = 1
    HOUSEKEEPING = 2


@attrs.frozen
class SubmitResult:
    """The result of a record's append and its place in the envelope.

    After ``Appended`` the record is at (``result.offset``, ``index``).
    """

    result: results.AppendResult
    index: int = 0


@attrs.define(eq=False)
class _QueuedRecord:
    record: records.Record
    size_bytes: int
    queued_at_ms: int
    done: asyncio.Future[SubmitResult]
    expiry: asyncio.TimerHandle | None = None


@attrs.define(eq=False)
class _StreamQueue:
    """The queued records of one stream, by priority."""

    queues: tuple[collections.deque[_QueuedRecord], ...] = attrs.field(
        factory=lambda: tuple(collections.deque() for _ in Priority)
    )
    count: int = 0
    size_bytes: int = 0

    def add(self, item: _QueuedRecord, priority: Priority) -> None:
        self.queues[priority].append(item)
        self.count += 1
        self.size_bytes += item.size_bytes

    def heads(self) -> Iterator[tuple[Priority, _QueuedRecord]]:
        for priority in Priority:
            if self.queues[priority]:
                yield priority, self.queues[priority][0]

    def is_full(self) -> bool:
        return (
            self.count >= MAX_BATCH_RECORDS
            or self.size_bytes >= MAX_BATCH_BYTES
        )

    def pop_batch(self) -> list[_QueuedRecord]:
        """Remove and return the records for the next envelope."""
        batch: list[_QueuedRecord] = []
        free_bytes = MAX_BATCH_BYTES
        for queue in self.queues:
            while queue and len(batch) < MAX_BATCH_RECORDS:
                if batch and queue[0].size_bytes > free_bytes:
                    return batch
                batch.append(self._pop(queue))
                free_bytes -= batch[-1].size_bytes
        return batch

    def _pop(self, queue: collections.deque[_QueuedRecord]) -> _QueuedRecord:
        item = queue.popleft()
        self.count -= 1
        self.size_bytes -= item.size_bytes
        return item


@attrs.define(eq=False)
class Appender:
    """Appends records to streams of the log, batched and rate limited."""

    _log: ports.Log
    _clock: clocks.Clock
    _appends_per_s: float
    _linger_ms: int
    _random: random.Random
    _share_per_s: Callable[[], float] | None = None
    _stream_queues: dict[str, _StreamQueue] = attrs.field(factory=dict)
    _queued: int = 0
    _queued_bytes: int = 0
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _worker: asyncio.Task[None] | None = None
    _in_flight: set[asyncio.Task[None]] = attrs.field(factory=set)
    _stopped: bool = False
    _failures: int = 0
    _backoff_until_ms: int = 0
    _rate: float = attrs.field(
        default=attrs.Factory(
            lambda self: self._appends_per_s, takes_self=True
        )
    )
    _tokens: float = BURST_APPENDS
    _refilled_at_ms: int | None = None

    @property
    def queued(self) -> int:
        """The number of records that are queued for an append."""
        return self._queued

    @property
    def rate(self) -> float:
        """The current limit on appends per second.

        It is scaled down if this instance's share of the log's limit is
        below the instance's own limit.
        """
        if self._share_per_s is None:
            return self._rate
        part = self._share_per_s() / self._appends_per_s
        return self._rate * min(1.0, part)

    async def submit(
        self, stream: str, record: records.Record, priority: Priority
    ) -> SubmitResult:
        """Append ``record`` in a batch and return the append's result.

        The record is refused at once if the queue is full, the record is too
        large or the log has just failed. Cancelling before the batch is sent
        removes the record; afterwards its outcome is unknown.
        """
        size_bytes = len(records.pack_envelope([record]))
        refusal = self._refusal(size_bytes, priority)
        if refusal is not None:
            return SubmitResult(refusal)
        item = self._enqueue(stream, record, size_bytes, priority)
        return await item.done

    async def stop(self) -> None:
        """Refuse queued records and wait for the appends in flight."""
        self._stopped = True
        if self._worker is not None:
            self._worker.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._worker
        for queue in self._stream_queues.values():
            while queue.count:
                self._refuse_all(self._pop_batch(queue), 'the instance stops')
        if self._in_flight:
            await asyncio.wait(self._in_flight)

    def _refusal(
        self, size_bytes: int, priority: Priority
    ) -> results.AppendRefused | None:
        if self._stopped:
            return results.AppendRefused('the instance stops')
        if size_bytes > MAX_RECORD_BYTES:
            return results.AppendRefused(
                f'the record has {size_bytes} bytes, at most '
                f'{MAX_RECORD_BYTES} fit into an append'
            )
        backoff_ms = self._backoff_until_ms - self._clock.monotonic_ms()
        if backoff_ms > 0:
            return results.AppendRefused('the log failed just now', backoff_ms)
        queue_share = 1.0
        if priority is Priority.HOUSEKEEPING:
            queue_share = HOUSEKEEPING_SHARE
        if (
            self._queued >= MAX_QUEUE_RECORDS * queue_share
            or self._queued_bytes + size_bytes > MAX_QUEUE_BYTES * queue_share
        ):
            return results.AppendRefused(
                'the append queue is full', QUEUE_TIMEOUT_MS
            )
        return None

    def _enqueue(
        self,
        stream: str,
        record: records.Record,
        size_bytes: int,
        priority: Priority,
    ) -> _QueuedRecord:
        loop = asyncio.get_running_loop()
        item = _QueuedRecord(
            record,
            size_bytes,
            self._clock.monotonic_ms(),
            loop.create_future(),
        )
        item.expiry = loop.call_later(
            QUEUE_TIMEOUT_MS / 1000, self._expire, item
        )
        queue = self._stream_queues.setdefault(stream, _StreamQueue())
        queue.add(item, priority)
        self._queued += 1
        self._queued_bytes += size_bytes
        if self._worker is None:
            self._worker = loop.create_task(self._run())
        if queue.count == 1 or queue.is_full():
            self._wake.set()
        return item

    def _expire(self, item: _QueuedRecord) -> None:
        if not item.done.done():
            refusal = results.AppendRefused(
                'the append waited too long', INITIAL_BACKOFF_MS
            )
            item.done.set_result(SubmitResult(refusal))

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            delay_ms = self._delay_ms()
            if delay_ms is not None and delay_ms <= 0:
                self._send(self._most_urgent_stream())
                continue
            timeout_s = None if delay_ms is None else delay_ms / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await self._wake.wait()

    def _delay_ms(self) -> float | None:
        """Return the time until the next append, None if none can start."""
        if not self._queued:
            return None
        allowed = 1 if self._failures else MAX_IN_FLIGHT
        if len(self._in_flight) >= allowed:
            return None
        now_ms = self._clock.monotonic_ms()
        due_ms = min(
            self._due_ms(queue)
            for queue in self._stream_queues.values()
            if queue.count
        )
        backoff_left_ms = self._backoff_until_ms - now_ms
        return max(
            due_ms - now_ms, backoff_left_ms, self._token_delay_ms(now_ms)
        )

    def _due_ms(self, queue: _StreamQueue) -> int:
        oldest_ms = min(item.queued_at_ms for _, item in queue.heads())
        return oldest_ms if queue.is_full() else oldest_ms + self._linger_ms

    def _token_delay_ms(self, now_ms: int) -> float:
        rate = self.rate
        if self._refilled_at_ms is not None:
            elapsed_ms = now_ms - self._refilled_at_ms
            self._tokens = min(
                BURST_APPENDS, self._tokens + elapsed_ms * rate / 1000
            )
        self._refilled_at_ms = now_ms
        if self._tokens >= 1:
            return 0
        return max(1.0, (1 - self._tokens) * 1000 / rate)

    def _most_urgent_stream(self) -> str:
        now_ms = self._clock.monotonic_ms()
        due_streams = [
            (*self._urgency(queue), stream)
            for stream, queue in self._stream_queues.items()
            if queue.count and self._due_ms(queue) <= now_ms
        ]
        return min(due_streams)[-1]

    def _urgency(self, queue: _StreamQueue) -> tuple[int, int]:
        priority, item = next(queue.heads())
        return priority, item.queued_at_ms

    def _send(self, stream: str) -> None:
        queue = self._stream_queues[stream]
        popped = self._pop_batch(queue)
        if not queue.count:
            del self._stream_queues[stream]
        batch = [item for item in popped if not item.done.done()]
        if not batch:
            return
        self._tokens -= 1
        task = asyncio.create_task(self._append(stream, batch))
        self._in_flight.add(task)
        task.add_done_callback(self._finish_append)

    def _pop_batch(self, queue: _StreamQueue) -> list[_QueuedRecord]:
        batch = queue.pop_batch()
        for item in batch:
            self._queued -= 1
            self._queued_bytes -= item.size_bytes
            if item.expiry is not None:
                item.expiry.cancel()
        return batch

    def _finish_append(self, task: asyncio.Task[None]) -> None:
        self._in_flight.discard(task)
        self._wake.set()

    async def _append(self, stream: str, batch: list[_QueuedRecord]) -> None:
        data = records.pack_envelope([item.record for item in batch])
        result: results.AppendResult
        result = results.AppendUnknown('the append was cut off')
        try:
            result = await self._log.append(stream, data)
        finally:
            self._adjust_rate(result)
            for index, item in enumerate(batch):
                if not item.done.done():
                    item.done.set_result(SubmitResult(result, index))

    def _adjust_rate(self, result: results.AppendResult) -> None:
        """Adapt the rate and the backoff to the result of an append."""
        match result:
            case results.Appended():
                self._failures = 0
                step = self._appends_per_s * RATE_STEP_SHARE
                self._rate = min(self._appends_per_s, self._rate + step)
            case results.AppendRefused(retry_after_ms=retry_after_ms):
                self._back_off(retry_after_ms)
            case results.AppendUnknown():
                self._back_off(0)

    def _back_off(self, retry_after_ms: int) -> None:
        min_rate = self._appends_per_s * MIN_RATE_SHARE
        self._rate = max(min_rate, self._rate / 2)
        self._tokens = min(self._tokens, 1.0)
        growth = 2 ** min(self._failures, 10)
        self._failures += 1
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * growth)
        backoff_ms = max(backoff_ms, retry_after_ms)
        jittered_ms = int(backoff_ms * self._random.uniform(0.5, 1.5))
        now_ms = self._clock.monotonic_ms()
        self._backoff_until_ms = max(
            self._backoff_until_ms, now_ms + jittered_ms
        )

    def _refuse_all(self, batch: list[_QueuedRecord], reason: str) -> None:
        for item in batch:
            if not item.done.done():
                item.done.set_result(
                    SubmitResult(results.AppendRefused(reason))
                )


def new_appender(
    log: ports.Log,
    clock: clocks.Clock,
    appends_per_s: float,
    linger_ms: int,
    generator: random.Random | None = None,
    share_per_s: Callable[[], float] | None = None,
) -> Appender:
    """Return an appender; it starts its worker with the first record.

    ``share_per_s`` returns this instance's current share, in appends per
    second, of the log's limit for all instances together.
    """
    return Appender(
        log,
        clock,
        appends_per_s,
        linger_ms,
        generator or random.Random(),
        share_per_s,
    )
