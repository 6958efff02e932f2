"""Runs the stages that a request needs before it can run."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

import attrs

from sycamorebeam import clock as clocks
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import stages

# What an engine needs from the request to its first event, at a usual load.
ENGINE_START_MS = 150
# Waiting for a call that is under way, on average, for each stage to come.
STAGE_WAIT_SHARE = 0.5

ServiceOf = Callable[[str], model.Service | None]


class Producer(Protocol):
    """Gets results of stages."""

    async def produce(self, request: stages.StageRequest) -> stages.Outcome:
        """Return the results of a request, or why there are none."""
        ...

    def free(self, service: str, results: list[str]) -> None:
        """Give up results."""
        ...


@attrs.frozen(kw_only=True)
class Times:
    """Until when results serve their purpose, on the monotonic clock."""

    objective_ms: int
    useless_ms: int


class Preparation:
    """The stages of one request: what is produced and what is held."""

    def __init__(
        self,
        producer: Producer,
        clock: clocks.Clock,
        request: requests.CallerRequest,
        route_stages: Sequence[model.Stage],
        service_of: ServiceOf,
        rank: int,
    ) -> None:
        self._producer = producer
        self._clock = clock
        self._request = request
        self._stages = route_stages
        self._service_of = service_of
        self._rank = rank
        self._running: list[asyncio.Task[tuple[str, ...]]] = []
        self._held: dict[int, tuple[str, ...]] = {}
        self._took_ms: dict[int, int] = {}

    @property
    def took_ms(self) -> dict[int, int]:
        """How long each stage took that was produced."""
        return self._took_ms

    async def run(
        self, zone: str, times: Times
    ) -> tuple[str, ...] | stages.Failure:
        """Return the results that the request itself needs.

        The first failure ends the other stages and frees what is held.
        """
        failure: stages.Failure | None = None
        try:
            async with asyncio.TaskGroup() as group:
                self._running = [
                    group.create_task(self._run_stage(position, zone, times))
                    for position in range(len(self._stages))
                ]
        except* _StageError as errors:
            first = errors.exceptions[0]
            assert isinstance(first, _StageError)
            failure = first.failure
        if failure is not None:
            self.free()
            return failure
        return self._needed()

    def free(self) -> None:
        """Give up all results that are held."""
        for position in list(self._held):
            self._free_stage(position)

    async def _run_stage(
        self, position: int, zone: str, times: Times
    ) -> tuple[str, ...]:
        stage = self._stages[position]
        inputs: list[str] = []
        for index in stage.after:
            inputs.extend(await asyncio.shield(self._running[index]))
        await self._wait_for_longer_chains(position)
        count = self._count(position)
        if not count:
            return ()
        began_ms = self._clock.monotonic_ms()
        outcome = await self._producer.produce(
            self._stage_request(position, tuple(inputs), zone, times, began_ms)
        )
        match outcome:
            case stages.Failure():
                raise _StageError(outcome)
            case stages.Results(results):
                self._held[position] = results
                took_ms = self._clock.monotonic_ms() - began_ms
                self._took_ms[position] = took_ms
                self._free_used()
                return results

    async def _wait_for_longer_chains(self, position: int) -> None:
        """Wait until no stage is further from the end than this one.

        Results take up scarce memory from their production to their use.
        """
        level = self._level(position)
        for index, task in enumerate(self._running):
            if self._level(index) > level:
                await asyncio.shield(task)

    def _level(self, position: int) -> int:
        """Return how many stages with items follow one, in a row."""
        return max(
            (
                self._level(index) + bool(self._count(index))
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
        times: Times,
        now_ms: int,
    ) -> stages.StageRequest:
        stage = self._stages[position]
        later_ms = self._later_ms(position)
        return stages.StageRequest(
            service=stage.service,
            attempt_id=self._request.attempt_id,
            rank=self._rank,
            objective_in_ms=times.objective_ms - later_ms - now_ms,
            useless_in_ms=times.useless_ms - later_ms - now_ms,
            zone='' if self._is_followed(position) else zone,
            input_bytes=sum(
                self._stages[index].result_bytes * self._count(index)
                for index in stage.after
            ),
            result_bytes=stage.result_bytes,
            items=tuple(
                stages.Item(
                    self._request.attempt_id,
                    position,
                    index,
                    self._request.item_key,
                    bool(stage.after),
                    inputs,
                )
                for index in range(self._count(position))
            ),
        )

    def _free_used(self) -> None:
        """Give up the results that all stages after them have taken."""
        for position in list(self._held):
            followers = [
                index
                for index, stage in enumerate(self._stages)
                if position in stage.after and self._count(index)
            ]
            if followers and all(
                index in self._took_ms for index in followers
            ):
                self._free_stage(position)

    def _free_stage(self, position: int) -> None:
        results = self._held.pop(position)
        if results:
            service = self._stages[position].service
            self._producer.free(service, list(results))

    def _count(self, position: int) -> int:
        counts = self._request.item_counts
        return counts[position] if position < len(counts) else 0

    def _later_ms(self, position: int) -> int:
        """Return what the longest chain of stages after one needs."""
        longest = 0
        for index, stage in enumerate(self._stages):
            if position in stage.after:
                later_ms = self._later_ms(index) - ENGINE_START_MS
                longest = max(longest, later_ms + self._stage_ms(index))
        return longest + ENGINE_START_MS

    def _stage_ms(self, position: int) -> int:
        service = self._service_of(self._stages[position].service)
        count = self._count(position)
        if service is None or service.batching is None or not count:
            return 0
        batching = service.batching
        call_ms = batching.call_ms + min(count, batching.items) * (
            batching.item_ms
        )
        return int(call_ms * (1 + STAGE_WAIT_SHARE))

    def _is_followed(self, position: int) -> bool:
        return any(position in stage.after for stage in self._stages)

    def _needed(self) -> tuple[str, ...]:
        """Return the results of the stages that no other stage follows."""
        followed = {index for stage in self._stages for index in stage.after}
        return tuple(
            result
            for position in sorted(self._held)
            if position not in followed
            for result in self._held[position]
        )


class _StageError(Exception):
    def __init__(self, failure: stages.Failure) -> None:
        super().__init__(failure.reason.value)
        self.failure = failure
