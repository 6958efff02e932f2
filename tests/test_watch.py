"""When a call counts as waiting on a silent connection."""

import asyncio

import ddt

from sycamorebeam import clocks
from sycamorebeam.clients import watch
from tests import base

RUNNING = watch.CallState.RUNNING
NONE = watch.CallState.NONE
UNREACHABLE = watch.CallState.UNREACHABLE
UNSUPPORTED = watch.CallState.UNSUPPORTED
SETTINGS = watch.WatchSettings(
    first_probe_after_ms=1_000, initial_pause_ms=300, max_pause_ms=600
)
# What each probe says (the last one for ever), and when the call expires.
PROBES = [
    ['none_twice', [NONE], 1_300],
    ['running', [RUNNING], None],
    ['answer_on_its_way', [NONE, RUNNING], None],
    ['stops_running', [RUNNING, RUNNING, NONE], 2_500],
    ['unreachable', [UNREACHABLE], 1_900],
    ['reachable_again', [UNREACHABLE, UNREACHABLE, RUNNING], None],
    ['unsupported', [UNSUPPORTED, NONE], None],
]


@ddt.ddt
class CallWatchTest(base.TestCase):
    """Scripts of probes on virtual time."""

    @ddt.named_data(*PROBES)
    async def test_probes(self, script, expires_ms):
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        expired = []
        left = list(script)

        async def probe():
            return left.pop(0) if len(left) > 1 else left[0]

        def expire():
            expired.append(round((loop.time() - start_s) * 1000))

        calls = watch.CallWatch(clocks.Clock(), SETTINGS, probe, expire)
        await asyncio.sleep(30)
        calls.stop()
        self.assertEqual([expires_ms] if expires_ms else [], expired)
