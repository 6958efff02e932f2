"""Which items go into the next call, and which groups are admitted."""

import heapq
import itertools
import random

import attrs
import ddt

from sycamorebeam.forwarding import stage_queue
from sycamorebeam.forwarding import stage_replica
from tests import base
from tests.forwarding import build


def replicas(*zones, **fields):
    return [
        stage_replica.Replica(f't{n}', zone, **fields)
        for n, zone in enumerate(zones)
    ]


def new_queue(**fields):
    return stage_queue.StageQueue(build.batching(**fields))


def group_ids(items):
    return [item.group.group_id for item in items]


@ddt.ddt
class NextCallTest(base.TestCase):
    @ddt.data(
        ('rank first', [{'rank': 2}, {'rank': 0}, {'rank': 1}], [1, 2, 0]),
        (
            'earliest objective within a rank',
            [{'objective_ms': 900}, {'objective_ms': 500}],
            [1, 0],
        ),
        (
            'groups that miss their objective last within a rank',
            [{'objective_ms': 100}, {'objective_ms': 900}],
            [1, 0],
        ),
        (
            'late groups of a better rank before others',
            [{'rank': 1}, {'rank': 0, 'objective_ms': 10}],
            [1, 0],
        ),
    )
    @ddt.unpack
    def test_the_most_urgent_groups_go_first(self, _, groups, expected):
        queue = new_queue()
        fleet = replicas('a1')
        for group_id, fields in enumerate(groups):
            queue.submit(build.group(group_id, **fields), fleet, 0)
        items = queue.next_call(fleet[0], fleet, 0)
        self.assertEqual(expected, group_ids(items))

    @ddt.data(
        ('whole groups fill a call', [5, 5, 3], [0, 0, 0, 0, 0, 2, 2, 2]),
        ('a part fills what is left', [5, 5], [0, 0, 0, 0, 0, 1, 1, 1]),
        ('a group larger than a call', [10], [0] * 8),
    )
    @ddt.unpack
    def test_calls_take_whole_groups(self, _, sizes, expected):
        queue = new_queue()
        fleet = replicas('a1')
        for group_id, size in enumerate(sizes):
            queue.submit(build.group(group_id, size), fleet, 0)
        items = queue.next_call(fleet[0], fleet, 0)
        self.assertEqual(expected, group_ids(items))

    def test_started_groups_go_before_unstarted_ones(self):
        queue = new_queue()
        fleet = replicas('a1')
        queue.submit(build.group(0, 10), fleet, 0)
        queue.next_call(fleet[0], fleet, 0)
        queue.submit(build.group(1, 8, objective_ms=400), fleet, 0)
        items = queue.next_call(fleet[0], fleet, 0)
        self.assertEqual([0, 0], group_ids(items)[:2])

    def test_a_replica_gets_no_more_than_its_memory_holds(self):
        queue = new_queue(memory_bytes=10_000.0)
        fleet = replicas('a1', held_bytes=5_000.0)
        queue.submit(build.group(0, 8, result_bytes=1_000.0), fleet, 0)
        self.assertEqual(5, len(queue.next_call(fleet[0], fleet, 0)))

    @ddt.data(
        ('waits for its zone', 'a1', 2_000, 0, 0, [1]),
        ('its zone is free in time', 'a1', 300, 0, 0, [1]),
        ('cannot afford to wait', 'a1', 200, 0, 0, [0, 1]),
        ('its zone is soon free', 'a1', 500, 200, 0, [1]),
        ('its zone is busy for too long', 'a1', 300, 200, 0, [0, 1]),
        ('no replica in its zone', 'c1', 2_000, 0, 0, [0, 1]),
        ('no memory in its zone', 'a1', 2_000, 0, 1_000_000, [0, 1]),
    )
    @ddt.unpack
    def test_groups_wait_for_their_zone_while_they_can(
        self, _, zone, objective_ms, busy_ms, held_bytes, expected
    ):
        """A full call takes 230 ms."""
        queue = new_queue()
        fleet = replicas('a1', 'b1')
        fleet[0].busy_until_ms = busy_ms
        fleet[0].held_bytes = held_bytes
        first = build.group(0, zone=zone, objective_ms=objective_ms)
        queue.submit(first, fleet, 0)
        queue.submit(build.group(1, objective_ms=5_000), fleet, 0)
        items = queue.next_call(fleet[1], fleet, 0)
        self.assertEqual(expected, sorted(group_ids(items)))

    @ddt.data((8, 0), (16, 0), (20, 4))
    @ddt.unpack
    def test_a_slow_replica_takes_only_what_overflows_the_others(
        self, waiting, expected
    ):
        queue = new_queue()
        fleet = replicas('a1', 'a1', 'a1')
        fleet[0].slowness = 4.0
        for group_id in range(waiting):
            queue.submit(build.group(group_id), fleet, 0)
        items = queue.next_call(fleet[0], fleet, 0)
        self.assertEqual(expected, len(items))

    def test_groups_that_would_expire_are_dropped(self):
        queue = new_queue()
        fleet = replicas('a1')
        queue.submit(build.group(0, expiry_ms=1_000), fleet, 0)
        self.assertEqual([], queue.drop_unservable(fleet, 840))
        dropped_groups = queue.drop_unservable(fleet, 841)
        self.assertEqual(
            [0], [dropped.group.group_id for dropped in dropped_groups]
        )
        self.assertEqual(0, queue.waiting_item_count)

    def test_a_requeued_item_is_in_the_next_call(self):
        queue = new_queue()
        fleet = replicas('a1')
        queue.submit(build.group(0, 2), fleet, 0)
        items = queue.next_call(fleet[0], fleet, 0)
        queue.requeue(items[1])
        again = queue.next_call(fleet[0], fleet, 0)
        self.assertEqual([items[1]], again)


@ddt.ddt
class FreeReplicaTest(base.TestCase):
    @ddt.data(
        ('idle', 0, 0, 0, True),
        ('busy', 1, 0, 200, False),
        ('busy longer than expected', 1, 0, 0, False),
        ('far, about to end', 1, 50, 50, True),
        ('far, not about to end', 1, 50, 51, False),
        ('far, one sent ahead', 2, 50, 0, False),
    )
    @ddt.unpack
    def test_calls_are_sent_ahead_only_to_far_replicas(
        self, _, calls, lead_ms, left_ms, is_free
    ):
        replica = stage_replica.Replica(
            't',
            'a1',
            calls_in_flight=calls,
            lead_ms=lead_ms,
            busy_until_ms=left_ms,
        )
        self.assertEqual(is_free, replica.is_free(1, 0))

    def test_a_paused_replica_is_not_free(self):
        replica = stage_replica.Replica('t', 'a1', paused_until_ms=10)
        self.assertFalse(replica.is_free(1, 9))
        self.assertTrue(replica.is_free(1, 10))


@ddt.ddt
class AdmissionTest(base.TestCase):
    @ddt.data(
        ('an empty queue accepts all but expiring groups', 0, 10, 500, True),
        ('a group that would expire', 0, 10, 100, False),
        ('a short queue', 8, 400, 10_000, True),
        ('a long queue', 200, 400, 10_000, False),
        ('a long queue, but a late limit', 200, 10_000, 10_000, True),
    )
    @ddt.unpack
    def test_a_group_is_accepted_if_expected_in_time(
        self, _, waiting, accept_by_ms, expiry_ms, is_accepted
    ):
        queue = new_queue()
        fleet = replicas('a1', 'a2')
        for group_id in range(1, waiting + 1):
            queue.submit(build.group(group_id), fleet, 0)
        result = queue.submit(
            build.group(
                waiting + 1,
                accept_by_ms=accept_by_ms,
                expiry_ms=expiry_ms,
            ),
            fleet,
            0,
        )
        self.assertEqual(is_accepted, isinstance(result, stage_queue.Accepted))

    @ddt.data(('ample', 1_000_000.0, True), ('scarce', 8_000.0, False))
    @ddt.unpack
    def test_result_memory_limits_the_expected_throughput(
        self, _, memory_bytes, is_accepted
    ):
        """Results of 1,000 bytes are kept for two seconds after a call."""
        queue = new_queue(memory_bytes=memory_bytes)
        for _ in range(1_000):
            queue.record_residence(2_000)
        fleet = replicas('a1', 'a2')
        for group_id in range(1, 25):
            queue.submit(build.group(group_id), fleet, 0)
        result = queue.submit(build.group(99, accept_by_ms=1_000), fleet, 0)
        self.assertEqual(is_accepted, isinstance(result, stage_queue.Accepted))

    def test_a_rejection_has_a_retry_delay(self):
        queue = new_queue()
        fleet = replicas('a1')
        for group_id in range(1, 81):
            queue.submit(build.group(group_id), fleet, 0)
        result = queue.submit(build.group(99, accept_by_ms=500), fleet, 0)
        # Ten full calls of 230 ms wait on one replica.
        self.assertGreater(result.retry_after_ms, 1_000)
        self.assertLess(result.retry_after_ms, 3_000)

    def test_urgent_groups_are_not_held_up_by_others(self):
        queue = new_queue()
        fleet = replicas('a1')
        for group_id in range(1, 81):
            queue.submit(build.group(group_id, rank=2), fleet, 0)
        result = queue.submit(
            build.group(0, rank=0, accept_by_ms=500), fleet, 0
        )
        self.assertIsInstance(result, stage_queue.Accepted)


@ddt.ddt
class AnnouncementTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.queue = new_queue()
        self.fleet = replicas('a1')

    def announce(self, group_id, arrives_ms=300, **fields):
        return self.queue.announce(
            build.group(group_id, **fields), self.fleet, arrives_ms, 0
        )

    def is_accepted(self, group_id, **fields):
        result = self.queue.submit(
            build.group(group_id, **fields), self.fleet, 0
        )
        return isinstance(result, stage_queue.Accepted)

    @ddt.data(
        ('nothing is announced', 0, {}, True),
        ('many items are announced', 80, {}, False),
        ('less urgent items are announced', 80, {'rank': 2}, True),
    )
    @ddt.unpack
    def test_announced_items_count_as_waiting(
        self, _, announced, fields, is_accepted
    ):
        for group_id in range(1, announced + 1):
            self.announce(group_id, **fields)
        self.assertEqual(is_accepted, self.is_accepted(99, accept_by_ms=500))

    def test_an_announced_group_is_accepted_once_when_it_arrives(self):
        self.announce(1)
        for group_id in range(2, 82):
            self.is_accepted(group_id, rank=0)
        self.assertFalse(self.is_accepted(98, accept_by_ms=500))
        self.assertTrue(self.is_accepted(1, accept_by_ms=500))
        # The group's arrival has used up the announcement.
        self.assertFalse(self.is_accepted(1, accept_by_ms=500))

    @ddt.data(('in time', 300, True), ('too late', 600, False))
    @ddt.unpack
    def test_admission_allows_for_the_arrival_time(
        self, _, arrives_ms, is_accepted
    ):
        self.is_accepted(1)
        result = self.announce(2, arrives_ms, accept_by_ms=600)
        self.assertEqual(is_accepted, isinstance(result, stage_queue.Accepted))

    @ddt.data(
        ('withdrawn', True, 0, True),
        ('long overdue', False, 300 + 1_501, True),
        ('not overdue yet', False, 300 + 1_499, False),
    )
    @ddt.unpack
    def test_withdrawn_and_overdue_announcements_do_not_count(
        self, _, is_withdrawn, now_ms, is_accepted
    ):
        for group_id in range(1, 81):
            self.announce(group_id)
            if is_withdrawn:
                self.queue.withdraw(f'r{group_id}', 0)
        self.queue.expire_announcements(now_ms)
        self.assertEqual(is_accepted, self.is_accepted(99, accept_by_ms=500))


class ChainSimulation:
    """Simulates requests of two stages, of which the second is overloaded.

    The first has three replicas; the second has one, whose full calls carry
    8.7 of the 30 requests a second, each with four items.
    """

    def __init__(self, seed, is_announcing):
        self.is_announcing = is_announcing
        self.stages = [
            (new_queue(memory_bytes=1e9), replicas('a1', 'a2', 'b1')),
            (new_queue(memory_bytes=1e9), replicas('a1')),
        ]
        self.left = {}
        self.in_time = self.late = self.wasted = self.refused_at_once = 0
        generator = random.Random(seed)
        events = []
        at_ms = 0.0
        for group_id in range(900):
            at_ms += generator.expovariate(30 / 1_000)
            events.append((int(at_ms), group_id, 'arrive', None))
        self.total = len(events)
        heapq.heapify(events)
        while events:
            now_ms, key, kind, items = heapq.heappop(events)
            if kind == 'arrive':
                self.arrive(key, now_ms)
            else:
                self.finish(key, items, now_ms)
            for stage in (0, 1):
                self.call(stage, events, now_ms)

    def group(self, group_id, stage, begun_ms, now_ms):
        objective_ms = begun_ms + (700 if stage == 0 else 1_000)
        return build.group(
            group_id,
            1 + stage * 3,
            queued_ms=begun_ms,
            objective_ms=objective_ms,
            accept_by_ms=objective_ms,
            expiry_ms=begun_ms + 3_000,
            work=build.work(f'r{group_id}', stage),
        )

    def arrive(self, group_id, now_ms):
        queue, fleet = self.stages[1]
        later = self.group(group_id, 1, now_ms, now_ms)
        if self.is_announcing:
            result = queue.announce(later, fleet, now_ms + 250, now_ms)
            if isinstance(result, stage_queue.Rejected):
                self.refused_at_once += 1
                return
        queue, fleet = self.stages[0]
        first = self.group(group_id, 0, now_ms, now_ms)
        queue.submit(first, fleet, now_ms)
        self.left[group_id, 0] = 1

    def finish(self, key, items, now_ms):
        stage, index = divmod(key, 10)
        self.stages[stage][1][index].calls_in_flight = 0
        for item in items:
            group = item.group
            self.left[group.group_id, stage] -= 1
            if self.left[group.group_id, stage]:
                continue
            if stage == 0:
                self.submit_second_stage(group, now_ms)
            elif now_ms <= group.objective_ms:
                self.in_time += 1
            else:
                self.late += 1

    def submit_second_stage(self, first, now_ms):
        queue, fleet = self.stages[1]
        second = self.group(first.group_id, 1, first.queued_ms, now_ms)
        # Started requests are finished unless they would expire.
        second = attrs.evolve(second, accept_by_ms=second.expiry_ms)
        result = queue.submit(second, fleet, now_ms)
        if isinstance(result, stage_queue.Rejected):
            self.wasted += 1
        else:
            self.left[first.group_id, 1] = second.size

    def call(self, stage, events, now_ms):
        queue, fleet = self.stages[stage]
        self.wasted += len(queue.drop_unservable(fleet, now_ms))
        for index, replica in enumerate(fleet):
            if not replica.is_free(1, now_ms):
                continue
            items = queue.next_call(replica, fleet, now_ms)
            if items:
                replica.calls_in_flight = 1
                end_ms = now_ms + int(queue.call_ms(len(items)))
                replica.busy_until_ms = end_ms
                key = stage * 10 + index
                heapq.heappush(events, (end_ms, key, 'finish', items))


@ddt.ddt
class ChainLoadTest(base.TestCase):
    @ddt.data(1, 2, 3)
    def test_announcements_avoid_wasted_work_in_an_overloaded_chain(
        self, seed
    ):
        """Announced requests are refused at once or served in time.

        Without announcements the first stage also runs for requests that the
        second one rejects or drops.
        """
        announcing = ChainSimulation(seed, is_announcing=True)
        unannounced = ChainSimulation(seed, is_announcing=False)
        # 8.7 requests a second can be served, of 30.
        servable = 0.29 * announcing.total
        self.assertGreater(announcing.in_time, 0.9 * servable)
        self.assertGreater(0.9 * servable, unannounced.in_time)
        self.assertLess(announcing.wasted, 0.02 * announcing.total)
        self.assertGreater(unannounced.wasted, 0.3 * unannounced.total)
        self.assertGreater(announcing.refused_at_once, 0.6 * announcing.total)


class LoadSimulation:
    """Simulates arrivals at replicas with the configured durations."""

    def __init__(self, seed, per_s, seconds, is_admitting=True):
        self.random = random.Random(seed)
        self.queue = new_queue(memory_bytes=1e9)
        self.fleet = replicas('a1', 'a2', 'b1')
        self.is_admitting = is_admitting
        self.left = {}
        self.in_time = 0
        self.late = 0
        self.refused = 0
        self.held_ms = []
        self.calls = []
        events = []
        at_ms = 0.0
        for group_id in itertools.count():
            at_ms += self.random.expovariate(per_s / 1_000)
            if at_ms > seconds * 1_000:
                break
            events.append((int(at_ms), 0, group_id, None))
        self.run(events)

    def run(self, events):
        heapq.heapify(events)
        while events:
            now_ms, kind, key, items = heapq.heappop(events)
            if kind == 0:
                self.arrive(key, now_ms)
            else:
                self.finish(key, items, now_ms)
            for dropped in self.queue.drop_unservable(self.fleet, now_ms):
                self.left.pop(dropped.group.group_id)
                self.refused += 1
                self.held_ms.append(now_ms - dropped.group.queued_ms)
            for index, replica in enumerate(self.fleet):
                if not replica.is_free(1, now_ms):
                    continue
                items = self.queue.next_call(replica, self.fleet, now_ms)
                if items:
                    self.calls.append(len(items))
                    replica.calls_in_flight = 1
                    end_ms = now_ms + int(self.queue.call_ms(len(items)))
                    replica.busy_until_ms = end_ms
                    heapq.heappush(events, (end_ms, 1, index, items))

    def arrive(self, group_id, now_ms):
        accept_by_ms = 600 if self.is_admitting else 10_000
        group = build.group(
            group_id,
            2,
            queued_ms=now_ms,
            objective_ms=now_ms + 600,
            accept_by_ms=now_ms + accept_by_ms,
            expiry_ms=now_ms + 3_000,
        )
        match self.queue.submit(group, self.fleet, now_ms):
            case stage_queue.Accepted():
                self.left[group_id] = 2
            case stage_queue.Rejected():
                self.refused += 1

    def finish(self, index, items, now_ms):
        self.fleet[index].calls_in_flight = 0
        for item in items:
            group = item.group
            self.left[group.group_id] -= 1
            if not self.left[group.group_id]:
                del self.left[group.group_id]
                if now_ms <= group.objective_ms:
                    self.in_time += 1
                else:
                    self.late += 1


# Three replicas with full calls of 8 carry 104 items a second, 52 groups.
@ddt.ddt
class LoadTest(base.TestCase):
    @ddt.data(1, 2, 3)
    def test_batching_carries_more_than_single_calls(self, seed):
        """With a call for each group, 40 a second would need 6.8 replicas."""
        load = LoadSimulation(seed, per_s=40, seconds=30)
        total = load.in_time + load.late + load.refused
        self.assertGreater(load.in_time / total, 0.95)
        self.assertGreater(sum(load.calls) / len(load.calls), 4)

    @ddt.data(1, 2, 3)
    def test_an_overload_is_served_in_time_near_capacity(self, seed):
        """80 groups a second, of which 52 can be served."""
        load = LoadSimulation(seed, per_s=80, seconds=20)
        self.assertGreater(load.in_time / (20 * 52), 0.85)
        self.assertLess(load.late, 0.1 * load.in_time)
        unbounded = LoadSimulation(
            seed, per_s=80, seconds=20, is_admitting=False
        )
        self.assertGreater(load.in_time, unbounded.in_time)

    @ddt.data(1, 2, 3)
    def test_unservable_groups_are_dropped_well_before_they_expire(self, seed):
        """Without admission all wait, a third of them 3 s for nothing."""
        load = LoadSimulation(seed, per_s=80, seconds=20, is_admitting=False)
        self.assertGreater(len(load.held_ms), 300)
        held_ms = sorted(load.held_ms)
        self.assertLess(held_ms[len(held_ms) // 2], 1_000)
        # No group is dropped that could have been served.
        served = load.in_time + load.late
        self.assertGreater(served / (20 * 52), 0.95)

    @ddt.data((1, False), (2, False), (3, True))
    @ddt.unpack
    def test_groups_are_dropped_when_too_few_replicas_remain(
        self, left, is_served
    ):
        """Forty groups of two items; a replica makes 35 items a second."""
        queue = new_queue()
        fleet = replicas('a1', 'a2', 'b1')
        for group_id in range(40):
            group = build.group(group_id, 2, expiry_ms=1_100)
            queue.submit(group, fleet, 0)
        dropped_groups = queue.drop_unservable(fleet[:left], 0)
        self.assertEqual(is_served, not dropped_groups)
        for dropped in dropped_groups:
            self.assertGreater(dropped.retry_after_ms, 0)
