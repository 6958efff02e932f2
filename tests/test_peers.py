"""Tests of the peer overlay over in-memory connections."""

import asyncio
import random

import async_solipsism
import ddt
import msgpack

from sycamorebeam.controllers import peers
from sycamorebeam.peering import messages
from tests import base
from tests import build

SECRET = b'shared'


class FixedSource:
    def __init__(self, offset):
        self.offset = offset

    def offset_and_digest(self):
        return self.offset, b'digest-%d' % self.offset

    def pack_state(self, above=-1):
        return b'state-%d' % self.offset


class Node:
    def __init__(self, number, secret=SECRET, offset=0):
        self.id = f'entry-{number}'
        self.leaving = []
        self.source = FixedSource(offset)
        self.peers = peers.Peers(
            self.id,
            secret,
            build.CLOCK,
            self.leaving.append,
            random.Random(number),
        )
        self.peers.set_catalogue_source(self.source)
        self.address = f'127.0.0.1:{7000 + number}'
        self.tasks = []

    async def start(self, nodes):
        replicas = {
            node.id: build.replica(node.id, 'entry', peer_address=node.address)
            for node in nodes
        }
        self.peers.set_instance_source(lambda: replicas)
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(
            self.peers.accept, host, int(port)
        )
        self.tasks = [
            asyncio.create_task(self.peers.dial_forever()),
            asyncio.create_task(self.peers.ping_forever()),
        ]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()
        await asyncio.wait(self.tasks)


async def start_nodes(count, **fields):
    nodes = [Node(number, **fields) for number in range(count)]
    for node in nodes:
        await node.start(nodes)
    await asyncio.sleep(5)
    return nodes


async def stop_nodes(nodes):
    for node in nodes:
        await node.stop()


@ddt.ddt
class PeersTest(base.TestCase):
    def new_loop(self):
        return async_solipsism.EventLoop()

    @ddt.data(3, 9, 30)
    async def test_a_leaving_target_is_known_to_all_in_three_seconds(
        self, count
    ):
        nodes = await start_nodes(count)
        nodes[0].peers.broadcast_leaving('engine-7')
        await asyncio.sleep(3)
        for node in nodes[1:]:
            self.assertEqual(['engine-7'], node.leaving)
        await stop_nodes(nodes)

    async def test_the_number_of_streams_is_bounded(self):
        nodes = [Node(number) for number in range(30)]
        for node in nodes:
            await node.start(nodes[:1])
        await asyncio.sleep(5)
        streams = len(nodes[0].peers.connected)
        self.assertEqual(peers.MAX_STREAMS, streams)
        await stop_nodes(nodes)

    async def test_a_peer_with_a_different_secret_is_refused(self):
        nodes = await start_nodes(3)
        intruder = Node(9, secret=b'other')
        await intruder.start([*nodes, intruder])
        await asyncio.sleep(5)
        self.assertEqual([], intruder.peers.connected)
        for node in nodes:
            self.assertNotIn(intruder.id, node.peers.connected)
        await stop_nodes([*nodes, intruder])

    async def test_the_highest_catalogue_is_found_and_fetched(self):
        nodes = await start_nodes(3)
        nodes[2].source.offset = 41
        nodes[2].peers.broadcast_offset()
        await asyncio.sleep(0.1)
        highest = nodes[0].peers.highest_offset()
        self.assertEqual(('entry-2', 41), (highest.peer_id, highest.offset))
        answer = await nodes[0].peers.fetch_state('entry-2', 40)
        self.assertEqual((41, b'state-41'), (answer.offset, answer.state))
        self.assertIsNone(await nodes[0].peers.fetch_state('entry-1', 40))
        await stop_nodes(nodes)

    async def test_a_silent_stream_is_dropped(self):
        nodes = await start_nodes(2)
        nodes[1].tasks[1].cancel()
        nodes[1].tasks[0].cancel()
        await asyncio.sleep(14)
        self.assertEqual(['entry-1'], nodes[0].peers.connected)
        nodes[0].tasks[0].cancel()
        await asyncio.sleep(10)
        self.assertEqual([], nodes[0].peers.connected)
        await stop_nodes(nodes)


@ddt.ddt
class MessagesTest(base.TestCase):
    @ddt.data(
        messages.Hello('entry-1', b'nonce'),
        messages.Ping(3, b'digest'),
        messages.TargetsLeaving('n1', ['engine-1']),
        messages.FetchCatalogue(1, 2),
        messages.CatalogueState(1, 2, b'state'),
    )
    def test_round_trip_ignores_later_fields(self, message):
        item = msgpack.unpackb(messages.pack(message))
        self.assertEqual(message, messages.unpack([*item, 'later field']))

    def test_unknown_types_are_skipped(self):
        self.assertIsNone(messages.unpack(['later', 9, 1]))

    @ddt.data('text', [], ['ping'], ['ping', 1, 2])
    def test_malformed(self, item):
        self.assertRaises(ValueError, messages.unpack, item)
