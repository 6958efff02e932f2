"""Finds entries that never match and limits that contradict each other.

Each check is a pure function over the parsed configuration.
"""

from collections.abc import Iterator
import math

from sycamorebeam import checking
from sycamorebeam.configuration_check import configuration
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import routing
from sycamorebeam.forwarding import stage_forecast
from sycamorebeam.forwarding.regions import region_filter

Findings = Iterator[configuration.Finding]


def check(
    parsed: configuration.Configuration,
    surroundings: configuration.Surroundings,
) -> list[configuration.Finding]:
    """Return all findings."""
    return [
        *_unmatched_routes(parsed),
        *_missing_services(parsed),
        *_listed_twice(parsed),
        *_regions_without_zone(parsed, surroundings),
        *_no_common_region(parsed),
        *_route_times(parsed),
        *_splits(parsed),
        *_slow_stages(parsed),
        *_cold_services(parsed),
        *_body_limit(parsed, surroundings),
    ]


def _unmatched_routes(parsed: configuration.Configuration) -> Findings:
    state = model.DesiredState(
        version=0,
        routes=tuple(parsed.routes.values()),
        services={},
        team_of_key={},
        has_teams=False,
    )
    table = routing.RouteTable(state)
    for index, route in parsed.routes.items():
        matched = table.find(route.host, route.path_prefix)
        if matched is route:
            continue
        if matched is None or matched.path_prefix != route.path_prefix:
            found = 'a prefix that no path begins with'
        else:
            found = f'host and prefix of the earlier route {matched.name}'
        yield configuration.Finding(
            'unmatched_route',
            ('routes', index, 'path_prefix'),
            found,
            'remove the route or change its prefix',
        )


def _missing_services(parsed: configuration.Configuration) -> Findings:
    for index, route in parsed.routes.items():
        named: list[tuple[checking.Path, str]] = [
            (('split', position), weighted.service)
            for position, weighted in enumerate(route.split)
        ]
        named += [
            (('stages', position), stage.service)
            for position, stage in enumerate(route.stages)
        ]
        for path, service in named:
            if service not in parsed.service_names:
                yield configuration.Finding(
                    'missing_service',
                    ('routes', index, *path, 'service'),
                    f'{checking.show(service)}, a service without an entry',
                    'add the service or name one that exists',
                )


def _listed_twice(parsed: configuration.Configuration) -> Findings:
    services: dict[str, int] = {}
    for index, service in parsed.services.items():
        first = services.setdefault(service.name, index)
        if first != index:
            yield configuration.Finding(
                'service_twice',
                ('services', index, 'name'),
                f'the name of entry {first}, which this one replaces',
                'remove one of the two',
            )
    names: dict[str, int] = {}
    keys: dict[str, str] = {}
    for index, listed in parsed.teams.items():
        first = names.setdefault(listed.team.name, index)
        if first != index:
            yield configuration.Finding(
                'team_twice',
                ('teams', index, 'name'),
                f'the name of entry {first}',
                'join the two entries or rename one',
            )
        for position, key in enumerate(listed.keys):
            if key in keys:
                yield configuration.Finding(
                    'key_twice',
                    ('teams', index, 'keys', position),
                    f'a key listed before, at {keys[key]}',
                    'remove one of the two',
                )
            keys.setdefault(key, f'entry {index}, key {position}')


def _regions_without_zone(
    parsed: configuration.Configuration,
    surroundings: configuration.Surroundings,
) -> Findings:
    regions = surroundings.region_of_zone
    if regions is None:
        return
    restricted: list[tuple[checking.Path, region_filter.AllowedRegions]] = [
        (('routes', index), route.allowed_regions)
        for index, route in parsed.routes.items()
    ]
    restricted += [
        (('teams', index), listed.team.allowed_regions)
        for index, listed in parsed.teams.items()
    ]
    for path, allowed in restricted:
        if allowed is not None and not region_filter.zones(allowed, regions):
            yield configuration.Finding(
                'regions_without_zone',
                (*path, 'allowed_regions'),
                f'{", ".join(sorted(allowed))}, without any zone',
                'name a region that has zones',
            )


def _no_common_region(parsed: configuration.Configuration) -> Findings:
    if not parsed.teams or not parsed.has_all_teams:
        return
    for index, route in parsed.routes.items():
        # Callers of a public route need not belong to a team.
        if route.is_public or route.allowed_regions is None:
            continue
        allowed = [
            region_filter.of_request(route, listed.team)
            for listed in parsed.teams.values()
        ]
        if not any(allowed):
            yield configuration.Finding(
                'no_common_region',
                ('routes', index, 'allowed_regions'),
                'no region in common with any team',
                'allow a region that a team of its callers allows',
            )


def _route_times(parsed: configuration.Configuration) -> Findings:
    for index, route in parsed.routes.items():
        timeout, objective = route.timeout_ms, route.latency_objective_ms
        if timeout < objective:
            yield configuration.Finding(
                'timeout_below_objective',
                ('routes', index, 'timeout_ms'),
                f'{timeout:g} ms, below the objective of {objective:g} ms',
                'raise the timeout or lower the objective',
            )
        elif objective > 0 and route.max_attempts * objective > timeout:
            fitting = math.floor(timeout / objective)
            if route.max_attempts > fitting:
                yield configuration.Finding(
                    'attempts_above_timeout',
                    ('routes', index, 'max_attempts'),
                    f'{route.max_attempts}; {timeout:g} ms hold {fitting} '
                    f'at the objective of {objective:g} ms',
                    f'allow at most {fitting}, or raise the timeout',
                )


def _splits(parsed: configuration.Configuration) -> Findings:
    for index, route in parsed.routes.items():
        total = sum(weighted.weight for weighted in route.split)
        if total <= 0:
            yield configuration.Finding(
                'empty_split',
                ('routes', index, 'split'),
                f'weights with the sum {total:g}',
                'give at least one service a weight above 0',
            )


def _slow_stages(parsed: configuration.Configuration) -> Findings:
    services = {each.name: each for each in parsed.services.values()}
    for index, route in parsed.routes.items():
        for position, stage in enumerate(route.stages):
            service = services.get(stage.service)
            if service is None or service.batching is None:
                continue
            shortest = stage_forecast.call_ms(service.batching, 1)
            if shortest > route.latency_objective_ms:
                yield configuration.Finding(
                    'slow_stage',
                    ('routes', index, 'stages', position),
                    f'a call of one item takes {shortest:g} ms, the '
                    f'objective is {route.latency_objective_ms:g} ms',
                    'raise the objective or use a faster service',
                )


def _cold_services(parsed: configuration.Configuration) -> Findings:
    for index, service in parsed.services.items():
        if service.cold_start_s > 0 and service.cold_per_s <= 0:
            yield configuration.Finding(
                'cold_without_rate',
                ('services', index, 'cold_per_s'),
                f'{service.cold_per_s:g} with a cold start of '
                f'{service.cold_start_s:g} s; cold targets are not limited',
                'state the rate that a cold target tolerates',
            )


def _body_limit(
    parsed: configuration.Configuration,
    surroundings: configuration.Surroundings,
) -> Findings:
    limit, memory = parsed.max_body_bytes, surroundings.memory_bytes
    if limit is not None and memory is not None and limit > memory:
        yield configuration.Finding(
            'body_above_memory',
            ('limits', 'max_body_bytes'),
            f'{limit}, above the {memory:.0f} bytes of the smallest machine',
            'lower the limit or use larger machines',
        )
