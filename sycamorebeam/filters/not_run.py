"""Corrects the outcome "not run" for a key that may have run before."""

import attrs

from sycamorebeam import answers
from sycamorebeam.filters import chain


@attrs.frozen
class NotRunFilter:
    """Limits the outcome of a refused retry to the refused attempt.

    Any filter may refuse a request with the outcome "not run". If the
    request has an idempotency key, the caller applies the outcome to the
    key, but an earlier attempt of that key may have run. This filter must
    come before all filters that refuse requests.
    """

    async def __call__(
        self, request: chain.Request, proceed: chain.Handler
    ) -> answers.Answer:
        """Return the answer with an outcome that holds for the key."""
        return narrow_to_attempt(request, await proceed(request))


def narrow_to_attempt(
    request: chain.Request, answer: answers.Answer
) -> answers.Answer:
    """Return ``answer`` with "not run" limited to this attempt if needed."""
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
