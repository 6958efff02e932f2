"""Runs the pipeline stages whose results a request needs as input."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

from sycamorebeam import clocks
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding.regions import region_filter
from sycamorebeam.forwarding.stage_calls import deadlines as stage_deadlines

# From a request to an engine to its first event, at usual load.
ENGINE_START_MS = 150

ServiceLookup = Callable[[str], model.Service | None]
# Maps the position of a stage to its duration in milliseconds.
StageDuration = Callable[[int], float]


class Producer(Protocol):
    """Gets the results of stage requests.

    While it ``is_isolated``, its batches hold no items of other instances.
    """

    @property
    def is_isolated(self) -> bool:
        """Whether no other instance can be reached."""
        ...

    async def produce(self, request: stages.StageRequest) -> stages.Outcome:
        """Return the results of a request, or why there are none."""
        ...

    async def announce(
        self, announcement: stages.Announcement
    ) -> stages.Failure | None:
        """Announce items; return why they are refused, if they are."""
        ...

    def withdraw(self, service: str, attempt_id: str, stage: int) -> None:
        """Withdraw announced items that will not be submitted."""
        ...

    def free(self, service: str, results: list[str]) -> None:
        """Free results that are not needed any more."""
        ...


class Preparation:
    """Runs the stages of one request and keeps their results until used."""

    def __init__(
        self,
        producer: Producer,
        clock: clocks.Clock,
        request: requests.CallerRequest,
        route_stages: Sequence[model.Stage],
        find_service: ServiceLookup,
        stage_delays: stage_deadlines.StageDelays,
        rank: int,
        allowed: region_filter.AllowedRegions = None,
        engine_start_ms: float = ENGINE_START_MS,
        *,
        reports_pace: bool = False,
    ) -> None:
        self._producer = producer
        self._clock = clock
        self._request = request
        self._stages = route_stages
        self._find_service = find_service
        self._stage_delays = stage_delays
        self._rank = rank
        self._allowed_regions = allowed
        self._reports_pace = reports_pace
        self._engine_gain_ms = int(ENGINE_START_MS - engine_start_ms)
        self._stage_tasks: list[asyncio.Task[tuple[str, ...]]] = []
        self._held_results: dict[int, tuple[str, ...]] = {}
        self._durations_ms: dict[int, int] = {}
        self._announced: set[int] = set()

    @property
    def durations_ms(self) -> dict[int, int]:
        """How long each completed stage took, by its position."""
        return self._durations_ms

    async def run(
        self, zone: str, deadlines: stage_deadlines.Deadlines
    ) -> tuple[str, ...] | stages.Failure:
        """Return the results of the final stages.

        The first failure cancels the other stages and frees all results.
        """
        failure: stages.Failure | None = None
        try:
            async with asyncio.TaskGroup() as group:
                self._stage_tasks = [
                    group.create_task(
                        self._run_stage(position, zone, deadlines)
                    )
                    for position in range(len(self._stages))
                ]
                for position, stage in enumerate(self._stages):
                    if stage.after and self._item_count(position):
                        group.create_task(self._announce(position, deadlines))
        except* _StageError as errors:
            first = errors.exceptions[0]
            assert isinstance(first, _StageError)
            failure = first.failure
        finally:
            self._withdraw_announcements()
        if failure is not None:
            self.free()
            return failure
        return self._final_results()

    def free(self) -> None:
        """Free all results that are still held."""
        for position in list(self._held_results):
            self._free_stage(position)

    async def _announce(
        self, position: int, deadlines: stage_deadlines.Deadlines
    ) -> None:
        """Announce the items of a later stage to the owner of its queue.

        Raises _StageError when they are refused, so that no stage runs for
        results that would come too late.
        """
        self._announced.add(position)
        now_ms = self._clock.monotonic_ms()
        request = self._stage_request(position, (), '', deadlines, now_ms)
        remaining_ms = self._remaining_ms(position, self._expected_ms)
        failure = await self._producer.announce(
            stages.Announcement(
                service=request.service,
                attempt_id=self._request.attempt_id,
                stage=position,
                rank=request.rank,
                items=self._item_count(position),
                result_bytes=request.result_bytes,
                arrives_in_ms=self._preceding_ms(position),
                objective_in_ms=request.objective_in_ms,
                accept_within_ms=deadlines.accept_by_ms
                - remaining_ms
                - now_ms,
                expires_in_ms=request.expires_in_ms,
                allowed_regions=self._allowed_regions,
                in_time_within_ms=deadlines.objective_ms
                - remaining_ms
                - now_ms,
                engine_gain_ms=self._engine_gain_ms,
                is_retry=deadlines.is_retry,
                reports_pace=self._reports_pace,
            )
        )
        if failure is not None and position in self._announced:
            raise _StageError(failure)

    def _withdraw_announcements(self) -> None:
        """Withdraw the announced items that were not submitted."""
        for position in self._announced:
            self._producer.withdraw(
                self._stages[position].service,
                self._request.attempt_id,
                position,
            )
        self._announced.clear()

    async def _run_stage(
        self, position: int, zone: str, deadlines: stage_deadlines.Deadlines
    ) -> tuple[str, ...]:
        stage = self._stages[position]
        inputs: list[str] = []
        for index in stage.after:
            inputs.extend(await asyncio.shield(self._stage_tasks[index]))
        await self._wait_for_longer_chains(position)
        count = self._item_count(position)
        if not count:
            return ()
        self._announced.discard(position)
        began_ms = self._clock.monotonic_ms()
        outcome = await self._producer.produce(
            self._stage_request(
                position, tuple(inputs), zone, deadlines, began_ms
            )
        )
        match outcome:
            case stages.Failure():
                raise _StageError(outcome)
            case stages.Results(results):
                self._held_results[position] = results
                took_ms = self._clock.monotonic_ms() - began_ms
                self._durations_ms[position] = took_ms
                self._stage_delays.record(
                    stage.service,
                    self._rank,
                    took_ms - self._call_ms(position),
                    self._clock.monotonic_ms(),
                )
                self._free_consumed()
                return results

    async def _wait_for_longer_chains(self, position: int) -> None:
        """Wait for the stages that have a longer chain of stages after them.

        Results occupy scarce memory from their production to their use, so
        those that are used late are produced late.
        """
        following = self._following_count(position)
        for index, task in enumerate(self._stage_tasks):
            if self._following_count(index) > following:
                await asyncio.shield(task)

    def _following_count(self, position: int) -> int:
        """Return the most stages with items that follow one in a row."""
        return max(
            (
                self._following_count(index) + bool(self._item_count(index))
                for index, stage in enumerate(self._stages)
                if position in stage.after
            ),
            default=0,
        )

    def _stage_request(
        self,
        position: int,
        inputs: tuple[str, ...],
        zone: str,
        deadlines: stage_deadlines.Deadlines,
        now_ms: int,
    ) -> stages.StageRequest:
        stage = self._stages[position]
        remaining_ms = self._remaining_ms(position, self._expected_ms)
        # In a queue where other groups yield, a stage takes less time than
        # expected, so the objective allows only for the calls that follow.
        # A group is late only if it could not be in time without any wait.
        min_remaining_ms = self._remaining_ms(position, self._call_ms)
        # A stage after others continues begun work, which is worth finishing
        # as long as its results are of use.
        accept_ms = (
            deadlines.expiry_ms if stage.after else deadlines.accept_by_ms
        )
        return stages.StageRequest(
            service=stage.service,
            rank=self._rank,
            objective_in_ms=deadlines.objective_ms - min_remaining_ms - now_ms,
            accept_within_ms=accept_ms - remaining_ms - now_ms,
            expires_in_ms=deadlines.expiry_ms - remaining_ms - now_ms,
            zone='' if self._is_followed(position) else zone,
            input_bytes=sum(
                self._stages[index].result_bytes * self._item_count(index)
                for index in stage.after
            ),
            result_bytes=stage.result_bytes,
            work=stages.Work(
                self._request.attempt_id,
                position,
                self._request.item_key,
                bool(stage.after),
                inputs,
            ),
            positions=tuple(range(self._item_count(position))),
            allowed_regions=self._allowed_regions,
            in_time_within_ms=None
            if stage.after
            else deadlines.objective_ms - remaining_ms - now_ms,
            engine_gain_ms=self._engine_gain_ms,
            is_retry=deadlines.is_retry,
            reports_pace=self._reports_pace,
        )

    def _free_consumed(self) -> None:
        """Free the results that all following stages have consumed."""
        for position in list(self._held_results):
            followers = [
                index
                for index, stage in enumerate(self._stages)
                if position in stage.after and self._item_count(index)
            ]
            if followers and all(
                index in self._durations_ms for index in followers
            ):
                self._free_stage(position)

    def _free_stage(self, position: int) -> None:
        results = self._held_results.pop(position)
        if results:
            service = self._stages[position].service
            self._producer.free(service, list(results))

    def _item_count(self, position: int) -> int:
        counts = self._request.item_counts
        return counts[position] if position < len(counts) else 0

    def _remaining_ms(self, position: int, stage_ms: StageDuration) -> int:
        """Return the time from the end of a stage to the first event.

        The longest chain of following stages counts.
        """
        return ENGINE_START_MS + self._following_stages_ms(position, stage_ms)

    def _following_stages_ms(
        self, position: int, stage_ms: StageDuration
    ) -> int:
        return max(
            (
                int(stage_ms(index))
                + self._following_stages_ms(index, stage_ms)
                for index, stage in enumerate(self._stages)
                if position in stage.after
            ),
            default=0,
        )

    def _preceding_ms(self, position: int) -> int:
        """Return how long the longest chain of stages before one takes."""
        return max(
            (
                self._preceding_ms(index) + int(self._expected_ms(index))
                for index in self._stages[position].after
            ),
            default=0,
        )

    def _expected_ms(self, position: int) -> float:
        """Return the expected duration of a stage, given recent ones."""
        if not self._item_count(position):
            return 0.0
        service = self._stages[position].service
        excess_ms = self._stage_delays.excess_ms(
            service, self._rank, self._clock.monotonic_ms()
        )
        return self._call_ms(position) + excess_ms

    def _call_ms(self, position: int) -> float:
        """Return the duration of a call that has only this stage's items."""
        if not self._item_count(position):
            return 0.0
        service = self._find_service(self._stages[position].service)
        if service is None or service.batching is None:
            return 0.0
        batching = service.batching
        items = min(self._item_count(position), batching.max_items)
        return batching.call_ms + items * batching.item_ms

    def _is_followed(self, position: int) -> bool:
        return any(position in stage.after for stage in self._stages)

    def _final_results(self) -> tuple[str, ...]:
        """Return the results of the stages that no other stage depends on."""
        followed = {index for stage in self._stages for index in stage.after}
        return tuple(
            result
            for position in sorted(self._held_results)
            if position not in followed
            for result in self._held_results[position]
        )


class _StageError(Exception):
    def __init__(self, failure: stages.Failure) -> None:
        super().__init__(failure.reason.value)
        self.failure = failure
