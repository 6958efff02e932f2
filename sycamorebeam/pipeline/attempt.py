"""Sends one attempt of a stage to a replica and records the result."""

import asyncio

import attrs

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.controllers import target_registry


@attrs.frozen
class AttemptSender:
    """Sends attempts and updates the state of the replicas they went to."""

    _client: ports.TargetClient
    _registry: target_registry.TargetRegistry
    _clock: clocks.Clock
    _metrics: telemetry.Metrics

    async def send(
        self,
        request_id: str,
        stage: catalogue.Stage,
        kind: catalogue.TargetKind,
        state: target_registry.ReplicaState,
        attempt: ports.Attempt,
    ) -> results.TargetResult:
        """Send one attempt to the replica and return its result."""
        started_ms = self._clock.monotonic_ms()
        state.in_flight += 1
        state.used_at_ms = started_ms
        outcome = 'cancelled'
        try:
            result = await self._client.call(kind, state.replica, attempt)
            outcome = self._record_result(state, result, started_ms)
        except asyncio.CancelledError:
            state.health.record_abandoned_call()
            raise
        finally:
            state.in_flight -= 1
            duration_ms = self._clock.monotonic_ms() - started_ms
            self._metrics.count(f'attempt.{outcome}')
            self._metrics.timing(f'stage.{stage.name}.ms', duration_ms)
            if outcome != 'complete':
                telemetry.log_event(
                    'attempt',
                    request=request_id,
                    stage=stage.name,
                    attempt=attempt.id,
                    target=state.replica.id,
                    outcome=outcome,
                    ms=duration_ms,
                )
        return result

    async def probe(self, state: target_registry.ReplicaState) -> bool:
        """Return whether the replica returns a load report now.

        A probe detects a silent replica much sooner than a call does. A
        call without an answer may have run, so a non-idempotent one cannot
        be sent to another replica afterwards.
        """
        if await self._client.load(state.replica) is not None:
            return True
        state.health.record_failure(self._clock.monotonic_ms())
        self._metrics.count('attempt.unanswered_probe')
        return False

    def _record_result(
        self,
        state: target_registry.ReplicaState,
        result: results.TargetResult,
        started_ms: int,
    ) -> str:
        now_ms = self._clock.monotonic_ms()
        match result:
            case results.TargetAnswer():
                state.health.record_success()
                state.durations.add(now_ms - started_ms)
                if result.draining:
                    self._registry.mark_leaving(state.replica.id)
                return 'complete'
            case results.TargetNotRun():
                state.health.record_failure(now_ms)
                if result.draining:
                    self._registry.mark_leaving(state.replica.id)
                return 'not_run'
            case results.TargetMaybeRun():
                state.health.record_failure(now_ms)
                return 'maybe_run'
