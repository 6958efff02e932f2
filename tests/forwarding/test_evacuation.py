"""Tests that targets in evacuated zones get no new work."""

import asyncio
from unittest import mock

import ddt

from sycamorebeam.forwarding import positions
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import upstream
from sycamorebeam.forwarding.evacuation import evacuated_zones
from sycamorebeam.forwarding.evacuation import zone_checks
from sycamorebeam.forwarding.evacuation import zone_records
from sycamorebeam.forwarding.placement import send_checks
from tests import base
from tests.forwarding import build
from tests.forwarding import processes
from tests.forwarding import standin
from tests.forwarding import test_processes
from tests.forwarding import test_shared_reads
from tests.forwarding import test_store_copies

TOPIC = 'keyed.op'


def read(position, zones, now_ms=0, era=0, is_whole=True):
    """Return a read of records; a zone after a minus has a removed one."""
    changes = zone_records.ZoneChanges(
        {zone.strip('-'): zone[0] != '-' for zone in zones.split()}, is_whole
    )
    return changes, positions.of(era, position), now_ms


FIRST = read(5, 'a')
COPY = read(3, '', era=1)


@ddt.ddt
class DecisionTest(base.TestCase):
    @ddt.data(
        ('a full read', 0, 'a', FIRST),
        ('a removal', 0, '', FIRST, read(6, '-a', is_whole=False)),
        ('a gap', 0, 'b', FIRST, read(9, 'b')),
        ('a reader behind', 0, 'a', FIRST, read(4, '')),
        ('an old change', 0, 'a', FIRST, read(5, '-a', is_whole=False)),
        ('a copy', 1_999, 'a', FIRST, COPY),
        ('a copy, later', 2_000, '', FIRST, COPY),
        ('a copy with the record', 9_000, 'a', FIRST, read(9, 'a', era=1)),
        ('a rewrite', 9_000, 'a', FIRST, COPY, read(4, 'a', 50, 1, False)),
        ('no rewrite', 100, '', FIRST, COPY, read(4, '-a', 50, 1, False)),
        ('a second copy', 3_000, 'a', FIRST, COPY, read(3, '', 1_500, 2)),
    )
    def test_zones_after_reads(self, case):
        """A lost or late record must not bring a zone back into use."""
        _, now_ms, expected, *reads = case
        zones = evacuated_zones.EvacuatedZones()
        for records in reads:
            zones.apply(*records)
        zones.expire(now_ms)
        self.assertEqual(set(expected), set(zones.reasons))

    async def test_a_zone_evacuated_during_a_wait_stops_the_send(self):
        """Placement, permits and connections take time after the choice."""
        directory = target_directory.TargetDirectory()
        target = build.target('t', 'a1')
        directory.replace([target_directory.TargetEntry('t', target)], 0)
        other = mock.Mock(run=mock.AsyncMock())
        calls = zone_checks.CheckedStageCalls(other, directory)
        await calls.run('x:1', 't', [])
        checks = send_checks.SendChecks(other, other, directory, other, other)
        for check in (
            other.run.call_args.args[-1],
            checks.new(mock.Mock(team=None, sends=0), target),
        ):
            directory.set_evacuated_zones(frozenset())
            check()
            directory.set_evacuated_zones(frozenset({'a1'}))
            self.assertRaises(upstream.NotSentError, check)
        self.assertIsNone(directory.get('t'))
        self.assertEqual([], directory.usable('engine'))


class FailureTest(base.NetworkTestCase):
    async def test_zones_reach_all_instances_whatever_they_ask(self):
        """From any position, after a change of the reader and a restore."""
        async with (
            test_store_copies.stand_in() as (store, platform),
            test_shared_reads.fleet(*['north'] * 3) as nodes,
        ):
            store.put(TOPIC, 'config', standin.desired_state(1, []))
            zones = [evacuated_zones.EvacuatedZones() for _ in nodes]
            newest = {}

            async def check(expected, *indices):
                for index in indices:
                    reads = nodes[index].reads
                    answer = await (
                        reads.wait_state(newest[index], 300)
                        if index in newest
                        else reads.read_state()
                    )
                    newest[index] = answer.position
                    zones[index].apply(answer.evacuations, answer.position, 0)
                    self.assertEqual(set(expected), set(zones[index].reasons))

            for node in nodes:
                node.reads._platform = platform
            await check('', 0, 1, 2)
            waits = asyncio.gather(*(check('a', i) for i in range(3)))
            await asyncio.sleep(0.05)
            store.put(TOPIC, 'evacuate/a', {})
            await asyncio.wait_for(waits, 0.2)
            zones[1] = evacuated_zones.EvacuatedZones()
            del newest[1]
            await check('a', 1)
            nodes[0].kill()
            store.put(TOPIC, 'evacuate/b', {})
            store.put(TOPIC, 'evacuate/a', None)
            await check('b', 2, 1, 0)
            store.restore_from_copy({TOPIC: 2})
            newest.clear()
            await check('ab', 1, 2, 0)

    async def test_a_zone_stays_evacuated_through_failures(self):
        """The store fails right after the record, all instances restart."""
        fleet = test_processes.ProcessesTest.fleet(self, 2)
        async with fleet as (platform, instances):
            await platform.add(standin.StandinTarget('d1', 'desk'))
            for target in platform.targets:
                target.zone = 'a2' if target.target_id[-1] == '1' else 'a1'
                platform.announce(target)
            await asyncio.sleep(1.5)

            async def is_a1_used(label):
                for target in platform.targets:
                    target.arrivals_s.clear()
                for n in range(12):
                    process = instances[n % 2]
                    response = await processes.send(process, f'{label}{n}')
                    self.assertEqual(200, response.status, response.body)
                return any(
                    t.arrivals_s for t in platform.targets if t.zone == 'a1'
                )

            self.assertTrue(await is_a1_used('before'))
            platform.store.put(TOPIC, 'evacuate/a1', {})
            # Results in the zone are freed meanwhile.
            await asyncio.sleep(1.5)
            platform.store.is_unavailable = True
            self.assertFalse(await is_a1_used('down'))
            platform.store.is_unavailable = False
            for process in instances:
                process.popen.kill()
                process.popen.wait()
            folder, address = self.make_temp_dir(), platform.store_address
            for n in range(2):
                instances[n] = processes.start(folder, f'i{n}', address)
            for process in instances:
                await process.wait_ready()
            self.assertFalse(await is_a1_used('restarted'))
