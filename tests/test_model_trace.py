"""Tests that traces of the code keep the rules of the model."""

import asyncio
import contextvars
import random

import async_solipsism
import ddt
from loguru import logger
import testtools

from sycamorebeam import answers
from sycamorebeam import catalogue_records
from sycamorebeam import claim_fold
from sycamorebeam import claim_records
from sycamorebeam import claims
from sycamorebeam import publishing
from sycamorebeam import records
from sycamorebeam import settings
from sycamorebeam import snapshots
from sycamorebeam.filters import idempotency
from tests import base
from tests import claim_bench
from tests import model_rules
from tests import test_catalogue_histories

CLAIM_SEEDS = range(1, 301)
CATALOGUE_SEEDS = range(1, 101)
FOLD_SEEDS = range(1, 2_001)
FOLD_RECORDS = 10
CLAIM_IDS = 'abcd'
END_KINDS = (
    claim_records.Abandon,
    claim_records.Release,
    claim_records.Outcome,
)
NO_WINDOW_MS = 10**12
LONG_WINDOW_MS = 3_600_000
SHORT_WINDOW_MS = 10_000
BOUNDS = settings.Bounds(max_deadline_ms=SHORT_WINDOW_MS // 2)
SETTLE_MS = 120_000
STREAM = claim_records.stream_of(0)
FAULT_SHARE = 0.1
ATTEMPT = contextvars.ContextVar('ATTEMPT')
FAULT_STEPS = (
    'before_claim',
    'after_claim',
    'read_claim',
    'before_abandon',
    'before_release',
    'dispatch',
    'ran',
    'before_outcome',
    'after_outcome',
    'answer',
)

RUN = (
    model_rules.AttemptReceived(1, 'k'),
    model_rules.RecordAppended('claim', 'k', 'a'),
    model_rules.PermitIssued('a'),
    model_rules.Dispatched(1, 'k', 'a'),
    model_rules.TargetAnswered('a', 'out'),
    model_rules.RecordAppended('outcome', 'k', 'a'),
    model_rules.CallerAnswered(1, 'k', 'completed', 'out'),
    model_rules.AttemptReceived(2, 'k'),
    model_rules.CallerAnswered(2, 'k', 'completed', 'out'),
    model_rules.LogRecovered(),
)
WITHDRAWN = (
    model_rules.AttemptReceived(1, 'k'),
    model_rules.CallerAnswered(1, 'k', 'not_run'),
    model_rules.RecordAppended('abandon', 'k', 'a'),
    model_rules.RecordAppended('release', 'k', 'a'),
    model_rules.RecordAppended('claim', 'k', 'a', 'i'),
    model_rules.LogRecovered(),
)
RACE = (
    model_rules.ChangeAppended(0, 'one', (('e', -1),)),
    model_rules.ChangeAppended(1, 'two', (('e', -1),)),
    model_rules.ChangeDecided('one', True),
    model_rules.ChangeDecided('two', False),
    model_rules.StateInForce('r', 0, b'0'),
    model_rules.StateInForce('r', 1, b'1'),
    model_rules.SnapshotWritten(1, b'1'),
)
ORDERS = (
    model_rules.OrderExecuted('e', 3, 'a'),
    model_rules.OrderExecuted('e', 5, 'b'),
)
SECOND_OWNER = (
    model_rules.AttemptReceived(2, 'k'),
    model_rules.RecordAppended('claim', 'k', 'b'),
    model_rules.PermitIssued('b'),
    model_rules.Dispatched(2, 'k', 'b'),
)
LATE_OWNER = (
    model_rules.PermitIssued('a'),
    model_rules.Dispatched(1, 'k', 'a'),
)

ORPHAN = (WITHDRAWN[-2], model_rules.LogRecovered())

VALID_TRACES = [
    ['run', RUN],
    ['withdrawn', WITHDRAWN],
    ['run_after_withdrawal', WITHDRAWN + SECOND_OWNER],
    [
        'crashed',
        (
            WITHDRAWN[-2],
            model_rules.InstanceCrashed('i'),
            model_rules.LogRecovered(),
        ),
    ],
    ['race', RACE],
    ['orders', ORDERS],
]
# name, trace, a rule that it breaks
TAMPERED_TRACES = [
    [
        'second_dispatch',
        (*RUN, model_rules.Dispatched(1, 'k', 'a')),
        'one_dispatch',
    ],
    ['second_owner', RUN + SECOND_OWNER, 'permit_to_owner'],
    ['no_claim', RUN[:1] + RUN[2:], 'permit_to_owner'],
    ['no_permit', RUN[:2] + RUN[3:], 'dispatch_by_permit'],
    ['second_permit', RUN[:3] + RUN[2:], 'one_permit'],
    ['second_claim', RUN[:2] + RUN[1:], 'one_append'],
    ['abandoned_owner', WITHDRAWN + LATE_OWNER, 'permit_to_owner'],
    ['denied_then_run', RUN[:3] + WITHDRAWN[1:2] + RUN[3:], 'not_run'],
    ['run_then_denied', RUN + WITHDRAWN[1:2], 'not_run'],
    [
        'denied_for_another',
        (
            RUN[0],
            model_rules.AttemptReceived(2, 'k'),
            model_rules.CallerAnswered(2, 'k', 'not_run'),
            *RUN[1:],
        ),
        'not_run',
    ],
    ['released_then_run', RUN[:3] + WITHDRAWN[3:4] + RUN[3:], 'release_unrun'],
    ['run_then_released', RUN + WITHDRAWN[3:4], 'release_unrun'],
    ['early_outcome', RUN[:3] + RUN[5:6] + RUN[3:], 'outcome_of_dispatch'],
    [
        'other_answer',
        (*RUN, model_rules.CallerAnswered(2, 'k', 'completed', 'other')),
        'answer_of_dispatch',
    ],
    ['answer_without_run', RUN[:3] + RUN[6:], 'answer_of_dispatch'],
    [
        'other_owner',
        (RUN[1], model_rules.FoldDecided('k', 'b', False)),
        'same_decision',
    ],
    [
        'early_end',
        (RUN[1], model_rules.FoldDecided('k', 'a', True)),
        'same_decision',
    ],
    ['orphan', ORPHAN, 'no_orphan'],
    [
        'orphan_of_another',
        (model_rules.InstanceCrashed('j'), *ORPHAN),
        'no_orphan',
    ],
    [
        'lower_offset',
        (*RACE, model_rules.StateInForce('r', 0, b'0')),
        'never_lower',
    ],
    ['fork', (*RACE, model_rules.StateInForce('s', 1, b'2')), 'same_state'],
    [
        'bad_snapshot',
        (*RACE, model_rules.SnapshotWritten(0, b'1')),
        'same_state',
    ],
    [
        'two_winners',
        (*RACE, model_rules.ChangeDecided('two', True)),
        'one_winner',
    ],
    [
        'no_winner',
        (*RACE, model_rules.ChangeDecided('one', False)),
        'one_winner',
    ],
    ['resent_change', RACE[:1] + RACE, 'one_append'],
    ['older_order', ORDERS[::-1], 'fence_never_lower'],
    [
        'shared_fence',
        (*ORDERS, model_rules.OrderExecuted('e', 5, 'a')),
        'one_holder_a_fence',
    ],
]
# Events that the histories must contain to exercise the rules.
CLAIM_EVENTS = {
    'claim',
    'abandon',
    'release',
    'outcome',
    'completed',
    'not_run',
    'attempt_not_run',
    'in_progress',
    'unknown',
    model_rules.PermitIssued,
    model_rules.Dispatched,
    model_rules.InstanceCrashed,
}
AGEING_EVENTS = CLAIM_EVENTS | {'too_old'}
CATALOGUE_EVENTS = {
    model_rules.ChangeAppended,
    model_rules.StateInForce,
    model_rules.SnapshotWritten,
    True,
    False,
}


@ddt.ddt
class RulesTest(base.TestCase):
    @ddt.named_data(*VALID_TRACES)
    def test_accepts_valid_trace(self, trace):
        self.assertEqual([], model_rules.broken_rules(trace))

    @ddt.named_data(*TAMPERED_TRACES)
    def test_rejects_tampered_trace(self, trace, rule):
        self.assertIn(rule, model_rules.broken_rules(trace))


class FoldRecorder:
    """Folds records of one key by the code and records its decisions."""

    def __init__(self, trace, key):
        self._trace = trace
        self._key = key
        self._state = None
        self._position = claim_fold.Position(0, 0, 0)

    def apply(self, item):
        kind = claim_records.to_record(item).type
        instance = getattr(item, 'owner', '')
        self._trace.append(
            model_rules.RecordAppended(
                kind, self._key, item.claim_id, instance
            )
        )
        self._state = claim_fold.apply(
            self._state, item, self._position, NO_WINDOW_MS
        )
        owner = None if self._state is None else self._state.claim_id
        settled = owner is not None and self._state.outcome is not None
        self._trace.append(model_rules.FoldDecided(self._key, owner, settled))


def random_records(random_):
    """Return records of four claims of one key, each claimed once."""
    log_records = [
        claim_records.Claim(
            key_digest=b'',
            claim_id=claim_id,
            request_digest=b'',
            deadline_ms=1,
            owner='i',
        )
        for claim_id in CLAIM_IDS
    ]
    for _ in range(FOLD_RECORDS):
        claim_id = random_.choice(CLAIM_IDS)
        kind = random_.choice(END_KINDS)
        extra = {'known': True} if kind is claim_records.Outcome else {}
        log_records.append(kind(key_digest=b'', claim_id=claim_id, **extra))
    random_.shuffle(log_records)
    return log_records


class PermitRecorder:
    """Wraps claims and records the permits that they issue."""

    def __init__(self, real, trace):
        self._real = real
        self._trace = trace

    def __getattr__(self, name):
        return getattr(self._real, name)

    async def claim(self, *args):
        result = await self._real.claim(*args)
        if isinstance(result, claims.Owned):
            event = model_rules.PermitIssued(result.permit.claim_id)
            self._trace.append(event)
        return result


class TracedInstance(claim_bench.Instance):
    """An instance that records permits, dispatches and target answers."""

    def __init__(self, bench, name, faults, trace, window_ms):
        super().__init__(
            bench, name, faults, claim_window_ms=window_ms, bounds=BOUNDS
        )
        self._trace = trace
        self._filter = idempotency.new_idempotency_filter(
            PermitRecorder(self.claims, trace), self.clock
        )

    async def run(self, request):
        if not request.deadline.remaining_ms(self.clock):
            return claim_bench.problem(claim_bench.NOT_RUN)
        key = request.idempotency_key
        claim_id = request.permit.claim_id
        request.permit.use()
        await self.process.step('dispatch')
        event = model_rules.Dispatched(ATTEMPT.get(), key, claim_id)
        self._trace.append(event)
        output = await self.bench.target.run(key, 0)
        self._trace.append(model_rules.TargetAnswered(claim_id, str(output)))
        await self.process.step('ran')
        return answers.Completed(output)


class ClaimTrace:
    """One seeded history of one key at three instances."""

    _window_ms = LONG_WINDOW_MS

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.trace = []
        self.bench = claim_bench.Bench(seed)
        self.key = self.random.choice(('key', claim_bench.uuid7(0)))
        self._record_appends()
        self._instances = [self._instance(name) for name in 'abc']
        self._attempts = 0

    async def run(self):
        await self.bench.clock.sleep_ms(self.random.randrange(3_000))
        fault_task = asyncio.create_task(self._inject_faults())
        await self._send_attempt(first=self.random.random() < 0.7)
        for _ in range(self.random.randrange(4)):
            await self.bench.clock.sleep_ms(
                self.random.choice((1, 4_000, 20_000))
            )
            count = self.random.randint(1, 2)
            await asyncio.gather(*(self._send_attempt() for _ in range(count)))
        fault_task.cancel()
        self.bench.log.down = False
        await self.bench.clock.sleep_ms(SETTLE_MS)
        for name, instance in zip('abc', self._instances, strict=True):
            if instance.process.dead:
                self.trace.append(model_rules.InstanceCrashed(name))
        self._record_recovery()

    def _record_recovery(self):
        self.trace.append(model_rules.LogRecovered())

    async def _send_attempt(self, first=False):
        self._attempts += 1
        attempt = self._attempts
        ATTEMPT.set(attempt)
        self.trace.append(model_rules.AttemptReceived(attempt, self.key))
        reply = await self.bench.ask(
            self.random.choice(self._instances),
            self.key,
            first=first,
            deadline_ms=self.random.choice((300, 1_000, 5_000)),
        )
        output = None
        if reply.outcome == 'completed':
            output = str(reply.answer.output)
        event = model_rules.CallerAnswered(
            attempt, self.key, reply.outcome, output
        )
        self.trace.append(event)

    def _record_appends(self):
        put = self.bench.log.put
        recorder = FoldRecorder(self.trace, self.key)

        def recorded_put(stream, data):
            for record in records.unpack_envelope(data):
                recorder.apply(claim_records.from_record(record))
            return put(stream, data)

        self.bench.log.put = recorded_put

    def _instance(self, name):
        faults = dict(self._faults())
        return TracedInstance(
            self.bench, name, faults, self.trace, self._window_ms
        )

    def _faults(self):
        for step in FAULT_STEPS:
            if self.random.random() < FAULT_SHARE:
                yield step, self.random.choice((self._crash, self._pause))

    def _crash(self, process):
        process.dead = True

    def _pause(self, process):
        process.pause(self.random.choice((100, 3_000, 30_000)))

    async def _inject_faults(self):
        log = self.bench.log
        while True:
            await self.bench.clock.sleep_ms(self.random.choice((1, 500)))
            match self.random.choice(('lose', 'late', 'down', 'up', 'cut')):
                case 'lose':
                    log.lose_answers = 1
                case 'late':
                    log.late_appends = 1
                    log.late_by_ms = self.random.choice((0, 800, 30_000))
                case 'down':
                    log.down = True
                case 'up':
                    log.down = False
                case 'cut':
                    self._truncate_log()

    def _truncate_log(self):
        """Truncate the records that are older than the window."""
        log = self.bench.log
        oldest_ms = self.bench.clock.monotonic_ms() - self._window_ms
        for row in log.streams.get(STREAM, ()):
            if row.time_ms < oldest_ms:
                log.truncate(STREAM, row.offset + 1)


class AgeingClaimTrace(ClaimTrace):
    """A history that may outlast the window of its key.

    A claim that is not released by then expires with the window.
    """

    _window_ms = SHORT_WINDOW_MS

    def _record_recovery(self):
        pass


class CatalogueTrace(test_catalogue_histories.History):
    """One seeded history of operators and followers."""

    def __init__(self, seed):
        self.trace = []
        super().__init__(seed)
        put = self.log.put

        def recorded_put(stream, data):
            offset = put(stream, data)
            self._record_append(stream, offset, data)
            return offset

        self.log.put = recorded_put

    def add_follower(self):
        super().add_follower()
        follower = self.benches[-1].follower
        name = str(len(self.benches))

        def record_state(state):
            _, digest = follower.offset_and_digest()
            self.trace.append(
                model_rules.StateInForce(name, state.offset, digest)
            )

        follower.subscribe(record_state)

    def _record_append(self, stream, offset, data):
        if stream == catalogue_records.STREAM:
            for item in catalogue_records.parse(data, 1):
                self.trace.append(change_appended(offset, item))
        if stream == snapshots.STREAM:
            match snapshots.parse(data):
                case snapshots.Manifest(offset=covered, digest=digest):
                    self.trace.append(
                        model_rules.SnapshotWritten(covered, digest)
                    )

    async def run(self):
        await super().run()
        for answer in self.answers:
            match answer:
                case publishing.Accepted(change_id=change_id):
                    self.trace.append(
                        model_rules.ChangeDecided(change_id, True)
                    )
                case publishing.Rejected(change_id=change_id, sent=True):
                    self.trace.append(
                        model_rules.ChangeDecided(change_id, False)
                    )


def change_appended(offset, item):
    bases = tuple((edit.key, edit.base_revision) for edit in item.edits)
    removed = tuple(edit.key for edit in item.edits if edit.value is None)
    return model_rules.ChangeAppended(offset, item.id, bases, removed)


def run_trace(make, seed):
    async def run():
        history = make(seed)
        await history.run()
        return history.trace

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(run())


@ddt.ddt
class CodeTraceTest(testtools.TestCase):
    """Random histories of the code with its real transition functions."""

    def setUp(self):
        super().setUp()
        logger.disable('sycamorebeam')
        self.addCleanup(logger.enable, 'sycamorebeam')

    @ddt.named_data(
        ['claims', ClaimTrace, CLAIM_SEEDS, CLAIM_EVENTS],
        ['ageing', AgeingClaimTrace, CLAIM_SEEDS, AGEING_EVENTS],
        ['catalogue', CatalogueTrace, CATALOGUE_SEEDS, CATALOGUE_EVENTS],
    )
    def test_keeps_the_rules(self, make, seeds, kinds):
        seen_kinds = set()
        for seed in seeds:
            trace = run_trace(make, seed)
            broken = model_rules.broken_rules(trace)
            self.assertEqual([], broken, f'seed {seed}')
            seen_kinds.update(map(kind_of, trace))
        self.assertEqual(set(), kinds - seen_kinds)


class FoldTest(testtools.TestCase):
    def test_decides_as_the_rules_for_random_records(self):
        for seed in FOLD_SEEDS:
            random_ = random.Random(seed)
            trace = []
            recorder = FoldRecorder(trace, 'k')
            for item in random_records(random_):
                recorder.apply(item)
            broken = model_rules.broken_rules(trace)
            self.assertNotIn('same_decision', broken, f'seed {seed}')


def kind_of(event):
    match event:
        case model_rules.RecordAppended(kind=kind):
            return kind
        case model_rules.CallerAnswered(outcome=outcome):
            return outcome
        case model_rules.ChangeDecided(accepted=accepted):
            return accepted
    return type(event)
