"""News of targets that leave, among instances over loopback."""

import asyncio
import contextlib

import attrs
import ddt

from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_feedback
from sycamorebeam.peering import messages
from tests import base
from tests.forwarding import build
from tests.forwarding import loopback_nodes

LEAVING = model.Feedback(is_leaving=True)


@attrs.define
class Node(loopback_nodes.Node):
    listed: target_directory.TargetDirectory = attrs.field(factory=target_directory.TargetDirectory)
    feedback_handler: target_feedback.FeedbackHandler = None


@contextlib.asynccontextmanager
async def star(count):
    """Yield a node in the middle that the others have streams with."""
    nodes = []
    for number in range(count):
        node = await loopback_nodes.start_node(Node, f'i{number}')
        node.feedback_handler = target_feedback.FeedbackHandler(node.listed, node.links)
        node.listed.update([target_directory.TargetEntry('t', build.target('t'))], 0)
        nodes.append(node)
    async with loopback_nodes.connected(nodes):
        middle, *others = nodes
        for node in others:
            await node.links.connect(middle.name)
        yield nodes


@ddt.ddt
class NewsTest(base.NetworkTestCase):
    @ddt.data(0, 1)
    async def test_all_hear_of_a_target_that_leaves(self, witness):
        async with star(5) as nodes:
            nodes[witness].feedback_handler.handle(build.target('t'), LEAVING)
            await asyncio.sleep(0.1)
            left = [node.listed.usable('engine') for node in nodes]
            self.assertEqual([[]] * 5, left)

    async def test_news_is_told_once(self):
        async with star(3) as nodes:
            told = []
            nodes[2].links.add_broadcast_handler(told.append)
            for _ in range(3):
                nodes[0].feedback_handler.handle(build.target('t'), LEAVING)
                nodes[1].feedback_handler.handle(build.target('t'), LEAVING)
            await asyncio.sleep(0.1)
            told = [
                item
                for item in told
                if isinstance(item, messages.TargetLeaving)
            ]
            self.assertEqual(1, len(told))

    async def test_a_rest_is_bounded(self):
        async with star(1) as (node,):
            rest_ms = node.feedback_handler.handle(
                build.target('t'), model.Feedback(backoff_ms=1e12)
            )
            self.assertEqual(target_feedback.MAX_BACKOFF_MS, rest_ms)


@ddt.ddt
class LeavingLifeTest(base.TestCase):
    def listed(self, *targets):
        found = target_directory.TargetDirectory()
        found.replace(
            [
                target_directory.TargetEntry(item.target_id, item)
                for item in targets
            ],
            0,
        )
        return found

    @ddt.data((1, 1, False), (2, 1, True), (1, 2, False))
    @ddt.unpack
    def test_a_later_life_is_not_leaving(self, lives, leaving, is_usable):
        found = self.listed(build.target('t', incarnation=lives))
        self.assertTrue(found.mark_leaving('t', leaving))
        self.assertFalse(found.mark_leaving('t', leaving))
        self.assertEqual(is_usable, found.get('t') is not None)
        self.assertEqual(is_usable, bool(found.usable('engine')))

    def test_a_mark_outlives_the_entry(self):
        """An entry lapses and comes back while the store is troubled."""
        target = build.target('t')
        found = self.listed(target)
        found.mark_leaving('t', 1)
        found.update([target_directory.TargetEntry('t', None)], 0)
        found.update([target_directory.TargetEntry('t', target)], 0)
        self.assertIsNone(found.get('t'))

    def test_marks_are_bounded(self):
        found = self.listed(build.target('t'))
        found.mark_leaving('t', 1)
        for number in range(target_directory.MAX_INCARNATIONS_KEPT):
            found.mark_leaving(f'u{number}', 1)
        self.assertIsNotNone(found.get('t'))
