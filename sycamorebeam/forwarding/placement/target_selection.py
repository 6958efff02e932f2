"""Selects the target of a request among those that it may be sent to.

Plain requests and prompts of services whose targets report their pace go by
expected time, all others by the statistics of earlier requests.
"""

from collections.abc import Collection
import random

from sycamorebeam import clocks
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import calls
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import prompt_placing
from sycamorebeam.forwarding import region_prompt_placer
from sycamorebeam.forwarding import send_permits
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.cold_targets import cold_targets
from sycamorebeam.forwarding.placement import plain_choice

# Suggested to callers if a prompt fits into the memory of no engine. Engines
# end several requests a second.
NO_MEMORY_RETRY_MS = 300.0


class TargetSelection:
    """Selects targets for the requests of one instance."""

    def __init__(
        self,
        clock: clocks.Clock,
        state: active_state.ActiveState,
        directory: target_directory.TargetDirectory,
        chooser: target_choice.TargetChooser,
        prompt_placer: region_prompt_placer.RegionPromptPlacer,
        permits: send_permits.SendPermits,
        cold: cold_targets.ColdTargets,
    ) -> None:
        self._clock = clock
        self._state = state
        self._directory = directory
        self._chooser = chooser
        self._prompt_placer = prompt_placer
        self._permits = permits
        self._cold = cold
        self._work_times = plain_choice.WorkTimes()
        self._generator = random.Random()

    def pick(
        self, call: calls.Call, refused: Collection[str] = ()
    ) -> model.Target | None:
        """Return the target to try next, None when none is left.

        ``refused`` has the ids of targets that have just refused a permit.
        """
        now_ms = self._clock.monotonic_ms()
        usable = self._usable(call)
        excluded = call.excluded.union(refused, self._permits.refusing(usable))
        if self._state.has_engine(call.service):
            return self._chooser.pick_engine(
                usable,
                excluded,
                call.request.session_part,
                call.request.attempt_id,
                now_ms,
            )
        excluded |= self._cold.not_preferred(usable, excluded)
        if self._chooser.loads.is_paced(call.service, now_ms):
            return self._pick_by_time(call.service, usable, excluded, now_ms)
        return self._chooser.pick_service_target(usable, excluded, now_ms)

    def retry_after_ms(self, call: calls.Call) -> float:
        """Return how soon a target accepts requests, 0 if one does now."""
        now_ms = self._clock.monotonic_ms()
        return min(
            (
                max(
                    self._chooser.backoff_left_ms([target], now_ms),
                    self._permits.wait_ms(target),
                    self._cold.direct_wait_ms(target),
                )
                for target in self._usable(call)
            ),
            default=0.0,
        )

    async def choose(
        self,
        call: calls.Call,
        results: tuple[str, ...] | None,
        first_choice: model.Target,
    ) -> model.Target | None:
        """Choose a target that a request may be sent to now, if any."""
        refused: set[str] = set()
        while True:
            call.chosen_ms = self._clock.monotonic_ms()
            target = await self._choose_target(
                call, results, first_choice, refused
            )
            if target is None or (
                await self._permits.acquire(target)
                and not self._directory.is_evacuated(target.target_id)
                and self._cold.take_direct(target)
            ):
                return target
            self._prompt_placer.remove(call.request.attempt_id)
            refused.add(target.target_id)

    def without_target(self, call: calls.Call) -> calls.Outcome:
        """Return the outcome for a call that no target may get now."""
        retry_after_ms = self._cold.refusal_wait_ms(
            call.service, self._usable(call), call.excluded
        )
        if retry_after_ms > 0:
            return calls.Limited(retry_after_ms)
        now_ms = self._clock.monotonic_ms()
        if (
            self._state.has_engine(call.service)
            and self._chooser.loads.is_paced(call.service, now_ms)
            and self.pick(call) is not None
        ):
            # Another try would run the stages again, for the same result.
            return calls.Limited(NO_MEMORY_RETRY_MS, 'no engine has memory')
        return calls.NotSent('no target is left')

    def record_time(self, target: model.Target, latency_ms: float) -> None:
        """Record the time of a plain request, if its target has a pace."""
        sample = self._chooser.loads.get(target)
        if sample is not None:
            self._work_times.record(target.service, latency_ms, sample)

    def _usable(self, call: calls.Call) -> list[model.Target]:
        """Return the targets that accept requests and may get this one."""
        return self._chooser.only_allowed(
            self._directory.usable(call.service), call.allowed_regions
        )

    def _pick_by_time(
        self,
        service: str,
        usable: Collection[model.Target],
        excluded: Collection[str],
        now_ms: int,
    ) -> model.Target | None:
        chooser = self._chooser
        targets = chooser.candidates(usable, excluded, now_ms)
        position = plain_choice.choose(
            [
                plain_choice.Candidate(
                    own_running=chooser.stats(target).in_flight,
                    slots=target.slots,
                    sample=chooser.loads.get(target),
                    extra_ms=chooser.extra_ms(target, now_ms),
                )
                for target in targets
            ],
            self._work_times.get(service),
            self._generator,
            now_ms,
        )
        return None if position is None else targets[position]

    async def _choose_target(
        self,
        call: calls.Call,
        results: tuple[str, ...] | None,
        first_choice: model.Target,
        refused: Collection[str],
    ) -> model.Target | None:
        """Return the target to send to, None when none is left.

        The first choice may have gone while the stages ran. An engine is
        chosen by the prompts that are placed on each.
        """
        if not self._state.has_engine(call.service):
            return self.pick(call, refused)
        usable = self._usable(call)
        usage = call.request.token_usage
        objective_ms = (
            call.request.arrived_ms + call.route.latency_objective_ms
        )
        return await self._prompt_placer.place(
            call.service,
            prompt_placing.Prompt(
                attempt_id=call.request.attempt_id,
                parts=call.request.prompt,
                zone=first_choice.availability_zone,
                input_bytes=call.input_bytes if results else 0.0,
                allowed_regions=call.allowed_regions,
                output_tokens=0 if usage is None else usage.max_output_tokens,
                caller_zone=self._chooser.zone,
                objective_in_ms=objective_ms - self._clock.monotonic_ms(),
            ),
            call.excluded.union(refused, self._permits.refusing(usable)),
        )
