"""Runs the calls of the stage services whose queues this instance owns.

Any instance can own any queue; the more instances agree on one owner, the
fuller the calls. Two owners of one queue are harmless: a replica declines
calls that it has no capacity for, and items may be produced twice.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import itertools

from sycamorebeam import clocks
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import send_permits
from sycamorebeam.forwarding import stage_freeing
from sycamorebeam.forwarding import stage_groups
from sycamorebeam.forwarding import stage_queue
from sycamorebeam.forwarding import stage_replica
from sycamorebeam.forwarding import stage_service
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_feedback
from sycamorebeam.forwarding import upstream
from sycamorebeam.forwarding import waiting_groups
from sycamorebeam.forwarding.regions import region_filter
from sycamorebeam.forwarding.stage_admission import admission_reports
from sycamorebeam.forwarding.stage_admission import policy as admission_policy
from sycamorebeam.forwarding.stage_calls import call_results

FREE_INTERVAL_MS = 500  # between freeing results if memory is not short
TICK_MS = 30  # between checks of the queues


class StageOwner:
    """Owns queues of stage services and runs their calls."""

    def __init__(
        self,
        clock: clocks.Clock,
        directory: target_directory.TargetDirectory,
        find_service: Callable[[str], model.Service | None],
        calls: stages.StageCalls,
        budgets: retry_budget.RetryBudgets,
        metrics: prometheus_metrics.Metrics,
        round_trip_ms: Callable[[str], float],
        region_of_zone: Mapping[str, str],
        feedback_handler: target_feedback.FeedbackHandler,
        permits: send_permits.SendPermits,
        policy: admission_policy.Policy = admission_policy.Policy(),  # noqa: B008
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._round_trip_ms = round_trip_ms
        self._region_of_zone = region_of_zone
        self._feedback_handler = feedback_handler
        self._permits = permits
        self._directory = directory
        self._find_service = find_service
        self._calls = calls
        self._budgets = budgets
        self._metrics = metrics
        self._services: dict[str, stage_service.StageService] = {}
        self._result_freeing = stage_freeing.StageFreeing(
            clock,
            directory,
            calls,
            feedback_handler,
            permits,
            self._start_calls,
        )
        self._waiting = waiting_groups.WaitingGroups()
        self._call_results = call_results.CallResults(
            clock, budgets, metrics, self._waiting, self.free
        )
        self._group_ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def waiting_group_count(self) -> int:
        """The number of groups that wait for results."""
        return len(self._waiting)

    @property
    def services(self) -> list[stage_service.StageService]:
        """The services whose queues this instance owns or has owned."""
        return list(self._services.values())

    def submit(
        self, request: stages.StageRequest
    ) -> asyncio.Future[stages.Outcome]:
        """Queue items and return the future of their results.

        Cancelling the future drops the items that no call has taken.
        """
        future: asyncio.Future[stages.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        service = self._service(request.service)
        if service is None:
            future.set_result(
                stages.Failure(
                    stages.FailureReason.NO_TARGET,
                    call_results.DECLINED_PAUSE_MS,
                )
            )
            return future
        now_ms = self._clock.monotonic_ms()
        group = stage_groups.from_request(
            service.queue.admission.adjusted(request, now_ms),
            next(self._group_ids),
            self._preferred_zone(request),
            self._allowed_zones(request.allowed_regions),
            now_ms,
        )
        replicas = self._usable_replicas(service)
        match service.queue.submit(group, replicas, now_ms):
            case stage_queue.Rejected(retry_after_ms):
                future.set_result(
                    stages.Failure(
                        stages.FailureReason.OVERLOADED, retry_after_ms
                    )
                )
            case stage_queue.Accepted():
                self._budgets.count_request(service.name, now_ms)
                self._waiting.add(group, future)
                future.add_done_callback(
                    lambda _: self._remove_group(service, group)
                )
                self._start_calls(service)
        return future

    def announce(
        self, announcement: stages.Announcement
    ) -> stages.Failure | None:
        """Announce items of a later stage; return why they can't be served."""
        service = self._service(announcement.service)
        if service is None:
            return stages.Failure(
                stages.FailureReason.NO_TARGET,
                call_results.DECLINED_PAUSE_MS,
            )
        now_ms = self._clock.monotonic_ms()
        group = stage_groups.from_announcement(
            service.queue.admission.adjusted(announcement, now_ms),
            next(self._group_ids),
            self._allowed_zones(announcement.allowed_regions),
            now_ms,
        )
        arrives_ms = now_ms + announcement.arrives_in_ms
        match service.queue.announce(
            group, self._usable_replicas(service), arrives_ms, now_ms
        ):
            case stage_queue.Rejected(retry_after_ms):
                return stages.Failure(
                    stages.FailureReason.OVERLOADED, retry_after_ms
                )
            case stage_queue.Accepted():
                return None

    def withdraw(self, service_name: str, attempt_id: str, stage: int) -> None:
        """Withdraw an announcement."""
        service = self._services.get(service_name)
        if service is not None:
            service.queue.withdraw(attempt_id, stage)

    def release_unstarted(self) -> None:
        """Fail the groups of which no call has taken an item.

        Their requesters submit them to the next owner.
        """
        for group in self._waiting.unstarted():
            self._waiting.fail(group, stages.FailureReason.OWNER_LOST, 0)

    def free(self, service_name: str, results: list[str]) -> None:
        """Mark results as not needed any more; a later tick frees them."""
        service = self._service(service_name)
        if service is None:
            return
        for result in results:
            service.results.mark_unneeded(
                result, self._calls.holder_address(result)
            )
        now_ms = self._clock.monotonic_ms()
        if service.queue.admission.saves_memory(1.0, now_ms):
            self._result_freeing.flush(service, flush_all=False)

    async def run_forever(self) -> None:
        """Free results, expire items and start calls at each tick."""
        elapsed_ms = 0
        while True:
            await self._clock.sleep_ms(TICK_MS)
            elapsed_ms += TICK_MS
            now_ms = self._clock.monotonic_ms()
            for service in list(self._services.values()):
                self._result_freeing.flush(
                    service, flush_all=elapsed_ms >= FREE_INTERVAL_MS
                )
                service.results.expire(now_ms)
                service.queue.expire_announcements(now_ms)
                replicas = self._usable_replicas(service)
                for dropped in service.queue.drop_unservable(replicas, now_ms):
                    self._waiting.fail(
                        dropped.group,
                        stages.FailureReason.TOO_LATE,
                        dropped.retry_after_ms,
                    )
                self._start_calls(service)
                if elapsed_ms >= FREE_INTERVAL_MS:
                    admission_reports.report(service, self._metrics)
            if elapsed_ms >= FREE_INTERVAL_MS:
                elapsed_ms = 0

    def _service(self, name: str) -> stage_service.StageService | None:
        definition = self._find_service(name)
        if definition is None or definition.batching is None:
            return None
        service = self._services.get(name)
        if service is None:
            queue = stage_queue.StageQueue(
                definition.batching, self._policy, self._region_of_zone
            )
            service = self._services[name] = stage_service.StageService(
                name, queue
            )
        service.queue.batching = definition.batching
        return service

    def _preferred_zone(self, request: stages.StageRequest) -> str:
        """Return the zone in which a request's calls move the least data."""
        results_bytes = request.result_bytes * len(request.positions)
        if request.input_bytes <= results_bytes:
            return request.zone
        holders = map(self._calls.holder_address, request.work.inputs)
        return self._directory.most_common_zone(holders) or request.zone

    def _allowed_zones(
        self, allowed: region_filter.AllowedRegions
    ) -> frozenset[str] | None:
        return region_filter.zones(allowed, self._region_of_zone)

    def _usable_replicas(
        self, service: stage_service.StageService
    ) -> list[stage_replica.Replica]:
        targets = self._directory.usable(service.name)
        replicas = service.refresh_replicas(
            targets, self._lead_ms, self._clock.monotonic_ms()
        )
        for target, replica in zip(targets, replicas, strict=True):
            replica.min_interval_ms = self._permits.interval_ms(target)
        return replicas

    def _lead_ms(self, zone: str) -> int:
        """Return how far ahead calls to a zone are sent.

        The response, a new connection and the next call take two round trips.
        """
        lead_ms = 2 * self._round_trip_ms(zone)
        return int(lead_ms) if lead_ms > TICK_MS else 0

    def _start_calls(self, service: stage_service.StageService) -> None:
        """Start a call on each free replica that has items to run."""
        if not service.queue.waiting_item_count:
            return
        now_ms = self._clock.monotonic_ms()
        replicas = self._usable_replicas(service)
        slots = service.queue.batching.slots
        for replica in sorted(replicas, key=lambda replica: replica.slowness):
            if not replica.is_free(slots, now_ms):
                continue
            items = service.queue.next_call(replica, replicas, now_ms)
            if items:
                self._waiting.mark_started(items)
                # Counted here: the task starts after this function returns.
                service.begin_call(replica, items, now_ms)
                self._start_task(self._run_call(service, replica, items))

    async def _run_call(
        self,
        service: stage_service.StageService,
        replica: stage_replica.Replica,
        items: list[stage_groups.GroupItem],
    ) -> None:
        target = self._directory.get(replica.target_id)
        if target is None:
            service.end_call(replica, items, has_run=False)
            self._call_results.requeue(service, items)
            return
        if not await self._permits.acquire(target):
            service.end_call(replica, items, has_run=False)
            wait_ms = self._permits.wait_ms(target)
            replica.pause(wait_ms, self._clock.monotonic_ms())
            self._call_results.requeue(service, items)
            self._start_calls(service)
            return
        began_ms = self._clock.monotonic_ms()
        timeout_ms = service.call_timeout_ms(items)
        self._feedback_handler.record_send(target, 'stage')
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                result = await self._calls.run(
                    target.address,
                    target.target_id,
                    stage_service.timed_items(items, began_ms),
                )
        except upstream.NotSentError as error:
            service.end_call(replica, items, has_run=False)
            self._call_results.pause_after_broken_call(
                service, replica, repr(error)
            )
            self._call_results.requeue(service, items)
        except (upstream.BrokenError, TimeoutError) as error:
            service.end_call(replica, items, has_run=False)
            self._call_results.pause_after_broken_call(
                service, replica, repr(error)
            )
            self._call_results.retry_broken_call(service, items)
        else:
            backoff_ms = self._feedback_handler.handle(target, result.feedback)
            now_ms = self._clock.monotonic_ms()
            replica.pause(backoff_ms, now_ms)
            service.pause_freeing(target.address, backoff_ms, now_ms)
            self._call_results.process(
                service, replica, items, result, began_ms
            )
        self._start_calls(service)

    def _remove_group(
        self, service: stage_service.StageService, group: stage_groups.Group
    ) -> None:
        service.queue.cancel(group.group_id)
        self.free(service.name, self._waiting.remove(group))

    def _start_task(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
