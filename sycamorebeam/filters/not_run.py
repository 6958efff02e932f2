"""Keeps "not run" from being said of a key that may have run before."""

import attrs

from sycamorebeam import answers
from sycamorebeam.filters import chain


@attrs.frozen
class NotRunFilter:
    """Narrows a refusal of a retry to the attempt that was refused.

    Any filter may refuse a request and say truly that it ran nothing. With
    an idempotency key the caller reads that of the key, of which an earlier
    attempt may have run. This filter goes before all that refuse.
    """

    async def __call__(
        self, request: chain.Request, proceed: chain.Handler
    ) -> answers.Answer:
        """Return the answer, with an outcome that is true of the key."""
        return narrow_to_attempt(request, await proceed(request))


def narrow_to_attempt(
    request: chain.Request, answer: answers.Answer
) -> answers.Answer:
    """Return ``answer`` as it is true of the request's key."""
    if request.first_attempt or not _may_have_run_before(request):
        return answer
    match answer:
        case answers.Problem(outcome=answers.Outcome.NOT_RUN):
            return attrs.evolve(
                answer,
                outcome=answers.Outcome.ATTEMPT_NOT_RUN,
                detail=f'this attempt ran nothing, earlier ones are unknown: '
                f'{answer.detail}',
            )
    return answer


def _may_have_run_before(request: chain.Request) -> bool:
    if not request.idempotency_key:
        return False
    return request.pipeline is None or not request.pipeline.idempotent
