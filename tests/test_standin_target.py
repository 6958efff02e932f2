"""Tests of the stand-ins of targets, mostly without faults."""

import asyncio

import ddt

from sycamorebeam.clients import ports
from sycamorebeam.clients import reasons
from sycamorebeam.clients import results
from tests import base
from tests import target_case

KINDS = (target_case.ENGINE, target_case.POOL, target_case.SERVICE)
REFUSED = results.TargetNotRun(reasons.Reason.REFUSED)


@ddt.ddt
class TargetStandinTest(base.NetworkTestCase):
    """Capacity, queue, load reports and recorded runs."""

    @ddt.data(*KINDS)
    async def test_limits_running_and_waiting_calls(self, kind):
        options = {'capacity': 2, 'queue': 3, 'work_ms': 60, 'token_ms': 8}
        async with target_case.target_fixture(kind, **options) as fixture:
            calls = [
                asyncio.create_task(fixture.call(f'a{number}'))
                for number in range(8)
            ]
            await target_case.wait_until(lambda: fixture.runs.calls == 8)
            report = await fixture.client.load(fixture.replica)
            self.assertEqual(
                ports.LoadReport(
                    running=2, waiting=3, capacity=2, draining=False, age_ms=0
                ),
                report,
            )
            outcomes = await asyncio.gather(*calls)
            self.assertEqual(3, outcomes.count(REFUSED))
            self.assertEqual(5, len(fixture.runs.as_json()['runs']))

    @ddt.data(*KINDS)
    async def test_load_report_lags(self, kind):
        options = {'report_age_ms': 300, 'work_ms': 800, 'token_ms': 100}
        async with target_case.target_fixture(kind, **options) as fixture:
            before = await fixture.client.load(fixture.replica)
            call = asyncio.create_task(fixture.call())
            await target_case.wait_until(lambda: fixture.runs.calls == 1)
            lagging = await fixture.client.load(fixture.replica)
            await asyncio.sleep(0.35)
            renewed = await fixture.client.load(fixture.replica)
            running = [report.running for report in (before, lagging, renewed)]
            self.assertEqual([0, 0, 1], running)
            self.assertTrue(0 <= lagging.age_ms < 300, lagging.age_ms)
            await call

    @ddt.data(target_case.POOL, target_case.SERVICE)
    async def test_records_key(self, kind):
        async with target_case.target_fixture(kind) as fixture:
            await fixture.call('a1')
            await fixture.call('a1')
            runs = fixture.runs.of_key('a1')
            self.assertEqual(
                ['finished'] * 2, [run.state.value for run in runs]
            )

    async def test_cached_prefix_saves_prefill(self):
        async with target_case.target_fixture(
            target_case.ENGINE, prefill_ms=300
        ) as fixture:
            took_ms = []
            for _ in range(2):
                started_ms = target_case.CLOCK.monotonic_ms()
                await fixture.call('a1' * (len(took_ms) + 1), prompt='same')
                took_ms.append(target_case.CLOCK.monotonic_ms() - started_ms)
            self.assertGreater(took_ms[0], 300)
            self.assertLess(took_ms[1], 300)

    async def test_a_fault_affects_one_replica_only(self):
        async with (
            target_case.target_fixture(target_case.POOL) as first,
            target_case.target_fixture(target_case.POOL) as second,
        ):
            first.faults.refuse = 1
            self.assertEqual(REFUSED, await first.call())
            self.assertIsInstance(await second.call(), results.TargetAnswer)
            await first.server.close()
            self.assertIsInstance(await second.call(), results.TargetAnswer)
