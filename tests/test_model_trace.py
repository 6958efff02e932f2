"""Checks the code's own runs, and tampered ones, by the model's rules."""

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
from tests import model_rules as rules
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
    rules.Began(1, 'k'),
    rules.Landed('claim', 'k', 'a'),
    rules.Permitted('a'),
    rules.Dispatched(1, 'k', 'a'),
    rules.Ran('a', 'out'),
    rules.Landed('outcome', 'k', 'a'),
    rules.Told(1, 'k', 'completed', 'out'),
    rules.Began(2, 'k'),
    rules.Told(2, 'k', 'completed', 'out'),
    rules.Settled(),
)
WITHDRAWN = (
    rules.Began(1, 'k'),
    rules.Told(1, 'k', 'not_run'),
    rules.Landed('abandon', 'k', 'a'),
    rules.Landed('release', 'k', 'a'),
    rules.Landed('claim', 'k', 'a', 'i'),
    rules.Settled(),
)
RACE = (
    rules.ChangeLanded(0, 'one', (('e', -1),)),
    rules.ChangeLanded(1, 'two', (('e', -1),)),
    rules.Verdict('one', True),
    rules.Verdict('two', False),
    rules.InForce('r', 0, b'0'),
    rules.InForce('r', 1, b'1'),
    rules.SnapshotTaken(1, b'1'),
)
ORDERS = (rules.OrderTaken('e', 3, 'a'), rules.OrderTaken('e', 5, 'b'))
SECOND_OWNER = (
    rules.Began(2, 'k'),
    rules.Landed('claim', 'k', 'b'),
    rules.Permitted('b'),
    rules.Dispatched(2, 'k', 'b'),
)
LATE_OWNER = (rules.Permitted('a'), rules.Dispatched(1, 'k', 'a'))

ORPHAN = (WITHDRAWN[-2], rules.Settled())

GOOD = [
    ['run', RUN],
    ['withdrawn', WITHDRAWN],
    ['run_after_withdrawal', WITHDRAWN + SECOND_OWNER],
    ['died', (WITHDRAWN[-2], rules.Died('i'), rules.Settled())],
    ['race', RACE],
    ['orders', ORDERS],
]
# name, trace, a rule that it breaks
TAMPERED = [
    ['second_dispatch', (*RUN, rules.Dispatched(1, 'k', 'a')), 'one_dispatch'],
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
        (RUN[0], rules.Began(2, 'k'), rules.Told(2, 'k', 'not_run'), *RUN[1:]),
        'not_run',
    ],
    ['released_then_run', RUN[:3] + WITHDRAWN[3:4] + RUN[3:], 'release_unrun'],
    ['run_then_released', RUN + WITHDRAWN[3:4], 'release_unrun'],
    ['early_outcome', RUN[:3] + RUN[5:6] + RUN[3:], 'outcome_of_dispatch'],
    [
        'other_answer',
        (*RUN, rules.Told(2, 'k', 'completed', 'other')),
        'answer_of_dispatch',
    ],
    ['answer_without_run', RUN[:3] + RUN[6:], 'answer_of_dispatch'],
    ['other_owner', (RUN[1], rules.Decided('k', 'b', False)), 'same_decision'],
    ['early_end', (RUN[1], rules.Decided('k', 'a', True)), 'same_decision'],
    ['orphan', ORPHAN, 'no_orphan'],
    ['orphan_of_another', (rules.Died('j'), *ORPHAN), 'no_orphan'],
    ['lower_offset', (*RACE, rules.InForce('r', 0, b'0')), 'never_lower'],
    ['fork', (*RACE, rules.InForce('s', 1, b'2')), 'same_state'],
    ['bad_snapshot', (*RACE, rules.SnapshotTaken(0, b'1')), 'same_state'],
    ['two_winners', (*RACE, rules.Verdict('two', True)), 'one_winner'],
    ['no_winner', (*RACE, rules.Verdict('one', False)), 'one_winner'],
    ['resent_change', RACE[:1] + RACE, 'one_append'],
    ['older_order', ORDERS[::-1], 'fence_never_lower'],
    [
        'shared_fence',
        (*ORDERS, rules.OrderTaken('e', 5, 'a')),
        'one_holder_a_fence',
    ],
]
# What the histories must contain for their verdict to mean something.
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
    rules.Permitted,
    rules.Dispatched,
    rules.Died,
}
AGEING_EVENTS = CLAIM_EVENTS | {'too_old'}
CATALOGUE_EVENTS = {
    rules.ChangeLanded,
    rules.InForce,
    rules.SnapshotTaken,
    True,
    False,
}


@ddt.ddt
class RulesTest(base.TestCase):
    @ddt.named_data(*GOOD)
    def test_accepts(self, trace):
        self.assertEqual([], rules.broken_rules(trace))

    @ddt.named_data(*TAMPERED)
    def test_rejects(self, trace, rule):
        self.assertIn(rule, rules.broken_rules(trace))


class FoldTap:
    """Folds records of one key by the code and notes its decisions."""

    def __init__(self, trace, key):
        self._trace = trace
        self._key = key
        self._state = None
        self._position = claim_fold.Position(0, 0, 0)

    def land(self, item):
        kind = claim_records.to_record(item).type
        instance = getattr(item, 'owner', '')
        self._trace.append(
            rules.Landed(kind, self._key, item.claim_id, instance)
        )
        self._state = claim_fold.apply(
            self._state, item, self._position, NO_WINDOW_MS
        )
        owner = None if self._state is None else self._state.claim_id
        settled = owner is not None and self._state.outcome is not None
        self._trace.append(rules.Decided(self._key, owner, settled))


def any_records(random_):
    """Return records of four claims of one key, each claimed once."""
    found = [
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
        found.append(kind(key_digest=b'', claim_id=claim_id, **extra))
    random_.shuffle(found)
    return found


class PermitTap:
    """Claims that note which permits they issue."""

    def __init__(self, real, trace):
        self._real = real
        self._trace = trace

    def __getattr__(self, name):
        return getattr(self._real, name)

    async def claim(self, *args):
        result = await self._real.claim(*args)
        if isinstance(result, claims.Owned):
            event = rules.Permitted(result.permit.claim_id)
            self._trace.append(event)
        return result


class TracedInstance(claim_bench.Instance):
    """An instance that notes permits, dispatches and the target's answers."""

    def __init__(self, bench, name, faults, trace, window_ms):
        super().__init__(
            bench, name, faults, claim_window_ms=window_ms, bounds=BOUNDS
        )
        self._trace = trace
        self._filter = idempotency.new_idempotency_filter(
            PermitTap(self.claims, trace), self.clock
        )

    async def run(self, request):
        if not request.deadline.remaining_ms(self.clock):
            return claim_bench.problem(claim_bench.NOT_RUN)
        key = request.idempotency_key
        claim_id = request.permit.claim_id
        request.permit.use()
        await self.process.step('dispatch')
        event = rules.Dispatched(ATTEMPT.get(), key, claim_id)
        self._trace.append(event)
        output = await self.bench.target.run(key, 0)
        self._trace.append(rules.Ran(claim_id, str(output)))
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
        self._tap_log()
        self._instances = [self._instance(name) for name in 'abc']
        self._attempts = 0

    async def run(self):
        await self.bench.clock.sleep_ms(self.random.randrange(3_000))
        disturbing = asyncio.create_task(self._disturb())
        await self._ask(first=self.random.random() < 0.7)
        for _ in range(self.random.randrange(4)):
            await self.bench.clock.sleep_ms(
                self.random.choice((1, 4_000, 20_000))
            )
            count = self.random.randint(1, 2)
            await asyncio.gather(*(self._ask() for _ in range(count)))
        disturbing.cancel()
        self.bench.log.down = False
        await self.bench.clock.sleep_ms(SETTLE_MS)
        for name, instance in zip('abc', self._instances, strict=True):
            if instance.process.dead:
                self.trace.append(rules.Died(name))
        self._settle()

    def _settle(self):
        self.trace.append(rules.Settled())

    async def _ask(self, first=False):
        self._attempts += 1
        attempt = self._attempts
        ATTEMPT.set(attempt)
        self.trace.append(rules.Began(attempt, self.key))
        told = await self.bench.ask(
            self.random.choice(self._instances),
            self.key,
            first=first,
            deadline_ms=self.random.choice((300, 1_000, 5_000)),
        )
        output = None
        if told.outcome == 'completed':
            output = str(told.answer.output)
        event = rules.Told(attempt, self.key, told.outcome, output)
        self.trace.append(event)

    def _tap_log(self):
        put = self.bench.log.put
        tap = FoldTap(self.trace, self.key)

        def tapped(stream, data):
            for record in records.unpack_envelope(data):
                tap.land(claim_records.from_record(record))
            return put(stream, data)

        self.bench.log.put = tapped

    def _instance(self, name):
        faults = dict(self._faults())
        return TracedInstance(
            self.bench, name, faults, self.trace, self._window_ms
        )

    def _faults(self):
        for step in FAULT_STEPS:
            if self.random.random() < FAULT_SHARE:
                yield step, self.random.choice((self._die, self._pause))

    def _die(self, process):
        process.dead = True

    def _pause(self, process):
        process.pause(self.random.choice((100, 3_000, 30_000)))

    async def _disturb(self):
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
                    self._cut()

    def _cut(self):
        """Apply retention to what is beyond the window."""
        log = self.bench.log
        oldest_ms = self.bench.clock.monotonic_ms() - self._window_ms
        for row in log.streams.get(STREAM, ()):
            if row.time_ms < oldest_ms:
                log.truncate(STREAM, row.offset + 1)


class AgeingClaimTrace(ClaimTrace):
    """A history that may outlast the window of its key.

    What is not released by then is left to the window.
    """

    _window_ms = SHORT_WINDOW_MS

    def _settle(self):
        pass


class CatalogueTrace(test_catalogue_histories.History):
    """One seeded history of operators and followers."""

    def __init__(self, seed):
        self.trace = []
        super().__init__(seed)
        put = self.log.put

        def tapped(stream, data):
            offset = put(stream, data)
            self._land(stream, offset, data)
            return offset

        self.log.put = tapped

    def add_follower(self):
        super().add_follower()
        follower = self.benches[-1].follower
        name = str(len(self.benches))

        def note(found):
            _, digest = follower.offset_and_digest()
            self.trace.append(rules.InForce(name, found.offset, digest))

        follower.subscribe(note)

    def _land(self, stream, offset, data):
        if stream == catalogue_records.STREAM:
            for item in catalogue_records.parse(data, 1):
                self.trace.append(change_landed(offset, item))
        if stream == snapshots.STREAM:
            match snapshots.parse(data):
                case snapshots.Manifest(offset=covered, digest=digest):
                    self.trace.append(rules.SnapshotTaken(covered, digest))

    async def run(self):
        await super().run()
        for answer in self.answers:
            match answer:
                case publishing.Accepted(change_id=change_id):
                    self.trace.append(rules.Verdict(change_id, True))
                case publishing.Rejected(change_id=change_id, sent=True):
                    self.trace.append(rules.Verdict(change_id, False))


def change_landed(offset, item):
    bases = tuple((edit.key, edit.base_revision) for edit in item.edits)
    removed = tuple(edit.key for edit in item.edits if edit.value is None)
    return rules.ChangeLanded(offset, item.id, bases, removed)


def run_trace(make, seed):
    async def run():
        history = make(seed)
        await history.run()
        return history.trace

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(run())


@ddt.ddt
class CodeTraceTest(testtools.TestCase):
    """The code's own runs, through its real transition functions."""

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
        seen = set()
        for seed in seeds:
            trace = run_trace(make, seed)
            found = rules.broken_rules(trace)
            self.assertEqual([], found, f'seed {seed}')
            seen.update(map(kind_of, trace))
        self.assertEqual(set(), kinds - seen)


class FoldTest(testtools.TestCase):
    def test_decides_any_records_as_the_rules_do(self):
        for seed in FOLD_SEEDS:
            random_ = random.Random(seed)
            trace = []
            tap = FoldTap(trace, 'k')
            for item in any_records(random_):
                tap.land(item)
            found = rules.broken_rules(trace)
            self.assertNotIn('same_decision', found, f'seed {seed}')


def kind_of(event):
    match event:
        case rules.Landed(kind=kind):
            return kind
        case rules.Told(outcome=outcome):
            return outcome
        case rules.Verdict(accepted=accepted):
            return accepted
    return type(event)
