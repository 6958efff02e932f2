"""Attempts at targets: choice of the target, exchange, relay of the answer."""

import asyncio

from sycamorebeam import clocks
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import calls
from sycamorebeam.forwarding import crashing_prompts
from sycamorebeam.forwarding import events
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import preparation
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import region_prompt_placer
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import send_permits
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_crashes
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_feedback
from sycamorebeam.forwarding import upstream
from sycamorebeam.forwarding.cold_targets import cold_targets
from sycamorebeam.forwarding.placement import send_checks
from sycamorebeam.forwarding.placement import target_selection

MIN_REMAINING_MS = 20  # no target can serve a request in less
# A stream that goes on for this long after its first event has not crashed
# its engine by its prompt.
BEGINNING_MS = 500


class Attempts:
    """Sends requests to targets and relays their answers."""

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        state: active_state.ActiveState,
        lease: freshness.FreshnessLease,
        directory: target_directory.TargetDirectory,
        chooser: target_choice.TargetChooser,
        prompt_placer: region_prompt_placer.RegionPromptPlacer,
        client: upstream.Upstream,
        codec: calls.Codec,
        feedback_handler: target_feedback.FeedbackHandler,
        permits: send_permits.SendPermits,
        crashing_prompts: crashing_prompts.CrashingPrompts,
        cold: cold_targets.ColdTargets,
        metrics: prometheus_metrics.Metrics,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._chooser = chooser
        self._prompt_placer = prompt_placer
        self._client = client
        self._codec = codec
        self._feedback_handler = feedback_handler
        self._crashing_prompts = crashing_prompts
        self._cold = cold
        self._send_checks = send_checks.SendChecks(
            clock, lease, directory, feedback_handler, cold
        )
        self._metrics = metrics
        self._selection = target_selection.TargetSelection(
            clock,
            state,
            directory,
            chooser,
            prompt_placer,
            permits,
            cold,
        )

    def pick_target(self, call: calls.Call) -> model.Target | None:
        """Return the target to try next, None when none is left."""
        return self._selection.pick(call)

    def retry_after_ms(self, call: calls.Call) -> float:
        """Return how soon a target accepts requests, 0 if one does now."""
        return self._selection.retry_after_ms(call)

    def reports_pace(self, service: str) -> bool:
        """Whether targets of a service report the pace of their machines."""
        now_ms = self._clock.monotonic_ms()
        return self._chooser.loads.is_paced(service, now_ms)

    def withheld_ms(self, call: calls.Call) -> float:
        """Return how long a prompt is withheld, 0 if it may be sent now."""
        return self._crashing_prompts.wait_ms(call.request.shared_part_ids)

    async def attempt(
        self,
        call: calls.Call,
        first_choice: model.Target,
        results: tuple[str, ...] | None,
        prepared: preparation.Preparation | None,
    ) -> calls.Outcome:
        """Send a request to one target and relay its answer.

        ``results`` are those of the request's stages, produced for the zone
        of ``first_choice``; ``prepared`` holds them until they are read.
        """
        try:
            target = await self._selection.choose(call, results, first_choice)
        except asyncio.CancelledError:
            self._prompt_placer.remove(call.request.attempt_id)
            raise
        if target is None:
            return self._selection.without_target(call)
        wait_ms = self.withheld_ms(call)
        if wait_ms > 0:
            self._prompt_placer.remove(call.request.attempt_id)
            return calls.Withheld(wait_ms)
        self._crashing_prompts.begin(call.request.shared_part_ids)
        call.last_target_id = target.target_id
        call.attempt_begun_ms = None
        stats = self._chooser.stats(target)
        began_ms = self._clock.monotonic_ms()
        sends = call.sends
        stats.record_start()
        try:
            outcome = await self._exchange(call, target, results, prepared)
        except asyncio.CancelledError:
            # The deadline has passed, or the caller has gone.
            self._count(call, 'cancelled')
            if call.sends > sends and call.sent_ms is not None:
                now_ms = self._clock.monotonic_ms()
                stats.record_unended(call.sent_ms, call.limit_ms, now_ms)
            raise
        finally:
            stats.record_end()
            self._prompt_placer.remove(call.request.attempt_id)
        now_ms = self._clock.monotonic_ms()
        self._count(call, type(outcome).__name__.lower())
        match outcome:
            case calls.NotSent():
                call.excluded.add(target.target_id)
                if not self._directory.is_evacuated(target.target_id):
                    stats.record_unreachable(now_ms)
            case calls.Declined():
                call.excluded.add(target.target_id)
            case calls.Broken():
                call.excluded.add(target.target_id)
                stats.record_failure(now_ms)
                self._record_unanswered(call, target, now_ms)
            case calls.Delivered(status):
                if status < 300:
                    self._crashing_prompts.record_survival(
                        call.request.shared_part_ids
                    )
                if call.route.kind is not model.Kind.STREAM:
                    stats.record_success(now_ms - began_ms, now_ms)
                    self._selection.record_time(target, now_ms - began_ms)
                else:
                    stats.health.record_success()
        return outcome

    def _count(self, call: calls.Call, outcome: str) -> None:
        self._metrics.attempts.labels(call.route.kind.value, outcome).inc()

    def _record_unanswered(
        self, call: calls.Call, target: model.Target, now_ms: int
    ) -> None:
        """Have a target checked whose answer broke off at its beginning."""
        part_ids = call.request.shared_part_ids
        begun_ms = call.attempt_begun_ms
        if not part_ids or call.sent_ms is None:
            return
        if begun_ms is None or now_ms - begun_ms < BEGINNING_MS:
            self._crashing_prompts.record_broken(
                target,
                target_crashes.UnansweredPrompt(
                    call.request.attempt_id, part_ids, call.sent_ms
                ),
            )

    async def _exchange(
        self,
        call: calls.Call,
        target: model.Target,
        results: tuple[str, ...] | None,
        prepared: preparation.Preparation | None,
    ) -> calls.Outcome:
        remaining_ms = call.deadline.remaining_ms(self._clock)
        if remaining_ms < MIN_REMAINING_MS:
            raise TimeoutError
        last_event_id = None
        if call.route.is_resumable:
            last_event_id = (
                call.splitter.last_event_id or call.request.last_event_id
            )
        headers = self._codec.target_headers(
            call.request,
            target.target_id,
            requests.SendParameters(
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
                self._send_checks.new(call, target),
            )
        except cold_targets.SendsUsedUpError:
            return self._selection.without_target(call)
        except upstream.NotSentError as error:
            return calls.NotSent(str(error))
        except upstream.BrokenError as error:
            return calls.Broken(str(error))
        try:
            return await self._handle_answer(call, target, answer, prepared)
        except upstream.BrokenError as error:
            call.splitter.drop_rest()
            return calls.Broken(str(error))
        finally:
            answer.close()

    async def _handle_answer(
        self,
        call: calls.Call,
        target: model.Target,
        answer: upstream.Answer,
        prepared: preparation.Preparation | None,
    ) -> calls.Outcome:
        head = self._codec.decode_answer_head(answer)
        stats = self._chooser.stats(target)
        now_ms = self._clock.monotonic_ms()
        stats.back_off(
            self._feedback_handler.handle(target, head.feedback), now_ms
        )
        if head.load is not None and head.load.pace is None:
            stats.record_load(head.load.running + head.load.waiting, now_ms)
        elif head.load is not None and not head.is_misdirected:
            self._chooser.record_paced_load(target, head.load, now_ms)
        if head.attempt_id not in (None, call.request.attempt_id):
            return calls.Broken('the answer belongs to another request')
        if head.is_misdirected:
            # The target is gone and another one has its address, so this
            # doesn't count as an attempt.
            call.sends -= 1
            return calls.NotSent('the address now belongs to another target')
        if not head.is_executed:
            return calls.Declined(head.status)
        if head.attempt_id is None:
            return calls.Broken('the answer does not name its request')
        if head.status < 300 and not head.is_signed:
            return calls.Broken('the answer is not signed by its target')
        if head.has_encoding:
            return calls.Broken(
                "the answer has a Content-Encoding, so it isn't the target's"
            )
        if head.status < 300 and call.route.kind is model.Kind.STREAM:
            return await self._relay_stream(call, head, answer, prepared)
        if call.has_begun:
            return calls.Broken(
                f'status {head.status} instead of the rest of the stream'
            )
        body = await answer.read_body()
        if head.status in requests.NOT_RUN_STATUSES:
            return calls.Broken(f'status {head.status}, but it may have run')
        if head.status >= 500:
            return calls.Broken(f'status {head.status}', (head, body))
        await call.reply.send_whole(head, body)
        return calls.Delivered(head.status)

    async def _relay_stream(
        self,
        call: calls.Call,
        head: requests.AnswerHead,
        answer: upstream.Answer,
        prepared: preparation.Preparation | None,
    ) -> calls.Outcome:
        """Relay the events of a stream as they arrive."""
        has_survived = False
        async for chunk in answer.chunks():
            try:
                data = call.splitter.feed(chunk)
            except events.TooLargeError as error:
                raise upstream.BrokenError(str(error)) from error
            answer.keep(call.splitter.incomplete_bytes)
            if not data:
                continue
            if prepared is not None:
                # An engine reads its inputs before it sends its first event.
                prepared.free()
            now_ms = self._clock.monotonic_ms()
            if call.attempt_begun_ms is None:
                call.attempt_begun_ms = now_ms
            elif (
                not has_survived
                and now_ms - call.attempt_begun_ms >= BEGINNING_MS
            ):
                has_survived = True
                self._crashing_prompts.record_survival(
                    call.request.shared_part_ids
                )
            if not call.has_begun:
                self._prompt_placer.mark_read(call.request.attempt_id)
                call.has_begun = True
                call.begun_ms = self._clock.monotonic_ms()
                await call.reply.begin(head)
            await call.reply.write(data)
        rest = call.splitter.drop_rest()
        if rest and not answer.has_length:
            raise upstream.BrokenError('the answer ends within an event')
        if answer.is_delimited_by_close and call.attempt_begun_ms is None:
            # A target that crashes closes its connections as well.
            raise upstream.BrokenError('the answer ends before its events')
        if not call.has_begun:
            call.has_begun = True
            await call.reply.begin(head)
        if rest:
            await call.reply.write(rest)
        await call.reply.end()
        return calls.Delivered(head.status)
