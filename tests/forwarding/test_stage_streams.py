"""Tests of stage requests between instances, over loopback."""

import asyncio
import contextlib
import random
from unittest import mock

import attrs
import ddt

from sycamorebeam import clocks
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import stage_streams
from sycamorebeam.forwarding import stages
from sycamorebeam.peering import messages
from sycamorebeam.peering import peer_stream
from tests import base
from tests.forwarding import build
from tests.forwarding import loopback_nodes
from tests.forwarding import test_stage_owner


class FakeOwner:
    """Completes requests after a delay, and records all calls."""

    def __init__(self):
        self.submitted = []
        self.freed = []
        self.cancelled = 0
        self.announced = []
        self.withdrawn = []
        self.refusal = None
        self.delay_ms = 20
        self.outcome = None

    def submit(self, request):
        self.submitted.append(request)
        future = asyncio.get_running_loop().create_future()
        future.add_done_callback(self.count_cancelled)
        asyncio.get_running_loop().call_later(
            self.delay_ms / 1_000, self.complete, future, request
        )
        return future

    def complete(self, future, request):
        if not future.done():
            default = stages.Results(
                tuple(
                    f'{request.work.attempt_id}.{n}' for n in request.positions
                )
            )
            future.set_result(self.outcome or default)

    def count_cancelled(self, future):
        self.cancelled += future.cancelled()

    def announce(self, announcement):
        self.announced.append(announcement)
        return self.refusal

    def withdraw(self, service, attempt_id, stage):
        self.withdrawn.append((service, attempt_id, stage))

    def free(self, service, results):
        self.freed.extend(results)


@attrs.define
class Node(loopback_nodes.Node):
    fake_owner: FakeOwner = attrs.field(factory=FakeOwner)
    streams: stage_streams.StageStreams = None


async def new_node(name):
    node = await loopback_nodes.start_node(Node, name)
    node.streams = stage_streams.StageStreams(
        node.members, node.fake_owner, node.links
    )
    return node


@contextlib.asynccontextmanager
async def fleet(count):
    nodes = [await new_node(f'i{n}') for n in range(count)]
    async with loopback_nodes.connected(nodes):
        yield nodes


def in_owner_order(nodes):
    """Return the nodes in their order as owners, the first owner first."""
    for sender in nodes:
        ranked = sender.members.owners('desk')
        if len(ranked) == len(nodes):
            by_name = {node.name: node for node in nodes}
            return [by_name[name] for name in ranked]
    raise AssertionError('no node lists all nodes as owners')


def request(name='r', **fields):
    return test_stage_owner.stage_request(name, 2, **fields)


@ddt.ddt
class StageStreamsTest(base.NetworkTestCase):
    async def test_all_instances_submit_to_the_same_owner(self):
        async with fleet(4) as nodes:
            outcomes = await asyncio.gather(
                *(node.streams.produce(request(node.name)) for node in nodes)
            )
            owner = in_owner_order(nodes)[0]
            self.assertEqual(4, len(owner.fake_owner.submitted))
            for node, outcome in zip(nodes, outcomes, strict=True):
                self.assertEqual(
                    (f'{node.name}.0', f'{node.name}.1'), outcome.results
                )

    async def test_a_request_arrives_as_it_was_sent(self):
        async with fleet(2) as nodes:
            owner, sender = in_owner_order(nodes)
            sent = request(
                work=stages.Work('r', 2, 'k', True, ('x', 'y')),
                positions=(5,),
                zone='b1',
                input_bytes=7.0,
            )
            await sender.streams.produce(sent)
            self.assertEqual([sent], owner.fake_owner.submitted)

    @ddt.data(None, stages.Failure(stages.FailureReason.OVERLOADED, 750.0))
    async def test_an_announcement_arrives_as_it_was_sent(self, refusal):
        async with fleet(2) as nodes:
            for sender in nodes:
                owner = in_owner_order(nodes)[0]
                owner.fake_owner.refusal = refusal
                sent = build.announcement(sender.name, stage=2)
                self.assertEqual(refusal, await sender.streams.announce(sent))
                self.assertEqual(sent, owner.fake_owner.announced[-1])
                sender.streams.withdraw('desk', sender.name, 2)
                await asyncio.sleep(0.05)
                self.assertEqual(
                    ('desk', sender.name, 2), owner.fake_owner.withdrawn[-1]
                )

    async def test_an_announcement_does_not_wait_for_a_silent_owner(self):
        async with fleet(2) as nodes:
            owner, sender = in_owner_order(nodes)
            owner.links._handlers.clear()
            limit_ms = stage_streams.QUEUED_TIMEOUT_MS + 100
            async with asyncio.timeout(limit_ms / 1_000):
                refusal = await sender.streams.announce(
                    build.announcement('r')
                )
            self.assertIsNone(refusal)

    async def test_a_failure_is_passed_on(self):
        async with fleet(2) as nodes:
            owner, sender = in_owner_order(nodes)
            failure = stages.Failure(stages.FailureReason.OVERLOADED, 750.0)
            owner.fake_owner.outcome = failure
            self.assertEqual(failure, await sender.streams.produce(request()))

    async def test_cancelling_a_request_cancels_it_at_the_owner(self):
        async with fleet(2) as nodes:
            owner, sender = in_owner_order(nodes)
            owner.fake_owner.delay_ms = 5_000
            task = asyncio.create_task(sender.streams.produce(request()))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(0.1)
            self.assertEqual(1, owner.fake_owner.cancelled)

    async def test_results_are_freed_by_the_owner(self):
        async with fleet(2) as nodes:
            owner, sender = in_owner_order(nodes)
            await sender.streams.produce(request())
            sender.streams.free('desk', ['x'])
            await asyncio.sleep(0.1)
            self.assertEqual(['x'], owner.fake_owner.freed)

    @ddt.data('killed before', 'killed midway', 'silent', 'mute')
    async def test_the_next_owner_takes_over(self, fault):
        async with fleet(3) as nodes:
            owner, following, sender = in_owner_order(nodes)
            if fault == 'killed before':
                owner.kill()
            elif fault == 'killed midway':
                owner.fake_owner.delay_ms = 10_000
                asyncio.get_running_loop().call_later(0.2, owner.kill)
            elif fault == 'mute':
                # It answers pings, but ignores submitted items.
                owner.links._handlers.clear()
            else:
                # It accepts connections and reads, but never answers.
                owner.links.accept = asyncio.Event().wait
            async with asyncio.timeout(2):
                outcome = await sender.streams.produce(request())
            self.assertEqual(('r.0', 'r.1'), outcome.results)
            self.assertEqual(1, len(following.fake_owner.submitted))

    async def test_a_lost_owner_is_used_again_after_it_reconnects(self):
        async with fleet(3) as nodes:
            owner, _, sender = in_owner_order(nodes)
            accept = owner.links.accept
            owner.links.accept = asyncio.Event().wait
            await sender.streams.produce(request('r0'))
            self.assertEqual([], owner.fake_owner.submitted)
            owner.links.accept = accept
            async with asyncio.timeout(3):
                while not owner.fake_owner.submitted:
                    await asyncio.sleep(0.1)
                    await sender.streams.produce(request('r1'))

    async def test_the_handshake_detects_a_restarted_owner(self):
        """The instance list still has the entry from before the restart."""
        async with fleet(3) as nodes:
            owner, following, sender = in_owner_order(nodes)
            clock = clocks.Clock()
            owner.members._own_entry = attrs.evolve(
                owner.members.own_entry, started_wall_ms=clock.wall_ms()
            )
            await sender.streams.produce(request())
            self.assertEqual([], owner.fake_owner.submitted)
            self.assertEqual(1, len(following.fake_owner.submitted))

    async def test_the_own_queue_serves_when_all_others_are_gone(self):
        async with fleet(3) as nodes:
            first, second, sender = in_owner_order(nodes)
            first.kill()
            second.kill()
            outcome = await sender.streams.produce(request())
            self.assertEqual(('r.0', 'r.1'), outcome.results)
            self.assertEqual(1, len(sender.fake_owner.submitted))

    async def test_a_stopping_owner_gets_no_new_requests(self):
        async with fleet(3) as nodes:
            owner, following, sender = in_owner_order(nodes)
            await sender.streams.produce(request('r0'))
            owner.members.begin_leaving()
            owner.links.announce_stopping()
            await asyncio.sleep(0.1)
            await sender.streams.produce(request('r1'))
            self.assertEqual(1, len(owner.fake_owner.submitted))
            self.assertEqual(1, len(following.fake_owner.submitted))
            self.assertEqual(
                following.name, owner.streams._choose_owner('desk')
            )

    async def test_requests_returned_by_a_stopping_owner_are_resent(self):
        async with fleet(3) as nodes:
            owner, following, sender = in_owner_order(nodes)
            owner.fake_owner.outcome = stages.Failure(
                stages.FailureReason.OWNER_LOST, 0.0
            )
            owner.fake_owner.delay_ms = 100

            def stop():
                owner.members.begin_leaving()
                owner.links.announce_stopping()

            asyncio.get_running_loop().call_later(0.05, stop)
            outcome = await sender.streams.produce(request())
            self.assertEqual(('r.0', 'r.1'), outcome.results)
            self.assertEqual(1, len(following.fake_owner.submitted))

    @ddt.data((0, False), (1, False), (2, True))
    @ddt.unpack
    async def test_an_instance_detects_its_isolation(
        self, killed, is_isolated
    ):
        async with fleet(3) as nodes:
            *others, sender = in_owner_order(nodes)
            await sender.streams.produce(request('r0'))
            for node in others[:killed]:
                node.kill()
            await sender.streams.produce(request('r1'))
            await asyncio.sleep(peer_links.ISOLATED_AFTER_MS / 1_000 + 0.1)
            self.assertEqual(is_isolated, sender.streams.is_isolated)

    async def test_an_instance_that_receives_requests_is_not_isolated(self):
        async with fleet(3) as nodes:
            owner, other, sender = in_owner_order(nodes)
            other.kill()
            owner.members.mark_unreachable(other.name)
            await sender.streams.produce(request('r0'))
            await asyncio.sleep(peer_links.ISOLATED_AFTER_MS / 1_000 + 0.1)
            self.assertFalse(owner.streams.is_isolated)

    @ddt.data(
        (True, peer_stream.MAX_QUEUED_MESSAGES, False),
        (False, peer_stream.MAX_QUEUED_MESSAGES_RELIABLE, True),
    )
    @ddt.unpack
    async def test_a_full_stream_drops_or_closes(
        self, may_drop, places, is_closed
    ):
        """Stage results are sent only once, so they must not be dropped."""
        writer = mock.Mock()
        full = peer_stream.PeerStream(None, writer, may_drop=may_drop)
        for _ in range(places):
            full.send(messages.Stopping())
        self.assertFalse(writer.transport.abort.called)
        full.send(messages.Stopping())
        self.assertEqual(is_closed, writer.transport.abort.called)

    @ddt.data(1, 2, 3)
    async def test_garbage_on_the_port_is_ignored(self, seed):
        generator = random.Random(seed)
        async with fleet(2) as nodes:
            owner, sender = in_owner_order(nodes)
            host, port = owner.members.own_entry.address.split(':')
            for _ in range(20):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(generator.randbytes(200))
                writer.close()
            outcome = await sender.streams.produce(request())
            self.assertEqual(('r.0', 'r.1'), outcome.results)
