"""Tests of telling a crashed target from one that broke off an answer."""

import asyncio

import ddt
from loguru import logger

from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import target_crashes
from tests import base
from tests.forwarding import build


class FakeClient:
    def __init__(self, accepts):
        self.accepts = accepts
        self.checks = 0

    async def accepts_connections(self, address):
        self.checks += 1
        await asyncio.sleep(0.01)
        return self.accepts


def prompt(name):
    return target_crashes.UnansweredPrompt(name, ('shared', f'own-{name}'), 0)


@ddt.ddt
class CrashDetectorTest(base.TestCase):
    def new_detector(self, client):
        self.lines = []
        sink = logger.add(lambda line: self.lines.append(line.record))
        self.addCleanup(logger.remove, sink)
        self.reported = []
        self.metrics = prometheus_metrics.Metrics()
        return target_crashes.CrashDetector(
            client,
            self.metrics,
            lambda target, prompts: self.reported.append(len(prompts)),
        )

    @ddt.data(('crashed', False, 1), ('broke off', True, 0))
    @ddt.unpack
    async def test_a_crash_is_logged_with_the_unanswered_prompts(
        self, _, accepts, crashes
    ):
        client = FakeClient(accepts)
        detector = self.new_detector(client)
        for name in ('r1', 'r2'):
            detector.record_broken(build.target('e0'), prompt(name))
        await asyncio.sleep(0.1)
        self.assertEqual(1, client.checks)
        logged = [
            line['extra']['fields']['prompts']
            for line in self.lines
            if line['message'] == 'target_crashed'
        ]
        self.assertEqual(
            ['r1:shared,own-r1 r2:shared,own-r2'][:crashes], logged
        )
        self.assertEqual([2][:crashes], self.reported)
        self.assertIn(
            f'sycamorebeam_target_crashes_total {crashes:.1f}',
            self.metrics.render().decode(),
        )
