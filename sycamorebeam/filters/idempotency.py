"""Runs a non-idempotent request at most once per idempotency key."""

import json

import attrs

from sycamorebeam import answers
from sycamorebeam import catalogue
from sycamorebeam import claims
from sycamorebeam import clocks
from sycamorebeam import hashing
from sycamorebeam.controllers import claims_controller
from sycamorebeam.filters import chain
from sycamorebeam.filters import not_run
from sycamorebeam.filters import validation

_SAME_KEY_REMEDY = 'send the request again with the same key'


@attrs.frozen
class IdempotencyFilter:
    """Claims the key of a request and stores the request's outcome.

    Requests to idempotent pipelines pass: their key is accepted and ignored,
    since running them twice does no harm.
    """

    _claims: claims_controller.ClaimsController
    _clock: clocks.Clock

    async def __call__(
        self, request: chain.Request, proceed: chain.Handler
    ) -> answers.Answer:
        """Return the answer of this run or of an earlier one with this key."""
        pipeline = request.pipeline
        if pipeline is None or pipeline.idempotent:
            return await proceed(request)
        refusal = _check_key(request)
        if refusal is not None:
            return refusal
        result = await self._claim(request, pipeline)
        match result:
            case claims.Owned(permit):
                return await self._run(request, permit, proceed)
            case claims.Replayed(answer):
                return answer
            case _:
                return _claim_problem(result)

    async def _claim(
        self, request: chain.Request, pipeline: catalogue.Pipeline
    ) -> claims.ClaimResult:
        key = claims.ClaimKey(
            request.team_name,
            request.pipeline_name,
            request.idempotency_key or '',
        )
        remaining_ms = pipeline.deadline_ms
        if request.deadline is not None:
            remaining_ms = request.deadline.remaining_ms(self._clock)
        return await self._claims.claim(
            key, _request_digest(request), remaining_ms, request.first_attempt
        )

    async def _run(
        self,
        request: chain.Request,
        permit: claims.DispatchPermit,
        proceed: chain.Handler,
    ) -> answers.Answer:
        """Run the request under its permit and end its claim."""
        request.permit = permit
        try:
            answer = await proceed(request)
        except BaseException:
            # Also if the caller disconnects: the claim must not stay open.
            await self._end_claim(permit, claims.RunOutcome(known=False))
            raise
        match answer:
            case answers.Completed(output=output):
                outcome = claims.RunOutcome(known=True, output=output)
                await self._claims.record(permit, outcome)
                return answer
            case answers.Problem(target_request_id=target_request_id):
                outcome = claims.RunOutcome(
                    known=False, target_request_id=target_request_id
                )
                if await self._end_claim(permit, outcome):
                    return not_run.narrow_to_attempt(request, answer)
                return _drop_unproven_not_run(answer)

    async def _end_claim(
        self, permit: claims.DispatchPermit, outcome: claims.RunOutcome
    ) -> bool:
        """Release the key if nothing ran, else store ``outcome``.

        Returns whether the key was released.
        """
        if await self._claims.release(permit):
            return True
        await self._claims.record(permit, outcome)
        return False


def _check_key(request: chain.Request) -> answers.Problem | None:
    key = request.idempotency_key
    if not key:
        return answers.Problem(
            answers.ProblemKind.KEY_REQUIRED,
            answers.Outcome.NOT_RUN,
            f'pipeline {request.pipeline_name} may run only once for a '
            'request, and the request has no key',
            'send an Idempotency-Key, best a UUID version 7',
        )
    if len(key) > validation.MAX_KEY_CHARS:
        return answers.Problem(
            answers.ProblemKind.BAD_REQUEST,
            answers.Outcome.NOT_RUN,
            f'the Idempotency-Key has {len(key)} characters',
            f'send a key of at most {validation.MAX_KEY_CHARS} characters',
        )
    return None


def _request_digest(request: chain.Request) -> bytes:
    return hashing.digest(json.dumps(request.body, sort_keys=True).encode())


def _drop_unproven_not_run(answer: answers.Problem) -> answers.Problem:
    """Return ``answer`` with an unproven "not run" as "unknown"."""
    match answer.outcome:
        case answers.Outcome.NOT_RUN | answers.Outcome.ATTEMPT_NOT_RUN:
            return attrs.evolve(answer, outcome=answers.Outcome.UNKNOWN)
    return answer


def _claim_problem(result: claims.ClaimResult) -> answers.Problem:
    match result:
        case claims.InProgress(claim_id, retry_after_ms):
            return answers.Problem(
                answers.ProblemKind.IN_PROGRESS,
                answers.Outcome.IN_PROGRESS,
                f'another attempt of this key is running (claim {claim_id})',
                _SAME_KEY_REMEDY,
                retry_after_ms,
            )
        case claims.KeyMismatch():
            return answers.Problem(
                answers.ProblemKind.KEY_MISMATCH,
                answers.Outcome.ATTEMPT_NOT_RUN,
                'this key was used with another request body',
                'use a new key for a new request, or send the first body',
            )
        case claims.KeyTooOld():
            return answers.Problem(
                answers.ProblemKind.KEY_TOO_OLD,
                answers.Outcome.ATTEMPT_NOT_RUN,
                'this attempt ran nothing; an earlier one of this key may '
                'have left the log, so that nobody can tell its outcome',
                'look the request up at its target; then use a fresh UUID '
                'version 7 as key, or mark the first attempt of a key',
            )
        case claims.ClaimFailed(reason, proved, retry_after_ms):
            return _claim_failed_problem(reason, proved, retry_after_ms)
    raise TypeError(f'no problem for {result}')


def _claim_failed_problem(
    reason: str, proved: bool, retry_after_ms: int
) -> answers.Problem:
    if proved:
        return answers.Problem(
            answers.ProblemKind.LOG_UNAVAILABLE,
            answers.Outcome.NOT_RUN,
            f'nothing ran: {reason}',
            _SAME_KEY_REMEDY,
            retry_after_ms,
        )
    return answers.Problem(
        answers.ProblemKind.LOG_UNAVAILABLE,
        answers.Outcome.ATTEMPT_NOT_RUN,
        f'this attempt ran nothing, earlier ones are unknown: {reason}',
        f'{_SAME_KEY_REMEDY}, never with a new one',
        retry_after_ms,
    )


def new_idempotency_filter(
    controller: claims_controller.ClaimsController, clock: clocks.Clock
) -> IdempotencyFilter:
    """Return the filter for the claims of this instance."""
    return IdempotencyFilter(controller, clock)
