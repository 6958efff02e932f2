"""Appends what ends a claim, until the log has it.

A claim is never appended twice: a second copy that lands after a release
could own the key again. The records here may be repeated, because their
rules are idempotent by claim id and take rights away or add knowledge,
but never grant a right.
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
    """Owns the records that still have to reach the log.

    ``window_ms`` bounds how long a record is worth the effort.
    """

    _appender: batching.Appender
    _clock: clocks.Clock
    _random: random.Random
    _window_ms: int
    _outcomes: dict[bytes, claim_records.Outcome] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @property
    def unsettled(self) -> int:
        """The number of claims whose end is not yet in the log."""
        return len(self._tasks)

    def outcome_of(
        self, key_digest: bytes, claim_id: str
    ) -> claim_records.Outcome | None:
        """Return an outcome that is known here but not yet in the log."""
        outcome = self._outcomes.get(key_digest)
        if outcome is None or outcome.claim_id != claim_id:
            return None
        return outcome

    def withdraw(self, stream: str, key_digest: bytes, claim_id: str) -> None:
        """Take back a claim that will never be dispatched.

        The abandon goes first: it voids a claim that lands after it, and
        the release behind it frees the key if the claim came before.
        """
        abandon = claim_records.Abandon(
            key_digest=key_digest, claim_id=claim_id
        )
        release = claim_records.Release(
            key_digest=key_digest, claim_id=claim_id
        )
        self._settle(stream, (abandon, release))

    def release(self, stream: str, key_digest: bytes, claim_id: str) -> None:
        """Free a key that this instance owns and never dispatched."""
        release = claim_records.Release(
            key_digest=key_digest, claim_id=claim_id
        )
        self._settle(stream, (release,))

    def store(self, stream: str, outcome: claim_records.Outcome) -> None:
        """Store the outcome of a dispatched request."""
        self._outcomes[outcome.key_digest] = outcome
        self._settle(stream, (outcome,))

    async def stop(self, timeout_ms: int) -> None:
        """Wait until the log has everything, but no longer than given."""
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
                'event=claim_dropped stream={} claim={} remedy="look at the '
                'log; the outcome of this claim will read as unknown"',
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
            # The check follows the try, so that a process that was paused
            # beyond the window still tries once.
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
