"""The way of one request: checks, stages, attempts at targets, answer."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from sycamorebeam import clock as clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import directory as directories
from sycamorebeam.forwarding import events
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import patience
from sycamorebeam.forwarding import placement
from sycamorebeam.forwarding import preparation
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import routing
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import upstream

# Connections that failed are no attempts, but each costs the caller time.
MAX_CONNECT_FAILURES = 4
NOT_READY_RETRY_MS = 500.0  # another instance answers sooner
NO_TARGET_RETRY_MS = 300.0  # a replaced target is listed within a second
FULL_RETRY_MS = 200.0
# Callers honour a time to return up to a third of the time they have left.
RETURN_SHARE = 1 / 3
MIN_SEND_MS = 20  # a target cannot serve anything in less


class Reply(Protocol):
    """The way back to the caller."""

    async def begin(self, head: requests.AnswerHead) -> None:
        """Begin a streamed answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        ...

    async def end(self) -> None:
        """End a streamed answer as complete."""
        ...

    async def whole(self, head: requests.AnswerHead, body: bytes) -> None:
        """Send a whole answer of a target."""
        ...

    async def refuse(self, refusal: requests.Refusal) -> None:
        """Send an answer of this instance's own."""
        ...

    def abort(self) -> None:
        """Break the answer off, so that it cannot look complete."""
        ...


class Codec(Protocol):
    """Heads of requests and answers, as targets speak them."""

    def target_headers(
        self,
        request: requests.CallerRequest,
        target_id: str,
        send: requests.Send,
    ) -> list[tuple[str, str]]:
        """Return the headers of a request as a target gets it."""
        ...

    def decode_answer_head(
        self, answer: upstream.Answer
    ) -> requests.AnswerHead:
        """Return the head of a target's answer."""
        ...


@attrs.frozen
class Delivered:
    """The caller has a whole answer."""

    status: int


@attrs.frozen
class NotSent:
    """Nothing reached the target."""

    error: str


@attrs.frozen
class Declined:
    """The target did not run the request, and never will."""

    status: int


@attrs.frozen
class Broken:
    """The request may have run; ``answer`` is a target's own failure."""

    error: str
    answer: tuple[requests.AnswerHead, bytes] | None = None


Outcome = Delivered | NotSent | Declined | Broken


@attrs.define(kw_only=True)
class _Call:
    """One request on its way."""

    request: requests.CallerRequest
    reply: Reply
    route: model.Route
    service: str
    team: model.Team | None
    deadline: clocks.Deadline
    elapsed_ms: int = 0
    sends: int = 0
    connect_failures: int = 0
    excluded: set[str] = attrs.field(factory=set)
    has_begun: bool = False
    may_have_run: bool = False
    splitter: events.EventSplitter = attrs.field(factory=events.EventSplitter)
    last_target: str = ''
    stages_ms: dict[int, int] = attrs.field(factory=dict)
    sent_ms: int | None = None
    begun_ms: int | None = None

    @property
    def rank(self) -> int:
        """The rank of the team, or else of the route."""
        if self.team is not None and self.team.rank is not None:
            return self.team.rank
        return self.route.rank

    @property
    def is_return(self) -> bool:
        """Whether the caller came back after an earlier attempt."""
        return self.elapsed_ms > patience.CERTAIN_ELAPSED_MS

    @property
    def may_send_again(self) -> bool:
        """Whether another target may get the request."""
        if self.sends >= self.route.max_attempts:
            return False
        return not self.may_have_run or self.route.may_repeat


@attrs.define
class State:
    """The desired state in force and its routes."""

    desired: model.DesiredState | None = None
    routes: routing.RouteTable | None = None

    def take(self, desired: model.DesiredState) -> bool:
        """Put a version in force unless it is not newer."""
        if self.desired is not None and (
            desired.version <= self.desired.version
        ):
            return False
        self.desired = desired
        self.routes = routing.RouteTable(desired)
        return True

    def service(self, name: str) -> model.Service | None:
        """Return a service of the desired state."""
        return (
            None if self.desired is None else self.desired.services.get(name)
        )


class Forwarder:
    """Takes callers' requests to targets."""

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        state: State,
        lease: freshness.FreshnessLease,
        directory: directories.Directory,
        places: placement.Placement,
        budgets: retry_budget.RetryBudgets,
        producer: preparation.Producer,
        client: upstream.Upstream,
        codec: Codec,
        metrics: telemetry.Metrics,
    ) -> None:
        self._clock = clock
        self._state = state
        self._lease = lease
        self._directory = directory
        self._places = places
        self._budgets = budgets
        self._producer = producer
        self._client = client
        self._codec = codec
        self._metrics = metrics
        self._stage_times = preparation.StageTimes()
        self._elapsed = patience.ElapsedTimes()

    async def handle(
        self, request: requests.CallerRequest, reply: Reply
    ) -> None:
        """Answer one request."""
        found = self._admit(request, reply)
        if isinstance(found, requests.Refusal):
            await self._refuse_early(request, reply, found)
            return
        self._budgets.count_request(found.service, self._clock.monotonic_ms())
        loop = asyncio.get_running_loop()
        remaining_s = found.deadline.remaining_ms(self._clock) / 1000
        result = 'cancelled'
        try:
            async with asyncio.timeout_at(loop.time() + remaining_s):
                result = await self._serve(found)
        except TimeoutError:
            result = 'deadline'
            await self._fail(found, 504, 'the deadline has passed')
        except ConnectionError:
            result = 'caller_gone'
        finally:
            self._log_end(found, result)

    def _admit(
        self, request: requests.CallerRequest, reply: Reply
    ) -> _Call | requests.Refusal:
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
        return _Call(
            request=request,
            reply=reply,
            route=route,
            service=routing.pick_service(route, request.attempt_id),
            team=team,
            deadline=requests.deadline_of(
                request, route.timeout_ms, self._clock
            ),
            elapsed_ms=self._elapsed.elapsed_ms(
                route.name, request.deadline_ms
            ),
        )

    async def _serve(self, call: _Call) -> str:
        """Send the request until it is answered; return how it ended."""
        while True:
            target = self._pick(call)
            if target is None:
                return await self._give_up(
                    call, 'no target is left', NO_TARGET_RETRY_MS
                )
            prepared = self._preparation(call)
            try:
                results = await self._prepare(call, prepared, target)
                if isinstance(results, stages.Failure):
                    return await self._give_up(
                        call,
                        f'stage: {results.reason.value}',
                        results.retry_after_ms,
                    )
                outcome = await self._attempt(call, results, prepared)
            finally:
                if prepared is not None:
                    prepared.free()
            ended = await self._after(call, outcome)
            if ended is not None:
                return ended

    async def _after(self, call: _Call, outcome: Outcome) -> str | None:
        """Return how the request ended, None to send it again."""
        match outcome:
            case Delivered(status):
                return f'status_{status}'
            case NotSent(error):
                call.connect_failures += 1
                if call.connect_failures < MAX_CONNECT_FAILURES:
                    return None
                return await self._give_up(call, error, NO_TARGET_RETRY_MS)
            case Declined(status):
                if call.may_send_again and self._spend(call):
                    return None
                return await self._give_up(
                    call, f'declined with {status}', FULL_RETRY_MS
                )
            case Broken(error, answer):
                call.may_have_run = True
                if call.may_send_again and self._spend(call):
                    return None
                if answer is not None and not call.has_begun:
                    await call.reply.whole(*answer)
                    return f'status_{answer[0].status}'
                await self._fail(call, 502, error)
                return 'broken'

    def _pick(self, call: _Call) -> model.Target | None:
        now_ms = self._clock.monotonic_ms()
        usable = self._directory.usable(call.service)
        service = self._state.service(call.service)
        if service is not None and service.has_engine:
            return self._places.pick_engine(
                usable,
                call.excluded,
                call.request.session_part,
                call.request.attempt_id,
                now_ms,
            )
        return self._places.pick_service_target(usable, call.excluded, now_ms)

    def _preparation(self, call: _Call) -> preparation.Preparation | None:
        if not call.route.stages:
            return None
        return preparation.Preparation(
            self._producer,
            self._clock,
            call.request,
            call.route.stages,
            self._state.service,
            self._stage_times,
            call.rank,
        )

    async def _prepare(
        self,
        call: _Call,
        prepared: preparation.Preparation | None,
        target: model.Target,
    ) -> tuple[str, ...] | stages.Failure | None:
        if prepared is None:
            return None
        route = call.route
        arrived_ms = call.request.arrived_ms
        objective_ms = int(route.latency_objective_ms) - call.elapsed_ms
        patience_ms = arrived_ms + int(route.patience_ms)
        useless_ms = min(call.deadline.at_ms, patience_ms)
        tolerance = 1 + preparation.TOLERANCE_SHARE
        accept_ms = arrived_ms + int(objective_ms * tolerance)
        times = preparation.Times(
            objective_ms=arrived_ms + objective_ms,
            accept_ms=useless_ms if call.is_return else accept_ms,
            useless_ms=useless_ms,
        )
        try:
            return await prepared.run(target.availability_zone, times)
        finally:
            call.stages_ms = dict(prepared.took_ms)

    async def _attempt(
        self,
        call: _Call,
        results: tuple[str, ...] | None,
        prepared: preparation.Preparation | None,
    ) -> Outcome:
        # The stages took time, in which the first choice may have gone.
        target = self._pick(call)
        if target is None:
            return NotSent('no target is left')
        call.last_target = target.target_id
        seen = self._places.observed(target)
        began_ms = self._clock.monotonic_ms()
        seen.started()
        try:
            outcome = await self._exchange(call, target, results, prepared)
        finally:
            seen.ended()
        now_ms = self._clock.monotonic_ms()
        match outcome:
            case NotSent():
                call.excluded.add(target.target_id)
                seen.unreachable(now_ms)
            case Declined():
                call.excluded.add(target.target_id)
            case Broken():
                call.excluded.add(target.target_id)
                seen.failed(now_ms)
            case Delivered():
                if call.route.kind is not model.Kind.STREAM:
                    seen.succeeded(now_ms - began_ms, now_ms)
        return outcome

    async def _exchange(
        self,
        call: _Call,
        target: model.Target,
        results: tuple[str, ...] | None,
        prepared: preparation.Preparation | None,
    ) -> Outcome:
        remaining_ms = call.deadline.remaining_ms(self._clock)
        if remaining_ms < MIN_SEND_MS:
            raise TimeoutError
        last_event_id = None
        if call.route.is_resumable:
            last_event_id = (
                call.splitter.last_event_id or call.request.last_event_id
            )
        headers = self._codec.target_headers(
            call.request,
            target.target_id,
            requests.Send(
                remaining_ms=remaining_ms,
                team=None if call.team is None else call.team.name,
                rank=call.rank,
                results=results,
                last_event_id=last_event_id,
            ),
        )
        try:
            answer = await self._client.open(
                target.address,
                call.request.method,
                call.request.path,
                headers,
                call.request.body or None,
                self._check_before_send(call),
            )
        except upstream.NotSentError as error:
            return NotSent(str(error))
        except upstream.BrokenError as error:
            return Broken(str(error))
        try:
            return await self._take_answer(call, target, answer, prepared)
        except upstream.BrokenError as error:
            call.splitter.drop_rest()
            return Broken(str(error))
        finally:
            answer.close()

    def _check_before_send(self, call: _Call) -> Callable[[], None]:
        """Return a check that runs when the connection is open.

        The process may have been suspended since the request was admitted.
        """

        def check() -> None:
            if call.team is not None and not self._lease.is_valid(
                self._clock.boottime_ms()
            ):
                raise upstream.NotSentError('the desired state is too old')
            call.sends += 1
            call.sent_ms = self._clock.monotonic_ms()

        return check

    async def _take_answer(
        self,
        call: _Call,
        target: model.Target,
        answer: upstream.Answer,
        prepared: preparation.Preparation | None,
    ) -> Outcome:
        head = self._codec.decode_answer_head(answer)
        if head.load is not None:
            running, waiting, _ = head.load
            self._places.observed(target).reported(
                running + waiting, self._clock.monotonic_ms()
            )
        if not head.is_executed:
            return Declined(head.status)
        if head.attempt_id != call.request.attempt_id:
            return Broken('the answer belongs to another request')
        if head.status < 300 and not head.is_signed:
            return Broken('the answer is not signed by its target')
        if head.has_encoding:
            return Broken("the answer is encoded, so not the target's own")
        if head.status < 300 and call.route.kind is model.Kind.STREAM:
            return await self._relay(call, head, answer, prepared)
        body = await answer.whole_body()
        if head.status >= 500:
            return Broken(f'status {head.status}', (head, body))
        await call.reply.whole(head, body)
        return Delivered(head.status)

    async def _relay(
        self,
        call: _Call,
        head: requests.AnswerHead,
        answer: upstream.Answer,
        prepared: preparation.Preparation | None,
    ) -> Outcome:
        """Pass the events of a stream on as they arrive."""
        async for chunk in answer.chunks():
            data = call.splitter.feed(chunk)
            if not data:
                continue
            if prepared is not None:
                # The engine has read its inputs before its first event.
                prepared.free()
            if not call.has_begun:
                call.has_begun = True
                call.begun_ms = self._clock.monotonic_ms()
                await call.reply.begin(head)
            await call.reply.write(data)
        rest = call.splitter.drop_rest()
        if not call.has_begun:
            call.has_begun = True
            await call.reply.begin(head)
        if rest:
            await call.reply.write(rest)
        await call.reply.end()
        return Delivered(head.status)

    def _spend(self, call: _Call) -> bool:
        allowed = self._budgets.spend(call.service, self._clock.monotonic_ms())
        if not allowed:
            self._metrics.count('request.repeat_denied')
        return allowed

    async def _give_up(
        self, call: _Call, reason: str, retry_after_ms: float
    ) -> str:
        """Answer a request that this attempt did not run."""
        if call.may_have_run:
            await self._fail(call, 502, reason)
            return f'failed: {reason}'
        left_ms = call.deadline.remaining_ms(self._clock)
        await call.reply.refuse(
            requests.unavailable(
                reason, min(retry_after_ms, left_ms * RETURN_SHARE)
            )
        )
        return f'refused: {reason}'

    async def _fail(self, call: _Call, status: int, reason: str) -> None:
        if call.has_begun:
            call.reply.abort()
            return
        await call.reply.refuse(requests.Refusal(status=status, reason=reason))

    async def _refuse_early(
        self,
        request: requests.CallerRequest,
        reply: Reply,
        refusal: requests.Refusal,
    ) -> None:
        self._metrics.count(f'request.refused.{refusal.status}')
        telemetry.log_event(
            'request_refused',
            request=request.attempt_id,
            status=refusal.status,
            reason=refusal.reason,
            state_version=self._version(),
            state_age_ms=self._lease.age_ms(self._clock.boottime_ms()),
        )
        await reply.refuse(refusal)

    def _version(self) -> int | None:
        desired = self._state.desired
        return None if desired is None else desired.version

    def _log_end(self, call: _Call, result: str) -> None:
        arrived_ms = call.request.arrived_ms
        took_ms = self._clock.monotonic_ms() - arrived_ms
        self._metrics.count('request.ended')
        self._metrics.timing(f'request.{call.route.kind.value}', took_ms)
        telemetry.log_event(
            'request_ended',
            request=call.request.attempt_id,
            route=call.route.name,
            result=result,
            target=call.last_target,
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
            state_version=self._version(),
        )
