"""The owner of a queue, and the stages of a request, with fakes."""

import asyncio
from unittest import mock

import ddt

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import preparation
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import stage_owner
from sycamorebeam.forwarding import stage_queue
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_limits
from sycamorebeam.forwarding import upstream
from sycamorebeam.forwarding import waiting_groups
from sycamorebeam.forwarding.stage_calls import deadlines as stage_deadlines
from tests import base
from tests.forwarding import build

BATCHING = build.batching(memory_bytes=8_000.0)


class FakeReplicas:
    """Runs calls after a delay; ``scripts`` has failures by target."""

    def __init__(self):
        self.calls = []
        self.freed = []
        self.free_calls = 0
        self.running = {}
        self.max_concurrent_calls = 0
        self.scripts = {}
        self.duration_ms = 200
        self.feedback = {}

    def feedback_of(self, target_id):
        return self.feedback.get(target_id, model.NO_FEEDBACK)

    async def run(self, address, target_id, items):
        self.calls.append((target_id, items))
        script = self.scripts.get(target_id)
        step = script.pop(0) if script else None
        self.running[target_id] = self.running.get(target_id, 0) + 1
        self.max_concurrent_calls = max(
            self.max_concurrent_calls, *self.running.values()
        )
        try:
            match step:
                case 'refused':
                    raise upstream.NotSentError('refused')
                case 'declined':
                    return stages.CallDeclined(
                        False, self.feedback_of(target_id)
                    )
                case 'failed':
                    return stages.CallFailed(
                        'odd', self.feedback_of(target_id)
                    )
            await asyncio.sleep(self.duration_ms / 1_000)
            match step:
                case 'silent':
                    await asyncio.Event().wait()
                case 'broken':
                    raise upstream.BrokenError('broken')
                case stages.FailureReason():
                    return stages.CallCompleted(
                        (stages.NotProduced(step),) * len(items)
                    )
        finally:
            self.running[target_id] -= 1
        return stages.CallCompleted(
            tuple(
                stages.Produced(
                    f'{address}/{item.work.attempt_id}.{item.position}'
                )
                for item in items
            ),
            self.feedback_of(target_id),
        )

    async def free(self, address, results):
        self.freed.extend(results)
        self.free_calls += 1
        return self.feedback_of(f't{address[7]}')

    def holder_address(self, result):
        return result.partition('/')[0]


def stage_request(name, count=1, **fields):
    values = {
        'service': 'desk',
        'rank': 1,
        'objective_in_ms': 2_000,
        'accept_within_ms': 10_000,
        'expires_in_ms': 10_000,
        'zone': '',
        'input_bytes': 0.0,
        'result_bytes': 100.0,
        'work': build.work(name),
        'positions': tuple(range(count)),
    }
    return stages.StageRequest(**{**values, **fields})


@ddt.ddt
class StageOwnerTest(base.TestCase):
    def new_owner(self, targets=2, budget=100.0):
        self.replicas = FakeReplicas()
        listed = target_directory.TargetDirectory()
        listed.replace(
            [
                target_directory.TargetEntry(
                    f't{n}',
                    build.target(
                        f't{n}', service='desk', address=f'10.0.0.{n}:1'
                    ),
                )
                for n in range(targets)
            ],
            0,
        )
        described = build.service('desk', batching=BATCHING)
        self.listed = listed
        self.limits = target_limits.TargetLimits()
        owner = stage_owner.StageOwner(
            clocks.Clock(),
            listed,
            lambda name: described if name == 'desk' else None,
            self.replicas,
            retry_budget.RetryBudgets(0.0, budget, 10_000, lambda: 1),
            prometheus_metrics.Metrics(),
            lambda zone: 0.0,
            build.ZONES,
            build.feedback_handler(listed, self.limits),
            build.send_permits_alone(self.limits),
        )
        self.ticking = asyncio.create_task(owner.run_forever())
        return owner

    async def test_items_submitted_together_share_calls(self):
        owner = self.new_owner()
        futures = [owner.submit(stage_request(f'r{n}', 2)) for n in range(20)]
        outcomes = await asyncio.gather(*futures)
        for n, outcome in enumerate(outcomes):
            names = [result.partition('/')[2] for result in outcome.results]
            self.assertEqual([f'r{n}.0', f'r{n}.1'], names)
        self.assertEqual(1, self.replicas.max_concurrent_calls)
        # 40 items: two calls for the first groups, then full ones.
        self.assertLessEqual(len(self.replicas.calls), 8)

    @ddt.data(
        ('refused', True),
        ('declined', True),
        ('broken', True),
        ('failed', True),
        (stages.FailureReason.NO_MEMORY, True),
        (stages.FailureReason.FAILED, True),
        (stages.FailureReason.INPUT_GONE, False),
        (stages.FailureReason.TOO_LATE, False),
    )
    @ddt.unpack
    async def test_the_outcome_after_a_failed_call(self, step, is_produced):
        owner = self.new_owner()
        self.replicas.scripts = {'t0': [step], 't1': [step]}
        outcome = await owner.submit(stage_request('r', 2))
        self.assertEqual(is_produced, isinstance(outcome, stages.Results))

    @ddt.data(None, 'declined', 'failed')
    async def test_a_leaving_replica_gets_no_more_calls(self, step):
        owner = self.new_owner()
        self.replicas.scripts = {'t0': [step]}
        self.replicas.feedback = {'t0': model.Feedback(is_leaving=True)}
        for n in range(6):
            await owner.submit(stage_request(f'r{n}'))
        called = [target_id for target_id, _ in self.replicas.calls]
        self.assertEqual(1, called.count('t0'))

    async def test_leaving_feedback_in_a_free_response_stops_calls(self):
        owner = self.new_owner()
        outcome = await owner.submit(stage_request('r'))
        self.replicas.feedback = {'t0': model.Feedback(is_leaving=True)}
        owner.free('desk', list(outcome.results))
        await asyncio.sleep(1)
        called = len(self.replicas.calls)
        for n in range(4):
            await owner.submit(stage_request(f's{n}'))
        later = {name for name, _ in self.replicas.calls[called:]}
        self.assertEqual({'t1'}, later)

    async def test_a_requested_pause_stops_calls_and_frees(self):
        """The replica gets neither stage calls nor calls that free results."""
        owner = self.new_owner(targets=1)
        outcome = await owner.submit(stage_request('r'))
        self.replicas.scripts = {'t0': ['declined']}
        self.replicas.feedback = {'t0': model.Feedback(backoff_ms=3_000.0)}
        waiting = owner.submit(stage_request('s'))
        await asyncio.sleep(0.1)
        self.replicas.feedback = {}
        owner.free('desk', list(outcome.results))
        await asyncio.sleep(2.5)
        self.assertEqual((2, 0), self.call_counts())
        await waiting
        await asyncio.sleep(1)
        self.assertEqual((3, 1), self.call_counts())

    async def test_a_requested_pause_survives_a_lapsed_entry(self):
        """A replica's entry can lapse and return while the store fails."""
        owner = self.new_owner(targets=1)
        self.replicas.scripts = {'t0': ['declined']}
        self.replicas.feedback = {'t0': model.Feedback(backoff_ms=2_000.0)}
        waiting = owner.submit(stage_request('r'))
        await asyncio.sleep(0.1)
        target = self.listed.get('t0')
        self.listed.update([target_directory.TargetEntry('t0', None)], 0)
        await asyncio.sleep(0.1)
        self.listed.update([target_directory.TargetEntry('t0', target)], 0)
        await asyncio.sleep(1.5)
        self.assertEqual((1, 0), self.call_counts())
        self.assertIsInstance(await waiting, stages.Results)

    async def test_requests_are_refused_while_all_replicas_pause(self):
        owner = self.new_owner()
        self.replicas.scripts = {'t0': ['declined'], 't1': ['declined']}
        backoff = model.Feedback(backoff_ms=8_000.0)
        self.replicas.feedback = {'t0': backoff, 't1': backoff}
        waiting = owner.submit(stage_request('r'))
        await asyncio.sleep(0.1)
        outcome = await owner.submit(stage_request('s', accept_within_ms=900))
        self.assertEqual(stages.FailureReason.OVERLOADED, outcome.reason)
        self.assertGreater(outcome.retry_after_ms, 6_000)
        waiting.cancel()

    async def test_calls_to_a_limited_replica_keep_to_its_limit(self):
        owner = self.new_owner(targets=1)
        self.replicas.feedback = {'t0': model.Feedback(requests_per_s=2.0)}
        futures = [
            owner.submit(stage_request(f'r{n}', expires_in_ms=60_000))
            for n in range(60)
        ]
        await asyncio.wait(futures[:1])
        self.limits.record(('t0', 1), 2.0, 0)
        called = sum(self.call_counts())
        await asyncio.sleep(4)
        # 2 permits a second, from an empty bucket.
        self.assertLessEqual(sum(self.call_counts()) - called, 8)
        self.assertGreaterEqual(sum(self.call_counts()) - called, 5)
        await asyncio.gather(*futures)

    async def test_results_at_a_limited_replica_are_freed_only_for_memory(
        self,
    ):
        owner = self.new_owner(targets=1)
        outcome = await owner.submit(stage_request('r'))
        self.limits.record(('t0', 1), 10.0, 0)
        owner.free('desk', list(outcome.results))
        await asyncio.sleep(2)
        self.assertEqual(0, self.replicas.free_calls)
        big = await owner.submit(stage_request('s', 8, result_bytes=500.0))
        owner.free('desk', list(big.results))
        await asyncio.sleep(2)
        self.assertLessEqual(set(big.results), set(self.replicas.freed))

    async def test_results_that_expired_at_a_limited_replica_are_forgotten(
        self,
    ):
        owner = self.new_owner(targets=1)
        outcome = await owner.submit(stage_request('r'))
        self.limits.record(('t0', 1), 10.0, 0)
        owner.free('desk', list(outcome.results))
        await asyncio.sleep(5)
        self.limits.record(('t0', 1), model.UNLIMITED, 5_000)
        await asyncio.sleep(2)
        self.assertEqual(0, self.replicas.free_calls)

    async def test_requests_beyond_the_limits_of_replicas_are_refused(self):
        owner = self.new_owner()
        for replica in ('t0', 't1'):
            self.limits.record((replica, 1), 0.5, 0)
        futures = [
            owner.submit(
                stage_request(
                    f'r{n}', 8, accept_within_ms=4_000, expires_in_ms=9_000
                )
            )
            for n in range(40)
        ]
        await asyncio.sleep(0)
        refused = [future.result() for future in futures[1:] if future.done()]
        self.assertGreaterEqual(len(refused), 30)
        for outcome in refused:
            self.assertGreaterEqual(
                outcome.retry_after_ms, stage_queue.MIN_RETRY_AFTER_MS
            )
        for future in futures:
            future.cancel()

    def call_counts(self):
        """Return the numbers of stage calls and of calls that free results."""
        return len(self.replicas.calls), self.replicas.free_calls

    @ddt.data('refused', 'broken', 'failed', 'silent')
    async def test_a_broken_call_is_logged_with_its_cause(self, step):
        owner = self.new_owner(targets=1)
        self.replicas.scripts = {'t0': [step]}
        if step == 'silent':
            self.replicas.duration_ms = 60_000
        with mock.patch.object(
            telemetry, 'log_event', autospec=True
        ) as log_event:
            waiting = owner.submit(stage_request('r'))
            await asyncio.sleep(2.5)
        waiting.cancel()
        causes = [
            call.kwargs['error']
            for call in log_event.call_args_list
            if call.args[0] == 'stage_call_broken'
        ]
        self.assertEqual(1, len(causes))
        self.assertTrue(causes[0])

    async def test_announced_items_that_do_not_arrive_expire(self):
        """The instance that announced them may have been killed."""
        owner = self.new_owner(targets=1)
        for n in range(60):
            self.assertIsNone(owner.announce(build.announcement(f'a{n}')))
        refused = await owner.submit(
            stage_request('r', objective_in_ms=9_500, accept_within_ms=500)
        )
        self.assertEqual(stages.FailureReason.OVERLOADED, refused.reason)
        await asyncio.sleep(2)
        taken = await owner.submit(
            stage_request('s', objective_in_ms=9_500, accept_within_ms=500)
        )
        self.assertIsInstance(taken, stages.Results)

    async def test_repeats_of_items_that_may_have_run_are_bounded(self):
        owner = self.new_owner(budget=4.0)
        self.replicas.scripts = {'t0': ['broken'] * 9, 't1': ['broken'] * 9}
        outcome = await owner.submit(stage_request('r'))
        self.assertEqual(stages.FailureReason.FAILED, outcome.reason)
        # Two repeats of one item: 0.7 of the budget of four may be spent.
        self.assertEqual(3, len(self.replicas.calls))

    @ddt.data('broken', 'failed', 'silent')
    async def test_an_item_that_breaks_each_call_is_given_up(self, step):
        owner = self.new_owner(targets=4)
        self.replicas.scripts = {f't{n}': [step] * 9 for n in range(4)}
        outcome = await owner.submit(stage_request('r', 2))
        self.assertEqual(stages.FailureReason.FAILED, outcome.reason)
        self.assertLessEqual(
            len(self.replicas.calls), waiting_groups.MAX_BROKEN_CALLS
        )

    async def test_replica_memory_bounds_the_results_it_holds(self):
        """A replica holds 80 results of 100 bytes until some are freed."""
        owner = self.new_owner(targets=1)
        futures = [owner.submit(stage_request(f'r{n}')) for n in range(100)]
        await asyncio.sleep(3.9)
        self.assertEqual(80, sum(future.done() for future in futures))
        owner.free(
            'desk', [r for f in futures[:40] for r in f.result().results]
        )
        await asyncio.sleep(1.5)
        self.assertEqual(100, sum(future.done() for future in futures))
        self.assertEqual(40, len(self.replicas.freed))

    async def test_results_of_a_cancelled_request_are_freed(self):
        owner = self.new_owner()
        future = owner.submit(stage_request('r'))
        await asyncio.sleep(0.1)
        future.cancel()
        await asyncio.sleep(2)
        self.assertEqual(['10.0.0.0:1/r.0'], self.replicas.freed)

    async def test_cancelled_items_that_wait_are_never_run(self):
        owner = self.new_owner(targets=1)
        first = owner.submit(stage_request('r0'))
        second = owner.submit(stage_request('r1'))
        second.cancel()
        await first
        await asyncio.sleep(1)
        self.assertEqual(1, len(self.replicas.calls))

    async def test_a_stopping_owner_releases_unstarted_groups(self):
        owner = self.new_owner(targets=1)
        running = owner.submit(stage_request('r0'))
        waiting = owner.submit(stage_request('r1'))
        await asyncio.sleep(0.05)
        owner.release_unstarted()
        outcome = await waiting
        self.assertEqual(stages.FailureReason.OWNER_LOST, outcome.reason)
        self.assertIsInstance(await running, stages.Results)

    async def test_a_removed_target_gets_no_more_calls(self):
        owner = self.new_owner()
        await owner.submit(stage_request('r0'))
        self.listed.update([target_directory.TargetEntry('t0', None)], 0)
        self.replicas.calls.clear()
        await asyncio.gather(
            *(owner.submit(stage_request(f'r{n}')) for n in range(30))
        )
        self.assertEqual({'t1'}, {name for name, _ in self.replicas.calls})

    @ddt.data(
        ('large inputs', 10_000.0, 'b1', ['t1', 't1']),
        ('small inputs', 10.0, 'b1', ['t0', 't0']),
        ('small inputs, zone unknown', 10.0, '', ['t0', 't1']),
    )
    @ddt.unpack
    async def test_items_go_where_least_data_moves(
        self, _, input_bytes, zone, expected
    ):
        """The inputs are at t1 in zone a2; t0 is in zone b1."""
        owner = self.new_owner()
        self.listed.update(
            [
                target_directory.TargetEntry(
                    f't{n}',
                    build.target(
                        f't{n}',
                        service='desk',
                        address=f'10.0.0.{n}:1',
                        zone=('b1', 'a2')[n],
                    ),
                )
                for n in range(2)
            ],
            0,
        )
        futures = [
            owner.submit(
                stage_request(
                    f'r{n}',
                    8,
                    zone=zone,
                    input_bytes=input_bytes,
                    work=build.work(f'r{n}', inputs=('10.0.0.1:1/x',)),
                )
            )
            for n in range(2)
        ]
        await asyncio.gather(*futures)
        self.assertEqual(expected, [name for name, _ in self.replicas.calls])

    async def test_an_unknown_service_fails_at_once(self):
        owner = self.new_owner()
        outcome = await owner.submit(stage_request('r', service='other'))
        self.assertEqual(stages.FailureReason.NO_TARGET, outcome.reason)


class FakeProducer:
    """Produces results after a delay and logs the order of events."""

    def __init__(self, durations_ms=None, failing=(), overloaded=()):
        self.overloaded = overloaded
        self.announced = {}
        self.withdrawn = []
        self.durations_ms = durations_ms or {}
        self.failing = failing
        self.log = []
        self.requests = {}

    async def produce(self, request):
        stage = request.work.stage
        self.requests[stage] = request
        self.log.append(f'begin {stage}')
        await asyncio.sleep(self.durations_ms.get(stage, 200) / 1_000)
        if stage in self.failing:
            return stages.Failure(stages.FailureReason.OVERLOADED, 300.0)
        self.log.append(f'end {stage}')
        return stages.Results(
            tuple(f'{stage}.{n}' for n in range(len(request.positions)))
        )

    async def announce(self, announcement):
        self.announced[announcement.stage] = announcement
        await asyncio.sleep(0.01)
        if announcement.stage in self.overloaded:
            return stages.Failure(stages.FailureReason.OVERLOADED, 700.0)
        return None

    def withdraw(self, service, attempt_id, stage):
        self.withdrawn.append(stage)

    def free(self, service, results):
        self.log.append(f'free {results[0][0]}')


def chain(*after):
    return [
        preparation.model.Stage(
            service='desk', after=before, result_bytes=10.0
        )
        for before in after
    ]


@ddt.ddt
class PreparationTest(base.TestCase):
    async def prepare(
        self, route_stages, counts, recent_excess_ms=0, **fields
    ):
        """Run stages that recently took ``recent_excess_ms`` over a call."""
        self.producer = FakeProducer(**fields)
        now_ms = clocks.Clock().monotonic_ms()
        delays = stage_deadlines.StageDelays()
        for _ in range(50):
            delays.record('desk', 1, recent_excess_ms, now_ms)
        subject = preparation.Preparation(
            self.producer,
            clocks.Clock(),
            build.request(item_counts=counts, arrived_ms=now_ms),
            route_stages,
            lambda _: build.service('desk', batching=BATCHING),
            delays,
            1,
        )
        self.subject = subject
        return await subject.run(
            'a1',
            stage_deadlines.Deadlines(
                objective_ms=now_ms + 1_600,
                accept_by_ms=now_ms + 1_900,
                expiry_ms=now_ms + 5_000,
            ),
        )

    @ddt.data(
        ('one', [()], (2,), ['0.0', '0.1']),
        ('none', [()], (0,), []),
        ('a chain', [(), (0,), (1,)], (1, 2, 1), ['2.0']),
        ('two ends', [(), (), (1,)], (1, 1, 1), ['0.0', '2.0']),
        ('one left out', [(), (), (1,)], (0, 1, 1), ['2.0']),
    )
    @ddt.unpack
    async def test_results_of_final_stages_are_returned(
        self, _, after, counts, expected
    ):
        results = await self.prepare(chain(*after), counts)
        self.assertEqual(expected, list(results))

    async def test_inputs_are_all_results_of_the_stages_before(self):
        await self.prepare(chain((), (), (0, 1)), (1, 2, 1))
        work = self.producer.requests[2].work
        self.assertEqual(('0.0', '1.0', '1.1'), work.inputs)

    async def test_intermediate_results_are_freed_after_use(self):
        await self.prepare(chain((), (0,), (1,)), (1, 1, 1))
        self.assertEqual(
            [
                'begin 0',
                'end 0',
                'begin 1',
                'end 1',
                'free 0',
                'begin 2',
                'end 2',
                'free 1',
            ],
            self.producer.log,
        )
        self.subject.free()
        self.assertEqual('free 2', self.producer.log[-1])

    async def test_short_chains_wait_for_longer_ones(self):
        await self.prepare(chain((), (), (1,)), (1, 1, 1))
        begun = [line for line in self.producer.log if 'begin' in line]
        self.assertEqual({'begin 0', 'begin 2'}, set(begun[1:]))
        self.assertEqual('begin 1', begun[0])

    async def test_a_failure_ends_other_stages_and_frees_results(self):
        result = await self.prepare(
            chain((), (0,), ()), (1, 1, 1), failing=(1,)
        )
        self.assertEqual(stages.FailureReason.OVERLOADED, result.reason)
        self.assertIn('free 0', self.producer.log)

    async def test_times_reserve_time_for_later_stages(self):
        await self.prepare(chain((), (0,)), (1, 1))
        first = self.producer.requests[0]
        # 160 ms for the second stage, 150 ms for the engine.
        self.assertAlmostEqual(1_600 - 310, first.objective_in_ms, delta=5)
        self.assertAlmostEqual(1_900 - 310, first.accept_within_ms, delta=5)
        second = self.producer.requests[1]
        # Started requests are finished unless they would expire.
        self.assertEqual(second.expires_in_ms, second.accept_within_ms)

    async def test_later_queues_tighten_admission_but_not_the_objective(self):
        """The later queue itself puts groups last that are late anyway."""
        await self.prepare(chain((), (0,)), (1, 1), recent_excess_ms=1_000)
        first = self.producer.requests[0]
        self.assertAlmostEqual(1_600 - 310, first.objective_in_ms, delta=5)
        self.assertAlmostEqual(1_900 - 1_310, first.accept_within_ms, delta=10)

    async def test_later_stages_are_announced(self):
        await self.prepare(chain((), (0,), (1,)), (1, 2, 3))
        self.assertEqual({1, 2}, set(self.producer.announced))
        last = self.producer.announced[2]
        self.assertEqual(('desk', 3), (last.service, last.items))
        # Calls of 160 and 170 ms come first; the engine takes 150 ms.
        self.assertAlmostEqual(330, last.arrives_in_ms, delta=5)
        self.assertAlmostEqual(1_900 - 150, last.accept_within_ms, delta=5)
        self.assertEqual([], self.producer.withdrawn)

    @ddt.data(
        ('the second', (1,), 700.0),
        ('the third', (2,), 700.0),
    )
    @ddt.unpack
    async def test_a_refused_announcement_ends_earlier_stages(
        self, _, overloaded, retry_after_ms
    ):
        began_ms = clocks.Clock().monotonic_ms()
        result = await self.prepare(
            chain((), (0,), (1,)), (1, 1, 1), overloaded=overloaded
        )
        self.assertLess(clocks.Clock().monotonic_ms() - began_ms, 50)
        self.assertEqual(
            stages.Failure(stages.FailureReason.OVERLOADED, retry_after_ms),
            result,
        )
        self.assertNotIn('end 0', self.producer.log)
        self.assertEqual([1, 2], sorted(self.producer.withdrawn))

    async def test_a_failure_withdraws_announcements(self):
        await self.prepare(chain((), (0,), (1,)), (1, 1, 1), failing=(1,))
        self.assertEqual([2], self.producer.withdrawn)

    async def test_a_cancelled_request_withdraws_announcements(self):
        preparing = asyncio.create_task(
            self.prepare(chain((), (0,), (1,)), (1, 1, 1))
        )
        await asyncio.sleep(0.25)
        preparing.cancel()
        await asyncio.gather(preparing, return_exceptions=True)
        self.assertEqual([2], self.producer.withdrawn)

    async def test_stage_times_follow_recent_durations(self):
        delays = stage_deadlines.StageDelays()
        for now_ms in range(0, 2_000, 100):
            delays.record('desk', 1, 500.0, now_ms)
        self.assertGreater(delays.excess_ms('desk', 1, 2_000), 400)
        self.assertEqual(0.0, delays.excess_ms('desk', 0, 2_000))
        self.assertLess(delays.excess_ms('desk', 1, 10_000), 10)
