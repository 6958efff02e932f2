"""Who is served while requests contend for stage services."""

import asyncio
import types

import async_solipsism
import ddt

from sycamorebeam.forwarding import stage_queue
from sycamorebeam.forwarding import stage_replica
from sycamorebeam.forwarding.stage_admission import engine_starts
from sycamorebeam.forwarding.stage_admission import policy
from sycamorebeam.forwarding.stage_admission import retry_places
from tests import base
from tests.forwarding import build
from tests.forwarding import contention

PACE = True
NO_PACE = False
FILLING = {'fills_calls': True}
SAVING = {'saves_memory': True}


def new_queue(
    reports_pace, now_ms=0, batching=types.MappingProxyType({}), **fields
):
    queue = stage_queue.StageQueue(
        build.batching(**batching),
        policy.Policy(**fields),
        {'a1': 'north', 'b1': 'north', 'c1': 'south'},
    )
    queue.admission.adjusted(
        build.announcement('r', reports_pace=reports_pace), now_ms
    )
    return queue


def fleet(*zones):
    return [
        stage_replica.Replica(f't{n}', zone) for n, zone in enumerate(zones)
    ]


@ddt.ddt
class DecisionTest(base.TestCase):
    """Each decision applies only with a pace and its own switch."""

    @ddt.data(
        ('with a pace', PACE, 0, {}, 1),
        ('without a pace', NO_PACE, 0, {}, 0),
        ('with an old pace', PACE, -10_001, {}, 0),
        ('switched off', PACE, 0, {'puts_timely_first': False}, 0),
    )
    @ddt.unpack
    def test_late_groups_of_a_better_rank_go_after_timely_ones(
        self, _, load, reported_ms, fields, first
    ):
        queue = new_queue(load, reported_ms, **fields)
        replicas = fleet('a1')
        late = build.group(0, 8, rank=0, objective_ms=10)
        queue.submit(late, replicas, 0)
        queue.submit(build.group(1, 8), replicas, 0)
        items = queue.next_call(replicas[0], replicas, 0)
        self.assertEqual({first}, {item.group.group_id for item in items})

    @ddt.data(
        ('in time', 800, False, 5_000, True),
        ('late', 400, False, 5_000, False),
        ('late, but its caller returns', 400, True, 5_000, True),
        ('its caller returns, but it expires', 400, True, 500, False),
    )
    @ddt.unpack
    def test_groups_expected_late_are_admitted_only_from_spare_capacity(
        self, _, in_time_ms, is_retry, accept_by_ms, is_accepted
    ):
        """16 items wait, whose two calls take 230 ms each."""
        queue = new_queue(PACE)
        replicas = fleet('a1')
        for group_id in range(1, 17):
            queue.submit(build.group(group_id), replicas, 0)
        group = build.group(
            99,
            in_time_ms=in_time_ms,
            is_retry=is_retry,
            accept_by_ms=accept_by_ms,
        )
        result = queue.submit(group, replicas, 0)
        self.assertEqual(is_accepted, isinstance(result, stage_queue.Accepted))

    def test_a_late_group_is_refused_while_there_is_no_replica(self):
        """Guards against a division by zero while all replicas are gone."""
        queue = new_queue(PACE)
        queue.submit(build.group(0), fleet('a1'), 0)
        result = queue.submit(build.group(1, in_time_ms=10), [], 0)
        self.assertEqual(stage_queue.Rejected(310.0), result)

    @ddt.data(
        ('many wait', PACE, 6, FILLING, [0, 1, 2, 3, 4, 5]),
        ('few wait', PACE, 4, FILLING, []),
        ('in another region', PACE, 6, FILLING | {'zone': 'c1'}, []),
        ('without a pace', NO_PACE, 6, FILLING, []),
        ('switched off', PACE, 6, {'fills_calls': False}, []),
    )
    @ddt.unpack
    def test_empty_places_are_filled_from_other_zones(
        self, _, load, count, fields, expected
    ):
        """Two replicas have 16 places; 30% of these are 4.8."""
        fields = dict(fields)
        zone = fields.pop('zone', 'a1')
        queue = new_queue(load, **fields)
        replicas = fleet(zone, 'b1')
        for group_id in range(count):
            queue.submit(build.group(group_id, zone=zone), replicas, 0)
        items = queue.next_call(replicas[1], replicas, 0)
        self.assertEqual(expected, [item.group.group_id for item in items])

    @ddt.data(
        ('a part would fill the memory', PACE, 6_000, SAVING, 0),
        ('an empty replica', PACE, 0, SAVING, 10),
        ('without a pace', NO_PACE, 6_000, SAVING, 4),
        ('switched off', PACE, 6_000, {'saves_memory': False}, 4),
    )
    @ddt.unpack
    def test_memory_is_not_filled_with_parts_of_groups(
        self, _, load, held_bytes, fields, expected
    ):
        batching = {'memory_bytes': 10_000.0, 'max_items': 16}
        queue = new_queue(load, batching=batching, **fields)
        replicas = fleet('a1')
        replicas[0].held_bytes = held_bytes
        queue.submit(build.group(0, 12), replicas, 0)
        items = queue.next_call(replicas[0], replicas, 0)
        self.assertEqual(expected, len(items))

    def test_filled_calls_keep_to_the_allowed_zones(self):
        queue = new_queue(PACE, **FILLING)
        replicas = fleet('a1', 'b1')
        zones = frozenset({'a1'})
        for group_id in range(6):
            group = build.group(group_id, zone='a1', allowed_zones=zones)
            queue.submit(group, replicas, 0)
        self.assertEqual([], queue.next_call(replicas[1], replicas, 0))

    @ddt.data(
        ('at its time', 1_000, 4, 1, True),
        ('a little early', 950, 4, 1, True),
        ('too early', 949, 4, 1, False),
        ('at the end of its time', 1_400, 4, 1, True),
        ('too late', 1_401, 4, 1, False),
        ('with fewer items', 1_000, 3, 1, True),
        ('with more items', 1_000, 5, 1, False),
        ('of another rank', 1_000, 4, 0, False),
    )
    @ddt.unpack
    def test_a_place_is_kept_for_one_caller_that_returns(
        self, _, now_ms, items, rank, is_kept
    ):
        places = retry_places.RetryPlaces()
        due_ms = places.book(1, 4, 1_000.0, 1_500.0, 0.1)
        self.assertEqual(1_000.0, due_ms)
        self.assertEqual(is_kept, places.take(rank, items, now_ms))
        self.assertFalse(places.take(rank, items, now_ms))

    def test_places_promise_no_more_than_a_share_of_the_capacity(self):
        """Four items at a tenth of 0.1 items per ms take 400 ms."""
        places = retry_places.RetryPlaces()
        times = [places.book(1, 4, 1_000.0, 1_500.0, 0.1) for _ in range(3)]
        self.assertEqual([1_000.0, 1_400.0, None], times)

    @ddt.data(('none', [], 150.0), ('few outliers', [66.0] * 99 + [900], 68))
    @ddt.unpack
    def test_the_median_engine_start_is_expected(self, _, samples, expected):
        starts = engine_starts.EngineStarts()
        for sample in samples:
            starts.record('r', sample)
        self.assertEqual(expected, starts.expected_ms('r', 150.0))


@ddt.ddt
class ContentionTest(base.TestCase):
    """Guards against decisions that serve callers worse than today's."""

    def play(self, has_pace, bursts):
        # The paces of machines depend on the time of the loop, so each play
        # has a loop of its own: both see the same slow periods.
        with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
            return runner.run(play_once(has_pace, bursts))

    @ddt.data(
        ('calm', {}, 0.0),
        ('a burst of medium prompts', {'medium': 2.0}, 0.3),
        ('a burst of long prompts', {'long': 2.0}, 0.05),
    )
    @ddt.unpack
    def test_callers_get_more_than_by_the_decisions_of_today(
        self, _, bursts, gain
    ):
        today = self.play(False, bursts)
        now = self.play(True, bursts)
        # Each kind counts by its rate and the worth of an answer in time.
        self.assertGreaterEqual(
            weighted_worth(now), weighted_worth(today) + gain * 2 / 3
        )

    @ddt.data(
        ('calm', {}),
        ('medium prompts', {'medium': 1.5}),
        ('many medium prompts', {'medium': 2.0}),
        ('long prompts', {'long': 2.0}),
    )
    @ddt.unpack
    def test_no_class_is_served_too_seldom(self, _, bursts):
        """Medium prompts are the most urgent class."""
        play = self.play(True, bursts)
        long, medium = (
            play.share(kind, 'in_time', 'late') for kind in ('long', 'medium')
        )
        self.assertGreater(min(long, medium), 0.25)
        self.assertGreaterEqual(medium, long - 0.05)
        self.assertGreaterEqual(
            play.worth('medium'), play.worth('long') - 0.15
        )


async def play_once(has_pace, bursts):
    return await contention.Play(1, has_pace, bursts).run()


def weighted_worth(play):
    """Return the share of the worth of all requests that was earned."""
    weights = {
        name: kind.per_s * kind.worth[0]
        for name, kind in contention.KINDS.items()
    }
    earned = sum(play.worth(name) * weights[name] for name in weights)
    return earned / sum(weights.values())
