"""Tests of the pipeline runner with failing targets."""

import asyncio

import attrs
import ddt

from sycamorebeam import answers
from sycamorebeam import catalogue
from sycamorebeam import claims
from sycamorebeam.clients import results
from sycamorebeam.policy import bucket
from tests import base
from tests import build
from tests import fake_targets

NOT_RUN = results.TargetNotRun('refused')
MAYBE_RUN = results.TargetMaybeRun('silent', 'service-7')
LATE_MS = 5_000


def permit():
    return claims.DispatchPermit('claim-1', 0, b'key')


async def run(name, script, **fields):
    client = fake_targets.FakeTargets(script)
    runner = build.new_runner(client, budget=bucket.RetryBudget(1.0))
    answer = await runner.run(build.request(name, **fields))
    return answer, client


@ddt.ddt
class RunnerTest(base.TestCase):
    async def test_answers_with_the_last_stage(self):
        answer, client = await run('answer', {})
        self.assertIsInstance(answer, answers.Completed)
        self.assertEqual('generate', answer.output['operation'])
        operations = [attempt.operation for _, attempt in client.attempts]
        expected = ['encode', 'retrieve', 'rerank', 'generate']
        self.assertEqual(expected, operations)
        self.assertEqual(4, len(answer.usage.stage_ms))

    @ddt.data(
        ('retry_after_not_run', [NOT_RUN], answers.Completed, 2),
        ('retry_after_maybe_run', [MAYBE_RUN], answers.Completed, 2),
        ('two_failures', [NOT_RUN, MAYBE_RUN], answers.Completed, 3),
        ('bounded', [MAYBE_RUN] * 9, answers.Problem, 3),
    )
    @ddt.unpack
    async def test_retries_idempotent_stages(
        self, _, steps, expected_type, attempts
    ):
        answer, client = await run('answer', {'rerank': list(steps)})
        self.assertIsInstance(answer, expected_type)
        replicas = [
            name
            for name, attempt in client.attempts
            if attempt.operation == 'rerank'
        ]
        self.assertEqual(attempts, len(replicas))
        self.assertEqual(len(replicas), len(set(replicas)))

    @ddt.data(
        ('whole', [], answers.Completed, None, 1),
        ('maybe_run', [MAYBE_RUN], answers.Problem, 'unknown', 1),
        ('late', [LATE_MS], answers.Problem, 'unknown', 1),
        ('not_run_once', [NOT_RUN], answers.Completed, None, 1),
        ('never_run', [NOT_RUN] * 3, answers.Problem, 'not_run', 0),
    )
    @ddt.unpack
    async def test_runs_a_non_idempotent_stage_once(
        self, _, steps, expected_type, outcome, runs
    ):
        answer, client = await run(
            'order', {'restart': list(steps)}, permit=permit()
        )
        self.assertIsInstance(answer, expected_type)
        self.assertEqual(runs, len(client.runs.get('restart', [])))
        if outcome:
            self.assertEqual(outcome, answer.outcome.value)

    async def test_sends_no_non_idempotent_call_to_a_silent_replica(self):
        silent = ('service-1', 'service-2')
        for _ in range(20):
            client = fake_targets.FakeTargets(silent=silent)
            runner = build.new_runner(client, budget=bucket.RetryBudget(3.0))
            request = build.request('order', permit=permit())
            answer = await runner.run(request)
            self.assertIsInstance(answer, answers.Completed)
            self.assertEqual('service-3', client.attempts[0][0])

    @ddt.data(
        ('before_anything', {'encode': [NOT_RUN] * 3}, 'not_run'),
        ('after_a_stage', {'restart': [NOT_RUN] * 3}, 'partial'),
        ('while_a_stage_runs', {'encode': [LATE_MS]}, 'partial'),
        ('after_dispatch', {'restart': [LATE_MS]}, 'unknown'),
    )
    @ddt.unpack
    async def test_outcome_reflects_what_ran(self, _, script, outcome):
        answer, _ = await run('mixed', script, permit=permit())
        self.assertEqual(outcome, answer.outcome.value)

    async def test_gives_the_final_answer_at_the_deadline(self):
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer, client = await run('answer', {'encode': [LATE_MS]})
        self.assertEqual(answers.ProblemKind.DEADLINE, answer.kind)
        self.assertAlmostEqual(1.0, loop.time() - started, places=1)
        self.assertEqual(['r1.1'], client.cancelled)

    async def test_refuses_early_if_the_deadline_cannot_be_met(self):
        client = fake_targets.FakeTargets()
        runner = build.new_runner(client)
        client.script = {'generate': [400] * 5}
        for _ in range(5):
            await runner.run(build.request('answer'))
        before = len(client.attempts)
        late = build.request('answer', deadline_ms=300)
        answer = await runner.run(late)
        self.assertEqual(answers.ProblemKind.DEADLINE, answer.kind)
        self.assertEqual(answers.Outcome.NOT_RUN, answer.outcome)
        self.assertEqual(before, len(client.attempts))

    async def test_retries_stay_within_the_budget(self):
        client = fake_targets.FakeTargets({'encode': [NOT_RUN] * 10_000})
        runner = build.new_runner(client, budget=bucket.RetryBudget(0.1))
        for _ in range(200):
            await runner.run(build.request('answer'))
        self.assertLessEqual(len(client.attempts), 200 * 1.1 + 1)

    async def test_does_not_retry_a_stage_whose_tokens_were_sent(self):
        sent = []

        async def emit(tokens):
            sent.extend(tokens)

        async def fail_after_one_token(replica, attempt):
            await attempt.on_tokens([(0, 'half')])
            return MAYBE_RUN

        answer, client = await run(
            'answer', {'generate': [fail_after_one_token]}, emit_tokens=emit
        )
        self.assertEqual(answers.Outcome.PARTIAL, answer.outcome)
        self.assertEqual([(0, 'half')], sent)
        self.assertEqual(1, len(client.runs['generate']))

    async def test_a_target_gets_no_more_calls_than_its_limit(self):
        entries = dict(build.ENTRIES)
        entries['target/pool'] = attrs.evolve(
            build.POOL, limits=catalogue.Limits(concurrency=2)
        )
        client = fake_targets.FakeTargets({'encode': [200] * 9})
        runner = build.new_runner(client, entries)
        replies = await asyncio.gather(
            *(runner.run(build.request('answer', entries)) for _ in range(5))
        )
        refused = [
            answer for answer in replies if isinstance(answer, answers.Problem)
        ]
        self.assertEqual(3, len(refused))
        self.assertEqual(answers.ProblemKind.OVERLOADED, refused[0].kind)
        self.assertEqual(answers.Outcome.NOT_RUN, refused[0].outcome)

    async def test_cancel_reaches_the_target(self):
        client = fake_targets.FakeTargets({'encode': [LATE_MS]})
        runner = build.new_runner(client)
        task = asyncio.create_task(runner.run(build.request('answer')))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait([task])
        self.assertEqual(['r1.1'], client.cancelled)


class RoutingTest(base.TestCase):
    async def test_a_leaving_target_gets_no_new_work(self):
        leaving = results.TargetAnswer({}, draining=True)
        client = fake_targets.FakeTargets({'encode': [leaving]})
        registry = build.new_target_registry()
        runner = build.new_runner(client, registry=registry)
        await runner.run(build.request('answer'))
        leaving_id = client.attempts[0][0]
        for _ in range(50):
            await runner.run(build.request('answer'))
        later = [name for name, _ in client.attempts[1:]]
        self.assertNotIn(leaving_id, later)

    async def test_probes_a_replica_after_a_cancelled_call(self):
        loop = asyncio.get_running_loop()
        for _ in range(10):
            client = fake_targets.FakeTargets()
            runner = build.new_runner(client)
            for _ in range(20):
                await runner.run(build.request('answer'))
            client.attempts.clear()
            client.script = {'encode': [LATE_MS]}
            cancelled = asyncio.create_task(
                runner.run(build.request('answer'))
            )
            await asyncio.sleep(0.1)
            cancelled.cancel()
            await asyncio.wait([cancelled])
            silent = client.attempts[0][0]
            client.silence(silent)
            for _ in range(20):
                started = loop.time()
                answer = await runner.run(build.request('answer'))
                self.assertIsInstance(answer, answers.Completed)
                self.assertLess(loop.time() - started, 0.1)
            later = [name for name, _ in client.attempts[1:]]
            self.assertNotIn(silent, later)

    async def test_overlapping_stages_run_side_by_side(self):
        entries = dict(build.ENTRIES)
        entries['pipeline/wide'] = build.pipeline(
            build.stage('left', 'pool', after=()),
            build.stage('right', 'pool', after=()),
            build.stage('join', 'pool', after=('left', 'right')),
        )
        client = fake_targets.FakeTargets({'left': [300], 'right': [300]})
        runner = build.new_runner(client, entries)
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await runner.run(build.request('wide', entries))
        self.assertIsInstance(answer, answers.Completed)
        self.assertLess(loop.time() - started, 0.5)
