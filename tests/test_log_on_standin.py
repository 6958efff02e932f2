"""Tests of the log client and the catalogue on the stand-in of the log."""

import asyncio
import contextlib

import ddt

from sycamorebeam import catalogue_records
from sycamorebeam import publishing
from sycamorebeam.clients import log_client
from sycamorebeam.clients import results
from sycamorebeam.standins import platform_server
from tests import base
from tests import catalogue_bench

TIMEOUT_MS = 300
LATE_MS = 150
LONG_POLLS = 64
IN_FORCE_MS = 2_000
CLOCK = catalogue_bench.CLOCK
APPENDED = results.Appended
REFUSED = results.AppendRefused
UNKNOWN = results.AppendUnknown
# name, switches, type of the result, number of records at once and after
# LATE_MS
APPENDS = [
    ['accepted', {}, APPENDED, 1, 1],
    ['slow', {'delay_ms': 100}, APPENDED, 1, 1],
    ['too_slow', {'delay_ms': 800}, UNKNOWN, 0, 0],
    ['down', {'down': True}, REFUSED, 0, 0],
    ['lost', {'lose_answers': 1}, UNKNOWN, 1, 1],
    ['late', {'late_appends': 1, 'late_by_ms': LATE_MS}, UNKNOWN, 0, 1],
    ['reads_down', {'read_down': True}, APPENDED, 1, 1],
]


@contextlib.asynccontextmanager
async def served():
    served_platform = await platform_server.start_platform()
    client = log_client.new_log_client(served_platform.address, TIMEOUT_MS)
    try:
        yield served_platform.log, client
    finally:
        await client.close()
        await served_platform.close()


def set_faults(service, **switches):
    for name, value in switches.items():
        setattr(service.faults, name, value)


@ddt.ddt
class ClientTest(base.NetworkTestCase):
    @ddt.named_data(*APPENDS)
    async def test_append_is_one_call(
        self, switches, expected_type, count_at_once, count_later
    ):
        async with served() as (service, client):
            set_faults(service, **switches)
            self.assertIsInstance(
                await client.append('s', b'data'), expected_type
            )
            set_faults(service, down=False, read_down=False, delay_ms=0)
            self.assertEqual(count_at_once, (await client.bounds('s')).next)
            await CLOCK.sleep_ms(LATE_MS + 100)
            self.assertEqual(count_later, (await client.bounds('s')).next)
            self.assertEqual(1, service.counts.append_calls)

    async def test_append_over_the_rate_limit_is_refused(self):
        async with served() as (service, client):
            set_faults(service, appends_per_s=1)
            service.drain_allowance()
            result = await client.append('s', b'data')
            self.assertIsInstance(result, REFUSED)
            self.assertGreater(result.retry_after_ms, 0)

    async def test_reads(self):
        async with served() as (service, client):
            for data in (b'a', b'b', b'c'):
                await client.append('s', data)
            page = await client.read('s', 1, limit=1)
            self.assertEqual((0, 3), (page.oldest, page.next))
            self.assertEqual([b'b'], [record.data for record in page.records])
            set_faults(service, read_down=True)
            result = await client.read('s', 0)
            self.assertIsInstance(result, results.LogUnavailable)

    async def test_long_poll_returns_with_the_next_record(self):
        async with served() as (_, client):
            task = asyncio.create_task(client.read('s', 0, wait_ms=5_000))
            await CLOCK.sleep_ms(50)
            await client.append('s', b'a')
            page = await asyncio.wait_for(task, 1)
            self.assertEqual([b'a'], [record.data for record in page.records])


class ManyReadersTest(base.NetworkTestCase):
    async def test_long_polls_do_not_hold_up_appends(self):
        async with served() as (_, client):
            polls = [
                asyncio.create_task(client.read(f's{n}', 0, wait_ms=5_000))
                for n in range(LONG_POLLS)
            ]
            await CLOCK.sleep_ms(100)
            result = await client.append('other', b'data')
            self.assertIsInstance(result, APPENDED)
            for task in polls:
                task.cancel()
            await asyncio.gather(*polls, return_exceptions=True)


class InForceTest(base.NetworkTestCase):
    async def test_a_change_is_in_force_on_every_instance(self):
        async with served() as (_, client):
            benches = [
                catalogue_bench.Bench(client, seed=number)
                for number in range(3)
            ]
            for bench in benches:
                bench.start()
            result = await publishing.publish(
                client,
                CLOCK,
                [catalogue_bench.team_edit('a')],
                publishing.Author('ann', 'test'),
            )
            self.assertIsInstance(result, publishing.Accepted)
            started_ms = CLOCK.monotonic_ms()
            while any(instance.follower.offset < 0 for instance in benches):
                await CLOCK.sleep_ms(5)
                waited_ms = CLOCK.monotonic_ms() - started_ms
                self.assertLess(waited_ms, IN_FORCE_MS)
            bounds = await client.bounds(catalogue_records.STREAM)
            self.assertEqual(1, bounds.next)
            for bench in benches:
                await bench.follower.stop()
