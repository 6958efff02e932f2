"""Tests of keeping blocks of prompt parts in the store."""

import asyncio

import ddt

from sycamorebeam.forwarding import blocked_parts
from sycamorebeam.forwarding import membership
from tests import base
from tests.forwarding import build
from tests.forwarding import test_send_permits

INSTANCES = [build.instance(f'i{n}') for n in range(5)]


def stored(part_id='p', left_ms=5_000):
    """Return a block that ends some time after the loop's time 0."""
    start_ms = test_send_permits.VirtualClock().wall_ms()
    return blocked_parts.StoredBlock(part_id, start_ms + left_ms, 30_000)


@ddt.ddt
class BlockKeeperTest(base.TestCase):
    def new_keeper(self, store, own=INSTANCES[0]):
        clock = test_send_permits.VirtualClock()
        members = membership.Membership(own, clock)
        members.replace(INSTANCES)
        return blocked_parts.BlockKeeper(clock, members, store)

    async def load(self, store):
        loaded = []
        await self.new_keeper(store).load(lambda *row: loaded.append(row))
        return loaded

    @ddt.data(('running', 5_000, 5_000), ('ended', -10_000, 0))
    @ddt.unpack
    async def test_blocks_are_loaded_with_the_time_left(
        self, _, left_ms, expected_ms
    ):
        store = build.FakeBlockStore()
        store.blocks['p'] = stored(left_ms=left_ms)
        self.assertEqual([('p', expected_ms, 30_000)], await self.load(store))

    async def test_an_unavailable_store_is_read_later(self):
        store = build.FakeBlockStore()
        store.blocks['p'] = stored(left_ms=50_000)
        store.is_unavailable = True
        loading = asyncio.create_task(self.load(store))
        await asyncio.sleep(7)
        store.is_unavailable = False
        self.assertEqual('p', (await loading)[0][0])

    async def test_a_block_without_prompts_for_long_is_removed(self):
        store = build.FakeBlockStore()
        left_ms = -blocked_parts.FORGOTTEN_AFTER_MS - 1
        for n in range(20):
            store.blocks[f'p{n}'] = stored(f'p{n}', left_ms)
        self.assertEqual([], await self.load(store))
        await asyncio.sleep(1)
        self.assertLess(len(store.blocks), 20)

    async def test_two_instances_write_each_block_and_its_end(self):
        store = build.FakeBlockStore()
        keepers = [self.new_keeper(store, own) for own in INSTANCES]
        expected = stored(left_ms=4_000)
        for keeper in keepers:
            keeper.save('p', 4_000, 30_000)
        await asyncio.sleep(1)
        self.assertEqual(blocked_parts.WRITERS, store.writes)
        self.assertEqual({'p': expected}, store.blocks)
        for keeper in keepers:
            keeper.remove('p')
        await asyncio.sleep(1)
        self.assertEqual({}, store.blocks)

    @ddt.data((3, True), (60, False))
    @ddt.unpack
    async def test_failed_writes_are_repeated_a_few_times(
        self, outage_s, is_written
    ):
        store = build.FakeBlockStore()
        store.is_unavailable = True
        for own in INSTANCES:
            self.new_keeper(store, own).save('p', 4_000, 30_000)
        await asyncio.sleep(outage_s)
        store.is_unavailable = False
        await asyncio.sleep(10)
        self.assertEqual(is_written, 'p' in store.blocks)
