"""Checks random histories of orders to engines by the model's rules."""

import asyncio
import random

import ddt

from sycamorebeam.clients import orders
from tests import base
from tests import model_rules
from tests import order_bench

SEEDS = 30
STEPS = 12
ENGINES = 2
LONGEST_STEP_S = 20
LONGEST_PAUSE_MS = 60_000
SETTLE_S = 180


class History:
    """Two instances that manage the same engines, under random faults.

    ``trace`` gets an event for each order that an engine carried out. An
    engine loses its fence in a restart and then counts as another engine.
    """

    def __init__(self, seed, checks_fences):
        self.trace = []
        self._random = random.Random(seed)
        self._holder_by_order = {}
        self._restart_counts = {}
        engines = [
            order_bench.FakeEngine(f'e{number}', checks_fences, load_ms=300)
            for number in range(ENGINES)
        ]
        self.bench = order_bench.Bench(engines, seed=seed)
        for engine in engines:
            self._record_orders(engine)

    async def run(self):
        members = [self.bench.member(name) for name in ('a', 'b')]
        for member in members:
            self._record_sender(member)
        version = '1'
        for step in range(STEPS):
            version = str(1 + step // 3)
            self.bench.publish(version)
            self._inject_fault(self._random.choice(members))
            await asyncio.sleep(self._random.uniform(1, LONGEST_STEP_S))
        await asyncio.sleep(SETTLE_S)
        is_as_wanted = self.bench.is_as_wanted(version)
        await self.bench.stop()
        return is_as_wanted

    def _inject_fault(self, member):
        log = self.bench.log
        pause_ms = self._random.uniform(0, LONGEST_PAUSE_MS)
        match self._random.randrange(6):
            case 0:
                member.client.pause_ms = pause_ms
            case 1:
                member.client.pause_after_ms = pause_ms
            case 2:
                log.lose_answers = self._random.randrange(1, 4)
            case 3:
                log.late_appends = self._random.randrange(1, 4)
                log.late_by_ms = 5_000
            case 4:
                engine = self._random.choice(self.bench.engines)
                engine.restart()
                self._restart_counts[engine.replica.id] = (
                    self._restart_count(engine) + 1
                )
            case 5:
                self._random.choice(self.bench.engines).unanswered = 1

    def _restart_count(self, engine):
        return self._restart_counts.get(engine.replica.id, 0)

    def _record_sender(self, member):
        send = member.client.order

        async def order(replica, sent, deadline, before_send=None):
            self._holder_by_order[sent.id] = member.name
            return await send(replica, sent, deadline, before_send)

        member.client.order = order

    def _record_orders(self, engine):
        execute = engine.execute

        def recorded(order):
            result = execute(order)
            if isinstance(result, orders.OrderDone):
                name = f'{engine.replica.id}.{self._restart_count(engine)}'
                holder = self._holder_by_order[order.id]
                event = model_rules.OrderExecuted(name, order.fence, holder)
                self.trace.append(event)
            return result

        engine.execute = recorded


@ddt.ddt
class OrderTraceTest(base.TestCase):
    @ddt.data(*range(SEEDS))
    async def test_an_engine_that_checks_fences_runs_no_stale_order(
        self, seed
    ):
        history = History(seed, checks_fences=True)
        is_as_wanted = await history.run()
        self.assertEqual([], list(model_rules.broken_rules(history.trace)))
        self.assertGreater(len(history.trace), 2 * ENGINES)
        self.assertTrue(is_as_wanted, f'seed {seed} did not settle')

    @ddt.data(*range(SEEDS))
    async def test_an_engine_that_ignores_fences_ends_as_wanted(self, seed):
        history = History(seed, checks_fences=False)
        self.assertTrue(await history.run(), f'seed {seed} did not settle')

    async def test_the_rules_detect_a_lower_fence(self):
        broken = set()
        for seed in range(SEEDS):
            history = History(seed, checks_fences=False)
            await history.run()
            broken.update(model_rules.broken_rules(history.trace))
        self.assertIn('fence_never_lower', broken)
