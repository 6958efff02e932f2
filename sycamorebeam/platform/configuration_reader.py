"""Reads a desired state for the check of a configuration.

Unlike the decoding of a published version, it goes on after a fault and
names the field of each.
"""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import math
from typing import Any

import attrs

from sycamorebeam import checking
from sycamorebeam.configuration_check import checks
from sycamorebeam.configuration_check import configuration
from sycamorebeam.forwarding import model
from sycamorebeam.platform import desired_state

SECTIONS = ('routes', 'services', 'tenants')
INVALID = 'invalid'
DECODING_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)
_KEYS = {
    'host': 'hostname',
    'kind': 'route_kind',
    'latency_objective_ms': 'target_latency_ms',
    'longest_pause_ms': 'gap_aim_ms',
    'rank': 'priority',
    'is_public': 'public',
    'is_resumable': 'stream_resumption',
    'teams': 'tenants',
    'keys': 'api_keys',
    'split': 'traffic_split',
}


@attrs.frozen
class _Field:
    """A field: whether it must be there, and how its value is converted."""

    convert: Callable[[Any], Any]
    allowed: str
    is_required: bool = True
    is_secret: bool = False


@attrs.frozen
class _Part:
    """An object, or a list of objects, within an entry."""

    fields: dict[str, '_Field | _Part']
    is_list: bool


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError
    return value


def _texts(value: Any) -> None:
    if not isinstance(value, list):
        raise ValueError
    for item in value:
        _text(item)


def _number(value: Any) -> float:
    number = float(value)
    if isinstance(value, bool) or not math.isfinite(number) or number < 0:
        raise ValueError
    return number


def _positions(value: Any) -> None:
    for item in value:
        int(item)


TEXT = _Field(_text, 'a text')
NUMBER = _Field(_number, 'a number of at least 0')
REGIONS = _Field(_texts, 'a list of texts', is_required=False)
_OPTIONAL_NUMBER = attrs.evolve(NUMBER, is_required=False)
_INTEGER = _Field(int, 'a whole number', is_required=False)
_ROUTE: dict[str, _Field | _Part] = {
    'name': TEXT,
    'hostname': TEXT,
    'path_prefix': TEXT,
    'route_kind': _Field(
        desired_state.KINDS.__getitem__, ' or '.join(desired_state.KINDS)
    ),
    'timeout_ms': NUMBER,
    'target_latency_ms': NUMBER,
    'gap_aim_ms': _OPTIONAL_NUMBER,
    'priority': _INTEGER,
    'max_attempts': _INTEGER,
    'allowed_regions': REGIONS,
    'traffic_split': _Part({'service': TEXT, 'weight': NUMBER}, True),
    'stages': _Part(
        {
            'service': TEXT,
            'size_bytes': _OPTIONAL_NUMBER,
            'after': _Field(_positions, 'a list of positions', False),
        },
        True,
    ),
}
_SERVICE: dict[str, _Field | _Part] = {
    'name': TEXT,
    'cold_start_s': _OPTIONAL_NUMBER,
    'cold_per_s': _OPTIONAL_NUMBER,
    'segments': _Part(
        {
            'slots': attrs.evolve(_INTEGER, is_required=True),
            'batch': attrs.evolve(_INTEGER, is_required=True),
            'call_duration_ms': NUMBER,
            'item_duration_ms': NUMBER,
            'headroom_mb': NUMBER,
            'handle_ttl_s': NUMBER,
        },
        False,
    ),
}
_TENANT: dict[str, _Field | _Part] = {
    'name': TEXT,
    'allowed_regions': REGIONS,
    'api_keys': _Field(_texts, 'a list of texts', False, is_secret=True),
}


def is_desired_state(value: Any) -> bool:
    """Return whether a parsed file is a desired state."""
    return isinstance(value, dict) and any(key in value for key in SECTIONS)


def check(
    body: dict[str, Any], surroundings: configuration.Surroundings
) -> configuration.Checked:
    """Return all findings of a desired state, and its entries."""
    parsed, faults = read(body)
    findings = [
        attrs.evolve(finding, path=file_path(finding.path, body))
        for finding in checks.check(parsed, surroundings)
    ]
    plain = None if faults else plain_entries(parsed, body)
    return configuration.Checked('platform', (*faults, *findings), plain)


def read(
    body: dict[str, Any],
) -> tuple[configuration.Configuration, list[configuration.Finding]]:
    """Return the decodable entries, and each fault of the others."""
    faults: list[configuration.Finding] = []
    version = attrs.evolve(_INTEGER, is_required=True)
    faults.extend(_field_faults(body, {'version': version}, ()))
    routes = _entries(body, 'routes', _ROUTE, faults)
    for index in list(routes):
        item = routes[index]
        if not item.get('traffic_split'):
            found = [
                *_field_faults(item, {'service': TEXT}, ('routes', index))
            ]
            faults.extend(found)
            if found:
                del routes[index]
    services = _entries(body, 'services', _SERVICE, faults)
    tenants = _entries(body, 'tenants', _TENANT, faults)
    limits = body.get('limits') or {}
    max_body = _Field(int, 'a whole number', False)
    limit_faults = [
        *_field_faults(limits, {'max_body_bytes': max_body}, ('limits',))
    ]
    faults.extend(limit_faults)
    listed = body.get('services')
    listed_tenants = body.get('tenants') or ()
    parsed = configuration.Configuration(
        routes=_decode(routes, desired_state.decode_route, 'routes', faults),
        services=_decode(
            services, desired_state.decode_service, 'services', faults
        ),
        teams=_decode(tenants, _listed_team, 'tenants', faults),
        service_names=frozenset(
            item['name']
            for item in (listed if isinstance(listed, list) else ())
            if isinstance(item, dict) and isinstance(item.get('name'), str)
        ),
        has_all_teams=isinstance(listed_tenants, list | tuple)
        and len(tenants) == len(listed_tenants),
        max_body_bytes=None
        if limit_faults or limits.get('max_body_bytes') is None
        else int(limits['max_body_bytes']),
    )
    return parsed, faults


def _listed_team(item: dict[str, Any]) -> configuration.ListedTeam:
    return configuration.ListedTeam(
        team=desired_state.decode_team(item),
        keys=tuple(item.get('api_keys') or ()),
    )


def _entries(
    body: dict[str, Any],
    section: str,
    fields: dict[str, _Field | _Part],
    faults: list[configuration.Finding],
) -> dict[int, dict[str, Any]]:
    """Return the entries of a section without a fault, by position."""
    items = body.get(section)
    if items is None and section == 'tenants':
        return {}
    if not isinstance(items, list):
        faults.append(_fault((section,), items, 'a list'))
        return {}
    valid = {}
    for index, item in enumerate(items):
        found = [*_field_faults(item, fields, (section, index))]
        faults.extend(found)
        if not found:
            valid[index] = item
    return valid


def _decode(
    items: dict[int, dict[str, Any]],
    decode: Callable[[dict[str, Any]], Any],
    section: str,
    faults: list[configuration.Finding],
) -> dict[int, Any]:
    decoded = {}
    for index, item in items.items():
        try:
            decoded[index] = decode(item)
        except DECODING_ERRORS as error:
            found = f'an entry that cannot be decoded ({type(error).__name__})'
            path = (section, index)
            faults.append(
                configuration.Finding(
                    INVALID, path, found, 'correct the entry'
                )
            )
    return decoded


def _field_faults(
    item: Any, fields: dict[str, _Field | _Part], path: checking.Path
) -> Iterator[configuration.Finding]:
    if not isinstance(item, dict):
        # The value may hold keys, so only its type is shown.
        yield _fault(path, item, 'an object', is_secret=True)
        return
    for key, field in fields.items():
        value, place = item.get(key), (*path, key)
        match field:
            case _Part() if value is None:
                continue
            case _Part(fields=inner, is_list=False):
                yield from _field_faults(value, inner, place)
            case _Part(fields=inner) if isinstance(value, list):
                for index, part in enumerate(value):
                    yield from _field_faults(part, inner, (*place, index))
            case _Part():
                yield _fault(place, value, 'a list')
            case _Field():
                yield from _value_faults(field, key in item, value, place)


def _value_faults(
    field: _Field, is_there: bool, value: Any, path: checking.Path
) -> Iterator[configuration.Finding]:
    if value is None and not field.is_required:
        return
    if not is_there:
        yield configuration.Finding(
            INVALID, path, 'nothing', f'add the field, {field.allowed}'
        )
        return
    try:
        field.convert(value)
    except DECODING_ERRORS:
        yield _fault(path, value, field.allowed, field.is_secret)


def _fault(
    path: checking.Path, value: Any, allowed: str, is_secret: bool = False
) -> configuration.Finding:
    found = type(value).__name__ if is_secret else checking.show(value)
    return configuration.Finding(INVALID, path, found, f'write {allowed}')


def file_path(path: checking.Path, body: dict[str, Any]) -> checking.Path:
    """Return a path of the data model in the keys of the file."""
    match path:
        case ('routes', int(index), 'split', *rest) if not body['routes'][
            index
        ].get('traffic_split'):
            return ('routes', index, *rest[1:])
    return tuple(_KEYS.get(str(part), part) for part in path)


def plain_entries(
    parsed: configuration.Configuration, body: dict[str, Any]
) -> configuration.PlainEntries:
    """Return the entries for a comparison.

    Routes of the same name are numbered, teams of the same name joined.
    """
    plain: dict[str, dict[str, Any]] = {}
    for route in parsed.routes.values():
        key = name = f'route/{route.name}'
        for number in itertools.count(2):
            if key not in plain:
                break
            key = f'{name}#{number}'
        plain[key] = _plain(route) | {'split': _shares(route)}
    for service in parsed.services.values():
        plain[f'service/{service.name}'] = _plain(service)
    keys: dict[str, frozenset[str]] = {}
    for listed in parsed.teams.values():
        key = f'tenant/{listed.team.name}'
        keys[key] = keys.get(key, frozenset()).union(listed.keys)
        secrets = configuration.Secrets(keys[key])
        plain[key] = _plain(listed.team) | {'api_keys': secrets}
    plain['limits'] = dict(body.get('limits') or {})
    return plain


def _plain(entry: Any) -> dict[str, Any]:
    fields = attrs.asdict(entry)
    if fields.get('allowed_regions') is not None:
        fields['allowed_regions'] = ' '.join(sorted(fields['allowed_regions']))
    if isinstance(entry, model.Route):
        fields['kind'] = entry.kind.value
    return {
        _KEYS.get(name, name) if name != 'split' else name: value
        for name, value in fields.items()
    }


def _shares(route: model.Route) -> dict[str, float]:
    total = sum(weighted.weight for weighted in route.split) or 1.0
    shares: dict[str, float] = {}
    for weighted in route.split:
        share = round(weighted.weight / total, 9)
        shares[weighted.service] = shares.get(weighted.service, 0) + share
    return shares
