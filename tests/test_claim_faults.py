"""Tests of claims with a fault at each step of the owning instance."""

import asyncio

import ddt

from tests import base
from tests import claim_bench

STEPS = (
    'before_claim',
    'after_claim',
    'read_claim',
    'dispatch',
    'ran',
    'before_outcome',
    'after_outcome',
)
HOUR_MS = 3_600_000
PAUSE_MS = 30_000
OUTAGE_MS = 20_000
LATE_BY_MS = 3_000
MAX_REFUSAL_MS = 50
MAX_FIRST_REFUSAL_MS = 2_000
LETTERS = {
    'nothing': '-',
    'completed': 'C',
    'in_progress': 'P',
    'unknown': 'U',
    'not_run': 'N',
    'attempt_not_run': 'A',
    'too_old': 'O',
}


def call_later(duration_ms, call, *args):
    asyncio.get_running_loop().call_later(duration_ms / 1000, call, *args)


def die(log, process):
    process.dead = True


def pause(log, process):
    process.pause(PAUSE_MS)


def pause_long(log, process):
    """Pause for longer than the window, in which all records are lost."""
    process.pause(2 * HOUR_MS)
    call_later(
        2 * HOUR_MS - 1_000,
        lambda: log.truncate('claims.0', len(log.streams['claims.0'])),
    )


def lose_answer(log, process):
    log.lose_answers = 1


def append_late(log, process):
    log.late_appends = 1
    log.late_by_ms = LATE_BY_MS


def log_down(log, process):
    log.down = True
    call_later(OUTAGE_MS, setattr, log, 'down', False)


def log_hang(log, process):
    log.hang = True
    call_later(OUTAGE_MS, setattr, log, 'hang', False)


# For each fault, one case per step: the number of runs at the target, the
# replies to five attempts (the first at the faulty instance, two soon after
# and two much later at another one) and the key's final state in the log.
FAULTS = {
    die: [
        '1 -CCCC known',
        '0 -PPUU open',
        '0 -PPUU open',
        '0 -PPUU open',
        '1 -PPUU open',
        '1 CPPUU open',
        '1 CCCCC known',
    ],
    pause: [
        '1 -CCCC known',
        '1 -PPCC known',
        '1 -PPCC known',
        '1 -PPCC known',
        '1 -PPCC known',
        '1 CPPCC known',
        '1 CCCCC known',
    ],
    pause_long: [
        '1 -CCCO known',
        '0 -PPUO free',
        '0 -PPUO free',
        '1 -PPUO known',
        '1 -PPUO known',
        '1 CPPUO known',
        '1 CCCCC known',
    ],
    lose_answer: ['1 CCCCC known'] * 7,
    append_late: [
        '1 NCCCC known',
        *['1 CPPCC known'] * 5,
        '1 CCCCC known',
    ],
    log_down: [
        '1 NAACC known',
        '1 NAACC known',
        *['1 CAACC known'] * 5,
    ],
    log_hang: ['1 NAACC known', *['1 CAACC known'] * 6],
}


def cases():
    for fault, expected in FAULTS.items():
        for step, case in zip(STEPS, expected, strict=True):
            yield fault, step, case


def logged_state(state):
    if state is None or state.claim_id is None:
        return 'free'
    if state.outcome is None:
        return 'open'
    return 'known' if state.outcome.known else 'unknown'


@ddt.ddt
class StepFaultTest(base.TestCase):
    @ddt.data(*cases())
    @ddt.unpack
    async def test_fault_at_step(self, fault, step, expected):
        bench = claim_bench.Bench()
        one = bench.instance('a', {step: lambda it: fault(bench.log, it)})
        two = bench.instance('b')
        replies = [await bench.ask(one, 'k', first=True)]
        for pause_ms in (300, 300, 60_000):
            await bench.clock.sleep_ms(pause_ms)
            replies.append(await bench.ask(two, 'k'))
        long_ms = 3 * HOUR_MS if fault is pause_long else 60_000
        await bench.clock.sleep_ms(long_ms)
        replies.append(await bench.ask(two, 'k'))
        letters = ''.join(LETTERS[reply.outcome] for reply in replies)
        runs = len(bench.target.runs['k'])
        actual = f'{runs} {letters} {logged_state(bench.folded_state("k"))}'
        self.assertEqual(expected, actual)
        self.assertEqual([], bench.violations())


@ddt.ddt
class OutageTest(base.TestCase):
    @ddt.data(('down', MAX_REFUSAL_MS), ('hang', MAX_FIRST_REFUSAL_MS))
    @ddt.unpack
    async def test_refused_at_once_when_the_outage_is_known(
        self, switch, max_first_refusal_ms
    ):
        bench = claim_bench.Bench()
        instance = bench.instance()
        await bench.ask(instance, 'warm')
        await bench.wait_settled(instance)
        setattr(bench.log, switch, True)
        reply = await bench.ask(instance, 'k0', deadline_ms=60_000)
        self.assertLessEqual(
            reply.ended_ms - reply.began_ms, max_first_refusal_ms
        )
        for number in range(20):
            await bench.clock.sleep_ms(237)
            reply = await bench.ask(instance, f'k{number}', number % 2 == 0)
            self.assertLessEqual(
                reply.ended_ms - reply.began_ms, MAX_REFUSAL_MS
            )
            expected = 'not_run' if number % 2 == 0 else 'attempt_not_run'
            self.assertEqual(expected, reply.outcome)
        again = await bench.ask(instance, 'warm')
        self.assertEqual('completed', again.outcome)
        setattr(bench.log, switch, False)
        await bench.clock.sleep_ms(5_000)
        reply = await bench.ask(instance, 'k1')
        self.assertEqual('completed', reply.outcome)
        self.assertEqual([], bench.violations())

    @ddt.data(('down', False), ('down', True), ('hang', False))
    @ddt.unpack
    async def test_stop_during_an_outage_is_bounded(self, switch, is_restored):
        bench = claim_bench.Bench()
        fault = {'before_outcome': lambda it: setattr(bench.log, switch, True)}
        instance = bench.instance('a', fault)
        await bench.ask(instance, 'k', first=True)
        if is_restored:
            call_later(2_000, setattr, bench.log, switch, False)
        began_ms = bench.clock.monotonic_ms()
        await instance.claims.stop(timeout_ms=5_000)
        self.assertLessEqual(bench.clock.monotonic_ms() - began_ms, 6_000)
        setattr(bench.log, switch, False)
        await bench.clock.sleep_ms(60_000)
        reply = await bench.ask(bench.instance('b'), 'k')
        self.assertEqual(
            'completed' if is_restored else 'unknown', reply.outcome
        )
        self.assertEqual([], bench.violations())

    async def test_a_hanging_read_is_restarted(self):
        bench = claim_bench.Bench()
        instance = bench.instance()
        await bench.ask(instance, 'warm')
        await bench.wait_settled(instance)
        await bench.clock.sleep_ms(6_000)
        # The pending read hangs; the append and any new read work.
        bench.log.hang = True
        await bench.clock.sleep_ms(5_001)
        bench.log.hang = False
        reply = await bench.ask(instance, 'k')
        self.assertEqual('completed', reply.outcome)
        self.assertLessEqual(reply.ended_ms - reply.began_ms, 1_000)


@ddt.ddt
class LateClaimTest(base.TestCase):
    @ddt.data((300, True, 'not_run'), (300, False, 'attempt_not_run'))
    @ddt.unpack
    async def test_attempt_ends_at_the_deadline(
        self, deadline_ms, first, expected
    ):
        bench = claim_bench.Bench()
        one, two = bench.instance('a'), bench.instance('b')
        await bench.ask(one, 'warm')
        await bench.wait_settled(one)
        append_late(bench.log, one.process)
        reply = await bench.ask(one, 'k', first, deadline_ms)
        self.assertEqual(expected, reply.outcome)
        self.assertLessEqual(reply.ended_ms - reply.began_ms, deadline_ms + 5)
        # The claim reaches the log after the attempt has ended and must not
        # own the key.
        await bench.clock.sleep_ms(10_000)
        again = await bench.ask(two, 'k')
        self.assertEqual('completed', again.outcome)
        self.assertEqual([], bench.violations())

    async def test_a_free_key_does_not_prove_that_nothing_runs(self):
        bench = claim_bench.Bench()
        one = bench.instance('a', {'before_claim': lambda it: it.pause(3_000)})
        two = bench.instance('b')
        await bench.ask(two, 'warm')
        await bench.wait_settled(two)
        first = asyncio.create_task(bench.ask(one, 'k', first=True))
        await bench.clock.sleep_ms(20)
        append_late(bench.log, two.process)
        second = await bench.ask(two, 'k')
        self.assertEqual('attempt_not_run', second.outcome)
        self.assertEqual('completed', (await first).outcome)
        self.assertEqual([], bench.violations())


@ddt.ddt
class LaggingReaderTest(base.TestCase):
    @ddt.data('plain', 'uuid7')
    async def test_a_key_lost_in_a_gap_never_runs_again(self, key_form):
        bench = claim_bench.Bench()
        one, two = bench.instance('a'), bench.instance('b')
        await bench.ask(two, 'warm')
        await bench.wait_settled(two)
        await bench.clock.sleep_ms(1_000)
        key = claim_bench.uuid7(1_000) if key_form == 'uuid7' else 'k'
        two.process.pause(60_000)
        await bench.ask(one, key, first=True)
        await bench.wait_settled(one)
        await bench.clock.sleep_ms(30_000)
        bench.log.truncate('claims.0', len(bench.log.streams['claims.0']))
        await bench.ask(one, 'later')
        await bench.clock.sleep_ms(40_000)
        reply = await bench.ask(two, key)
        self.assertEqual('too_old', reply.outcome)
        self.assertEqual([], bench.violations())


@ddt.ddt
class CallerGoneTest(base.TestCase):
    @ddt.data(
        (0, 0, 'free'),
        (1, 0, 'free'),
        (8, 1, 'unknown'),
        (15, 1, 'unknown'),
    )
    @ddt.unpack
    async def test_cancelled_after(self, wait_ms, runs, expected):
        bench = claim_bench.Bench()
        bench.log.delay_ms = 1
        instance = bench.instance()
        await bench.ask(instance, 'warm')
        serving = asyncio.create_task(instance.serve('k'))
        await bench.clock.sleep_ms(wait_ms)
        serving.cancel()
        await asyncio.wait({serving})
        await bench.wait_settled(instance)
        self.assertEqual(runs, len(bench.target.runs['k']))
        self.assertEqual(expected, logged_state(bench.folded_state('k')))
