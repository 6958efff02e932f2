"""Tests that probes of one target are bounded and share a failure."""

import asyncio
import json

import ddt

from sycamorebeam import clocks
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import probes
from sycamorebeam.clients import reasons
from sycamorebeam.clients import results
from sycamorebeam.clients import watch
from tests import base

REPLICA = results.Replica('r1', 'group', '127.0.0.1:1', 'zone', 'region')
FAILURE = exchanges.HttpFailure(reasons.Reason.UNREACHABLE, sent=False)
PROBES = 20
REPLY_DELAY_MS = 1_000


class SlowHttp:
    """An HTTP client that answers each probe after a second."""

    clock = clocks.Clock()

    def __init__(self, state):
        self.state = state
        self.probes = 0
        self.open = 0
        self.max_open = 0

    async def fetch(self, exchange):
        self.probes += 1
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        await asyncio.sleep(REPLY_DELAY_MS / 1000)
        self.open -= 1
        if self.state is None:
            return FAILURE
        call_id = exchange.path.split('/')[-1]
        body = json.dumps({'id': call_id, 'state': self.state}).encode()
        return exchanges.HttpReply(200, body, False, False, None)


@ddt.ddt
class ProberTest(base.TestCase):
    """Twenty probes at once, on virtual time."""

    # name, state in the reply, result of each probe, probes sent, seconds
    @ddt.named_data(
        ['unreachable', None, watch.CallState.UNREACHABLE, 4, 1],
        ['running', 'running', watch.CallState.RUNNING, 20, 5],
        ['none', 'none', watch.CallState.NONE, 20, 5],
        ['other', 'asleep', watch.CallState.UNSUPPORTED, 20, 5],
    )
    async def test_probe(self, state, expected, probes_sent, took_s):
        http = SlowHttp(state)
        prober = probes.Prober(http)
        loop = asyncio.get_running_loop()
        for round_number in (1, 2):
            started_s = loop.time()
            pending_probes = [
                prober.probe(REPLICA, f'a{n}') for n in range(PROBES)
            ]
            states = await asyncio.gather(*pending_probes)
            self.assertEqual({expected}, set(states))
            self.assertEqual(probes_sent * round_number, http.probes)
            self.assertEqual(probes.MAX_PROBES_PER_TARGET, http.max_open)
            self.assertEqual(took_s, round(loop.time() - started_s))
