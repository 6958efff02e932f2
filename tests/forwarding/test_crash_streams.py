"""Tests of sharing crashes of engines over loopback streams."""

import asyncio
import contextlib

import attrs
import ddt

from sycamorebeam import clocks
from sycamorebeam.forwarding import blocked_parts
from sycamorebeam.forwarding import crashing_prompts
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import target_crashes
from tests import base
from tests.forwarding import build
from tests.forwarding import loopback_nodes
from tests.forwarding import test_target_crashes

PART_IDS = ('system', 'bad')


@attrs.define
class Node(loopback_nodes.Node):
    prompts: crashing_prompts.CrashingPrompts = None

    def report_crash(self, number):
        """Report a prompt that was sent now and crashed an engine."""
        now_ms = clocks.Clock().monotonic_ms()
        self.prompts.record_broken(
            build.target(f'e{number}'),
            target_crashes.UnansweredPrompt(f'r{number}', PART_IDS, now_ms),
        )

    def blocks(self):
        return self.prompts.wait_ms(['bad']) > 0


async def new_node(name):
    node = await loopback_nodes.start_node(Node, name)
    clock = clocks.Clock()
    node.prompts = crashing_prompts.CrashingPrompts(
        clock,
        node.members,
        node.links,
        test_target_crashes.FakeClient(accepts=False),
        prometheus_metrics.Metrics(),
        blocked_parts.BlockKeeper(clock, node.members, build.FakeBlockStore()),
    )
    return node


@contextlib.asynccontextmanager
async def fleet(count, links):
    """Yield nodes with streams from some of them to others."""
    nodes = [await new_node(f'i{number}') for number in range(count)]
    async with loopback_nodes.connected(nodes):
        for one, other in links:
            await nodes[one].links.connect(f'i{other}')
        yield nodes


async def crash_three_engines(nodes):
    for number in range(3):
        nodes[number % len(nodes)].report_crash(number)
        await asyncio.sleep(0.1)


@ddt.ddt
class CrashStreamsTest(base.NetworkTestCase):
    @ddt.data(
        ('star', [(n, 0) for n in range(1, 5)]),
        ('ring', [(n, (n + 1) % 5) for n in range(5)]),
        ('line', [(n, n + 1) for n in range(4)]),
    )
    @ddt.unpack
    async def test_a_block_holds_at_all_connected_instances(self, _, links):
        async with fleet(5, links) as nodes:
            await crash_three_engines(nodes)
            self.assertEqual([True] * 5, [node.blocks() for node in nodes])

    async def test_instances_that_see_crashes_need_no_streams_before(self):
        async with fleet(3, []) as nodes:
            await crash_three_engines(nodes)
            nodes[0].report_crash(3)
            await asyncio.sleep(0.2)
            self.assertEqual([True] * 3, [node.blocks() for node in nodes])

    async def test_a_new_stream_begins_with_the_blocks_of_both_ends(self):
        async with fleet(4, [(0, 1)]) as nodes:
            await crash_three_engines(nodes[:1])
            for one, other in ((2, 0), (0, 3)):
                await nodes[one].links.connect(f'i{other}')
            await asyncio.sleep(0.1)
            self.assertEqual([True] * 4, [node.blocks() for node in nodes])

    async def test_answers_that_one_instance_saw_before_speak_for_a_part(
        self,
    ):
        async with fleet(5, [(n, 0) for n in range(1, 5)]) as nodes:
            nodes[4].prompts.record_survival(PART_IDS)
            await crash_three_engines(nodes[1:3])
            self.assertEqual([False] * 5, [node.blocks() for node in nodes])

    async def test_an_answered_prompt_ends_the_block_at_all_instances(self):
        async with fleet(4, [(n, 0) for n in range(1, 4)]) as nodes:
            await crash_three_engines(nodes)
            nodes[3].prompts.record_survival(PART_IDS)
            await asyncio.sleep(0.1)
            self.assertEqual([False] * 4, [node.blocks() for node in nodes])
