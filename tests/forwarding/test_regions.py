"""Tests that requests stay within the regions that may serve them."""

import json

import ddt

from sycamorebeam.forwarding import stage_queue
from sycamorebeam.forwarding import stage_replica
from sycamorebeam.forwarding.regions import region_filter
from sycamorebeam.platform import desired_state
from tests import base
from tests.forwarding import build
from tests.forwarding import test_platform_formats
from tests.forwarding import test_prompt_streams

NORTH = frozenset({'north'})
SOUTH = frozenset({'south'})
BOTH = NORTH | SOUTH


@ddt.ddt
class RegionsTest(base.TestCase):
    @ddt.data(
        (None, None, ['n', 's', 'x']),
        (BOTH, None, ['n', 's']),
        (BOTH, SOUTH, ['s']),
        (None, NORTH, ['n']),
        (NORTH, SOUTH, []),
    )
    @ddt.unpack
    def test_both_the_route_and_the_team_restrict(self, route, team, expected):
        """A target that only one of the two allows must not be used."""
        allowed = region_filter.of_request(
            build.route(allowed_regions=route),
            build.team(allowed_regions=team),
        )
        targets = [
            build.target(name, zone)
            for name, zone in (('n', 'a1'), ('s', 'b1'), ('x', 'unknown'))
        ]
        left = region_filter.only_allowed(targets, allowed, build.ZONES)
        self.assertEqual(expected, [target.target_id for target in left])

    @ddt.data(({}, None), ([], None), (['south'], SOUTH))
    @ddt.unpack
    def test_the_desired_state_names_regions(self, names, expected):
        item = {'allowed_regions': names} if names != {} else {}
        body = test_platform_formats.STATE
        state = desired_state.decode(
            json.dumps(
                {
                    **body,
                    'routes': [{**body['routes'][0], **item}],
                    'tenants': [{**body['tenants'][0], **item}],
                }
            ).encode()
        )
        self.assertEqual(expected, state.routes[0].allowed_regions)
        self.assertEqual(expected, state.team_of_key['k1'].allowed_regions)

    @ddt.data(('a1', [2]), ('b1', [1, 2]))
    @ddt.unpack
    def test_items_run_in_allowed_zones_only(self, zone, expected):
        """Free replicas elsewhere must not take the items of a group."""
        queue = stage_queue.StageQueue(build.batching())
        fleet = [stage_replica.Replica('t', zone)]
        others = [*fleet, stage_replica.Replica('u', 'b1')]
        allowed = region_filter.zones(SOUTH, build.ZONES)
        queue.submit(build.group(1, allowed_zones=allowed), others, 0)
        queue.submit(build.group(2), others, 0)
        items = queue.next_call(fleet[0], fleet, 0)
        self.assertEqual(expected, [item.group.group_id for item in items])

    def test_groups_without_an_allowed_replica_are_rejected(self):
        queue = stage_queue.StageQueue(build.batching())
        fleet = [stage_replica.Replica('t', 'a1')]
        group = build.group(1, allowed_zones=frozenset({'b1'}))
        self.assertIsInstance(
            queue.submit(group, fleet, 0), stage_queue.Rejected
        )


class RegionPlacingTest(base.NetworkTestCase):
    async def test_the_placer_of_an_allowed_region_places_a_prompt(self):
        """A prompt must not be placed on an engine of the caller's region."""
        async with test_prompt_streams.fleet('north', 'south') as nodes:
            for node in nodes:
                test_prompt_streams.add_engine(node, 'far', 'b1')
            for number in range(3):
                target = await nodes[0].prompt_placer.place(
                    'engine',
                    test_prompt_streams.prompt(
                        f'r{number}', allowed_regions=SOUTH
                    ),
                    (),
                )
                self.assertEqual('far', target.target_id)
