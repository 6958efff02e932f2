"""Tests when a call is taken to wait on a silent connection."""

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
# name, probe results (the last one repeats), when the call expires
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
    """Sequences of probe results, on virtual time."""

    @ddt.named_data(*PROBES)
    async def test_probes(self, script, expires_ms):
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        expired = []
        remaining = list(script)

        async def probe():
            return remaining.pop(0) if len(remaining) > 1 else remaining[0]

        def expire():
            expired.append(round((loop.time() - start_s) * 1000))

        call_watch = watch.CallWatch(clocks.Clock(), SETTINGS, probe, expire)
        await asyncio.sleep(30)
        call_watch.stop()
        self.assertEqual([expires_ms] if expires_ms else [], expired)
