"""Seeded random histories of claims under random faults.

``CLAIM_HISTORIES`` sets the number of histories, ``CLAIM_SEED`` the first
seed. A history that violates an invariant is reported with its seed.
"""

import asyncio
import os
import random

import async_solipsism
from loguru import logger
import testtools

from sycamorebeam import settings
from tests import claim_bench
from tests import test_claim_faults

HISTORIES = int(os.environ.get('CLAIM_HISTORIES', '2000'))
FIRST_SEED = int(os.environ.get('CLAIM_SEED', '1'))
INSTANCES = 'abc'
MAX_KEYS = 3
MAX_ATTEMPTS = 5
FEW_KEYS = 2
FAULT_SHARE = 0.08
MAX_DEADLINE_MS = 5_000
WINDOW_MS = 20_000
BOUNDS = settings.Bounds(max_deadline_ms=MAX_DEADLINE_MS)


class History:
    """One random history, determined by its seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        has_few_keys = self.random.random() < 0.2
        self.bench = claim_bench.Bench(
            seed, FEW_KEYS if has_few_keys else 1_000
        )
        self.bench.log.delay_ms = self.random.choice((0, 1, 12))
        self.instances = [self._instance(name) for name in INSTANCES]

    async def run(self):
        callers = [
            self._caller(number)
            for number in range(self.random.randint(1, MAX_KEYS))
        ]
        outages = asyncio.create_task(self._inject_outages())
        await asyncio.gather(*callers)
        outages.cancel()
        log = self.bench.log
        log.down = log.hang = log.write_down = False
        await self.bench.clock.sleep_ms(WINDOW_MS)
        return self.bench.violations()

    def _instance(self, name):
        return self.bench.instance(
            name,
            dict(self._faults()),
            claim_window_ms=WINDOW_MS,
            bounds=BOUNDS,
        )

    def _faults(self):
        for step in (*test_claim_faults.STEPS, 'before_abandon', 'answer'):
            if self.random.random() < FAULT_SHARE:
                fault = self.random.choice(
                    (
                        test_claim_faults.die,
                        self._pause,
                        self._lose_answer,
                        self._delay_append,
                    )
                )
                yield step, lambda it, fault=fault: fault(self.bench.log, it)

    def _pause(self, log, process):
        process.pause(self.random.choice((100, 3_000, 20_000, 60_000)))

    def _lose_answer(self, log, process):
        log.lose_answers += 1

    def _delay_append(self, log, process):
        log.late_appends += 1
        log.late_by_ms = self.random.choice((0, 800, 5_000, 40_000))

    async def _inject_outages(self):
        """Cause outages and truncations of the log at random."""
        log = self.bench.log
        while True:
            await self.bench.clock.sleep_ms(self.random.randint(100, 20_000))
            switch = self.random.choice(('down', 'hang', 'write_down', 'cut'))
            if switch == 'cut':
                size = len(log.streams.get('claims.0', []))
                oldest = log.oldest.get('claims.0', 0)
                log.truncate('claims.0', self.random.randint(oldest, size))
                continue
            setattr(log, switch, True)
            outage_ms = self.random.choice((50, 1_500, 8_000))
            await self.bench.clock.sleep_ms(outage_ms)
            setattr(log, switch, False)

    async def _caller(self, number):
        """Send up to MAX_ATTEMPTS attempts with one key, one at a time."""
        await self.bench.clock.sleep_ms(self.random.randint(0, 5_000))
        now_ms = self.bench.clock.monotonic_ms()
        skew_ms = self.random.choice((-3_000, 0, 0, 3_000, 3_000, 900_000))
        key = f'key-{number}'
        if self.random.random() < 0.5:
            key = claim_bench.uuid7(max(0, now_ms + skew_ms), number)
        for attempt in range(self.random.randint(1, MAX_ATTEMPTS)):
            reply = await self.bench.ask(
                self.random.choice(self.instances),
                key,
                first=attempt == 0 and self.random.random() < 0.7,
                deadline_ms=self.random.choice((50, 1_000, MAX_DEADLINE_MS)),
            )
            if reply.outcome == 'completed' and self.random.random() < 0.7:
                return
            wait_ms = self.random.choice((1, 500, 5_000, WINDOW_MS))
            await self.bench.clock.sleep_ms(wait_ms)


def run_history(seed):
    async def run():
        return await History(seed).run()

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(run())


class HistoryTest(testtools.TestCase):
    def test_random_histories_violate_no_invariant(self):
        logger.disable('sycamorebeam')
        self.addCleanup(logger.enable, 'sycamorebeam')
        for seed in range(FIRST_SEED, FIRST_SEED + HISTORIES):
            violations = run_history(seed)
            self.assertEqual([], violations, f'CLAIM_SEED={seed}')
