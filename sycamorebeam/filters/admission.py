"""Applies the limits of teams, pipelines and this instance to requests."""

import attrs

from sycamorebeam import answers
from sycamorebeam.controllers import limits
from sycamorebeam.controllers import target_registry
from sycamorebeam.filters import chain


@attrs.frozen
class Admission:
    """Refuses requests over a limit at once, with a time to retry after."""

    _limits: limits.LimitsController
    _registry: target_registry.TargetRegistry

    async def __call__(
        self, request: chain.Request, proceed: chain.Handler
    ) -> answers.Answer:
        """Admit the request and hold a slot while it runs."""
        assert request.team is not None
        assert request.pipeline is not None
        limits_by_key = {
            f'team/{request.team_name}': request.team.limits,
            f'pipeline/{request.pipeline_name}': request.pipeline.limits,
        }
        service_class = request.team.service_class
        admitted = self._limits.admit(
            limits_by_key, service_class, self._registry.live_instance_count
        )
        match admitted:
            case limits.OverLimit(key, limit, retry_after_ms):
                return _limited(key, limit, retry_after_ms)
            case limits.Overloaded(retry_after_ms):
                return _overloaded(service_class.value, retry_after_ms)
        try:
            answer = await proceed(request)
            if isinstance(answer, answers.Completed):
                self._limits.charge_tokens(limits_by_key, answer.usage.tokens)
            return answer
        finally:
            self._limits.release(limits_by_key, service_class)


def _limited(key: str, limit: str, retry_after_ms: int) -> answers.Problem:
    return answers.Problem(
        answers.ProblemKind.LIMITED,
        answers.Outcome.NOT_RUN,
        f'{key} is over its limit {limit}',
        'wait as long as Retry-After says, or ask for a higher limit',
        retry_after_ms,
    )


def _overloaded(service_class: str, retry_after_ms: int) -> answers.Problem:
    return answers.Problem(
        answers.ProblemKind.OVERLOADED,
        answers.Outcome.NOT_RUN,
        f'this instance has no room for class {service_class!r}',
        'wait as long as Retry-After says and send the request again',
        retry_after_ms,
    )
