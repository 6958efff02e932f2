"""Runs the stages of a pipeline for one request."""

import asyncio
from collections.abc import Sequence
import itertools
from typing import Any

import attrs

from sycamorebeam import answers
from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.controllers import catalogue_view
from sycamorebeam.controllers import region_link
from sycamorebeam.controllers import target_registry
from sycamorebeam.filters import chain
from sycamorebeam.pipeline import attempt
from sycamorebeam.pipeline import inputs
from sycamorebeam.pipeline import problems
from sycamorebeam.pipeline import progress
from sycamorebeam.pipeline import route
from sycamorebeam.policy import bucket
from sycamorebeam.policy import quantiles

MAX_ATTEMPTS = 3
# A stage is refused early if even this quantile of its recent durations would
# miss the deadline.
EXPECTED_DURATION_QUANTILE = 0.5
PRIORITIES = {
    catalogue.ServiceClass.URGENT: 0,
    catalogue.ServiceClass.NORMAL: 1,
    catalogue.ServiceClass.BULK: 2,
}


@attrs.define
class StageError(Exception):
    """Ends a run with the problem to return to the caller."""

    problem: answers.Problem


class Runner:
    """Runs pipelines: routes, sends and retries the calls of each stage."""

    def __init__(
        self,
        view: catalogue_view.CatalogueView,
        registry: target_registry.TargetRegistry,
        router: route.Router,
        attempt_sender: attempt.AttemptSender,
        link: region_link.RegionLink,
        clock: clocks.Clock,
        retry_budget: bucket.RetryBudget,
        metrics: telemetry.Metrics,
    ) -> None:
        self._view = view
        self._registry = registry
        self._router = router
        self._attempt_sender = attempt_sender
        self._link = link
        self._clock = clock
        self._retry_budget = retry_budget
        self._metrics = metrics
        self._durations: dict[tuple[str, str], quantiles.RecentDurations] = {}
        self._attempt_numbers = itertools.count(1)

    async def run(self, request: chain.Request) -> answers.Answer:
        """Return the complete answer to ``request``, or the problem."""
        assert request.pipeline is not None
        assert request.deadline is not None
        run = progress.Run(
            request, request.pipeline, request.deadline, self._link.weighting
        )
        self._retry_budget.earn()
        try:
            timeout_s = run.deadline.remaining_ms(self._clock) / 1000
            async with asyncio.timeout(timeout_s):
                await self._run_stages(run)
        except TimeoutError:
            return problems.deadline_passed(run)
        except ExceptionGroup as group:
            return _first_problem(group)
        last = run.pipeline.stages[-1].name
        return answers.Completed(run.outputs[last], run.usage())

    async def _run_stages(self, run: progress.Run) -> None:
        done = {stage.name: asyncio.Event() for stage in run.pipeline.stages}
        async with asyncio.TaskGroup() as group:
            for index in range(len(run.pipeline.stages)):
                group.create_task(self._run_stage(run, index, done))

    async def _run_stage(
        self, run: progress.Run, index: int, done: dict[str, asyncio.Event]
    ) -> None:
        stage = run.pipeline.stages[index]
        needed = inputs.needed_stages(run.pipeline, index)
        for name in needed:
            await done[name].wait()
        target = self._view.catalogue.target(stage.target)
        if target is None:
            raise StageError(problems.target_not_accepted(run, stage))
        if self._is_at_limit(stage.target, target):
            raise StageError(problems.target_at_limit(run, stage))
        self._check_remaining_time(run, index)
        started_ms = self._clock.monotonic_ms()
        stage_input = inputs.stage_input(
            target.kind,
            run.request.body['input'],
            {name: run.outputs[name] for name in needed},
        )
        answer = await self._run_with_retries(run, stage, target, stage_input)
        duration_ms = self._clock.monotonic_ms() - started_ms
        self._record_answer(run, stage, target, answer, duration_ms)
        done[stage.name].set()

    def _is_at_limit(self, group: str, target: catalogue.Target) -> bool:
        """Whether the group is at this instance's share of its limit."""
        limit = target.limits.concurrency
        if limit is None:
            return False
        share = max(1, limit // self._registry.live_instance_count)
        return self._registry.in_flight(group) >= share

    async def _run_with_retries(
        self,
        run: progress.Run,
        stage: catalogue.Stage,
        target: catalogue.Target,
        stage_input: dict[str, Any],
    ) -> results.TargetAnswer:
        failed_replicas: frozenset[str] = frozenset()
        for number in range(MAX_ATTEMPTS):
            chosen = self._router.choose(
                stage.target, run.weighting, failed_replicas
            )
            if isinstance(chosen, route.NoReplica):
                raise StageError(
                    problems.no_replica(run, stage, chosen.reason)
                )
            result = await self._probe_and_send(
                run, stage, target, chosen, stage_input
            )
            self._count_region_bytes(run, chosen, result)
            if isinstance(result, results.TargetAnswer):
                return result
            if not self._may_retry(run, stage, result, number):
                raise StageError(problems.stage_failed(run, stage, result))
            run.retries += 1
            failed_replicas |= {chosen.replica.id}
        raise AssertionError('the loop returns or raises')

    async def _probe_and_send(
        self,
        run: progress.Run,
        stage: catalogue.Stage,
        target: catalogue.Target,
        chosen: target_registry.ReplicaState,
        stage_input: dict[str, Any],
    ) -> results.TargetResult:
        """Send an attempt, if need be only after a successful probe.

        Suspect replicas are probed, and all replicas before a
        non-idempotent call.
        """
        needs_probe = chosen.health.is_suspect or not stage.idempotent
        if not needs_probe or await self._attempt_sender.probe(chosen):
            return await self._send(run, stage, target, chosen, stage_input)
        return results.TargetNotRun('the replica answered no probe')

    async def _send(
        self,
        run: progress.Run,
        stage: catalogue.Stage,
        target: catalogue.Target,
        chosen: target_registry.ReplicaState,
        stage_input: dict[str, Any],
    ) -> results.TargetResult:
        stage_attempt = ports.Attempt(
            id=f'{run.request.request_id}.{next(self._attempt_numbers)}',
            operation=stage.operation,
            input=stage_input,
            deadline=run.deadline,
            model=stage.model,
            max_tokens=stage.max_tokens,
            priority=PRIORITIES[run.pipeline.service_class],
            on_tokens=self._token_callback(run, stage),
            fresh_connection=not stage.idempotent,
            before_send=None if stage.idempotent else _permit_callback(run),
        )
        run.maybe_run_attempts += 1
        result = await self._attempt_sender.send(
            run.request.request_id, stage, target.kind, chosen, stage_attempt
        )
        if isinstance(result, results.TargetNotRun):
            run.record_not_run()
        return result

    def _may_retry(
        self,
        run: progress.Run,
        stage: catalogue.Stage,
        result: results.TargetNotRun | results.TargetMaybeRun,
        number: int,
    ) -> bool:
        if number + 1 >= MAX_ATTEMPTS:
            return False
        if not stage.idempotent and (run.dispatched or run.refused):
            return False
        if run.request.emitted:
            return False
        if not self._retry_budget.spend():
            self._metrics.count('retry.denied')
            return False
        self._metrics.count('retry.sent')
        return True

    def _token_callback(
        self, run: progress.Run, stage: catalogue.Stage
    ) -> ports.OnTokens | None:
        emit_tokens = run.request.emit_tokens
        if emit_tokens is None or stage is not run.pipeline.stages[-1]:
            return None

        async def on_tokens(tokens: Sequence[tuple[int, str]]) -> None:
            run.request.emitted += len(tokens)
            await emit_tokens(tokens)

        return on_tokens

    def _check_remaining_time(self, run: progress.Run, index: int) -> None:
        """Raise StageError if the remaining stages cannot end in time."""
        if index and run.dispatched:
            return
        expected_ms = self._expected_ms(run.pipeline, index)
        remaining_ms = run.deadline.remaining_ms(self._clock)
        if expected_ms > remaining_ms:
            self._metrics.count('refused.early')
            raise StageError(
                problems.insufficient_time(run, expected_ms, remaining_ms)
            )

    def _expected_ms(self, pipeline: catalogue.Pipeline, index: int) -> int:
        """Return the expected duration of the longest path from ``index``."""
        end_ms = [0] * len(pipeline.stages)
        names = [stage.name for stage in pipeline.stages]
        for later in range(index, len(pipeline.stages)):
            needed = inputs.needed_stages(pipeline, later)
            start_ms = [end_ms[names.index(name)] for name in needed]
            own_ms = self._expected_stage_ms(pipeline.stages[later])
            end_ms[later] = max(start_ms, default=0) + own_ms
        return max(end_ms[index:])

    def _expected_stage_ms(self, stage: catalogue.Stage) -> int:
        durations = self._durations.get((stage.target, stage.operation))
        expected_ms = durations and durations.quantile_ms(
            EXPECTED_DURATION_QUANTILE
        )
        return expected_ms or 0

    def _record_answer(
        self,
        run: progress.Run,
        stage: catalogue.Stage,
        target: catalogue.Target,
        answer: results.TargetAnswer,
        duration_ms: int,
    ) -> None:
        run.outputs[stage.name] = answer.output
        run.stage_ms[stage.name] = duration_ms
        run.tokens += answer.tokens
        token_cost = target.cost_per_token * answer.tokens
        run.stage_cost[stage.name] = target.cost_per_call + token_cost
        key = (stage.target, stage.operation)
        durations = self._durations.get(key)
        if durations is None:
            durations = self._durations[key] = quantiles.RecentDurations()
        durations.add(duration_ms)

    def _count_region_bytes(
        self,
        run: progress.Run,
        chosen: target_registry.ReplicaState,
        result: results.TargetResult,
    ) -> None:
        if chosen.replica.region == self._registry.placement.region:
            return
        if isinstance(result, results.TargetAnswer):
            run.region_bytes += result.sent_bytes + result.received_bytes


def _permit_callback(run: progress.Run) -> ports.BeforeSend:
    """Return a callback that uses the permit before the first byte."""

    def use_permit() -> None:
        permit = run.request.permit
        assert permit is not None
        permit.use()
        run.dispatched = True

    return use_permit


def _first_problem(group: ExceptionGroup) -> answers.Problem:
    """Return the problem that ended the run; raise any other errors."""
    stage_errors, others = group.split(StageError)
    if stage_errors is None or others is not None:
        raise group
    first: BaseException = stage_errors
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    assert isinstance(first, StageError)
    return first.problem
