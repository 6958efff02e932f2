"""Tests of the instance list's client with the stand-in of the list."""

import asyncio
import contextlib

import ddt

from sycamorebeam.clients import instances
from sycamorebeam.clients import reasons
from sycamorebeam.clients import results
from sycamorebeam.standins import platform_server
from tests import base
from tests import target_case


def item(item_id, state='live'):
    return {
        'id': item_id,
        'group': 'engines',
        'address': '127.0.0.1:1',
        'zone': 'z1',
        'region': 'r1',
        'state': state,
    }


@contextlib.asynccontextmanager
async def platform_list():
    served = await platform_server.start_platform()
    client = instances.new_instance_list_client(
        served.address, target_case.CLOCK
    )
    try:
        yield served.instances, client
    finally:
        await client.close()
        await served.close()


@ddt.ddt
class InstanceListTest(base.NetworkTestCase):
    """Reads, long polls and failures of the instance list."""

    async def test_reads_all(self):
        async with platform_list() as (served, client):
            served.put([item('e1'), item('e2', 'leaving')])
            page = await client.fetch()
            self.assertEqual(1, page.version)
            self.assertEqual(
                [('e1', False), ('e2', True)],
                [(each.id, each.leaving) for each in page.replicas],
            )
            self.assertIsInstance(page.replicas[0], results.Replica)

    @ddt.data(0, 100)
    async def test_waits_for_change(self, lag_ms):
        async with platform_list() as (served, client):
            served.put([item('e1')])
            served.lag_ms = lag_ms
            started_ms = target_case.CLOCK.monotonic_ms()
            call = asyncio.create_task(client.fetch(1, wait_ms=1_000))
            await asyncio.sleep(0.05)
            served.remove(['e1'])
            page = await call
            self.assertEqual((2, ()), (page.version, page.replicas))
            took_ms = target_case.CLOCK.monotonic_ms() - started_ms
            self.assertTrue(50 + lag_ms <= took_ms + 2 < 900, took_ms)

    async def test_wait_ends_without_change(self):
        async with platform_list() as (served, client):
            served.put([item('e1')])
            page = await client.fetch(1, wait_ms=50)
            self.assertEqual(1, page.version)

    async def test_unavailable(self):
        async with platform_list() as (served, client):
            served.down = True
            page = await client.fetch()
            self.assertEqual('status 503', page.reason)

    async def test_malformed(self):
        async with platform_list() as (served, client):
            served.put([{'id': 'e1'}])
            page = await client.fetch()
            self.assertEqual(
                instances.InstancesUnavailable(reasons.Reason.MALFORMED), page
            )
