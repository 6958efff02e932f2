"""Tests of claims through the log, without faults."""

import asyncio

import ddt

from sycamorebeam import answers
from sycamorebeam import claims
from sycamorebeam import errors
from sycamorebeam import records
from sycamorebeam.controllers import claim_views
from sycamorebeam.controllers import claims_controller
from tests import base
from tests import claim_bench

KEY = claims.ClaimKey('team', 'pump', 'k')


@ddt.ddt
class ClaimTest(base.TestCase):
    async def test_a_retry_at_any_instance_is_replayed(self):
        bench = claim_bench.Bench()
        one, two = bench.instance('a'), bench.instance('b')
        first = await bench.ask(one, 'k', first=True)
        await bench.wait_settled(one)
        for instance in (one, two):
            again = await bench.ask(instance, 'k')
            self.assertEqual(first.answer.output, again.answer.output)
            self.assertTrue(again.answer.replayed)
        self.assertEqual([], bench.violations())
        self.assertTrue(bench.folded_state('k').outcome.known)

    async def test_concurrent_attempts_run_once(self):
        bench = claim_bench.Bench()
        instances = [bench.instance(name) for name in 'abc']
        replies = await asyncio.gather(
            *(bench.ask(instance, 'k') for instance in instances)
        )
        outcomes = sorted(reply.outcome for reply in replies)
        self.assertEqual(['completed', 'in_progress', 'in_progress'], outcomes)
        self.assertEqual(1, len(bench.target.runs['k']))

    async def test_another_request_under_the_key_is_refused(self):
        bench = claim_bench.Bench()
        instance = bench.instance()
        await bench.ask(instance, 'k')
        reply = await bench.ask(instance, 'k', number=2)
        self.assertEqual(422, reply.answer.kind.status)

    async def test_window_must_outlast_deadlines(self):
        bench = claim_bench.Bench()
        self.assertRaises(
            errors.SettingsError, bench.instance, claim_window_ms=1_000
        )

    async def test_release_keeps_a_key_whose_permit_was_used(self):
        bench = claim_bench.Bench()
        instance = bench.instance()
        owned = await self.claim_key(instance)
        self.assertTrue(await instance.claims.release(owned.permit))
        await bench.wait_settled(instance)
        again = await instance.claims.claim(KEY, b'd', 1_000, False)
        again.permit.use()
        self.assertFalse(await instance.claims.release(again.permit))

    async def test_a_large_output_is_neither_stored_nor_run_again(self):
        bench = claim_bench.Bench()
        instance = bench.instance()
        owned = await self.claim_key(instance)
        output = {'pad': 'x' * claims_controller.MAX_STORED_OUTPUT_BYTES}
        owned.permit.use()
        await instance.claims.record(
            owned.permit, claims.RunOutcome(True, output, 'target-7')
        )
        await bench.wait_settled(instance)
        again = await instance.claims.claim(KEY, b'd', 1_000, False)
        self.assertEqual(answers.Outcome.PARTIAL, again.answer.outcome)
        self.assertEqual('target-7', again.answer.target_request_id)

    @ddt.data(True, False)
    async def test_an_output_no_longer_in_memory_is_read_again(
        self, is_in_log
    ):
        bench = claim_bench.Bench()
        one, two = bench.instance('a'), bench.instance('b')
        await bench.ask(one, 'k', first=True)
        await bench.wait_settled(one)
        await bench.ask(two, 'warm')
        view = two.claims._views.get(0)
        view.state.outputs.max_bytes = 0
        await bench.ask(one, 'other')
        await bench.wait_settled(one)
        if not is_in_log:
            bench.log.truncate('claims.0', len(bench.log.streams['claims.0']))
        reply = await bench.ask(two, 'k')
        expected = 'completed' if is_in_log else 'attempt_not_run'
        self.assertEqual(expected, reply.outcome)
        self.assertEqual(1, len(bench.target.runs['k']))

    async def test_an_unsaved_outcome_is_replayed_by_its_instance(self):
        bench = claim_bench.Bench()
        fault = {'before_outcome': lambda it: setattr(bench.log, 'down', True)}
        instance = bench.instance('a', fault)
        first = await bench.ask(instance, 'k')
        await bench.clock.sleep_ms(100)
        again = await bench.ask(instance, 'k')
        self.assertEqual(first.answer.output, again.answer.output)

    async def test_an_unknown_record_blocks_its_partition(self):
        bench = claim_bench.Bench()
        instance = bench.instance()
        await bench.ask(instance, 'k')
        newer_record = records.pack_envelope([records.Record('claim', 9, {})])
        bench.log.put('claims.0', newer_record)
        reply = await bench.ask(instance, 'other', first=True)
        self.assertEqual('not_run', reply.outcome)
        self.assertIn('run a newer version', reply.answer.detail)
        replayed = await bench.ask(instance, 'k')
        self.assertEqual('completed', replayed.outcome)

    async def test_follows_a_bounded_number_of_streams(self):
        bench = claim_bench.Bench()
        instance = bench.instance(claim_partitions=100)
        for number in range(60):
            reply = await bench.ask(instance, f'k-{number}', first=True)
            self.assertEqual('completed', reply.outcome)
        self.assertEqual(claim_views.MAX_VIEWS, len(instance.claims._views))
        again = await bench.ask(instance, 'k-0')
        self.assertTrue(again.answer.replayed)

    async def claim_key(self, instance):
        return await instance.claims.claim(KEY, b'd', 1_000, True)


@ddt.ddt
class KeyAgeTest(base.TestCase):
    @ddt.data(
        # keeps_records, key_age_ms, first, expected
        (True, None, False, 'completed'),
        (False, None, False, 'too_old'),
        (False, None, True, 'completed'),
        (False, 0, False, 'completed'),
        (False, 0, True, 'completed'),
        (False, 8_000, False, 'too_old'),
        (False, 8_000, True, 'too_old'),
        (True, -60_000, True, 'too_old'),
    )
    @ddt.unpack
    async def test_a_new_key_at_a_new_reader(
        self, keeps_records, key_age_ms, first, expected
    ):
        bench = claim_bench.Bench()
        one = bench.instance('a')
        await bench.ask(one, 'old-1')
        await bench.clock.sleep_ms(100_000)
        await bench.ask(one, 'old-2')
        await bench.wait_settled(one)
        if not keeps_records:
            bench.log.truncate('claims.0', 2)
        await bench.clock.sleep_ms(7_000)
        key = 'k'
        if key_age_ms is not None:
            now_ms = bench.clock.monotonic_ms()
            key = claim_bench.uuid7(now_ms - key_age_ms)
        reply = await bench.ask(bench.instance('b'), key, first)
        self.assertEqual(expected, reply.outcome)
        self.assertEqual(
            expected == 'completed', len(bench.target.runs[key]) == 1
        )

    @ddt.data('plain', 'uuid7')
    async def test_an_evicted_key_never_runs_again(self, key_form):
        bench = claim_bench.Bench(max_keys=1)
        one = bench.instance()
        await bench.clock.sleep_ms(1_000)
        key = claim_bench.uuid7(1_000) if key_form == 'uuid7' else 'k'
        await bench.ask(one, key, first=True)
        for number in range(3):
            await bench.clock.sleep_ms(10_000)
            await bench.ask(one, f'other-{number}', first=True)
        reply = await bench.ask(one, key)
        self.assertEqual('too_old', reply.outcome)
        self.assertEqual([], bench.violations())

    async def test_an_empty_stream_is_usable_again(self):
        bench = claim_bench.Bench()
        one = bench.instance('a')
        await bench.ask(one, 'k')
        await bench.wait_settled(one)
        bench.log.truncate('claims.0', len(bench.log.streams['claims.0']))
        two = bench.instance('b')
        outcomes = []
        for _ in range(2):
            await bench.clock.sleep_ms(6_000)
            key = claim_bench.uuid7(bench.clock.monotonic_ms())
            outcomes.append((await bench.ask(two, key)).outcome)
        self.assertEqual(['too_old', 'completed'], outcomes)

    async def test_ticks_and_dropped_views_while_idle(self):
        bench = claim_bench.Bench()
        instance = bench.instance(claim_partitions=4)
        await instance.claims.start()
        await bench.ask(instance, 'k')
        await bench.clock.sleep_ms(2 * claim_views.IDLE_VIEW_MS)
        self.assertEqual(0, len(instance.claims._views))
        await bench.clock.sleep_ms(3_600_000)
        self.assertEqual(4, len(bench.log.streams))
        # About four ticks per partition in each window.
        self.assertIn(bench.log.append_calls, range(16, 40))
        await instance.claims.stop()
