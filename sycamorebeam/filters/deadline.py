"""Sets the deadline of each request."""

import attrs

from sycamorebeam import answers
from sycamorebeam import clocks
from sycamorebeam.filters import chain


@attrs.frozen
class DeadlineFilter:
    """Sets the deadline: the caller's, bounded by the pipeline's."""

    _clock: clocks.Clock

    async def __call__(
        self, request: chain.Request, proceed: chain.Handler
    ) -> answers.Answer:
        """Refuse a request whose deadline has already passed."""
        assert request.pipeline is not None
        allowed_ms = request.pipeline.deadline_ms
        requested_ms = request.deadline_ms
        duration_ms = allowed_ms if requested_ms is None else requested_ms
        if duration_ms <= 0:
            return _expired()
        duration_ms = min(duration_ms, allowed_ms)
        request.deadline = clocks.deadline_in(self._clock, duration_ms)
        return await proceed(request)


def _expired() -> answers.Problem:
    return answers.Problem(
        answers.ProblemKind.DEADLINE,
        answers.Outcome.NOT_RUN,
        'the deadline had passed when the request came',
        'send Deadline-Ms as the milliseconds that remain',
    )
