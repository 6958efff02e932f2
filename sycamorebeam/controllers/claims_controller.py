"""Claims idempotency keys through the log and stores their outcomes.

The order of records in the log alone decides which claim owns a key. A
dispatch permit is issued only from the state folded up to and including
the instance's own claim record, never from the answer to its append.
"""

import asyncio
from collections.abc import Callable
import contextlib
import random
from typing import Any
import uuid

import attrs
import msgpack

from sycamorebeam import batching
from sycamorebeam import claim_answers
from sycamorebeam import claim_fold
from sycamorebeam import claim_partition
from sycamorebeam import claim_records
from sycamorebeam import claims
from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam import records
from sycamorebeam import settings
from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.controllers import claim_settling
from sycamorebeam.controllers import claim_view
from sycamorebeam.controllers import claim_views

MAX_STORED_OUTPUT_BYTES = 16_384
ABANDON_AFTER_MS = 500
READ_RESTART_AFTER_MS = 250
FAILED_RETRY_MS = 1_000
MIN_PROGRESS_RETRY_MS = 200
MAX_PROGRESS_RETRY_MS = 2_000
TICKS_PER_WINDOW = 4
# With more instances than this, each appends fewer ticks.
TICKING_INSTANCES = 9
OUTPUT_READ_TIMEOUT_MS = 500
SETTLE_TIMEOUT_MS = 5_000


@attrs.frozen(kw_only=True)
class _Attempt:
    """One attempt to claim a key.

    ``created_ms`` is the time that the key itself carries, None if it carries
    none. ``since_offset`` is the view's next offset when the caller's first
    attempt began, None for any other attempt.
    """

    digest: bytes
    partition: int
    request_digest: bytes
    claim_id: str
    deadline: clocks.Deadline
    first_attempt: bool
    created_ms: int | None
    since_offset: int | None = None

    def is_covered(self, horizon: claim_fold.Horizon | None) -> bool:
        return claim_fold.is_history_complete(
            horizon, self.created_ms, self.since_offset
        )


@attrs.define(eq=False)
class ClaimsController:
    """Claims keys, issues dispatch permits and stores outcomes."""

    _log: ports.Log
    _appender: batching.Appender
    _clock: clocks.Clock
    _random: random.Random
    _instance_id: str
    _partitions: int
    _window_ms: int
    _views: claim_views.ClaimViews
    _settler: claim_settling.ClaimSettler
    _live_instances: Callable[[], int]
    _send_tasks: set[asyncio.Task[None]] = attrs.field(init=False, factory=set)
    _periodic_tasks: tuple[asyncio.Task[None], ...] = attrs.field(
        init=False, default=()
    )

    @property
    def unsettled(self) -> int:
        """The number of claims whose final records are not yet in the log."""
        return self._settler.unsettled

    async def start(self) -> None:
        """Start dropping idle views and appending ticks."""
        self._periodic_tasks = (
            asyncio.create_task(self._views.drop_idle_forever()),
            asyncio.create_task(self._append_ticks()),
        )

    async def stop(self, timeout_ms: int = SETTLE_TIMEOUT_MS) -> None:
        """Wait at most ``timeout_ms`` for pending records, then stop."""
        await self._settler.stop(timeout_ms)
        for task in [*self._periodic_tasks, *self._send_tasks]:
            task.cancel()
        await self._views.stop()

    async def claim(
        self,
        key: claims.ClaimKey,
        request_digest: bytes,
        deadline_ms: int,
        first_attempt: bool,
    ) -> claims.ClaimResult:
        """Claim ``key`` for a request that has ``deadline_ms`` left.

        With ``first_attempt`` the caller states that it never sent this key
        before; a failure can then report that no attempt ran.
        """
        attempt = self._new_attempt(
            key, request_digest, deadline_ms, first_attempt
        )
        view = self._views.get(attempt.partition)
        if not await self._wait_ready(view, attempt):
            return self._new_failure(
                attempt, 'the claim stream was not read yet'
            )
        if first_attempt:
            attempt = attrs.evolve(
                attempt, since_offset=view.state.next_offset
            )
        existing = await self._existing_result(view, attempt)
        if existing is not None:
            return existing
        refusal = view.blocked or self._views.health.refusal()
        if refusal is not None:
            return self._new_failure(attempt, refusal)
        return await self._append_and_wait(view, attempt)

    async def record(
        self, permit: claims.DispatchPermit, outcome: claims.RunOutcome
    ) -> None:
        """Store the outcome of the dispatched request of ``permit``.

        Returns at once; the append is retried in the background.
        """
        permit.destroy()
        output = outcome.output if _is_storable(outcome.output) else None
        outcome_record = claim_records.Outcome(
            key_digest=permit.key_digest,
            claim_id=permit.claim_id,
            known=outcome.known,
            output=output,
            target_request_id=outcome.target_request_id,
        )
        self._settler.store(
            claim_records.stream_of(permit.partition), outcome_record
        )

    async def release(self, permit: claims.DispatchPermit) -> bool:
        """Release a key whose request did not run.

        Returns False and keeps the key claimed if the permit does not prove
        that the request did not run.
        """
        proves_not_run = permit.proves_not_run
        permit.destroy()
        if not proves_not_run:
            return False
        self._settler.release(
            claim_records.stream_of(permit.partition),
            permit.key_digest,
            permit.claim_id,
        )
        return True

    def _new_attempt(
        self,
        key: claims.ClaimKey,
        request_digest: bytes,
        deadline_ms: int,
        first_attempt: bool,
    ) -> _Attempt:
        digest = claim_records.key_digest(key)
        return _Attempt(
            digest=digest,
            partition=claim_records.partition_of(digest, self._partitions),
            request_digest=request_digest,
            claim_id=uuid.UUID(
                int=self._random.getrandbits(128), version=4
            ).hex,
            deadline=clocks.deadline_in(self._clock, deadline_ms),
            first_attempt=first_attempt,
            created_ms=claim_records.created_ms(key),
        )

    async def _append_and_wait(
        self, view: claim_view.PartitionView, attempt: _Attempt
    ) -> claims.ClaimResult:
        waiter = view.add_waiter(attempt.claim_id)
        send_task = asyncio.create_task(self._append_claim(view, attempt))
        self._send_tasks.add(send_task)
        send_task.add_done_callback(self._send_tasks.discard)
        try:
            verdict = await self._wait_for_verdict(waiter, attempt)
        except asyncio.CancelledError:
            self._withdraw(view, attempt)
            raise
        finally:
            view.remove_waiter(attempt.claim_id)
        return await self._result_of_verdict(view, attempt, verdict)

    async def _append_claim(
        self, view: claim_view.PartitionView, attempt: _Attempt
    ) -> None:
        """Append the claim once, and an abandon if the log did not answer."""
        claim_record = claim_records.Claim(
            key_digest=attempt.digest,
            claim_id=attempt.claim_id,
            request_digest=attempt.request_digest,
            deadline_ms=attempt.deadline.remaining_ms(self._clock),
            owner=self._instance_id,
        )
        submitted = await self._submit(view, claim_record)
        match submitted.result:
            case results.Appended():
                self._views.health.append_succeeded()
                await self._restart_read_later(view, attempt)
            case results.AppendRefused() as refused:
                verdict = claim_view.Refused(
                    refused.reason, refused.retry_after_ms
                )
                view.decide(attempt.claim_id, verdict)
            case results.AppendUnknown() if view.is_waiting(attempt.claim_id):
                self._views.health.append_unknown()
                view.restart_read()
                await self._abandon_later(view, attempt)

    async def _restart_read_later(
        self, view: claim_view.PartitionView, attempt: _Attempt
    ) -> None:
        """Restart the read if it has not returned the appended claim."""
        await self._clock.sleep_ms(READ_RESTART_AFTER_MS)
        if view.is_waiting(attempt.claim_id):
            view.restart_read()

    async def _abandon_later(
        self, view: claim_view.PartitionView, attempt: _Attempt
    ) -> None:
        """Append an abandon of a claim whose append got no answer.

        Whichever of the two records comes first in the log decides the
        claim; until then it may still be read and own the key. If the
        append of the abandon fails too, the attempt ends undecided.
        """
        await self._clock.sleep_ms(ABANDON_AFTER_MS)
        if not view.is_waiting(attempt.claim_id):
            return
        abandon = claim_records.Abandon(
            key_digest=attempt.digest, claim_id=attempt.claim_id
        )
        submitted = await self._submit(view, abandon)
        if not isinstance(submitted.result, results.Appended):
            reason = 'the log did not answer the claim'
            view.decide(attempt.claim_id, claim_view.Undecided(reason))

    async def _submit(
        self,
        view: claim_view.PartitionView,
        claim_record: claim_records.ClaimRecord,
    ) -> batching.SubmitResult:
        return await self._appender.submit(
            view.stream,
            claim_records.to_record(claim_record),
            batching.Priority.CLAIM,
        )

    async def _wait_for_verdict(
        self,
        waiter: asyncio.Future[claim_view.Verdict],
        attempt: _Attempt,
    ) -> claim_view.Verdict:
        remaining_ms = attempt.deadline.remaining_ms(self._clock)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                return await waiter
        except TimeoutError:
            return claim_view.Undecided(
                'the log did not decide by the deadline'
            )

    async def _result_of_verdict(
        self,
        view: claim_view.PartitionView,
        attempt: _Attempt,
        verdict: claim_view.Verdict,
    ) -> claims.ClaimResult:
        match verdict:
            case claim_view.Refused(reason, retry_after_ms):
                return self._new_failure(attempt, reason, retry_after_ms)
            case claim_view.Undecided(reason):
                self._withdraw(view, attempt)
                return self._new_failure(attempt, reason)
            case claim_view.Decided(state=state) if (
                state is not None and state.claim_id == attempt.claim_id
            ):
                return self._issue_permit(view, attempt, verdict)
            case claim_view.Decided():
                return await self._result_if_not_owner(view, attempt, verdict)

    def _issue_permit(
        self,
        view: claim_view.PartitionView,
        attempt: _Attempt,
        decided: claim_view.Decided,
    ) -> claims.ClaimResult:
        """Issue the permit if no earlier claim of the key can be missing.

        The deadline is checked last: before it passes, the log cannot have
        lost a record of a later attempt of this key.
        """
        from_future = claim_fold.is_from_future(
            attempt.created_ms, decided.time_ms
        )
        if from_future or not attempt.is_covered(decided.horizon):
            self._withdraw(view, attempt)
            return claims.KeyTooOld()
        if not attempt.deadline.remaining_ms(self._clock):
            self._withdraw(view, attempt)
            return self._new_failure(
                attempt, 'the deadline passed before the claim was read'
            )
        permit = claims.DispatchPermit(
            attempt.claim_id, attempt.partition, attempt.digest
        )
        return claims.Owned(permit)

    async def _result_if_not_owner(
        self,
        view: claim_view.PartitionView,
        attempt: _Attempt,
        decided: claim_view.Decided,
    ) -> claims.ClaimResult:
        status = claim_fold.key_status(
            decided.state, attempt.request_digest, decided.time_ms
        )
        result = await self._result_of_status(view, attempt, status)
        if result is not None:
            return result
        return self._new_failure(attempt, 'the claim came too late')

    async def _existing_result(
        self, view: claim_view.PartitionView, attempt: _Attempt
    ) -> claims.ClaimResult | None:
        """Return the result if it needs no new claim, else None."""
        state = view.state.get(attempt.digest)
        status = claim_fold.key_status(
            state, attempt.request_digest, view.now_ms()
        )
        if isinstance(status, claim_fold.Open) and not view.has_current_time:
            # The new claim cannot own the key, but its record gives the
            # log's current time.
            return None
        result = await self._result_of_status(view, attempt, status)
        if result is not None:
            return result
        horizon = view.state.horizon
        # Without a record the log's time is unknown; the record of the new
        # claim will give it.
        if horizon is not None and horizon.time_ms is None:
            return None
        return None if attempt.is_covered(horizon) else claims.KeyTooOld()

    async def _result_of_status(
        self,
        view: claim_view.PartitionView,
        attempt: _Attempt,
        status: claim_fold.KeyStatus,
    ) -> claims.ClaimResult | None:
        match status:
            case claim_fold.Free():
                return None
            case claim_fold.Mismatch():
                return claims.KeyMismatch()
            case claim_fold.Settled(outcome):
                return await self._replay(view, attempt, outcome)
            case claim_fold.Open(claim_id) | claim_fold.Overdue(claim_id):
                unsaved = self._settler.outcome_of(attempt.digest, claim_id)
                if unsaved is not None:
                    return claim_answers.replay(
                        unsaved.known,
                        unsaved.output,
                        unsaved.target_request_id,
                    )
        match status:
            case claim_fold.Open(claim_id, remaining_ms):
                retry_ms = min(MAX_PROGRESS_RETRY_MS, remaining_ms)
                retry_ms = max(MIN_PROGRESS_RETRY_MS, retry_ms)
                return claims.InProgress(claim_id, retry_ms)
            case claim_fold.Overdue():
                return claim_answers.replay(False, None, None)

    async def _replay(
        self,
        view: claim_view.PartitionView,
        attempt: _Attempt,
        outcome: claim_fold.StoredOutcome,
    ) -> claims.ClaimResult:
        if not outcome.known or not outcome.has_output:
            return claim_answers.replay(
                outcome.known, None, outcome.target_request_id
            )
        output = view.state.outputs.get(attempt.digest)
        if output is None:
            output = await self._read_output(view.stream, outcome.position)
        if output is None:
            return claims.ClaimFailed(
                'the stored answer of an earlier attempt cannot be read',
                proved_not_run=False,
                retry_after_ms=self._jittered_retry_ms(),
            )
        return claim_answers.replay(True, output, outcome.target_request_id)

    async def _read_output(
        self, stream: str, position: claim_fold.Position
    ) -> dict[str, Any] | None:
        """Read an output from the log that is no longer held in memory."""
        page: results.ReadResult | None = None
        if self._views.health.reads_down:
            return None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OUTPUT_READ_TIMEOUT_MS / 1000):
                page = await self._log.read(stream, position.offset, 1)
        match page:
            case results.LogPage(records=[first, *_]):
                envelope = records.unpack_envelope(first.data)
                return envelope[position.index].fields['output']
        return None

    def _withdraw(
        self, view: claim_view.PartitionView, attempt: _Attempt
    ) -> None:
        self._settler.withdraw(view.stream, attempt.digest, attempt.claim_id)

    def _new_failure(
        self, attempt: _Attempt, reason: str, retry_after_ms: int = 0
    ) -> claims.ClaimFailed:
        """Return a failure of an attempt that got no permit.

        This attempt ran nothing. Only the caller's statement that it is the
        first one proves that no other attempt ran: a free key in the log
        does not, because the claim of an earlier attempt may still arrive.
        """
        return claims.ClaimFailed(
            reason,
            proved_not_run=attempt.first_attempt,
            retry_after_ms=max(retry_after_ms, self._jittered_retry_ms()),
        )

    def _jittered_retry_ms(self) -> int:
        """Return a jittered delay, so that callers do not retry together."""
        return int(FAILED_RETRY_MS * self._random.uniform(1, 2))

    async def _wait_ready(
        self, view: claim_view.PartitionView, attempt: _Attempt
    ) -> bool:
        if view.ready.is_set():
            return True
        if self._views.health.reads_down:
            return False
        waiter = view.add_waiter(attempt.claim_id)
        ready = asyncio.ensure_future(view.ready.wait())
        waiters: set[asyncio.Future[Any]] = {waiter, ready}
        remaining_ms = attempt.deadline.remaining_ms(self._clock)
        try:
            await asyncio.wait(
                waiters,
                timeout=remaining_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            ready.cancel()
            view.remove_waiter(attempt.claim_id)
        return view.ready.is_set()

    async def _append_ticks(self) -> None:
        """Append tick records so that no claim stream becomes empty.

        Each tick goes to a partition chosen at random. A reader that starts
        on a stream whose records have all been removed does not know how
        old they were and would refuse keys for a while.
        """
        interval_ms = self._window_ms / (TICKS_PER_WINDOW * self._partitions)
        while True:
            jitter = self._random.uniform(0.5, 1.5)
            sharing_factor = max(
                1.0, self._live_instances() / TICKING_INSTANCES
            )
            await self._clock.sleep_ms(interval_ms * jitter * sharing_factor)
            partition = self._random.randrange(self._partitions)
            await self._appender.submit(
                claim_records.stream_of(partition),
                claim_records.to_record(claim_records.Tick()),
                batching.Priority.HOUSEKEEPING,
            )


def _is_storable(output: dict[str, Any] | None) -> bool:
    try:
        return len(msgpack.packb(output)) <= MAX_STORED_OUTPUT_BYTES
    except (TypeError, ValueError, OverflowError):
        return False


def new_claims_controller(
    log: ports.Log,
    appender: batching.Appender,
    clock: clocks.Clock,
    configured: settings.Settings,
    generator: random.Random | None = None,
    max_keys: int = claim_partition.MAX_KEYS,
    live_instances: Callable[[], int] = lambda: 1,
) -> ClaimsController:
    """Return the claims controller of one instance.

    Raises SettingsError if the claim window is shorter than twice the
    longest deadline: a key must not leave the window while its request may
    still run.
    """
    generator = generator or random.SystemRandom()
    window_ms = configured.claim_window_ms
    shortest_ms = 2 * configured.bounds.max_deadline_ms
    if window_ms < shortest_ms:
        raise errors.SettingsError(
            f'claim_window_ms is {window_ms}, shorter than twice the '
            f'longest deadline',
            f'set it to {shortest_ms} at least, or lower '
            f'bounds.max_deadline_ms',
        )
    return ClaimsController(
        log,
        appender,
        clock,
        generator,
        configured.instance_id,
        configured.claim_partitions,
        window_ms,
        claim_views.ClaimViews(log, clock, generator, window_ms, max_keys),
        claim_settling.ClaimSettler(appender, clock, generator, window_ms),
        live_instances,
    )
