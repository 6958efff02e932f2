"""Chooses the engine of a prompt by the expected time to its first event.

It is designed for long prompts that share prefixes, on engines with slow
periods: reading a prefix again on an idle engine is compared, for each
prompt, with waiting for an engine that has it cached. It does no I/O.
"""

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from sycamorebeam import hashing
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import prompt_placing
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding.placement import engine_state
from sycamorebeam.forwarding.placement import pace
from sycamorebeam.forwarding.placement import placement_metrics
from sycamorebeam.forwarding.placement import prefill_rates
from sycamorebeam.forwarding.placement import target_loads

# Time that reading takes also delays the prompts that follow on the engine.
# This share of it counts; 0.7 made more prompts late under slow periods.
FOLLOWERS_SHARE = 0.2
# Reading a part again within the reuse window incurs a cost, which counts
# like this share of the time that reading it takes.
REUSE_SHARE = 0.2
# Each ms beyond the objective counts like this many ms more.
LATE_WEIGHT = 1.0
# Fetching a megabyte from another zone, 133 MB/s.
FETCH_MS_PER_ZONE_MB = 7.5
# A placer that has just started does not know what is cached. The engine
# that ranks first for a part by hash has it with this probability, which
# halves in this time as the placer sees more prompts.
UNKNOWN_CACHED = 0.5
UNKNOWN_HALF_LIFE_MS = 5_000.0
ASSUMED_HOLD_MS = 2_000.0  # until the first requests have ended
HOLD_WEIGHT = 0.05  # of a new request in the average time in a slot
LIKELY = 0.5  # parts cached with this probability count as cached in metrics
CERTAIN = 0.9


@attrs.define
class _ServiceState:
    rate: prefill_rates.PrefillRate = attrs.field(
        factory=prefill_rates.PrefillRate
    )
    hold_ms: float = ASSUMED_HOLD_MS
    started_ms: float = 0.0


@attrs.frozen
class _Estimate:
    """The expected time of a prompt on one engine, and its whole cost."""

    target: model.Target
    engine: engine_state.EngineState
    tokens: float
    cached: tuple[float, ...]
    expected_ms: float
    cost_ms: float
    is_full: bool


class TimedPlacer:
    """Places prompts of services whose engines report their pace."""

    def __init__(
        self,
        loads: target_loads.TargetLoads,
        metrics: placement_metrics.PlacementMetrics,
        reuse_window_ms: float | None = None,
    ) -> None:
        self._loads = loads
        self._metrics = metrics
        self._reuse_window_ms = reuse_window_ms
        self._engines: dict[target_loads.Key, engine_state.EngineState] = {}
        self._key_of: dict[str, target_loads.Key] = {}
        self._services: dict[str, _ServiceState] = {}

    def place(
        self,
        service: model.Service,
        prompt: prompt_placing.Prompt,
        targets: Collection[model.Target],
        now_ms: float,
    ) -> model.Target | None:
        """Choose the engine for a prompt; None if it fits into none."""
        self.remove(prompt.attempt_id, now_ms)
        state = self._services.get(service.name)
        if state is None:
            state = _ServiceState(started_ms=now_ms)
            self._services[service.name] = state
        by_id = {target.target_id: target for target in targets}
        shared = prompt.parts[:-1]
        key = shared[-1].part_id if shared else prompt.attempt_id
        # Ties are resolved by an order that is the same on all instances.
        ranked = hashing.rank(key, by_id, len(by_id))
        reuse_share = self._reuse_share(prompt, by_id.values(), now_ms)
        estimates = []
        for position, target_id in enumerate(ranked):
            estimate = self._estimate(
                service,
                state,
                prompt,
                by_id[target_id],
                reuse_share,
                self._unknown_cached(state, now_ms) if not position else 0.0,
                now_ms,
            )
            if estimate is not None:
                estimates.append(estimate)
        if not estimates:
            return None
        # Full engines come last: a request waits there for a slot.
        chosen = min(estimates, key=lambda item: (item.is_full, item.cost_ms))
        self._record(service, state, prompt, chosen, now_ms)
        if shared:
            self._metrics.count_placed(_reason(chosen, estimates, len(shared)))
        return chosen.target

    def mark_read(self, attempt_id: str, now_ms: float) -> None:
        """Record that an engine has read all of a prompt."""
        key = self._key_of.get(attempt_id)
        engine = self._engines.get(key) if key is not None else None
        if key is None or engine is None:
            return
        placed = engine.placed.get(attempt_id)
        if placed is None or not placed.work_ms:
            return
        began_ms = engine.mark_read(attempt_id, now_ms)
        self._metrics.observe(placed.expected_ms, now_ms - placed.placed_ms)
        sample = self._loads.get_by_key(key)
        if placed.is_certain and sample is not None:
            self._services[placed.service].rate.record(
                placed.tokens, now_ms - began_ms, sample.pace
            )

    def remove(self, attempt_id: str, now_ms: float) -> None:
        """Remove a request that has ended."""
        key = self._key_of.pop(attempt_id, None)
        engine = self._engines.get(key) if key is not None else None
        if engine is None:
            return
        placed = engine.placed.get(attempt_id)
        engine.remove(attempt_id)
        if placed is not None and not placed.work_ms:
            state = self._services[placed.service]
            held_ms = now_ms - placed.placed_ms
            state.hold_ms += HOLD_WEIGHT * (held_ms - state.hold_ms)

    def keep_only(self, targets: Mapping[str, model.Target]) -> None:
        """Drop the engines that are not among the targets."""
        kept = {
            (target.target_id, target.incarnation)
            for target in targets.values()
        }
        for key in self._engines.keys() - kept:
            for attempt_id in self._engines.pop(key).placed:
                self._key_of.pop(attempt_id, None)

    def tokens_per_ms(self) -> list[tuple[str, float]]:
        """Return the learnt prefill rate of each service."""
        return [
            (name, state.rate.tokens_per_ms)
            for name, state in self._services.items()
        ]

    def _estimate(
        self,
        service: model.Service,
        state: _ServiceState,
        prompt: prompt_placing.Prompt,
        target: model.Target,
        reuse_share: float,
        unknown_cached: float,
        now_ms: float,
    ) -> _Estimate | None:
        """Return the cost of a prompt on an engine, None if it has no memory.

        Requests that exceed its memory crash an engine.
        """
        engine = self._engine(target)
        for attempt_id in engine.expired(now_ms):
            self.remove(attempt_id, now_ms)
        memory = None
        if service.engine is not None:
            memory = service.engine.kv_cache_tokens
        if memory and engine.held_tokens + _held_tokens(prompt) > memory:
            return None
        cached = engine.cached_probabilities(prompt.parts, memory, now_ms)
        if unknown_cached:
            cached = [
                max(unknown_cached, probability)
                if engine.last_used_ms(part.part_id) is None
                else probability
                for part, probability in zip(
                    prompt.parts[:-1], cached, strict=False
                )
            ] + cached[-1:]
        tokens = sum(
            part.tokens * (1 - probability)
            for part, probability in zip(prompt.parts, cached, strict=True)
        )
        again = sum(
            part.tokens * (1 - probability)
            for part, probability in zip(
                prompt.parts[:-1], cached, strict=False
            )
        )
        sample = self._loads.get(target)
        rate = state.rate.tokens_per_ms
        wait_ms = engine.wait_ms(tokens / rate, sample, now_ms)
        slot_wait_ms = _slot_wait_ms(target, engine, sample, state, now_ms)
        expected_ms = wait_ms + slot_wait_ms + _travel_ms(prompt, target)
        cost_ms = expected_ms
        cost_ms += (FOLLOWERS_SHARE * tokens + reuse_share * again) / rate
        if prompt.objective_in_ms is not None:
            late_ms = expected_ms - prompt.objective_in_ms
            cost_ms += LATE_WEIGHT * max(0.0, late_ms)
        return _Estimate(
            target,
            engine,
            tokens,
            tuple(cached),
            expected_ms,
            cost_ms,
            slot_wait_ms > 0,
        )

    def _record(
        self,
        service: model.Service,
        state: _ServiceState,
        prompt: prompt_placing.Prompt,
        chosen: _Estimate,
        now_ms: float,
    ) -> None:
        key = chosen.target.target_id, chosen.target.incarnation
        chosen.engine.add(
            prompt.attempt_id,
            engine_state.Placed(
                placed_ms=now_ms,
                tokens=chosen.tokens,
                # Also a prompt without unread tokens takes some time.
                work_ms=max(1.0, chosen.tokens / state.rate.tokens_per_ms),
                held_tokens=_held_tokens(prompt),
                expected_ms=chosen.expected_ms,
                is_certain=all(
                    probability >= CERTAIN or probability <= 1 - CERTAIN
                    for probability in chosen.cached
                ),
                service=service.name,
            ),
        )
        chosen.engine.mark_cached(
            prompt.parts, chosen.tokens + prompt.output_tokens, now_ms
        )
        self._key_of[prompt.attempt_id] = key

    def _reuse_share(
        self,
        prompt: prompt_placing.Prompt,
        targets: Collection[model.Target],
        now_ms: float,
    ) -> float:
        """Return the weight of reading the shared parts of a prompt again."""
        shared = prompt.parts[:-1]
        if self._reuse_window_ms is None or not shared:
            return 0.0
        part_id = shared[-1].part_id
        for target in targets:
            used_ms = self._engine(target).last_used_ms(part_id)
            if (
                used_ms is not None
                and now_ms - used_ms <= self._reuse_window_ms
            ):
                return REUSE_SHARE
        return 0.0

    def _unknown_cached(self, state: _ServiceState, now_ms: float) -> float:
        age_ms = now_ms - state.started_ms
        left: float = 0.5 ** (age_ms / UNKNOWN_HALF_LIFE_MS)
        return UNKNOWN_CACHED * left

    def _engine(self, target: model.Target) -> engine_state.EngineState:
        key = target.target_id, target.incarnation
        engine = self._engines.get(key)
        if engine is None:
            engine = self._engines[key] = engine_state.EngineState()
        return engine


def _held_tokens(prompt: prompt_placing.Prompt) -> int:
    return sum(part.tokens for part in prompt.parts) + prompt.output_tokens


def _travel_ms(prompt: prompt_placing.Prompt, target: model.Target) -> float:
    """Return the time of the network and of fetching the stage results."""
    zone = target.availability_zone
    travel_ms = 0.0
    if prompt.caller_zone not in ('', zone):
        travel_ms += target_choice.ZONE_RTT_MS
    if prompt.zone not in ('', zone):
        travel_ms += prompt.input_bytes / 1e6 * FETCH_MS_PER_ZONE_MB
    return travel_ms


def _slot_wait_ms(
    target: model.Target,
    engine: engine_state.EngineState,
    sample: target_loads.Sample | None,
    state: _ServiceState,
    now_ms: float,
) -> float:
    """Return the expected wait for a slot of an engine, 0 if one is free."""
    running = len(engine.placed)
    if sample is not None and now_ms - sample.seen_ms <= pace.SPELL_MS:
        # Requests of other regions and of local choices count as well.
        reported = sample.load.running + sample.load.waiting
        running = max(running, reported)
    excess = running - target.slots + 1
    return max(0, excess) * state.hold_ms / max(1, target.slots)


def _reason(chosen: _Estimate, estimates: list[_Estimate], shared: int) -> str:
    """Return why an engine was chosen, as the label of a metric."""
    if chosen.cached[shared - 1] >= LIKELY:
        return 'cached'
    if any(item.cached[shared - 1] >= LIKELY for item in estimates):
        return 'shorter_wait'
    return 'not_cached'
