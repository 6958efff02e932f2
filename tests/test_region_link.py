"""Tests of the region link: its weighting and its byte budget."""

import asyncio

import attrs
import ddt

from sycamorebeam import catalogue
from sycamorebeam.controllers import region_link
from tests import base
from tests import build
from tests import fake_targets

ATTAINMENT = catalogue.Weighting.ATTAINMENT
COST = catalogue.Weighting.COST


@attrs.define
class View:
    catalogue: catalogue.Catalogue


def new_link(view, share=0.5):
    return region_link.RegionLink(view, build.CLOCK, share)


class CountedEntries(dict):
    searches = 0

    def __iter__(self):
        self.searches += 1
        return super().__iter__()


def entries(*weightings):
    return CountedEntries(
        (
            f'limit/{number}',
            catalogue.Versioned(
                0,
                catalogue.SharedLimit(
                    owner='ops',
                    service_class=catalogue.ServiceClass.NORMAL,
                    limits=catalogue.Limits(),
                    resource='region_link',
                    weighting=weighting,
                ),
            ),
        )
        for number, weighting in enumerate(weightings)
    )


@ddt.ddt
class WeightingTest(base.TestCase):
    @ddt.data(
        ('no_limit', [], ATTAINMENT),
        ('cost', [COST], COST),
        ('first_by_name', [ATTAINMENT, COST], ATTAINMENT),
    )
    @ddt.unpack
    def test_reads_the_first_limit(self, _, weightings, expected):
        view = View(catalogue.Catalogue(0, entries(*weightings)))
        self.assertIs(expected, new_link(view).weighting)

    def test_searches_each_catalogue_once(self):
        first, second = entries(COST), entries(ATTAINMENT)
        view = View(catalogue.Catalogue(0, first))
        link = new_link(view)
        self.assertEqual([COST, COST], [link.weighting, link.weighting])
        self.assertEqual(1, first.searches)
        view.catalogue = catalogue.Catalogue(1, second)
        self.assertIs(ATTAINMENT, link.weighting)

    def test_a_limit_on_another_resource_is_ignored(self):
        limits = entries(ATTAINMENT, COST)
        first = limits['limit/0']
        store = attrs.evolve(first.entry, resource='weight_store')
        limits['limit/0'] = attrs.evolve(first, entry=store)
        view = View(catalogue.Catalogue(0, limits))
        self.assertIs(COST, new_link(view).weighting)


def limited(bytes_per_s, weighting=ATTAINMENT):
    return catalogue.SharedLimit(
        owner='ops',
        service_class=build.NORMAL,
        limits=catalogue.Limits(bytes_per_s=bytes_per_s),
        resource='region_link',
        weighting=weighting,
    )


@ddt.ddt
class BudgetTest(base.TestCase):
    async def test_an_overdrawn_budget_has_no_room_until_refilled(self):
        link = new_link(build.view({'limit/link': limited(1_000)}))
        self.assertTrue(link.has_room)
        link.charge(2_000)
        self.assertFalse(link.has_room)
        await asyncio.sleep(1.9)
        self.assertFalse(link.has_room)
        await asyncio.sleep(0.2)
        self.assertTrue(link.has_room)

    async def test_without_a_limit_there_is_always_room(self):
        link = new_link(build.view({}))
        link.charge(10**12)
        self.assertTrue(link.has_room)

    @ddt.data(
        ('one_near', ['a1', 'b1', 'b1'], 0.1),
        ('none_near', ['b1', 'b1'], 1.0),
    )
    @ddt.unpack
    async def test_traffic_keeps_to_the_share(self, _, zones, most):
        """Each call moves 300 bytes; the share allows 10 of 300 calls."""
        replicas = [
            build.replica(f'pool-{n}', 'pool', zone, f'127.0.0.1:{n}')
            for n, zone in enumerate(zones)
        ]
        catalogue_entries = dict(build.ENTRIES)
        catalogue_entries['limit/link'] = limited(1_000)
        catalogue_entries['pipeline/one'] = build.pipeline(
            build.stage('encode', 'pool')
        )
        link = new_link(build.view(catalogue_entries))
        registry = build.new_target_registry(replicas)

        def on_bytes(address, sent_bytes, received_bytes):
            if registry.is_in_other_region(address):
                link.charge(sent_bytes + received_bytes)

        client = fake_targets.FakeTargets(on_bytes=on_bytes)
        runner = build.new_runner(
            client, catalogue_entries, registry, link=link
        )
        crossed = 0
        for _ in range(300):
            answer = await runner.run(build.request('one', catalogue_entries))
            crossed += answer.usage.region_bytes > 0
            await asyncio.sleep(0.01)
        self.assertLessEqual(crossed, 300 * most)
        self.assertGreater(crossed, 0)
