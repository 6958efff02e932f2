"""Tests of placing the prompts of a region on one instance, over loopback."""

import asyncio
import contextlib
from unittest import mock

import attrs
import ddt

from sycamorebeam import clocks
from sycamorebeam.forwarding import peer_link
from sycamorebeam.forwarding import region_prompt_placer
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.cold_targets import cold_targets
from tests import base
from tests.forwarding import build
from tests.forwarding import loopback_nodes
from tests.forwarding import test_prompt_placing

prompt = test_prompt_placing.prompt


@attrs.define
class Node(loopback_nodes.Node):
    prompt_placer: region_prompt_placer.RegionPromptPlacer = None
    cold: cold_targets.ColdTargets = None
    directory: target_directory.TargetDirectory = attrs.field(
        factory=target_directory.TargetDirectory
    )


async def new_node(name, region, cold_bounds=None):
    node = await loopback_nodes.start_node(Node, name, region)
    node.cold = build.cold_targets(node.members, cold_bounds)
    node.directory.replace(
        [
            target_directory.TargetEntry(target.target_id, target)
            for target in test_prompt_placing.engines(4)
        ],
        0,
    )
    node.prompt_placer = region_prompt_placer.RegionPromptPlacer(
        clocks.Clock(),
        node.members,
        node.links,
        node.directory,
        target_choice.TargetChooser('a1', build.ZONES),
        node.cold,
    )
    return node


def add_engine(node, name, zone):
    target = build.target(name, zone)
    node.directory.update([target_directory.TargetEntry(name, target)], 0)


@contextlib.asynccontextmanager
async def fleet(*regions, cold_bounds=None):
    """Yield the nodes, with the placer of the first node's region first."""
    nodes = [
        await new_node(f'i{index}', region, cold_bounds)
        for index, region in enumerate(regions)
    ]
    async with loopback_nodes.connected(nodes):
        placer = nodes[0].members.placer('engine')
        nodes.sort(key=lambda node: node.name != placer)
        yield nodes


@ddt.ddt
class RegionPromptPlacerTest(base.NetworkTestCase):
    async def place(self, node, attempt_id, excluded=(), **fields):
        target = await node.prompt_placer.place(
            'engine', prompt(attempt_id, **fields), excluded
        )
        return target.target_id

    async def test_prompts_of_all_instances_are_placed_together(self):
        async with fleet(*['north'] * 3) as nodes:
            _, one, other = nodes
            warm = await self.place(one, 'r0', own=50_000)
            # Only the placer knows of the long queue there.
            self.assertNotEqual(warm, await self.place(other, 'r1'))

    @ddt.data('mark_read', 'remove')
    async def test_the_placer_is_notified_of_read_and_removed_prompts(
        self, event
    ):
        async with fleet(*['north'] * 3) as nodes:
            _, one, other = nodes
            warm = await self.place(one, 'r0', own=50_000)
            getattr(one.prompt_placer, event)('r0')
            await asyncio.sleep(0.05)
            self.assertEqual(warm, await self.place(other, 'r1'))

    async def test_each_region_has_a_placer(self):
        async with fleet('north', 'south', 'north') as nodes:
            south = next(
                n for n in nodes if n.members.own_entry.region == 'south'
            )
            self.assertEqual(south.name, south.members.placer('engine'))

    async def test_an_excluded_engine_gets_no_prompt(self):
        async with fleet(*['north'] * 2) as nodes:
            warm = await self.place(nodes[1], 'r0')
            chosen = await self.place(nodes[1], 'r0', excluded=[warm])
            self.assertNotEqual(warm, chosen)

    async def test_an_engine_that_the_requester_removed_gets_no_prompt(self):
        async with fleet(*['north'] * 2) as nodes:
            warm = await self.place(nodes[1], 'r0')
            nodes[1].prompt_placer.remove('r0')
            nodes[1].directory.update(
                [target_directory.TargetEntry(warm, None)], 0
            )
            self.assertNotEqual(warm, await self.place(nodes[1], 'r1'))

    @ddt.data('killed', 'mute', 'silent')
    async def test_an_instance_places_prompts_itself_without_the_placer(
        self, fault
    ):
        async with fleet(*['north'] * 2) as nodes:
            placer, requester = nodes
            if fault == 'killed':
                placer.kill()
            elif fault == 'mute':
                placer.links._handlers.clear()
            else:
                placer.links.accept = asyncio.Event().wait
            async with asyncio.timeout(1):
                names = {
                    await self.place(requester, f'r{number}', own=50_000)
                    for number in range(4)
                }
            # It keeps track of the prompts that it has placed itself.
            self.assertEqual(4, len(names))

    async def test_a_rejected_placement_is_removed_by_the_placer(self):
        """The requester has removed the engine that the placer returned."""
        async with fleet(*['north'] * 3) as nodes:
            _, one, other = nodes
            warm = await self.place(one, 'r0', own=50_000)
            one.prompt_placer.remove('r0')
            one.directory.update([target_directory.TargetEntry(warm, None)], 0)
            await self.place(one, 'r1', own=50_000)
            await asyncio.sleep(0.05)
            self.assertEqual(warm, await self.place(other, 'r2'))

    async def test_a_prompt_cancelled_meanwhile_is_removed_by_the_placer(self):
        """Guards against tokens counted for requests that have ended."""
        async with fleet(*['north'] * 3) as nodes:
            _, one, other = nodes
            warm = await self.place(one, 'r0', own=50_000)
            one.prompt_placer.remove('r0')
            never = mock.Mock(side_effect=lambda _: asyncio.Event().wait())
            with mock.patch.object(peer_link.Exchange, 'next', never):
                task = asyncio.create_task(self.place(one, 'r1', own=50_000))
                await asyncio.sleep(0.05)
                task.cancel()
                await asyncio.wait([task])
            one.prompt_placer.remove('r1')
            await asyncio.sleep(0.05)
            self.assertEqual(warm, await self.place(other, 'r2'))

    async def test_nothing_is_placed_without_engines(self):
        async with fleet(*['north'] * 2) as nodes:
            chosen = await nodes[1].prompt_placer.place('none', prompt(), ())
            self.assertIsNone(chosen)
