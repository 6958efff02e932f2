"""Handles the results of the calls that run the items of stages."""

from collections.abc import Callable

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import stage_groups
from sycamorebeam.forwarding import stage_replica
from sycamorebeam.forwarding import stage_service
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import waiting_groups

DECLINED_PAUSE_MS = 60  # between a declined call and the next one
MEMORY_PAUSE_MS = 150  # results are freed several times a second


class CallResults:
    """Passes results on to groups, and requeues items without one."""

    def __init__(
        self,
        clock: clocks.Clock,
        budgets: retry_budget.RetryBudgets,
        metrics: prometheus_metrics.Metrics,
        waiting: waiting_groups.WaitingGroups,
        free: Callable[[str, list[str]], None],
    ) -> None:
        self._clock = clock
        self._budgets = budgets
        self._metrics = metrics
        self._waiting = waiting
        self._free = free

    def process(
        self,
        service: stage_service.StageService,
        replica: stage_replica.Replica,
        items: list[stage_groups.GroupItem],
        result: stages.CallResult,
        began_ms: int,
    ) -> None:
        """Handle the result of a call that the replica answered."""
        now_ms = self._clock.monotonic_ms()
        match result:
            case stages.CallDeclined(is_gone):
                service.end_call(replica, items, has_run=False)
                pause_ms = (
                    stage_service.MIN_BROKEN_PAUSE_MS
                    if is_gone
                    else DECLINED_PAUSE_MS
                )
                replica.pause(pause_ms, now_ms)
                self._metrics.stage_calls.labels(
                    service.name, 'declined'
                ).inc()
                self.requeue(service, items)
            case stages.CallFailed(error):
                service.end_call(replica, items, has_run=False)
                self.pause_after_broken_call(service, replica, error)
                self.retry_broken_call(service, items)
            case stages.CallCompleted(results):
                service.end_call(replica, items, has_run=True)
                service.update_slowness(replica, len(items), began_ms, now_ms)
                self._report_call(service, replica, items, results, began_ms)
                for item, item_result in zip(items, results, strict=True):
                    self._process_item_result(
                        service, replica, item, item_result
                    )

    def _report_call(
        self,
        service: stage_service.StageService,
        replica: stage_replica.Replica,
        items: list[stage_groups.GroupItem],
        results: tuple[stages.ItemResult, ...],
        began_ms: int,
    ) -> None:
        self._metrics.stage_calls.labels(service.name, 'ran').inc()
        self._metrics.stage_items.labels(service.name).inc(len(items))
        telemetry.log_event(
            'stage_called',
            service=service.name,
            target=replica.target_id,
            items=len(items),
            made=sum(isinstance(item, stages.Produced) for item in results),
            took_ms=self._clock.monotonic_ms() - began_ms,
            waited_ms=began_ms - stage_service.oldest_queued_ms(items),
            **service.log_fields(replica, items),
        )

    def _process_item_result(
        self,
        service: stage_service.StageService,
        replica: stage_replica.Replica,
        item: stage_groups.GroupItem,
        result: stages.ItemResult,
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        match result:
            case stages.Produced(result_name):
                service.results.add(
                    result_name,
                    replica,
                    item.group.result_bytes,
                    now_ms,
                    int(service.queue.batching.result_ttl_ms),
                )
                if not self._waiting.add_result(item, result_name):
                    self._free(service.name, [result_name])
                return
            case stages.NotProduced(reason):
                pass
        replica.held_bytes -= item.group.result_bytes
        match reason:
            case stages.FailureReason.NO_MEMORY:
                replica.pause(MEMORY_PAUSE_MS, now_ms)
                self.requeue(service, [item])
            case stages.FailureReason.FAILED:
                self._retry(service, [item])
            case _:
                self._waiting.fail(item.group, reason, 0)

    def retry_broken_call(
        self,
        service: stage_service.StageService,
        items: list[stage_groups.GroupItem],
    ) -> None:
        """Requeue the items of a call, but those that broke several calls."""
        given_up = self._waiting.record_broken_call(items)
        for group in given_up:
            self._waiting.fail(
                group,
                stages.FailureReason.FAILED,
                stage_service.MIN_BROKEN_PAUSE_MS,
            )
        self._retry(
            service, [item for item in items if item.group not in given_up]
        )

    def _retry(
        self,
        service: stage_service.StageService,
        items: list[stage_groups.GroupItem],
    ) -> None:
        """Requeue items that may have run, within the retry budget."""
        now_ms = self._clock.monotonic_ms()
        for item in items:
            if self._budgets.spend(service.name, now_ms):
                self.requeue(service, [item])
            else:
                self._waiting.fail(
                    item.group,
                    stages.FailureReason.FAILED,
                    stage_service.MIN_BROKEN_PAUSE_MS,
                )

    def requeue(
        self,
        service: stage_service.StageService,
        items: list[stage_groups.GroupItem],
    ) -> None:
        """Queue items again whose requests still wait."""
        for item in items:
            if self._waiting.is_waiting(item.group):
                service.queue.requeue(item)

    def pause_after_broken_call(
        self,
        service: stage_service.StageService,
        replica: stage_replica.Replica,
        error: str,
    ) -> None:
        """Pause the replica of a call that broke off."""
        pause_ms = service.pause_after_broken_call(
            replica, self._clock.monotonic_ms()
        )
        self._metrics.stage_calls.labels(service.name, 'broken').inc()
        telemetry.log_event(
            'stage_call_broken',
            'WARNING',
            service=service.name,
            target=replica.target_id,
            error=error,
            pause_ms=pause_ms,
        )
