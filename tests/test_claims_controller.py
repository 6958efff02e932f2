"""Tests of claims through the log, without faults."""

import asyncio

import ddt

from sycamorebeam import claims
from sycamorebeam import errors
from tests import base
from tests import claim_bench


@ddt.ddt
class ClaimTest(base.TestCase):
    async def test_first_claim_owns_and_a_retry_elsewhere_is_replayed(self):
        bench = claim_bench.Bench()
        one, two = bench.instance('a'), bench.instance('b')
        first = await bench.ask(one, 'k', first=True)
        await bench.settle(one)
        for instance in (one, two):
            again = await bench.ask(instance, 'k')
            self.assertEqual(first.answer.output, again.answer.output)
            self.assertTrue(again.answer.replayed)
        self.assertEqual([], bench.ledger_faults())
        self.assertTrue(bench.fold('k').outcome.known)

    async def test_two_instances_at_once_run_one(self):
        bench = claim_bench.Bench()
        instances = [bench.instance(name) for name in 'abc']
        told = await asyncio.gather(
            *(bench.ask(instance, 'k') for instance in instances)
        )
        found = sorted(item.outcome for item in told)
        self.assertEqual(['completed', 'in_progress', 'in_progress'], found)
        self.assertEqual(1, len(bench.target.runs['k']))

    async def test_another_request_under_the_key_is_refused(self):
        bench = claim_bench.Bench()
        instance = bench.instance()
        await bench.ask(instance, 'k')
        told = await bench.ask(instance, 'k', number=2)
        self.assertEqual(422, told.answer.kind.status)

    async def test_window_must_outlast_deadlines(self):
        bench = claim_bench.Bench()
        self.assertRaises(
            errors.SettingsError, bench.instance, claim_window_ms=1_000
        )

    async def test_release_frees_only_what_did_not_run(self):
        bench = claim_bench.Bench()
        instance = bench.instance()
        key = claims.ClaimKey('team', 'pump', 'k')
        owned = await instance.claims.claim(key, b'd', 1_000, True)
        self.assertTrue(await instance.claims.release(owned.permit))
        await bench.settle(instance)
        again = await instance.claims.claim(key, b'd', 1_000, False)
        again.permit.use()
        self.assertFalse(await instance.claims.release(again.permit))
