"""Serves a caller's request: admission, stages, attempts, answer."""

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import calls
from sycamorebeam.forwarding import elapsed_times
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import preparation
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import request_limits
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import routing
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_attempts
from sycamorebeam.forwarding.stage_admission import engine_starts
from sycamorebeam.forwarding.stage_calls import deadlines as stage_deadlines

# Failed connections don't count as attempts, but each delays the caller.
MAX_CONNECT_FAILURES = 4
NOT_READY_RETRY_MS = 500.0  # another instance can serve sooner
NO_TARGET_RETRY_MS = 300.0  # a replacement is listed within a second
DECLINED_RETRY_MS = 200.0
STOPPING_RETRY_MS = 100.0  # another instance serves the next attempt
STOPPING_REASON = 'the instance stops'
# Another instance can batch the work with that of others. The retry must come
# after CERTAIN_ELAPSED_MS, to be distinguished from a first attempt.
ISOLATED_RETRY_MS = 150.0
# Callers honour a Retry-After of up to a third of their remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3


class Forwarder:
    """Forwards callers' requests to targets and answers the callers."""

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        state: active_state.ActiveState,
        lease: freshness.FreshnessLease,
        budgets: retry_budget.RetryBudgets,
        producer: preparation.Producer,
        attempts: target_attempts.Attempts,
        metrics: prometheus_metrics.Metrics,
    ) -> None:
        self._clock = clock
        self._state = state
        self._lease = lease
        self._budgets = budgets
        self._producer = producer
        self._attempts = attempts
        self._metrics = metrics
        self._stage_delays = stage_deadlines.StageDelays()
        self._engine_starts = engine_starts.EngineStarts()
        self._elapsed_times = elapsed_times.ElapsedTimes()
        self._limits = request_limits.RequestLimits()

    async def handle(
        self, request: requests.CallerRequest, reply: calls.Reply
    ) -> None:
        """Serve one request within its deadline."""
        admitted = self._admit(request, reply)
        if isinstance(admitted, requests.Refusal):
            await self._refuse_early(request, reply, admitted)
            return
        self._budgets.count_request(
            admitted.service, self._clock.monotonic_ms()
        )
        result = 'cancelled'
        try:
            async with self._limits.limit(admitted.deadline):
                result = await self._serve(admitted)
        except TimeoutError:
            result = await self._handle_timeout(admitted)
        except ConnectionError:
            result = 'caller_gone'
        finally:
            self._record_end(admitted, result)

    def begin_stop(self, stop_ms: int) -> None:
        """End all requests by ``stop_ms``, on the monotonic clock.

        New ones that may take longer are refused.
        """
        self._limits.begin_stop(stop_ms)

    def _admit(
        self, request: requests.CallerRequest, reply: calls.Reply
    ) -> calls.Call | requests.Refusal:
        state = self._state
        if state.desired is None or state.routes is None:
            return requests.unavailable(
                'no desired state is known yet', NOT_READY_RETRY_MS
            )
        route = state.routes.find(request.host, request.path)
        if route is None:
            return requests.Refusal(status=404, reason='there is no route')
        team = None
        if state.desired.has_teams and not route.is_public:
            if not self._lease.is_valid(self._clock.boottime_ms()):
                return requests.unavailable(
                    'the desired state is too old to rely on keys',
                    NOT_READY_RETRY_MS,
                )
            team = state.desired.team_of_key.get(request.key or '')
            if team is None:
                return requests.Refusal(status=401, reason='unknown key')
        deadline = requests.compute_deadline(
            request, route.timeout_ms, self._clock
        )
        if not self._limits.may_finish(deadline):
            return requests.unavailable(STOPPING_REASON, STOPPING_RETRY_MS)
        return calls.Call(
            request=request,
            reply=reply,
            route=route,
            service=routing.pick_service(route, request.attempt_id),
            team=team,
            deadline=deadline,
            elapsed_ms=self._elapsed_times.elapsed_ms(
                route.name, request.deadline_ms
            ),
        )

    async def _serve(self, call: calls.Call) -> str:
        """Run stages and attempts until the request is answered.

        Returns the result for the log and the metrics.
        """
        if self._should_defer_to_other_instances(call):
            return await self._refuse_or_fail(
                call, 'no other instance is reached', ISOLATED_RETRY_MS
            )
        while True:
            withheld_ms = self._attempts.withheld_ms(call)
            if withheld_ms > 0:
                return await self._withhold(call, withheld_ms)
            target = self._attempts.pick_target(call)
            if target is None:
                self._metrics.requests_without_target.inc()
                return await self._refuse_or_fail(
                    call,
                    'no target is left'
                    if call.allowed_regions is None
                    else 'no target is left in the allowed regions',
                    self._attempts.retry_after_ms(call) or NO_TARGET_RETRY_MS,
                )
            prepared = self._new_preparation(call)
            try:
                results = await self._run_stages(call, prepared, target)
                if isinstance(results, stages.Failure):
                    return await self._refuse_or_fail(
                        call,
                        f'stage: {results.reason.value}',
                        results.retry_after_ms,
                    )
                outcome = await self._attempts.attempt(
                    call, target, results, prepared
                )
            finally:
                if prepared is not None:
                    prepared.free()
            result = await self._handle_outcome(call, outcome)
            if result is not None:
                return result

    def _should_defer_to_other_instances(self, call: calls.Call) -> bool:
        """Whether another instance would serve a request much better.

        An isolated instance cannot batch its items with those of others, so
        its calls take up most of a stage service's capacity. A caller's retry
        is served nevertheless, since all instances may be isolated.
        """
        if call.is_caller_retry or not self._producer.is_isolated:
            return False
        counts = call.request.item_counts[: len(call.route.stages)]
        return any(counts)

    async def _handle_outcome(
        self, call: calls.Call, outcome: calls.Outcome
    ) -> str | None:
        """Finish the request and return its result, None to send it again."""
        match outcome:
            case calls.Delivered(status):
                return f'status_{status}'
            case calls.NotSent(error):
                call.connect_failures += 1
                if call.connect_failures < MAX_CONNECT_FAILURES:
                    return None
                call.detail = error
                return await self._refuse_or_fail(
                    call, 'no target could be reached', NO_TARGET_RETRY_MS
                )
            case calls.Declined(status):
                if call.may_send_again and self._take_retry(call):
                    return None
                return await self._refuse_or_fail(
                    call,
                    f'declined with {status}',
                    self._attempts.retry_after_ms(call) or DECLINED_RETRY_MS,
                )
            case calls.Withheld(retry_after_ms):
                return await self._withhold(call, retry_after_ms)
            case calls.Limited(retry_after_ms, reason):
                return await self._refuse_or_fail(call, reason, retry_after_ms)
            case calls.Broken(error, answer):
                call.may_have_run = True
                if call.may_send_again and self._take_retry(call):
                    return None
                if answer is not None and not call.has_begun:
                    await call.reply.send_whole(*answer)
                    return f'status_{answer[0].status}'
                call.detail = error
                await self._fail(call, 502, 'no whole answer came')
                return 'broken'

    def _new_preparation(
        self, call: calls.Call
    ) -> preparation.Preparation | None:
        if not call.route.stages:
            return None
        return preparation.Preparation(
            self._producer,
            self._clock,
            call.request,
            call.route.stages,
            self._state.service,
            self._stage_delays,
            call.rank,
            call.allowed_regions,
            self._engine_starts.expected_ms(
                call.route.name, preparation.ENGINE_START_MS
            ),
            reports_pace=self._attempts.reports_pace(call.service),
        )

    async def _run_stages(
        self,
        call: calls.Call,
        prepared: preparation.Preparation | None,
        target: model.Target,
    ) -> tuple[str, ...] | stages.Failure | None:
        if prepared is None:
            return None
        route = call.route
        deadlines = stage_deadlines.deadlines_of(
            route,
            call.request.arrived_ms,
            call.elapsed_ms,
            call.deadline.at_ms,
            is_retry=call.is_caller_retry,
        )
        try:
            return await prepared.run(target.availability_zone, deadlines)
        finally:
            call.stages_ms = dict(prepared.durations_ms)
            for position, took_ms in call.stages_ms.items():
                service = route.stages[position].service
                histogram = self._metrics.stage_seconds.labels(service)
                histogram.observe(took_ms / 1000)

    def _take_retry(self, call: calls.Call) -> bool:
        allowed = self._budgets.spend(call.service, self._clock.monotonic_ms())
        if not allowed:
            self._metrics.repeats_denied.inc()
        return allowed

    async def _withhold(self, call: calls.Call, retry_after_ms: float) -> str:
        return await self._refuse_or_fail(
            call, 'a part of the prompt crashes targets', retry_after_ms
        )

    async def _refuse_or_fail(
        self, call: calls.Call, reason: str, retry_after_ms: float
    ) -> str:
        """Answer a request that is not sent again.

        Status 503 promises that no target ran the request, so one that may
        have run gets 502.
        """
        if call.may_have_run:
            await self._fail(call, 502, reason)
            return f'failed: {reason}'
        left_ms = call.deadline.remaining_ms(self._clock)
        await call.reply.refuse(
            requests.unavailable(
                reason, min(retry_after_ms, left_ms * MAX_RETRY_AFTER_SHARE)
            )
        )
        return f'refused: {reason}'

    async def _handle_timeout(self, call: calls.Call) -> str:
        """Answer a request whose time is over; return the result."""
        if not self._limits.may_finish(call.deadline):
            # The instance stops. An answer tells the caller more than a
            # connection that closes.
            call.may_have_run = call.may_have_run or call.sends > 0
            return await self._refuse_or_fail(
                call, STOPPING_REASON, STOPPING_RETRY_MS
            )
        await self._fail(call, 504, 'the deadline has passed')
        return 'deadline'

    async def _fail(self, call: calls.Call, status: int, reason: str) -> None:
        if call.reply.has_begun:
            # A second answer would be taken for that of the next request.
            call.reply.abort()
            return
        await call.reply.refuse(requests.Refusal(status=status, reason=reason))

    async def _refuse_early(
        self,
        request: requests.CallerRequest,
        reply: calls.Reply,
        refusal: requests.Refusal,
    ) -> None:
        self._metrics.refusals.labels(refusal.status, refusal.reason).inc()
        telemetry.log_event(
            'request_refused',
            request=request.attempt_id,
            status=refusal.status,
            reason=refusal.reason,
            state_version=self._state_version(),
            state_age_ms=self._lease.age_ms(self._clock.boottime_ms()),
        )
        await reply.refuse(refusal)

    def _state_version(self) -> int | None:
        desired = self._state.desired
        return None if desired is None else desired.version

    def _record_end(self, call: calls.Call, result: str) -> None:
        arrived_ms = call.request.arrived_ms
        took_ms = self._clock.monotonic_ms() - arrived_ms
        kind = call.route.kind.value
        # The reason is left out to bound the number of label values.
        outcome = result.partition(':')[0]
        self._metrics.requests.labels(kind, outcome).inc()
        self._metrics.request_seconds.labels(kind).observe(took_ms / 1000)
        if call.begun_ms is not None:
            if call.sent_ms is not None and call.sends == 1:
                self._engine_starts.record(
                    call.route.name, call.begun_ms - call.sent_ms
                )
            begun_s = (call.begun_ms - arrived_ms) / 1000
            self._metrics.first_event_seconds.observe(begun_s)
        telemetry.log_event(
            'request_ended',
            request=call.request.attempt_id,
            route=call.route.name,
            result=result,
            detail=call.detail,
            target=call.last_target_id,
            sends=call.sends,
            connect_failures=call.connect_failures,
            stages_ms=','.join(
                f'{position}:{ms}' for position, ms in call.stages_ms.items()
            ),
            sent_ms=None
            if call.sent_ms is None
            else call.sent_ms - arrived_ms,
            begun_ms=None
            if call.begun_ms is None
            else call.begun_ms - arrived_ms,
            took_ms=took_ms,
            left_ms=call.deadline.remaining_ms(self._clock),
            state_version=self._state_version(),
            prompt=','.join(call.request.shared_part_ids),
        )
