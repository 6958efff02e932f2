"""Instances, callers and a counting target that share one fake log.

An instance dies or pauses at named steps: from then on its requests and
the answers to it are held back, forever or for a time. The steps are
``before_X`` and ``after_X`` for the append of a record of type X,
``read_X`` before it gets such a record, ``dispatch`` after the last check
of deadline and permit, ``ran`` before it gets the target's answer, and
``answer`` before it answers the caller.
"""

import asyncio
import collections
import random

import attrs

from sycamorebeam import answers
from sycamorebeam import batching
from sycamorebeam import catalogue
from sycamorebeam import claim_fold
from sycamorebeam import claim_partition
from sycamorebeam import claim_records
from sycamorebeam import claims
from sycamorebeam import clocks
from sycamorebeam import hashing
from sycamorebeam import records
from sycamorebeam import settings
from sycamorebeam.clients import results
from sycamorebeam.controllers import claims_controller
from sycamorebeam.filters import chain
from sycamorebeam.filters import idempotency
from tests import fake_log

SEED = 11
DEADLINE_MS = 5_000
NOT_RUN = answers.Outcome.NOT_RUN
LIMITS = catalogue.Limits()
STAGE = catalogue.Stage(
    name='restart', target='pumps', operation='restart', idempotent=False
)
PIPELINE = catalogue.Pipeline(
    owner='ops',
    service_class=catalogue.ServiceClass.URGENT,
    limits=LIMITS,
    deadline_ms=DEADLINE_MS,
    stages=(STAGE,),
)


def new_settings(name='a', **changes):
    return settings.Settings(
        instance_id=name,
        placement=settings.Placement(zone='z1', region='r1'),
        addresses=settings.Addresses(callers='127.0.0.1:0', peers=''),
        platform=settings.Platform(log='', instances=''),
        peer_secret_file='',
        **{'claim_partitions': 1, **changes},
    )


def types_of(data):
    return [item.type for item in records.unpack_envelope(data)]


@attrs.define
class Reply:
    """A caller's answer to one attempt, None if it got no answer."""

    key: str
    began_ms: int
    ended_ms: int
    answer: answers.Answer | None

    @property
    def outcome(self):
        match self.answer:
            case None:
                return 'nothing'
            case answers.Completed():
                return 'completed'
            case answers.Problem(kind=kind, outcome=outcome):
                if kind is answers.ProblemKind.KEY_TOO_OLD:
                    return 'too_old'
                return outcome.value


class Process:
    """The process of an instance, which dies or pauses as a whole."""

    def __init__(self, faults=None):
        self.faults = dict(faults or {})
        self.dead = False
        self.step_counts = collections.Counter()
        self._running = asyncio.Event()
        self._running.set()
        self._never = asyncio.Event()

    async def step(self, name):
        self.step_counts[name] += 1
        fault = self.faults.pop(name, None)
        if fault is not None:
            fault(self)
        if self.dead:
            await self._never.wait()
        await self._running.wait()

    def pause(self, duration_ms):
        self._running.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(duration_ms / 1000, self._running.set)


class InstanceLog:
    """The log client of one instance, with its steps."""

    def __init__(self, log, process):
        self._log = log
        self._process = process

    async def append(self, stream, data):
        kinds = types_of(data)
        for kind in kinds:
            await self._process.step(f'before_{kind}')
        result = await self._log.append(stream, data)
        for kind in kinds:
            await self._process.step(f'after_{kind}')
        return result

    async def read(self, stream, start, limit=100, wait_ms=0):
        result = await self._log.read(stream, start, limit, wait_ms)
        if isinstance(result, results.LogPage):
            for record in result.records:
                for kind in types_of(record.data):
                    await self._process.step(f'read_{kind}')
        await self._process.step('read')
        return result

    async def bounds(self, stream):
        result = await self._log.bounds(stream)
        await self._process.step('read')
        return result


class Target:
    """Runs every request and records the runs by key."""

    def __init__(self):
        self.runs = collections.defaultdict(list)
        self.delay_ms = 20

    async def run(self, key, began_ms):
        now_ms = clocks.Clock().monotonic_ms()
        self.runs[key].append((now_ms, began_ms))
        number = sum(map(len, self.runs.values()))
        await asyncio.sleep(self.delay_ms / 1000)
        return {'ticket': number}


class Instance:
    """The claims controller of one instance and a runner of one stage."""

    def __init__(self, bench, name, faults=None, **changes):
        self.bench = bench
        self.clock = clocks.Clock()
        self.process = Process(faults)
        self.random = random.Random(f'{bench.seed}{name}')
        log = InstanceLog(bench.log, self.process)
        self.appender = batching.new_appender(
            log, self.clock, 40.0, 5, self.random
        )
        self.claims = claims_controller.new_claims_controller(
            log,
            self.appender,
            self.clock,
            new_settings(name, **changes),
            self.random,
            bench.max_keys,
        )
        self._filter = idempotency.new_idempotency_filter(
            self.claims, self.clock
        )

    async def answer(self, *args):
        answer = await self.serve(*args)
        await self.process.step('answer')
        return answer

    async def serve(self, key, first=False, deadline_ms=DEADLINE_MS, number=1):
        request = chain.Request(
            request_id='r',
            pipeline_name='pump',
            body={'number': number},
            deadline=clocks.deadline_in(self.clock, deadline_ms),
            idempotency_key=key,
            first_attempt=first,
            team_name='team',
            pipeline=PIPELINE,
        )
        return await self._filter(request, self.run)

    async def run(self, request):
        began_ms = self.clock.monotonic_ms()
        if not request.deadline.remaining_ms(self.clock):
            return problem(NOT_RUN)
        request.permit.use()
        await self.process.step('dispatch')
        output = await self.bench.target.run(request.idempotency_key, began_ms)
        await self.process.step('ran')
        return answers.Completed(output)


def problem(outcome, target_request_id=None):
    return answers.Problem(
        answers.ProblemKind.STAGE_FAILED,
        outcome,
        'failed',
        'retry',
        target_request_id=target_request_id,
    )


class Bench:
    def __init__(self, seed=SEED, max_keys=claim_partition.MAX_KEYS):
        self.seed = seed
        self.max_keys = max_keys
        self.clock = clocks.Clock()
        self.log = fake_log.FakeLog()
        self.target = Target()
        self.replies = []

    def instance(self, name='a', faults=None, **changes):
        return Instance(self, name, faults, **changes)

    async def ask(
        self, instance, key, first=False, deadline_ms=DEADLINE_MS, number=1
    ):
        """Send one attempt as a caller that hangs up after its deadline.

        The instance keeps working on the request: a paused process does not
        notice that the caller is gone.
        """
        began_ms = self.clock.monotonic_ms()
        serving = asyncio.create_task(
            instance.answer(key, first, deadline_ms, number)
        )
        await asyncio.wait({serving}, timeout=deadline_ms / 1000 + 1)
        answer = serving.result() if serving.done() else None
        reply = Reply(key, began_ms, self.clock.monotonic_ms(), answer)
        self.replies.append(reply)
        return reply

    async def wait_settled(self, *instances):
        while any(instance.claims.unsettled for instance in instances):
            await self.clock.sleep_ms(500)

    def folded_state(self, key):
        """Return the state of a key folded from the whole log."""
        digest = claim_records.key_digest(claims.ClaimKey('team', 'pump', key))
        state = None
        for log_record in self.log.streams.get('claims.0', []):
            envelope = records.unpack_envelope(log_record.data)
            for index, record in enumerate(envelope):
                claim_record = claim_records.from_record(record)
                if getattr(claim_record, 'key_digest', None) == digest:
                    position = claim_fold.Position(
                        log_record.offset, index, log_record.time_ms
                    )
                    state = claim_fold.apply(
                        state, claim_record, position, 10**12
                    )
        return state

    def violations(self):
        """Return the contradictions between the runs and the replies."""
        faults = [
            f'{key} ran {len(runs)} times'
            for key, runs in self.target.runs.items()
            if len(runs) > 1
        ]
        for reply in self.replies:
            runs = self.target.runs[reply.key]
            if reply.outcome == 'completed' and not runs:
                faults.append(f'{reply.key} completed without a run')
            if reply.outcome == NOT_RUN.value:
                faults.extend(
                    f'{reply.key} was "not run" at {reply.ended_ms} '
                    f'but ran at {ran_ms}'
                    for ran_ms, began_ms in runs
                    if ran_ms <= reply.ended_ms or began_ms < reply.ended_ms
                )
        return faults


def uuid7(created_ms, number=0):
    value = (created_ms << 80) | (7 << 76) | (2 << 62) | number
    text = f'{value:032x}'
    return '-'.join(
        (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    )


def request_digest(number=1):
    return hashing.digest(b'%d' % number)
