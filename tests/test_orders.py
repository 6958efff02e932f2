"""Tests of orders to engines, their state and their cache events."""

import asyncio

import ddt
import testtools

from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam.clients import orders
from sycamorebeam.clients import reasons
from sycamorebeam.clients import results
from tests import base
from tests import target_case

LOADED_STATE = orders.EngineState(
    role='generate', models={'summary': '2'}, adapters=(), fence=7
)
# Name, fault, whether the engine checks fencing, and the result of a second
# order: with fence 8 after fence 7 if there is a fault, else with fence 6.
SECOND_ORDERS = [
    ['checks', None, True, orders.OrderFenced(7)],
    ['ignores', None, False, orders.OrderDone],
    ['errors', 'errors', True, results.TargetMaybeRun],
    ['hangs', 'hang', True, results.TargetMaybeRun],
    ['drops', 'drop', True, results.TargetMaybeRun],
    ['refuses', 'refuse', True, results.TargetNotRun],
    ['wrong_id', 'wrong_id', True, results.TargetMaybeRun],
]


def load_order(order_id, fence, kind='load_model', name='summary'):
    return orders.EngineOrder(
        id=order_id, fence=fence, kind=kind, name=name, version='2'
    )


@ddt.ddt
class OrdersTest(base.NetworkTestCase):
    """Orders to the stand-in of an engine."""

    async def order(self, fixture, order):
        deadline = clocks.deadline_in(target_case.CLOCK, 200)
        client = fixture.client.orders
        return await client.order(fixture.replica, order, deadline)

    @ddt.named_data(*SECOND_ORDERS)
    async def test_second_order(self, fault, checks, expected):
        async with target_case.target_fixture(
            target_case.ENGINE, checks_fencing=checks
        ) as fixture:
            first = await self.order(fixture, load_order('o1', 7))
            self.assertEqual(7 if checks else 0, first.state.fence)
            self.assertEqual(LOADED_STATE.models, first.state.models)
            fence = 6
            if fault:
                setattr(fixture.faults, fault, 1)
                fence = 8
            result = await self.order(fixture, load_order('o2', fence))
            if isinstance(expected, type):
                self.assertIsInstance(result, expected, result)
            else:
                self.assertEqual(expected, result)
            self.assertLessEqual(len(fixture.runs.of_id('o2')), 1)

    async def test_before_send_error_sends_nothing(self):
        def fail():
            raise errors.LeaseError('lost', 'nothing was sent')

        async with target_case.target_fixture(target_case.ENGINE) as fixture:
            deadline = clocks.deadline_in(target_case.CLOCK, 200)
            client = fixture.client.orders
            with testtools.ExpectedException(errors.LeaseError):
                await client.order(
                    fixture.replica, load_order('o1', 7), deadline, fail
                )
            self.assertEqual([], fixture.runs.of_id('o1'))
            state = await client.state(fixture.replica)
            self.assertEqual({}, state.models)

    async def test_repeated_order_has_same_result(self):
        steps = ['load_model', 'load_adapter', 'set_role', 'unload']
        async with target_case.target_fixture(target_case.ENGINE) as fixture:
            for fence, kind in enumerate(steps):
                order = load_order(kind, fence, kind, 'summary')
                first = await self.order(fixture, order)
                second = await self.order(fixture, order)
                self.assertEqual(first, second)
            state = await fixture.client.orders.state(fixture.replica)
            self.assertEqual(first.state, state)
            self.assertEqual(('summary', {}), (state.role, state.models))

    async def test_unavailable(self):
        async with target_case.target_fixture(target_case.ENGINE) as fixture:
            await fixture.server.close()
            expected = orders.StateUnavailable(reasons.Reason.UNREACHABLE)
            client = fixture.client.orders
            self.assertEqual(expected, await client.state(fixture.replica))
            self.assertEqual(
                expected, await client.cache_events(fixture.replica, 0)
            )

    async def test_cache_events_are_late_and_have_gaps(self):
        async with target_case.target_fixture(
            target_case.ENGINE, cached_prefixes=2, cache_events_lag_ms=150
        ) as fixture:
            client = fixture.client.orders
            await fixture.call('a1')
            early = await client.cache_events(fixture.replica, 0)
            self.assertEqual(orders.CachePage(0, (), gap=False), early)
            fixture.faults.lose_cache_events = 1
            for number in range(2, 5):
                await fixture.call(f'a{number}')
            await asyncio.sleep(0.2)
            result = await client.cache_events(fixture.replica, early.next)
            self.assertEqual(6, result.next)
            kinds = [(event.seq, event.stored) for event in result.events]
            self.assertTrue(result.gap)
            self.assertEqual(
                [(0, True), (2, True), (3, False), (4, True), (5, False)],
                kinds,
            )
