"""Tests of the permits to send to targets that limit their requests."""

import asyncio
import contextlib
import random

import attrs
import ddt
import msgpack

from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import peer_link
from sycamorebeam.forwarding import permit_issuer
from sycamorebeam.forwarding import send_permits
from sycamorebeam.forwarding import target_limits
from sycamorebeam.peering import messages
from tests import base
from tests.forwarding import build
from tests.forwarding import windows

TARGET = build.target('t')
KEY = ('t', 1)
LATENCY_S = 0.012


@attrs.define
class Stream:
    """Delivers messages to an exchange or a handler after a latency."""

    network: object
    sender: str
    receiver: str
    deliver: object

    def send(self, message):
        if self.network.reaches(self.sender, self.receiver):
            loop = asyncio.get_running_loop()
            loop.call_later(LATENCY_S, self.deliver, message)


class VirtualClock(build.LoopClock):
    """A clock whose wall time is some time after that of the loop."""

    def wall_ms(self):
        return self.monotonic_ms() + 1_000_000


class FakeLink:
    def __init__(self, links, receiver):
        self.links = links
        self.receiver = receiver
        self.exchanges = {}

    @contextlib.contextmanager
    def exchange(self):
        exchange = peer_link.Exchange(len(self.exchanges) + 1)
        self.exchanges[exchange.call_id] = exchange
        yield exchange

    def send(self, message):
        network = self.links.network
        peer = network.nodes[self.receiver]
        answers = Stream(network, self.receiver, self.links.name, self.answer)
        inbound = Inbound(answers, self.links.name)
        Stream(
            network,
            self.links.name,
            self.receiver,
            lambda sent: peer.links.handler(inbound, sent),
        ).send(message)

    def answer(self, message):
        self.exchanges[message.call_id].put(message)


@attrs.define
class Inbound:
    stream: Stream
    instance_id: str


class FakeLinks:
    """The links of one node; dialling an unreachable one marks it so."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.members = None
        self.handler = None
        self.links = {}

    def add_handler(self, handler):
        self.handler = handler

    @property
    def is_isolated(self):
        return len(self.network.nodes) > 1 and not any(
            self.network.reaches(self.name, other)
            for other in self.network.nodes
            if other != self.name
        )

    def is_stopping(self, instance_id):
        return instance_id in self.network.stopping

    async def connect(self, instance_id):
        await asyncio.sleep(2 * LATENCY_S)
        if not self.network.reaches(self.name, instance_id):
            self.members.mark_unreachable(instance_id)
            return None
        return self.links.setdefault(instance_id, FakeLink(self, instance_id))


@attrs.define
class Node:
    members: membership.Membership
    links: FakeLinks
    limits: target_limits.TargetLimits
    permits: send_permits.SendPermits


class Network:
    """Nodes with permits, and which of them reach each other."""

    def __init__(self, count):
        self.part_of = {f'i{n}': 0 for n in range(count)}
        self.down = set()
        self.stopping = set()
        self.nodes = {}
        for name in self.part_of:
            self.start(name)
        self.list_all()

    def start(self, name, started=0):
        """Start a node, or start it again without what it knew."""
        clock = VirtualClock()
        links = FakeLinks(self, name)
        entry = build.instance(name, started=started)
        members = membership.Membership(entry, clock)
        links.members = members
        limits = target_limits.TargetLimits()
        permits = send_permits.SendPermits(clock, members, links, limits)
        self.nodes[name] = Node(members, links, limits, permits)
        self.down.discard(name)

    def list_all(self):
        entries = [node.members.own_entry for node in self.nodes.values()]
        for node in self.nodes.values():
            node.members.replace(entries)

    def reaches(self, sender, receiver):
        if self.down & {sender, receiver}:
            return False
        return self.part_of[sender] == self.part_of[receiver]

    def join(self):
        """Let all nodes reach each other again."""
        self.part_of = dict.fromkeys(self.part_of, 0)
        for node in self.nodes.values():
            for name in self.nodes:
                node.members.mark_reachable(name)

    def issuers(self):
        """Return the nodes that rank first as issuers."""
        return self.nodes['i0'].members.ranked_instances('t')


class Target:
    """A target with a limit: records arrivals, and tells who asks."""

    def __init__(self, network, requests_per_s):
        self.network = network
        self.requests_per_s = requests_per_s
        self.arrivals_s = []

    async def send_forever(self, name, seed, mean_gap_s):
        """Send requests from one node, as often as it has permits."""
        loop = asyncio.get_running_loop()
        chance = random.Random(f'{seed} {name}')
        while True:
            await asyncio.sleep(chance.expovariate(1 / mean_gap_s))
            node = self.network.nodes[name]
            if name in self.network.down:
                continue
            if await node.permits.acquire(TARGET):
                self.arrivals_s.append(loop.time())
                now_ms = int(loop.time() * 1000)
                node.limits.record(KEY, self.requests_per_s, now_ms)


async def no_trouble(network):
    """The target's limit holds undisturbed."""


async def kill_issuers(network):
    for name in network.issuers()[:2]:
        network.down.add(name)
        await asyncio.sleep(3)


async def restart_issuers(network):
    for name in network.issuers()[:2] * 3:
        network.down.add(name)
        await asyncio.sleep(1)
        network.start(name, started=VirtualClock().wall_ms())
        network.list_all()
        for node in network.nodes.values():
            node.members.mark_reachable(name)


async def remove_issuers(network):
    for _ in range(2):
        network.stopping.add(network.issuers()[0])
        await asyncio.sleep(2)
        gone = network.stopping.pop()
        network.down.add(gone)
        for node in network.nodes.values():
            node.members.replace(
                entry.members.own_entry
                for name, entry in network.nodes.items()
                if name not in network.down
            )


async def split(network):
    for number, name in enumerate(network.issuers()):
        network.part_of[name] = number % 2
    await asyncio.sleep(12)
    network.join()


async def isolate_all(network):
    for number, name in enumerate(network.nodes):
        network.part_of[name] = number
    await asyncio.sleep(12)
    network.join()


@ddt.ddt
class SendPermitsTest(base.TestCase):
    async def run_fleet(self, count, requests_per_s, trouble):
        """Return the arrivals from a fleet that asks ten times too often."""
        network = Network(count)
        target = Target(network, requests_per_s)
        for node in network.nodes.values():
            node.limits.record(KEY, requests_per_s, 0)
        mean_gap_s = count / max(1.0, 10 * requests_per_s)
        senders = [
            asyncio.create_task(target.send_forever(name, 1, mean_gap_s))
            for name in network.nodes
        ]
        await asyncio.sleep(6)
        await trouble(network)
        await asyncio.sleep(15)
        for sender in senders:
            sender.cancel()
        return target.arrivals_s

    @ddt.data(
        *(
            (count, requests_per_s, trouble)
            for count in (2, 9, 60, 300)
            for requests_per_s in (0.0, 0.5, 1.3, 20.0)
            for trouble in (
                no_trouble,
                kill_issuers,
                restart_issuers,
                remove_issuers,
                split,
                isolate_all,
            )
        )
    )
    @ddt.unpack
    async def test_any_fleet_keeps_to_the_limit(
        self, count, requests_per_s, trouble
    ):
        arrivals_s = await self.run_fleet(count, requests_per_s, trouble)
        self.assertLessEqual(
            windows.largest(arrivals_s), windows.allowed_count(requests_per_s)
        )

    @ddt.data((2, 1.3), (9, 1.3), (9, 20.0), (60, 5.0))
    @ddt.unpack
    async def test_a_fleet_uses_what_issuers_issue(self, count, limit):
        arrivals_s = await self.run_fleet(count, limit, no_trouble)
        issued = 21 * limit * permit_issuer.FIRST_ISSUER_SHARE
        self.assertGreater(len(arrivals_s), 0.7 * issued)

    async def test_a_refused_instance_is_told_when_to_return(self):
        network = Network(2)
        _, second = network.issuers()
        for node in network.nodes.values():
            node.limits.record(KEY, 1.0, 0)
        node = network.nodes[second]
        self.assertFalse(await node.permits.acquire(TARGET))
        wait_ms = node.permits.wait_ms(TARGET)
        self.assertEqual(1_000, wait_ms)
        await asyncio.sleep((wait_ms + 1) / 1000)
        self.assertTrue(await node.permits.acquire(TARGET))

    async def test_a_changed_limit_holds_at_once(self):
        network = Network(3)
        arrivals_s = await self.changed(network, 20.0, 1.0)
        self.assertLessEqual(
            windows.largest([s for s in arrivals_s if s > 10.5]),
            windows.allowed_count(1.0),
        )

    async def test_a_raised_limit_is_used(self):
        network = Network(3)
        arrivals_s = await self.changed(network, 1.0, 20.0)
        self.assertGreater(len([s for s in arrivals_s if s > 12]), 50)

    async def changed(self, network, before, after):
        target = Target(network, before)
        for node in network.nodes.values():
            node.limits.record(KEY, before, 0)
        senders = [
            asyncio.create_task(target.send_forever(name, 1, 0.05))
            for name in network.nodes
        ]
        await asyncio.sleep(10)
        target.requests_per_s = after
        await asyncio.sleep(10)
        for sender in senders:
            sender.cancel()
        return target.arrivals_s

    async def test_a_target_without_a_limit_needs_no_permit(self):
        network = Network(3)
        node = network.nodes['i1']
        self.assertTrue(await node.permits.acquire(TARGET))
        node.limits.record(KEY, 1.0, 0)
        node.limits.record(KEY, model.UNLIMITED, 2_000)
        self.assertTrue(await node.permits.acquire(TARGET))
        self.assertEqual({}, node.links.links)

    async def test_an_issuer_that_knows_of_the_end_of_a_limit_allows_all(self):
        network = Network(2)
        first, second = network.issuers()
        network.nodes[first].limits.record(KEY, 1.0, 0)
        network.nodes[first].limits.record(KEY, model.UNLIMITED, 3_000)
        network.nodes[second].limits.record(KEY, 1.0, 0)
        await asyncio.sleep(4)
        for _ in range(20):
            self.assertTrue(
                await network.nodes[second].permits.acquire(TARGET)
            )

    async def test_an_instance_that_knows_no_other_yet_sends_nothing(self):
        clock = build.LoopClock()
        members = membership.Membership(build.instance('i0'), clock)
        limits = target_limits.TargetLimits()
        limits.record(KEY, 100.0, 0)
        permits = send_permits.SendPermits(
            clock, members, build.FakeLinks(), limits
        )
        self.assertFalse(await permits.acquire(TARGET))
        await asyncio.sleep(10)
        self.assertFalse(await permits.acquire(TARGET))

    def test_messages_keep_an_infinite_limit(self):
        message = messages.TargetLimitChanged('t', 1, model.UNLIMITED)
        packed = messages.pack(message)
        self.assertEqual(message, messages.unpack(msgpack.unpackb(packed)))
