"""Tests of orders to engines under leases, with and without faults."""

import asyncio
import itertools
import random

import ddt

from sycamorebeam import hashing
from sycamorebeam import lease_fold
from sycamorebeam import lease_records
from sycamorebeam import leases
from sycamorebeam.policy import load_share
from tests import base
from tests import order_bench

PAUSE_MS = 60_000
STREAM = lease_records.stream_of('e0')


def versions(engine):
    """Return the model versions that an engine loaded, in order."""
    return [item[4] for item in engine.executed if item[2] == 'load_model']


def max_in_window(times_ms, window_ms):
    """Return the highest number of times within one window."""
    times_ms = sorted(times_ms)
    return max(
        sum(start <= other < start + window_ms for other in times_ms)
        for start in times_ms
    )


class OrdersTestCase(base.TestCase):
    def bench(self, engines=1, checks_fences=True, load_ms=0, **limits):
        fake_engines = [
            order_bench.FakeEngine(f'e{number}', checks_fences, load_ms)
            for number in range(engines)
        ]
        return order_bench.Bench(fake_engines, **limits)


@ddt.ddt
class PausedHolderTest(OrdersTestCase):
    @ddt.data(
        *itertools.product((True, False), ('pause_ms', 'pause_after_ms'))
    )
    @ddt.unpack
    async def test_holder_paused_past_its_lease(self, checks_fences, step):
        bench = self.bench(checks_fences=checks_fences)
        engine = bench.engines[0]
        paused = bench.member('a')
        setattr(paused.client, step, PAUSE_MS)
        await asyncio.sleep(10)
        self.assertTrue(paused.client.paused)
        paused.stale_catalogue = bench.catalogue
        bench.publish('2')
        other = bench.member('b')
        await asyncio.sleep(45)
        self.assertEqual(['2'], versions(engine))
        self.assertTrue(paused.client.paused)
        await paused.client.resumed.wait()
        # Only the other instance is left to undo the effect of the late
        # order.
        await asyncio.sleep(0.1)
        paused.task.cancel()
        await asyncio.sleep(60)
        stale_order_runs = step == 'pause_after_ms' and not checks_fences
        expected = ['2', '1', '2'] if stale_order_runs else ['2']
        self.assertEqual(expected, versions(engine))
        self.assertTrue(bench.is_as_wanted('2'))
        self.assertEqual([], other.row()['missing'])
        await bench.stop()


@ddt.ddt
class FaultTest(OrdersTestCase):
    @ddt.data(True, False)
    async def test_two_instances_that_manage_the_same_engine(
        self, checks_fences
    ):
        bench = self.bench(checks_fences=checks_fences, load_ms=70_000)
        members = [bench.member(name) for name in 'ab']
        await asyncio.sleep(300)
        self.assertTrue(bench.is_as_wanted())
        self.assertEqual(2, sum(member.client.sent for member in members))
        await bench.stop()

    @ddt.data(
        {'lose_answers': 1},
        {'lose_answers': 3},
        {'late_appends': 1, 'late_by_ms': 3_000},
        {'late_appends': 1, 'late_by_ms': 40_000},
        {'delay_ms': 700},
    )
    async def test_lost_late_and_slow_appends(self, faults):
        bench = self.bench(checks_fences=False, load_ms=1_000)
        for name, value in faults.items():
            setattr(bench.log, name, value)
        members = [bench.member(name) for name in 'ab']
        await asyncio.sleep(120)
        self.assertTrue(bench.is_as_wanted())
        self.assertEqual(2, sum(member.client.sent for member in members))
        await bench.stop()

    @ddt.data('down', 'hang')
    async def test_no_orders_while_the_log_is_down(self, fault):
        bench = self.bench()
        member = bench.member('a')
        await asyncio.sleep(8)
        self.assertTrue(member.row()['holder'])
        setattr(bench.log, fault, True)
        bench.publish('2')
        await asyncio.sleep(300)
        self.assertTrue(bench.is_as_wanted('1'))
        self.assertIn('log', member.row()['note'])
        setattr(bench.log, fault, False)
        await asyncio.sleep(30)
        self.assertTrue(bench.is_as_wanted('2'))
        await bench.stop()

    async def test_state_is_read_after_an_order_without_an_answer(self):
        bench = self.bench()
        bench.engines[0].unanswered = 1
        member = bench.member('a')
        await asyncio.sleep(40)
        self.assertTrue(bench.is_as_wanted())
        self.assertEqual(2, member.client.sent)
        expected = {'orders.maybe_run': 1, 'orders.done': 1}
        self.assertEqual(expected, member.metrics.totals)
        await bench.stop()

    async def test_a_restarted_engine_is_loaded_again(self):
        bench = self.bench()
        bench.member('a')
        await asyncio.sleep(20)
        bench.engines[0].restart()
        await asyncio.sleep(20)
        self.assertTrue(bench.is_as_wanted())
        await bench.stop()

    async def test_catalogue_changes_right_before_an_order(self):
        bench = self.bench()
        member = bench.member('a')
        member.client.pause_ms = 5_000
        await asyncio.sleep(4)
        self.assertTrue(member.client.paused)
        bench.publish('2', adapters=())
        await asyncio.sleep(30)
        self.assertEqual(['2'], versions(bench.engines[0]))
        self.assertTrue(bench.is_as_wanted('2', ()))
        await bench.stop()

    async def test_models_outside_the_catalogue_are_unloaded(self):
        bench = self.bench()
        bench.engines[0].models['old'] = '7'
        bench.engines[0].adapters.append('older')
        bench.member('a')
        await asyncio.sleep(20)
        self.assertTrue(bench.is_as_wanted())
        await bench.stop()

    async def test_an_unload_frees_memory_for_a_load(self):
        bench = self.bench()
        bench.engines[0].models['old'] = '7'
        bench.engines[0].capacity = 1
        bench.publish('1', adapters=())
        bench.member('a')
        await asyncio.sleep(60)
        self.assertTrue(bench.is_as_wanted(adapters=()))
        await bench.stop()

    async def test_a_change_of_role(self):
        bench = self.bench()
        bench.member('a')
        await asyncio.sleep(20)
        bench.publish('1', role='prefill')
        await asyncio.sleep(20)
        self.assertEqual('prefill', bench.engines[0].role)
        await bench.stop()

    async def test_no_order_to_an_engine_with_a_fence_beyond_the_log(self):
        bench = self.bench()
        bench.engines[0].fence = 50
        member = bench.member('a')
        await asyncio.sleep(200)
        self.assertEqual(1, member.client.sent)
        self.assertIn('the engine has seen 50', member.row()['note'])
        await bench.stop()

    @ddt.data(b'junk', lease_records.records.pack_envelope([]))
    async def test_unreadable_and_empty_records(self, data):
        bench = self.bench()
        bench.log.put(STREAM, data)
        member = bench.member('a')
        await asyncio.sleep(30)
        is_readable = data != b'junk'
        self.assertEqual(is_readable, bench.is_as_wanted())
        expected = 'as wanted' if is_readable else 'not an envelope'
        self.assertIn(expected, member.row()['note'])
        await bench.stop()

    async def test_a_lease_removed_by_retention_is_acquired_again(self):
        bench = self.bench()
        bench.member('a')
        await asyncio.sleep(8)
        for _ in range(3):
            bench.log.put(STREAM, lease_records.records.pack_envelope([]))
        bench.log.truncate(STREAM, 3)
        bench.publish('2')
        await asyncio.sleep(20)
        self.assertTrue(bench.is_as_wanted('2'))
        self.assertEqual(4, bench.engines[0].fence)
        await bench.stop()

    async def test_reassignment_does_not_wait_for_the_lease_to_expire(self):
        bench = self.bench()
        first = bench.member('a')
        await asyncio.sleep(8)
        names = {'a', 'b'}
        self.assertEqual('b', hashing.pick('e0', names))
        first.instances = names
        second = bench.member('b', names)
        bench.publish('2')
        await asyncio.sleep(10)
        self.assertTrue(bench.is_as_wanted('2'))
        self.assertIsNone(first.row())
        self.assertTrue(second.row()['holder'])
        await bench.stop()


@ddt.ddt
class RateTest(OrdersTestCase):
    NAMES = 'abcdefghi'
    PER_S = 0.5

    async def test_no_log_calls_when_engines_are_as_wanted(self):
        bench = self.bench(engines=12)
        bench.member('a')
        await asyncio.sleep(120)
        self.assertTrue(bench.is_as_wanted())
        before = bench.log.append_calls
        reads = sum(engine.state_reads for engine in bench.engines)
        await asyncio.sleep(600)
        self.assertEqual(before, bench.log.append_calls)
        reads = sum(engine.state_reads for engine in bench.engines) - reads
        self.assertTrue(600 <= reads <= 12 * 80, reads)
        await bench.stop()

    @ddt.data(1, 2, 3, 4)
    async def test_restart_of_all_engines_keeps_the_store_limit(self, seed):
        bench = self.bench(
            engines=18,
            checks_fences=False,
            load_ms=3_000,
            seed=seed,
            per_s=self.PER_S,
            at_once=2,
            adapters=(),
        )
        for name in self.NAMES:
            bench.member(name, set(self.NAMES))
        for _ in range(2):
            await asyncio.sleep(240)
            self.assertTrue(bench.is_as_wanted(adapters=()))
            load_starts_ms = [
                at for engine in bench.engines for at in engine.load_starts_ms
            ]
            period_ms = int(len(self.NAMES) / self.PER_S * 1000)
            self.assertLessEqual(
                max_in_window(load_starts_ms, period_ms), len(self.NAMES)
            )
            self.assertLessEqual(max_in_window(load_starts_ms, 1_000), 3)
            for engine in bench.engines:
                engine.restart()
                engine.load_starts_ms.clear()
        await bench.stop()


LEASE = lease_records.Lease(engine='e', holder='a')
LATER = lease_records.Lease(engine='e', holder='b')
RENEW = lease_records.Renew(engine='e', holder='a', fence=0)
RELEASE = lease_records.Release(engine='e', holder='a', fence=0)
END_MS = leases.LEASE_MS


@ddt.ddt
class FoldTest(base.TestCase):
    """Expected: holder, fence, time of the last record, from_renewal, is free.

    Records are one second apart.
    """

    @ddt.data(
        ((LEASE,), ('a', 0, 0, False, False)),
        ((LEASE, RENEW), ('a', 0, 1_000, False, False)),
        ((LEASE, LATER), ('b', 1, 1_000, False, False)),
        ((LEASE, LATER, RENEW), ('b', 1, 1_000, False, False)),
        ((LEASE, LATER, RELEASE), ('b', 1, 1_000, False, False)),
        ((LEASE, RELEASE), ('a', 0, 0, False, True)),
        ((LEASE, RELEASE, LATER), ('b', 2, 2_000, False, False)),
        ((RENEW,), ('a', 0, 0, True, False)),
        ((RENEW, LATER), ('b', 1, 1_000, False, False)),
    )
    @ddt.unpack
    def test_newest_lease(self, records, expected):
        fold = lease_fold.LeaseFold()
        for offset, record in enumerate(records):
            fold.apply(record, offset, offset * 1_000)
        state = fold.state('e')
        shown = (state.holder, state.fence, state.time_ms, state.from_renewal)
        self.assertEqual(expected[:4], shown)
        self.assertEqual(expected[4], state.is_available_to('c', 3_000))

    @ddt.data(
        ('a', END_MS - 1, True),
        ('b', END_MS - 1, False),
        ('b', END_MS, True),
    )
    @ddt.unpack
    def test_when_a_lease_can_be_taken(self, holder, now_ms, expected):
        fold = lease_fold.LeaseFold()
        fold.apply(LEASE, 0, 0)
        state = fold.state('e')
        self.assertEqual(expected, state.is_available_to(holder, now_ms))

    def test_old_leases_are_forgotten(self):
        fold = lease_fold.LeaseFold()
        fold.apply(LEASE, 0, 0)
        fold.drop_expired(END_MS)
        self.assertEqual(1, fold.size)
        fold.drop_expired(lease_fold.DROP_AFTER_MS)
        self.assertEqual(0, fold.size)


@ddt.ddt
class LoadShareTest(base.TestCase):
    """Tests of instances that load from one store without a pause."""

    @ddt.data((9, 2, 20_000), (9, 2, 60_000), (3, 2, 40_000), (2, 4, 9_000))
    @ddt.unpack
    def test_mean_of_loads_in_progress(self, instances, at_once, load_ms):
        share = load_share.LoadShare(random.Random(1))
        share.resize(5.0, at_once, instances, 0)
        now_ms = loading_ms = 0
        end_ms = 100 * load_ms * instances
        while now_ms < end_ms:
            if share.start(now_ms):
                now_ms += load_ms
                loading_ms += load_ms
                share.end(now_ms, load_ms)
            now_ms += 100
        mean = loading_ms / now_ms * instances
        self.assertLessEqual(mean, at_once)
        self.assertGreaterEqual(mean, 0.8 * min(at_once, instances))

    @ddt.data((1, 4, 4), (2, 4, 2), (9, 4, 1))
    @ddt.unpack
    def test_loads_of_one_instance_at_once(
        self, instances, at_once, max_running
    ):
        share = load_share.LoadShare(random.Random(1))
        share.resize(5.0, at_once, instances, 0)
        for now_ms in range(0, 20_000, 100):
            share.start(now_ms)
        self.assertEqual(max_running, share.running)
