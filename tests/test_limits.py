"""Tests of limits and admission on the virtual clock."""

import asyncio

import ddt

from sycamorebeam import answers
from sycamorebeam import catalogue
from sycamorebeam.controllers import limits
from sycamorebeam.filters import admission
from tests import base
from tests import build

URGENT = catalogue.ServiceClass.URGENT
NORMAL = catalogue.ServiceClass.NORMAL
BULK = catalogue.ServiceClass.BULK
CAPACITY = 100


def new_controller(capacity=CAPACITY):
    return limits.LimitsController(build.CLOCK, capacity)


def count_admitted(subject, count, service_class, instances=1, **bounds):
    entry_limits = catalogue.Limits(**bounds)
    results = [
        subject.admit({'team/crew': entry_limits}, service_class, instances)
        for _ in range(count)
    ]
    return sum(isinstance(item, limits.Admitted) for item in results)


@ddt.ddt
class EntryLimitTest(base.TestCase):
    @ddt.data(1, 3, 9)
    async def test_shares_of_a_rate_sum_to_the_limit(self, instances):
        """Start with a burst at every instance, then overload steadily."""
        controllers = [new_controller(10_000) for _ in range(instances)]
        total = 0
        for _ in range(100):
            for subject in controllers:
                total += count_admitted(
                    subject, 20, NORMAL, instances, requests_per_s=90
                )
            await asyncio.sleep(0.1)
        burst = 90 * limits.BURST_S
        self.assertLessEqual(total, 90 * 10 + burst + instances)
        self.assertGreaterEqual(total, 90 * 10)

    @ddt.data((1, 90), (3, 90), (9, 90))
    @ddt.unpack
    async def test_shares_of_concurrency_sum_to_the_limit(
        self, instances, limit
    ):
        controllers = [new_controller() for _ in range(instances)]
        total = sum(
            count_admitted(subject, 100, URGENT, instances, concurrency=limit)
            for subject in controllers
        )
        self.assertEqual(limit, total)

    async def test_a_released_slot_is_free_again(self):
        subject = new_controller()
        self.assertEqual(2, count_admitted(subject, 5, NORMAL, concurrency=2))
        subject.release(['team/crew'], NORMAL)
        self.assertEqual(1, count_admitted(subject, 5, NORMAL, concurrency=2))

    async def test_a_refusal_gives_the_time_to_retry(self):
        subject = new_controller()
        entry_limits = catalogue.Limits(requests_per_s=2)
        subject.admit({'team/crew': entry_limits}, NORMAL, 1)
        subject.admit({'team/crew': entry_limits}, NORMAL, 1)
        refused = subject.admit({'team/crew': entry_limits}, NORMAL, 1)
        self.assertIsInstance(refused, limits.OverLimit)
        await asyncio.sleep(refused.retry_after_ms / 1000)
        again = subject.admit({'team/crew': entry_limits}, NORMAL, 1)
        self.assertIsInstance(again, limits.Admitted)

    async def test_a_request_must_pass_the_limits_of_all_its_entries(self):
        subject = new_controller()
        bounds = {
            'team/crew': catalogue.Limits(concurrency=5),
            'pipeline/answer': catalogue.Limits(concurrency=3),
        }
        for _ in range(3):
            subject.admit(bounds, NORMAL, 1)
        refused = subject.admit(bounds, NORMAL, 1)
        self.assertEqual('pipeline/answer', refused.key)
        subject.release(bounds, NORMAL)
        self.assertIsInstance(
            subject.admit(bounds, NORMAL, 1), limits.Admitted
        )

    @ddt.data(1, 4)
    async def test_token_rate_is_limited(self, instances):
        """Generate 50 tokens per request at a limit of 100 a second."""
        entry_limits = {'team/crew': catalogue.Limits(tokens_per_s=100)}
        controllers = [new_controller() for _ in range(instances)]
        generated = 0
        for _ in range(200):
            for subject in controllers:
                result = subject.admit(entry_limits, NORMAL, instances)
                if isinstance(result, limits.Admitted):
                    subject.charge_tokens(entry_limits, 50)
                    subject.release(entry_limits, NORMAL)
                    generated += 50
            await asyncio.sleep(0.1)
        self.assertLessEqual(generated, 100 * 20 + 100 + 50 * instances)
        self.assertGreaterEqual(generated, 100 * 20)

    async def test_a_burst_of_one_team_does_not_limit_others(self):
        subject = new_controller()
        entry_limits = catalogue.Limits(concurrency=10)
        for _ in range(1_000):
            subject.admit({'team/loud': entry_limits}, NORMAL, 1)
        other = subject.admit({'team/quiet': entry_limits}, NORMAL, 1)
        self.assertIsInstance(other, limits.Admitted)

    async def test_the_number_of_entries_kept_is_bounded(self):
        subject = new_controller()
        for number in range(3 * limits.MAX_ENTRIES_KEPT):
            subject.admit({f'team/{number}': build.FREE}, NORMAL, 1)
            subject.release([f'team/{number}'], NORMAL)
        self.assertLessEqual(subject.entries_kept, limits.MAX_ENTRIES_KEPT + 1)


@ddt.ddt
class OverloadTest(base.TestCase):
    @ddt.data((URGENT, 100), (NORMAL, 85), (BULK, 60))
    @ddt.unpack
    async def test_lower_classes_are_shed_first(
        self, service_class, max_requests
    ):
        self.assertEqual(
            max_requests, count_admitted(new_controller(), 200, service_class)
        )

    @ddt.data(NORMAL, BULK)
    async def test_each_class_keeps_a_floor(self, service_class):
        subject = new_controller()
        count_admitted(subject, 200, URGENT)
        self.assertEqual(5, count_admitted(subject, 200, service_class))

    async def test_a_refused_request_is_not_run(self):
        subject = new_controller(1)
        count_admitted(subject, 1, NORMAL)
        filter_ = admission.Admission(subject, build.new_target_registry())

        async def proceed(request):
            raise AssertionError('a refused request was run')

        answer = await filter_(build.request(), proceed)
        self.assertEqual(answers.ProblemKind.OVERLOADED, answer.kind)
        self.assertEqual(answers.Outcome.NOT_RUN, answer.outcome)
        self.assertIsNotNone(answer.retry_after_ms)

    async def test_tokens_of_an_answer_count(self):
        subject = new_controller()
        filter_ = admission.Admission(subject, build.new_target_registry())
        request = build.request()
        request.team = build.team(
            'crew', limits=catalogue.Limits(tokens_per_s=10)
        )

        async def proceed(request):
            return answers.Completed({}, answers.Usage(tokens=100))

        first = await filter_(request, proceed)
        second = await filter_(request, proceed)
        self.assertIsInstance(first, answers.Completed)
        self.assertEqual(answers.ProblemKind.LIMITED, second.kind)
        await asyncio.sleep(second.retry_after_ms / 1000)
        third = await filter_(request, proceed)
        self.assertIsInstance(third, answers.Completed)

    async def test_the_limit_of_the_pipeline_counts(self):
        subject = new_controller()
        filter_ = admission.Admission(subject, build.new_target_registry())
        request = build.request()
        request.pipeline = build.pipeline(
            build.stage('encode', 'pool'),
            limits=catalogue.Limits(requests_per_s=1),
        )

        async def proceed(request):
            return answers.Completed({})

        await filter_(request, proceed)
        second = await filter_(request, proceed)
        self.assertEqual(answers.ProblemKind.LIMITED, second.kind)
        self.assertIn('pipeline/answer', second.detail)

    async def test_a_slot_is_released_when_the_request_fails(self):
        subject = new_controller()
        filter_ = admission.Admission(subject, build.new_target_registry())

        async def proceed(request):
            raise RuntimeError('an internal fault')

        with self.assertRaises(RuntimeError):
            await filter_(build.request(), proceed)
        self.assertEqual(0, subject.in_flight)
