"""Attempts of requests at targets: choice, exchange, answer."""

from collections.abc import Callable

from sycamorebeam import clocks
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import calls
from sycamorebeam.forwarding import directory as directories
from sycamorebeam.forwarding import events
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import metrics as metrics_module
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import notices as notices_module
from sycamorebeam.forwarding import placement
from sycamorebeam.forwarding import preparation
from sycamorebeam.forwarding import prompt_placing
from sycamorebeam.forwarding import prompt_streams
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import upstream

MIN_REMAINING_MS = 20  # a target cannot serve anything in less


class Attempts:
    """Sends requests to targets and passes their answers on."""

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        state: active_state.ActiveState,
        lease: freshness.FreshnessLease,
        directory: directories.Directory,
        places: placement.Placement,
        prompts: prompt_streams.PromptStreams,
        client: upstream.Upstream,
        codec: calls.Codec,
        notices: notices_module.Notices,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._clock = clock
        self._state = state
        self._lease = lease
        self._directory = directory
        self._places = places
        self._prompts = prompts
        self._client = client
        self._codec = codec
        self._notices = notices
        self._metrics = metrics

    def pick_target(self, call: calls.Call) -> model.Target | None:
        """Return the target to try next, None when none is left."""
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

    def retry_after_ms(self, call: calls.Call) -> float:
        """Return how soon a target wants requests, 0 when one does now."""
        return self._places.return_in_ms(
            self._directory.usable(call.service), self._clock.monotonic_ms()
        )

    async def attempt(
        self,
        call: calls.Call,
        first: model.Target,
        results: tuple[str, ...] | None,
        prepared: preparation.Preparation | None,
    ) -> calls.Outcome:
        """Send a request to one target and pass its answer on.

        ``results`` are what the request's stages produced, for the zone of
        the ``first`` choice; ``prepared`` holds them until they were used.
        """
        target = await self._choose_target(call, results, first)
        if target is None:
            return calls.NotSent('no target is left')
        call.last_target_id = target.target_id
        seen = self._places.observed(target)
        began_ms = self._clock.monotonic_ms()
        seen.started()
        try:
            outcome = await self._exchange(call, target, results, prepared)
        finally:
            seen.ended()
            self._prompts.ended(call.request.attempt_id)
        now_ms = self._clock.monotonic_ms()
        self._metrics.attempts.labels(
            call.route.kind.value, type(outcome).__name__.lower()
        ).inc()
        match outcome:
            case calls.NotSent():
                call.excluded.add(target.target_id)
                seen.unreachable(now_ms)
            case calls.Declined():
                call.excluded.add(target.target_id)
            case calls.Broken():
                call.excluded.add(target.target_id)
                seen.failed(now_ms)
            case calls.Delivered():
                if call.route.kind is not model.Kind.STREAM:
                    seen.succeeded(now_ms - began_ms, now_ms)
        return outcome

    async def _choose_target(
        self,
        call: calls.Call,
        results: tuple[str, ...] | None,
        first: model.Target,
    ) -> model.Target | None:
        """Return the target to send to.

        The stages took time, in which the first choice may have gone.
        """
        service = self._state.service(call.service)
        if service is None or not service.has_engine:
            return self.pick_target(call)
        return await self._prompts.place(
            call.service,
            prompt_placing.Prompt(
                attempt_id=call.request.attempt_id,
                parts=call.request.prompt,
                zone=first.availability_zone,
                input_bytes=call.input_bytes if results else 0.0,
            ),
            call.excluded,
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
                self._new_send_check(call),
            )
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

    def _new_send_check(self, call: calls.Call) -> Callable[[], None]:
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

    async def _handle_answer(
        self,
        call: calls.Call,
        target: model.Target,
        answer: upstream.Answer,
        prepared: preparation.Preparation | None,
    ) -> calls.Outcome:
        head = self._codec.decode_answer_head(answer)
        seen = self._places.observed(target)
        now_ms = self._clock.monotonic_ms()
        seen.rest(self._notices.take(target, head.notice), now_ms)
        if head.load is not None:
            running, waiting, _ = head.load
            seen.reported(running + waiting, now_ms)
        if head.is_misdirected:
            # The target is gone and another one has its address, so that
            # this was no attempt at the target.
            call.sends -= 1
            return calls.NotSent('another target has the address')
        if not head.is_executed:
            return calls.Declined(head.status)
        if head.attempt_id != call.request.attempt_id:
            return calls.Broken('the answer belongs to another request')
        if head.status < 300 and not head.is_signed:
            return calls.Broken('the answer is not signed by its target')
        if head.has_encoding:
            return calls.Broken(
                "the answer is encoded, so not the target's own"
            )
        if head.status < 300 and call.route.kind is model.Kind.STREAM:
            return await self._relay_stream(call, head, answer, prepared)
        body = await answer.read_body()
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
        """Pass the events of a stream on as they arrive."""
        async for chunk in answer.chunks():
            try:
                data = call.splitter.feed(chunk)
            except events.TooLargeError as error:
                raise upstream.BrokenError(str(error)) from error
            if not data:
                continue
            if prepared is not None:
                # The engine has read its inputs before its first event.
                prepared.free()
            if not call.has_begun:
                self._prompts.began(call.request.attempt_id)
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
        return calls.Delivered(head.status)
