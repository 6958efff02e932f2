"""Appends the records that end a claim, with retries.

A claim record itself is never appended twice: a second copy that arrives
after a release could own the key again. The records appended here may be
repeated, because they are idempotent by claim id and only remove ownership
or add an outcome; they never grant ownership.
"""

import asyncio
from collections.abc import Sequence
import random

import attrs
from loguru import logger

from sycamorebeam import batching
from sycamorebeam import claim_records
from sycamorebeam import clocks
from sycamorebeam.clients import results

FIRST_RETRY_MS = 100
MAX_RETRY_MS = 5_000
MAX_UNSETTLED = 4_000


@attrs.define(eq=False)
class ClaimSettler:
    """Appends the final records of claims in the background.

    ``window_ms`` limits how long the append of a record is retried.
    """

    _appender: batching.Appender
    _clock: clocks.Clock
    _random: random.Random
    _window_ms: int
    _outcomes: dict[bytes, claim_records.Outcome] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @property
    def unsettled(self) -> int:
        """The number of claims whose final records are not yet in the log."""
        return len(self._tasks)

    def outcome_of(
        self, key_digest: bytes, claim_id: str
    ) -> claim_records.Outcome | None:
        """Return a claim's outcome if its record is not yet in the log."""
        outcome = self._outcomes.get(key_digest)
        if outcome is None or outcome.claim_id != claim_id:
            return None
        return outcome

    def withdraw(self, stream: str, key_digest: bytes, claim_id: str) -> None:
        """Withdraw a claim whose request will never be dispatched.

        The abandon is appended first: it voids a claim that arrives after
        it. The release that follows frees the key if the claim came first.
        """
        abandon = claim_records.Abandon(
            key_digest=key_digest, claim_id=claim_id
        )
        release = claim_records.Release(
            key_digest=key_digest, claim_id=claim_id
        )
        self._settle(stream, (abandon, release))

    def release(self, stream: str, key_digest: bytes, claim_id: str) -> None:
        """Free a key that this instance owns but did not dispatch."""
        release = claim_records.Release(
            key_digest=key_digest, claim_id=claim_id
        )
        self._settle(stream, (release,))

    def store(self, stream: str, outcome: claim_records.Outcome) -> None:
        """Store the outcome of a dispatched request."""
        self._outcomes[outcome.key_digest] = outcome
        self._settle(stream, (outcome,))

    async def stop(self, timeout_ms: int) -> None:
        """Wait at most ``timeout_ms`` for pending records, then cancel."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_ms / 1000)
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            logger.warning('event=claims_unsettled count={}', len(self._tasks))

    def _settle(
        self, stream: str, key_records: Sequence[claim_records.KeyRecord]
    ) -> None:
        if len(self._tasks) >= MAX_UNSETTLED:
            logger.error(
                'event=claim_dropped stream={} claim={} remedy="check '
                'that the log accepts appends; callers will be told that the '
                'outcome of this claim is unknown"',
                stream,
                key_records[0].claim_id,
            )
            self._forget_outcome(key_records[0])
            return
        task = asyncio.create_task(self._append_all(stream, key_records))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _append_all(
        self, stream: str, key_records: Sequence[claim_records.KeyRecord]
    ) -> None:
        give_up_ms = self._clock.monotonic_ms() + self._window_ms
        try:
            for key_record in key_records:
                await self._append(stream, key_record, give_up_ms)
        finally:
            self._forget_outcome(key_records[0])

    async def _append(
        self, stream: str, key_record: claim_records.KeyRecord, give_up_ms: int
    ) -> None:
        record = claim_records.to_record(key_record)
        retry_ms = FIRST_RETRY_MS
        while True:
            submitted = await self._appender.submit(
                stream, record, batching.Priority.NORMAL
            )
            match submitted.result:
                case results.Appended():
                    return
                case results.AppendRefused(retry_after_ms=after_ms):
                    wait_ms = max(after_ms, retry_ms)
                case results.AppendUnknown():
                    wait_ms = retry_ms
            # Checked after the append, so that a process that was paused
            # for longer than the window still tries once.
            if self._clock.monotonic_ms() >= give_up_ms:
                return
            jittered_ms = wait_ms * self._random.uniform(1, 1.5)
            await self._clock.sleep_ms(jittered_ms)
            retry_ms = min(MAX_RETRY_MS, retry_ms * 2)

    def _forget_outcome(self, key_record: claim_records.KeyRecord) -> None:
        match key_record:
            case claim_records.Outcome(key_digest=digest):
                if self._outcomes.get(digest) is key_record:
                    del self._outcomes[digest]
