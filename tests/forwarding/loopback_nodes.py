"""Instances in one process that are connected over loopback."""

import asyncio
import contextlib

import attrs

from sycamorebeam import clocks
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import peer_links


@attrs.define
class Node:
    """An instance, with its view of the others and its links to them."""

    members: membership.Membership
    links: peer_links.PeerLinks
    server: asyncio.Server = None
    connections: list = attrs.field(factory=list)

    @property
    def name(self):
        return self.members.own_entry.instance_id

    async def accept(self, reader, writer):
        self.connections.append(writer)
        await self.links.accept(reader, writer)

    def kill(self):
        self.server.close()
        for writer in self.connections:
            writer.transport.abort()


async def start_node(node_class, name, region='north'):
    """Return a listening node; the caller sets its remaining fields."""
    node = None

    async def accept(reader, writer):
        await node.accept(reader, writer)

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    own = membership.InstanceEntry(
        name, f'127.0.0.1:{port}', region, True, 0, 0
    )
    clock = clocks.Clock()
    members = membership.Membership(own, clock)
    node = node_class(members, peer_links.PeerLinks(clock, members), server)
    return node


@contextlib.asynccontextmanager
async def connected(nodes):
    """Make all nodes known to each other; kill them afterwards."""
    for node in nodes:
        node.members.replace([other.members.own_entry for other in nodes])
    try:
        yield nodes
    finally:
        for node in nodes:
            node.kill()
        await asyncio.sleep(0)
