"""Tests of the feedback of targets, shared by instances over loopback."""

import asyncio
import contextlib

import attrs
import ddt

from sycamorebeam import clocks
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_feedback
from sycamorebeam.forwarding import target_limits
from sycamorebeam.peering import messages
from tests import base
from tests.forwarding import build
from tests.forwarding import loopback_nodes

LEAVING = model.Feedback(is_leaving=True)


@attrs.define
class Node(loopback_nodes.Node):
    directory: target_directory.TargetDirectory = attrs.field(
        factory=target_directory.TargetDirectory
    )
    feedback_handler: target_feedback.FeedbackHandler = None


@contextlib.asynccontextmanager
async def star(count):
    """Yield nodes, of which the first is connected with all others."""
    nodes = []
    for number in range(count):
        node = await loopback_nodes.start_node(Node, f'i{number}')
        node.feedback_handler = target_feedback.FeedbackHandler(
            clocks.Clock(),
            node.directory,
            target_limits.TargetLimits(),
            node.links,
            build.cold_targets(node.members),
        )
        node.directory.update(
            [target_directory.TargetEntry('t', build.target('t'))], 0
        )
        nodes.append(node)
    async with loopback_nodes.connected(nodes):
        center, *others = nodes
        for node in others:
            await node.links.connect(center.name)
        yield nodes


@ddt.ddt
class FeedbackTest(base.NetworkTestCase):
    @ddt.data(0, 1)
    async def test_a_leaving_target_is_known_to_all_instances(self, receiver):
        async with star(5) as nodes:
            nodes[receiver].feedback_handler.handle(build.target('t'), LEAVING)
            await asyncio.sleep(0.1)
            usable = [node.directory.usable('engine') for node in nodes]
            self.assertEqual([[]] * 5, usable)

    async def test_a_leaving_target_is_broadcast_once(self):
        async with star(3) as nodes:
            received = []
            nodes[2].links.add_broadcast_handler(received.append)
            for _ in range(3):
                nodes[0].feedback_handler.handle(build.target('t'), LEAVING)
                nodes[1].feedback_handler.handle(build.target('t'), LEAVING)
            await asyncio.sleep(0.1)
            received = [
                item
                for item in received
                if isinstance(item, messages.TargetLeaving)
            ]
            self.assertEqual(1, len(received))

    async def test_a_backoff_is_bounded(self):
        async with star(1) as (node,):
            backoff_ms = node.feedback_handler.handle(
                build.target('t'), model.Feedback(backoff_ms=1e12)
            )
            self.assertEqual(target_feedback.MAX_BACKOFF_MS, backoff_ms)


@ddt.ddt
class LeavingIncarnationTest(base.TestCase):
    def directory_of(self, *targets):
        subject = target_directory.TargetDirectory()
        subject.replace(
            [
                target_directory.TargetEntry(item.target_id, item)
                for item in targets
            ],
            0,
        )
        return subject

    @ddt.data((1, 1, False), (2, 1, True), (1, 2, False))
    @ddt.unpack
    def test_a_later_incarnation_is_not_leaving(
        self, incarnation, leaving, is_usable
    ):
        subject = self.directory_of(build.target('t', incarnation=incarnation))
        self.assertTrue(subject.mark_leaving('t', leaving))
        self.assertFalse(subject.mark_leaving('t', leaving))
        self.assertEqual(is_usable, subject.get('t') is not None)
        self.assertEqual(is_usable, bool(subject.usable('engine')))

    def test_a_target_is_leaving_after_its_entry_lapsed(self):
        """An entry may lapse and be written again during a store outage."""
        target = build.target('t')
        subject = self.directory_of(target)
        subject.mark_leaving('t', 1)
        subject.update([target_directory.TargetEntry('t', None)], 0)
        subject.update([target_directory.TargetEntry('t', target)], 0)
        self.assertIsNone(subject.get('t'))

    def test_the_number_of_leaving_incarnations_is_bounded(self):
        subject = self.directory_of(build.target('t'))
        subject.mark_leaving('t', 1)
        for number in range(target_directory.MAX_INCARNATIONS_KEPT):
            subject.mark_leaving(f'u{number}', 1)
        self.assertIsNotNone(subject.get('t'))
