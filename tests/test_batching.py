"""Tests of batched appends."""

import asyncio
import random

import ddt

from sycamorebeam import batching
from sycamorebeam import clocks
from sycamorebeam import records
from sycamorebeam.clients import results
from tests import base
from tests import fake_log

CLAIM = batching.Priority.CLAIM
HOUSEKEEPING = batching.Priority.HOUSEKEEPING
SEED = 7


def record(number, size=1):
    return records.Record('test', 1, {'n': number, 'pad': b'x' * size})


def numbers(log, stream):
    return [
        [item.fields['n'] for item in records.unpack_envelope(row.data)]
        for row in log.streams.get(stream, [])
    ]


class Bench:
    def __init__(self, rate=40.0, linger_ms=5):
        self.clock = clocks.Clock()
        self.log = fake_log.FakeLog()
        self.appender = batching.new_appender(
            self.log, self.clock, rate, linger_ms, random.Random(SEED)
        )

    async def submit(self, *items, stream='s', priority=CLAIM):
        return await asyncio.gather(
            *(self.appender.submit(stream, item, priority) for item in items)
        )


@ddt.ddt
class AppenderTest(base.TestCase):
    async def test_queued_records_share_an_append(self):
        bench = Bench()
        found = await bench.submit(*(record(n) for n in range(5)))
        self.assertEqual([[0, 1, 2, 3, 4]], numbers(bench.log, 's'))
        self.assertEqual(
            [batching.SubmitResult(results.Appended(0), n) for n in range(5)],
            found,
        )

    async def test_lingers_no_longer_than_configured(self):
        bench = Bench(linger_ms=20)
        began_ms = bench.clock.monotonic_ms()
        await bench.submit(record(1))
        self.assertLessEqual(bench.clock.monotonic_ms() - began_ms, 22)

    async def test_envelope_size_is_bounded(self):
        bench = Bench()
        size = batching.MAX_BATCH_BYTES // 4
        await bench.submit(*(record(n, size) for n in range(7)))
        self.assertEqual([3, 3, 1], [len(n) for n in numbers(bench.log, 's')])

    async def test_claims_go_before_housekeeping(self):
        bench = Bench()
        await asyncio.gather(
            bench.submit(record(1), stream='a', priority=HOUSEKEEPING),
            bench.submit(record(2), stream='b', priority=HOUSEKEEPING),
            bench.submit(record(3), stream='b'),
        )
        self.assertEqual([[3, 2]], numbers(bench.log, 'b'))
        self.assertEqual(['b', 'a'], list(bench.log.streams))

    @ddt.data(20.0, 40.0, 100.0)
    async def test_rate_limit_covers_all_streams(self, rate):
        bench = Bench(rate=rate, linger_ms=0)

        async def produce(stream):
            for number in range(400):
                await bench.submit(record(number), stream=stream)
                await bench.clock.sleep_ms(3)

        producers = [asyncio.create_task(produce(f's{n}')) for n in range(8)]
        await bench.clock.sleep_ms(1000)
        for task in producers:
            task.cancel()
        bound = rate + batching.BURST_APPENDS
        self.assertLessEqual(bench.log.append_calls, bound)
        self.assertGreater(bench.log.append_calls, rate * 0.8)

    async def test_full_queue_refuses_at_once(self):
        bench = Bench()
        bench.log.delay_ms = 500
        count = batching.MAX_QUEUE_RECORDS + 1
        tasks = [
            asyncio.create_task(
                bench.appender.submit(f's{n % 64}', record(n), CLAIM)
            )
            for n in range(count)
        ]
        await asyncio.sleep(0)
        last = await tasks[-1]
        self.assertIsInstance(last.result, results.AppendRefused)
        self.assertLessEqual(bench.appender.queued, batching.MAX_QUEUE_RECORDS)
        await asyncio.gather(*tasks)

    @ddt.data('lose_answers', 'late_appends')
    async def test_lost_answer_is_unknown_and_not_retried(self, fault):
        bench = Bench()
        setattr(bench.log, fault, 1)
        found = await bench.submit(record(1), record(2))
        await bench.clock.sleep_ms(10_000)
        for item in found:
            self.assertIsInstance(item.result, results.AppendUnknown)
        self.assertEqual(1, bench.log.append_calls)
        self.assertEqual([[1, 2]], numbers(bench.log, 's'))

    async def test_outage_refuses_at_once_and_probes_seldom(self):
        bench = Bench()
        bench.log.down = True
        slowest_ms = 0
        end_ms = bench.clock.monotonic_ms() + 60_000
        while bench.clock.monotonic_ms() < end_ms:
            began_ms = bench.clock.monotonic_ms()
            [found] = await bench.submit(record(1))
            taken_ms = bench.clock.monotonic_ms() - began_ms
            slowest_ms = max(slowest_ms, taken_ms)
            self.assertIsInstance(found.result, results.AppendRefused)
            await bench.clock.sleep_ms(5)
        self.assertLessEqual(slowest_ms, 50)
        self.assertLess(bench.log.append_calls, 100)

    async def test_rate_starts_low_after_an_outage(self):
        bench = Bench(linger_ms=0)
        bench.log.down = True
        for _ in range(200):
            await bench.submit(record(1))
            await bench.clock.sleep_ms(50)
        bench.log.down = False
        await bench.clock.sleep_ms(batching.MAX_BACKOFF_MS * 2)
        bench.log.append_calls = 0
        streams = [f's{number}' for number in range(200)]
        tasks = [
            asyncio.create_task(bench.submit(record(1), stream=stream))
            for stream in streams
        ]
        await bench.clock.sleep_ms(900)
        self.assertLess(bench.log.append_calls, 20)
        await asyncio.gather(*tasks)

    async def test_record_cancelled_before_sending_is_not_sent(self):
        bench = Bench(linger_ms=50)
        task = asyncio.create_task(bench.submit(record(1)))
        await bench.clock.sleep_ms(1)
        task.cancel()
        await bench.submit(record(2))
        self.assertEqual([[2]], numbers(bench.log, 's'))

    async def test_stop_refuses_queued_records(self):
        bench = Bench(linger_ms=500)
        task = asyncio.create_task(bench.submit(record(1)))
        await bench.clock.sleep_ms(1)
        await bench.appender.stop()
        [found] = await task
        self.assertIsInstance(found.result, results.AppendRefused)
        self.assertEqual(0, bench.log.append_calls)
