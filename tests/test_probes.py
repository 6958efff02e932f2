"""Questions to one target stay few, and one failure speaks for many."""

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
ASKED = 20
TAKES_MS = 1_000


class SlowHttp:
    """Answers each question after a second with a fixed reply."""

    clock = clocks.Clock()

    def __init__(self, state):
        self.state = state
        self.asked = 0
        self.open = 0
        self.most = 0

    async def fetch(self, exchange):
        self.asked += 1
        self.open += 1
        self.most = max(self.most, self.open)
        await asyncio.sleep(TAKES_MS / 1000)
        self.open -= 1
        if self.state is None:
            return FAILURE
        call_id = exchange.path.split('/')[-1]
        body = json.dumps({'id': call_id, 'state': self.state}).encode()
        return exchanges.HttpReply(200, body, False, False, None)


@ddt.ddt
class ProberTest(base.TestCase):
    """Twenty calls ask at once, on virtual time."""

    # what the target says, what each call learns, questions, seconds
    @ddt.named_data(
        ['unreachable', None, watch.CallState.UNREACHABLE, 4, 1],
        ['running', 'running', watch.CallState.RUNNING, 20, 5],
        ['none', 'none', watch.CallState.NONE, 20, 5],
        ['other', 'asleep', watch.CallState.UNSUPPORTED, 20, 5],
    )
    async def test_ask(self, says, expected, asked, took_s):
        http = SlowHttp(says)
        prober = probes.Prober(http)
        loop = asyncio.get_running_loop()
        for round_number in (1, 2):
            started_s = loop.time()
            asks = [prober.probe(REPLICA, f'a{n}') for n in range(ASKED)]
            found = await asyncio.gather(*asks)
            self.assertEqual({expected}, set(found))
            self.assertEqual(asked * round_number, http.asked)
            self.assertEqual(probes.MAX_PROBES_PER_TARGET, http.most)
            self.assertEqual(took_s, round(loop.time() - started_s))
