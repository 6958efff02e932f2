"""Tests of publishing changes and of where they are in force."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import ddt

from sycamorebeam import catalogue_records
from sycamorebeam import publishing
from sycamorebeam.clients import results
from tests import base
from tests import catalogue_bench
from tests import fake_log

CLOCK = catalogue_bench.CLOCK
AUTHOR = publishing.Author('ann', 'test')
STREAM = catalogue_records.STREAM


async def publish(log, *edits, timeout_ms=5_000):
    return await publishing.publish(log, CLOCK, edits, AUTHOR, timeout_ms)


@ddt.ddt
class PublishTest(base.TestCase):
    async def test_accepted_change_is_in_the_history(self):
        log = fake_log.FakeLog()
        result = await publish(log, catalogue_bench.team_edit('a'))
        self.assertIsInstance(result, publishing.Accepted)
        self.assertEqual(0, result.offset)
        [decision] = await publishing.history(log)
        self.assertEqual(
            ('ann', 'test', ('team/a',), True),
            (
                decision.author,
                decision.reason,
                decision.keys,
                decision.accepted,
            ),
        )

    async def test_one_of_several_concurrent_changes_is_accepted(self):
        log = fake_log.FakeLog()
        outcomes = await asyncio.gather(
            *(publish(log, catalogue_bench.team_edit('a')) for _ in range(8))
        )
        accepted = [
            outcome
            for outcome in outcomes
            if isinstance(outcome, publishing.Accepted)
        ]
        self.assertEqual(1, len(accepted))
        for outcome in outcomes:
            if outcome is not accepted[0]:
                self.assertEqual(accepted[0].offset, outcome.winner)
                self.assertIn('read it again', outcome.reason)

    @ddt.data('lose_answers', 'late_appends')
    async def test_resolves_a_lost_append_answer_from_the_log(self, fault):
        log = fake_log.FakeLog()
        log.late_by_ms = 2_000
        setattr(log, fault, 1)
        result = await publish(log, catalogue_bench.team_edit('a'))
        self.assertIsInstance(result, publishing.Accepted)
        self.assertEqual(1, log.append_calls)

    async def test_resolves_a_change_appended_after_the_timeout(self):
        log = fake_log.FakeLog()
        log.late_appends = 1
        log.late_by_ms = 8_000
        result = await publish(log, catalogue_bench.team_edit('a'))
        self.assertIsInstance(result, publishing.Unresolved)
        again = await publishing.resolve(log, CLOCK, result.change_id, 9_000)
        self.assertEqual(publishing.Accepted(0, result.change_id), again)
        self.assertEqual(1, log.append_calls)

    @ddt.data('down', 'write_down')
    async def test_log_down_sends_nothing(self, fault):
        log = fake_log.FakeLog()
        setattr(log, fault, True)
        result = await publish(log, catalogue_bench.team_edit('a'))
        self.assertIsInstance(result, publishing.Rejected)
        self.assertFalse(result.sent)
        self.assertEqual({}, log.streams)

    async def test_log_outage_while_waiting_for_the_decision(self):
        log = fake_log.FakeLog()
        log.lose_answers = 1
        task = asyncio.create_task(
            publish(log, catalogue_bench.team_edit('a'))
        )
        await CLOCK.sleep_ms(500)
        log.down = True
        await CLOCK.sleep_ms(2_000)
        log.down = False
        self.assertIsInstance(await task, publishing.Accepted)

    async def test_raises_the_format_level(self):
        log = fake_log.FakeLog()
        result = await publishing.raise_format_level(log, CLOCK, 2, AUTHOR)
        self.assertIsInstance(result, publishing.Accepted)
        fold = await publishing.read_fold(log)
        self.assertEqual(2, fold.level)

    async def test_history_without_log(self):
        log = fake_log.FakeLog()
        log.down = True
        result = await publishing.history(log)
        self.assertIsInstance(result, results.LogUnavailable)


class InForceTest(base.NetworkTestCase):
    async def test_reports_where_an_offset_is_in_force(self):
        self.offsets = {'new': [3], 'slow': [1, 1, 3], 'old': [2]}
        async with contextlib.AsyncExitStack() as stack:
            address = {
                name: await stack.enter_async_context(self.serve(name))
                for name in self.offsets
            }
            unreachable = '127.0.0.1:1'
            session = await stack.enter_async_context(aiohttp.ClientSession())
            report = await publishing.wait_until_in_force(
                session, CLOCK, [*address.values(), unreachable], 3, 800
            )
        self.assertFalse(report.everywhere)
        reached = {item.address for item in report.reached}
        self.assertEqual({address['new'], address['slow']}, reached)
        behind = {item.address: item.offset for item in report.behind}
        self.assertEqual({address['old']: 2, unreachable: None}, behind)

    @contextlib.asynccontextmanager
    async def serve(self, name):
        async def status(request):
            offsets = self.offsets[name]
            offset = offsets.pop(0) if len(offsets) > 1 else offsets[0]
            return web.json_response({'catalogue': {'offset': offset}})

        app = web.Application()
        app.router.add_get('/admin/status', status)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        host, port = runner.addresses[0][:2]
        try:
            yield f'{host}:{port}'
        finally:
            await runner.cleanup()
