"""The stand-ins of targets while nothing fails."""

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
    """Capacity, queue, load reports and the record of runs."""

    @ddt.data(*KINDS)
    async def test_bounds_what_runs_and_waits(self, kind):
        options = {'capacity': 2, 'queue': 3, 'work_ms': 60, 'token_ms': 8}
        async with target_case.target_fixture(kind, **options) as stand:
            calls = [
                asyncio.create_task(stand.call(f'a{number}'))
                for number in range(8)
            ]
            await target_case.wait_until(lambda: stand.runs.calls == 8)
            report = await stand.client.load(stand.replica)
            self.assertEqual(
                ports.LoadReport(
                    running=2, waiting=3, capacity=2, draining=False, age_ms=0
                ),
                report,
            )
            found = await asyncio.gather(*calls)
            self.assertEqual(3, found.count(REFUSED))
            self.assertEqual(5, len(stand.runs.as_json()['runs']))

    @ddt.data(*KINDS)
    async def test_load_report_lags(self, kind):
        options = {'report_age_ms': 300, 'work_ms': 800, 'token_ms': 100}
        async with target_case.target_fixture(kind, **options) as stand:
            before = await stand.client.load(stand.replica)
            call = asyncio.create_task(stand.call())
            await target_case.wait_until(lambda: stand.runs.calls == 1)
            lagging = await stand.client.load(stand.replica)
            await asyncio.sleep(0.35)
            renewed = await stand.client.load(stand.replica)
            running = [one.running for one in (before, lagging, renewed)]
            self.assertEqual([0, 0, 1], running)
            self.assertTrue(0 <= lagging.age_ms < 300, lagging.age_ms)
            await call

    @ddt.data(target_case.POOL, target_case.SERVICE)
    async def test_records_key(self, kind):
        async with target_case.target_fixture(kind) as stand:
            await stand.call('a1')
            await stand.call('a1')
            runs = stand.runs.of_key('a1')
            self.assertEqual(
                ['finished'] * 2, [run.state.value for run in runs]
            )

    async def test_cached_prefix_saves_prefill(self):
        async with target_case.target_fixture(
            target_case.ENGINE, prefill_ms=300
        ) as stand:
            took_ms = []
            for _ in range(2):
                started_ms = target_case.CLOCK.monotonic_ms()
                await stand.call('a1' * (len(took_ms) + 1), prompt='same')
                took_ms.append(target_case.CLOCK.monotonic_ms() - started_ms)
            self.assertGreater(took_ms[0], 300)
            self.assertLess(took_ms[1], 300)

    async def test_replicas_fail_by_themselves(self):
        async with (
            target_case.target_fixture(target_case.POOL) as first,
            target_case.target_fixture(target_case.POOL) as second,
        ):
            first.faults.refuse = 1
            self.assertEqual(REFUSED, await first.call())
            self.assertIsInstance(await second.call(), results.TargetAnswer)
            await first.server.close()
            self.assertIsInstance(await second.call(), results.TargetAnswer)
