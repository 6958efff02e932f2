"""Tests that the number of open cancels is bounded."""

import asyncio

from sycamorebeam import clocks
from sycamorebeam.clients import cancels
from sycamorebeam.clients import results
from tests import base

REPLICA = results.Replica('r1', 'group', '127.0.0.1:1', 'zone', 'region')


class SlowHttp:
    """An HTTP client that takes a second per exchange and counts open ones."""

    clock = clocks.Clock()

    def __init__(self):
        self.open = 0
        self.max_open = 0
        self.paths = []

    async def fetch(self, exchange):
        self.paths.append((exchange.method, exchange.path))
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        await asyncio.sleep(1)
        self.open -= 1


class CancellerTest(base.TestCase):
    """Counts the cancels that are open at once."""

    async def test_bounds_open_cancels(self):
        http = SlowHttp()
        canceller = cancels.Canceller(http)
        for number in range(cancels.MAX_OPEN_CANCELS + 10):
            canceller.cancel(REPLICA, f'/v1/calls/a{number}')
        await asyncio.sleep(0.5)
        self.assertEqual(cancels.MAX_OPEN_CANCELS, http.max_open)
        self.assertEqual(10, canceller.dropped)
        self.assertEqual(('DELETE', '/v1/calls/a0'), http.paths[0])
        await canceller.close()
        self.assertEqual(0, http.open)
        canceller.cancel(REPLICA, '/v1/calls/last')
        await canceller.close()
        self.assertEqual(('DELETE', '/v1/calls/last'), http.paths[-1])
