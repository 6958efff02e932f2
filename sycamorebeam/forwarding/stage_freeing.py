"""Frees the memory of stage results that are not needed any more."""

import asyncio
from collections.abc import Callable

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import send_permits
from sycamorebeam.forwarding import stage_service
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_feedback
from sycamorebeam.forwarding import upstream

FREE_TIMEOUT_MS = 2_000  # replicas drop results by themselves soon after
# If results fill more than this share of a replica's memory, the unneeded ones
# are freed at the next tick.
EAGER_FREE_MEMORY_SHARE = 0.4


class StageFreeing:
    """Calls replicas to free results that are not needed any more."""

    def __init__(
        self,
        clock: clocks.Clock,
        directory: target_directory.TargetDirectory,
        calls: stages.StageCalls,
        feedback_handler: target_feedback.FeedbackHandler,
        permits: send_permits.SendPermits,
        on_freed: Callable[[stage_service.StageService], None],
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._calls = calls
        self._feedback_handler = feedback_handler
        self._permits = permits
        self._on_freed = on_freed
        self._tasks: set[asyncio.Task[None]] = set()

    def flush(
        self, service: stage_service.StageService, *, flush_all: bool
    ) -> None:
        """Start the calls that free results.

        Unless ``flush_all``, only replicas short of memory are called. Limited
        replicas are called only when short of memory in either case, since
        calls that run items need their permits.
        """
        excluded = set(
            service.freeing_paused_addresses(self._clock.monotonic_ms())
        )
        if flush_all:
            limited = self._limited_addresses()
            excluded |= limited
            service.results.drop_expired(limited)
        min_held_bytes = (
            service.queue.batching.memory_bytes * EAGER_FREE_MEMORY_SHARE
        )
        due = service.results.pop_due(
            0.0 if flush_all else min_held_bytes,
            excluded,
        )
        for address, results in due.items():
            task = asyncio.create_task(
                self._free_results(service, address, results)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _limited_addresses(self) -> set[str]:
        if not self._permits.are_needed:
            return set()
        return {
            target.address
            for target in self._directory.targets.values()
            if self._permits.interval_ms(target)
        }

    def _postpone(
        self,
        service: stage_service.StageService,
        target: model.Target,
        results: list[str],
    ) -> None:
        """Free results when there may be a permit for their replica."""
        now_ms = self._clock.monotonic_ms()
        wait_ms = self._permits.wait_ms(target)
        service.pause_freeing(target.address, wait_ms, now_ms)
        for result in results:
            service.results.mark_unneeded(result, target.address)

    async def _free_results(
        self,
        service: stage_service.StageService,
        address: str,
        results: list[str],
    ) -> None:
        holders = [
            target
            for target in self._directory.targets.values()
            if target.address == address
        ]
        for target in holders:
            if not await self._permits.acquire(target):
                self._postpone(service, target, results)
                return
            self._feedback_handler.record_send(target, 'free')
        try:
            async with asyncio.timeout(FREE_TIMEOUT_MS / 1000):
                feedback = await self._calls.free(address, results)
        except (
            upstream.NotSentError,
            upstream.BrokenError,
            TimeoutError,
        ) as error:
            # The replica is gone, or drops the results by itself later.
            telemetry.log_event(
                'results_not_freed',
                'WARNING',
                address=address,
                results=len(results),
                error=repr(error),
            )
            return
        now_ms = self._clock.monotonic_ms()
        for target in holders:
            backoff_ms = self._feedback_handler.handle(target, feedback)
            service.pause_freeing(address, backoff_ms, now_ms)
        for result in results:
            kept_ms = service.results.remove(result, now_ms)
            if kept_ms is not None:
                service.queue.record_residence(kept_ms)
        self._on_freed(service)
