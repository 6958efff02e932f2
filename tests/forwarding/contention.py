"""Plays a load on stage services in virtual time, with small fake replicas.

The owner of the queues, the preparation of requests and the callers' retries
are the real decisions; only the network, replicas and engines are simulated.
"""

import asyncio
from collections import Counter
import random

import attrs

from sycamorebeam import clocks
from sycamorebeam.forwarding import elapsed_times
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import preparation
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import stage_owner
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_limits
from sycamorebeam.forwarding.stage_admission import engine_starts
from sycamorebeam.forwarding.stage_calls import deadlines as stage_deadlines
from tests.forwarding import build

ZONES = ('a1', 'a2', 'a3', 'b1', 'b2', 'b3')
REGIONS = {zone: 'north' if zone < 'b' else 'south' for zone in ZONES}
OWNER_ZONE = 'a1'
MAX_ATTEMPTS = 4
SLOW_PERIOD_MS = 500
BURST_MS = (3_000, 9_000)
LOAD_MS = 11_000
SERVICES = {
    's1': (9, 13, 9.9, 71.5e6),
    's2': (8, 58, 2.24, 10.3e6),
    's3': (10, 91, 1.37, 1.6e6),
}
# The first stage of a chain has results of a tenth of the size.
RESULT_BYTES = {'s1': 3e6, 's2': 60e3, 's3': 6e3}
CHAIN_RESULT_SHARE = {'s1': 0.1}
ITEMS = {'s1': (1, 1, 2, 2, 2, 2), 's2': (5, 8, 11, 14, 17)}
ITEMS['s3'] = (8, 12, 17, 22, 26)


def hop_s(zone, other=OWNER_ZONE):
    """Return the one-way latency between two zones."""
    return 0.0034 if REGIONS[zone] == REGIONS[other] else 0.012


@attrs.frozen
class Kind:
    """A class of requests: its rate, limits and the worth of an answer."""

    per_s: float
    rank: int
    services: tuple[str, ...]
    objective_ms: int
    deadline_ms: int
    engine_ms: int
    worth: tuple[float, float]

    def result_bytes(self, service):
        is_followed = service != self.services[-1]
        share = CHAIN_RESULT_SHARE.get(service, 1.0) if is_followed else 1.0
        return RESULT_BYTES[service] * share

    @property
    def route(self):
        return build.route(
            kind=model.Kind.STREAM,
            timeout_ms=float(self.deadline_ms),
            latency_objective_ms=float(self.objective_ms),
            rank=self.rank,
            stages=tuple(
                model.Stage(
                    service=service,
                    after=(index - 1,) if index else (),
                    result_bytes=self.result_bytes(service),
                )
                for index, service in enumerate(self.services)
            ),
        )


KINDS = {
    'long': Kind(69, 1, ('s1',), 1_035, 6_212, 200, (3.3, 0.49)),
    'medium': Kind(82, 0, ('s1', 's2', 's3'), 1_519, 6_076, 66, (1.9, 0.28)),
}


class Replicas:
    """Runs calls as long as configured times the pace of the machine."""

    def __init__(self, seed, services, directory):
        self.seed = seed
        self.services = services
        self.directory = directory
        self.held = Counter()
        self.filled = Counter()
        self.calls = Counter()
        self.items_out_of_zone = Counter()
        self.names = {}

    def pace(self, target_id):
        now_ms = clocks.Clock().monotonic_ms()
        period = now_ms // SLOW_PERIOD_MS
        key = f'{self.seed}/{target_id}/{period}'
        return 165 if random.Random(key).random() < 0.16 else 107

    async def run(self, address, target_id, items):
        target = self.directory.targets[target_id]
        batching = self.services[target.service].batching
        pace = self.pace(target_id)
        zone = target.availability_zone
        # A connection, then the call.
        await asyncio.sleep(3 * hop_s(zone))
        results = []
        for item in items:
            kind = KINDS[item.work.attempt_id.rstrip('0123456789.')]
            result_bytes = kind.result_bytes(target.service)
            has_room = (
                self.held[address] + result_bytes <= batching.memory_bytes
            )
            self.held[address] += result_bytes * has_room
            work = item.work
            name = f'{address}/{work.attempt_id}.{work.stage}.{item.position}'
            results.append(
                stages.Produced(name)
                if has_room
                else stages.NotProduced(stages.FailureReason.NO_MEMORY)
            )
            self.names[name] = result_bytes
            self.items_out_of_zone[target.service] += any(
                self.zone_of(handle) != target.availability_zone
                for handle in work.inputs[:1]
            )
        self.calls[target.service] += 1
        self.filled[target.service] += len(items)
        took_ms = batching.call_ms + len(items) * batching.item_ms
        await asyncio.sleep(took_ms * pace / 100 / 1_000 + hop_s(zone))
        return stages.CallCompleted(tuple(results))

    def zone_of(self, result):
        address = self.holder_address(result)
        return self.directory.most_common_zone([address])

    async def free(self, address, results):
        zone = self.zone_of(results[0])
        await asyncio.sleep(4 * hop_s(zone))
        for result in results:
            self.held[address] -= self.names.pop(result, 0.0)
        return model.NO_FEEDBACK

    def holder_address(self, result):
        return result.partition('/')[0]


class Producer:
    """Passes stage requests on to the owner after a network delay."""

    is_isolated = False

    def __init__(self, owner):
        self.owner = owner
        self.withdraw = owner.withdraw
        self.free = owner.free

    async def produce(self, request):
        await asyncio.sleep(hop_s('a2'))
        return await self.owner.submit(request)

    async def announce(self, announcement):
        await asyncio.sleep(hop_s('a2'))
        return self.owner.announce(announcement)


class Play:
    """One load: ``bursts`` has the multiple of a kind's rate in the burst."""

    def __init__(self, seed, has_pace, bursts=None, policy=None):
        self.random = random.Random(seed)
        self.has_pace = has_pace
        self.bursts = bursts or {}
        self.results = Counter()
        self.refusals = Counter()
        self.totals_ms = {kind: [] for kind in KINDS}
        directory = target_directory.TargetDirectory()
        self.services = {}
        entries = []
        for name, (count, places, item_ms, memory) in SERVICES.items():
            self.services[name] = build.service(
                name,
                batching=build.batching(
                    max_items=places,
                    item_ms=item_ms,
                    memory_bytes=memory,
                ),
            )
            for n in range(count):
                target = build.target(
                    f'{name}t{n}',
                    ZONES[n % len(ZONES)],
                    name,
                    address=f'{name}.{n}:1',
                )
                entries.append(
                    target_directory.TargetEntry(target.target_id, target)
                )
        directory.replace(entries, 0)
        self.replicas = Replicas(seed, self.services, directory)
        limits = target_limits.TargetLimits()
        options = {} if policy is None else {'policy': policy}
        self.owner = stage_owner.StageOwner(
            clocks.Clock(),
            directory,
            self.services.get,
            self.replicas,
            retry_budget.RetryBudgets(0.2, 200.0, 10_000, lambda: 1),
            prometheus_metrics.Metrics(),
            lambda zone: 2_000 * hop_s(zone),
            REGIONS,
            build.feedback_handler(directory, limits),
            build.send_permits_alone(limits),
            **options,
        )
        self.producer = Producer(self.owner)
        self.delays = stage_deadlines.StageDelays()
        self.engine_starts = engine_starts.EngineStarts()

    def per_ms(self, kind, now_ms):
        begin_ms, end_ms = BURST_MS
        is_burst = begin_ms <= now_ms < end_ms
        factor = self.bursts.get(kind, 1.0) if is_burst else 1.0
        return KINDS[kind].per_s * factor / 1_000

    async def run(self):
        runner = asyncio.ensure_future(self.owner.run_forever())
        async with asyncio.TaskGroup() as group:
            for kind in KINDS:
                group.create_task(self.arrivals(kind, group))
        runner.cancel()
        return self

    async def arrivals(self, kind, group):
        at_ms, number = 0.0, 0
        generator = random.Random(f'{self.random.random()}{kind}')
        clock = clocks.Clock()
        began_ms = clock.monotonic_ms()
        while at_ms < LOAD_MS:
            at_ms += generator.expovariate(self.per_ms(kind, at_ms))
            await clock.sleep_until_ms(began_ms + at_ms)
            number += 1
            counts = tuple(
                generator.choice(ITEMS[service])
                for service in KINDS[kind].services
            )
            zone = generator.choice(ZONES)
            engine_ms = KINDS[kind].engine_ms * generator.uniform(0.7, 1.6)
            group.create_task(
                self.caller(kind, f'{kind}{number}', counts, zone, engine_ms)
            )

    async def caller(self, name, request_id, counts, zone, engine_ms):
        kind = KINDS[name]
        clock = clocks.Clock()
        first_ms = clock.monotonic_ms()
        for attempt in range(MAX_ATTEMPTS):
            now_ms = clock.monotonic_ms()
            left_ms = first_ms + kind.deadline_ms - now_ms
            failure = await self.attempt(
                kind,
                f'{request_id}.{attempt}',
                counts,
                zone,
                engine_ms,
                now_ms - first_ms,
            )
            if failure is None:
                total_ms = clock.monotonic_ms() - first_ms
                self.totals_ms[name].append(total_ms)
                is_late = total_ms > kind.objective_ms
                self.results[name, 'late' if is_late else 'in_time'] += 1
                return
            self.refusals[name] += 1
            wait_ms = min(failure.retry_after_ms, left_ms / 3)
            await clock.sleep_ms(wait_ms + 5)
            if clock.monotonic_ms() - first_ms > kind.deadline_ms - 400:
                break
        self.results[name, 'refused'] += 1

    async def attempt(
        self, kind, attempt_id, counts, zone, engine_ms, elapsed_ms
    ):
        now_ms = clocks.Clock().monotonic_ms()
        prepared = preparation.Preparation(
            self.producer,
            clocks.Clock(),
            build.request(
                attempt_id=attempt_id, item_counts=counts, arrived_ms=now_ms
            ),
            kind.route.stages,
            self.services.get,
            self.delays,
            kind.rank,
            engine_start_ms=self.engine_starts.expected_ms(
                str(kind.engine_ms), preparation.ENGINE_START_MS
            ),
            reports_pace=self.has_pace,
        )
        deadlines = stage_deadlines.deadlines_of(
            kind.route,
            now_ms,
            elapsed_ms,
            now_ms + kind.deadline_ms - elapsed_ms,
            is_retry=elapsed_ms > elapsed_times.CERTAIN_ELAPSED_MS,
        )
        try:
            results = await prepared.run(zone, deadlines)
            if isinstance(results, stages.Failure):
                return results
            await asyncio.sleep(engine_ms / 1_000)
            self.engine_starts.record(str(kind.engine_ms), engine_ms)
        finally:
            prepared.free()
        return None

    def share(self, name, *outcomes):
        """Return the share of a kind's requests with one of the outcomes."""
        total = sum(
            count for (kind, _), count in self.results.items() if kind == name
        )
        served = sum(self.results[name, outcome] for outcome in outcomes)
        return served / total

    def worth(self, name):
        """Return the share of a kind's possible worth that was earned."""
        in_time, late = KINDS[name].worth
        return (
            self.share(name, 'in_time')
            + self.share(name, 'late') * late / in_time
        )
