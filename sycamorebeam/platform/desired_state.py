"""Decodes the operator's desired state."""

from typing import Any

from sycamorebeam.forwarding import model
from sycamorebeam.platform import json_records

BYTES_PER_MB = 1_000_000
KINDS = {
    'idempotent': model.Kind.IDEMPOTENT,
    'non_idempotent': model.Kind.NON_IDEMPOTENT,
    'streaming': model.Kind.STREAM,
}


class UndecodableError(ValueError):
    """A record does not have the format that the platform documents."""


def decode(data: bytes) -> model.DesiredState:
    """Return the desired state in ``data``.

    Raises UndecodableError; the remedy is to publish a valid version.
    """
    try:
        body = json_records.parse(data)
        tenants = body.get('tenants')
        return model.DesiredState(
            version=int(body['version']),
            routes=tuple(decode_route(item) for item in body['routes']),
            services={
                item['name']: decode_service(item) for item in body['services']
            },
            team_of_key=_decode_teams(tenants or []),
            has_teams=tenants is not None,
            caller_limits=_decode_limits(body.get('limits') or {}),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        raise UndecodableError(
            f'the desired state cannot be decoded ({error!r}); '
            'publish a valid version'
        ) from error


def _decode_limits(item: dict[str, Any]) -> model.CallerLimits:
    def positive(name: str) -> int | None:
        # A limit that nothing could stay within counts as absent.
        value = int(item.get(name) or 0)
        return value if value > 0 else None

    return model.CallerLimits(
        max_header_bytes=positive('max_header_bytes'),
        max_body_bytes=positive('max_body_bytes'),
        header_timeout_ms=positive('header_timeout_ms'),
        idle_timeout_ms=positive('idle_timeout_ms'),
    )


def decode_route(item: dict[str, Any]) -> model.Route:
    """Return a route; raises as the conversions do."""
    return model.Route(
        name=item['name'],
        host=item['hostname'].lower(),
        path_prefix=item['path_prefix'],
        kind=KINDS[item['route_kind']],
        timeout_ms=float(item['timeout_ms']),
        latency_objective_ms=float(item['target_latency_ms']),
        longest_pause_ms=float(item.get('gap_aim_ms') or 0),
        rank=int(item.get('priority', 0)),
        split=_decode_split(item),
        max_attempts=int(item.get('max_attempts', 1)),
        stages=tuple(
            _decode_stage(stage) for stage in item.get('stages') or ()
        ),
        is_public=bool(item.get('public', False)),
        is_resumable=bool(item.get('stream_resumption', False)),
        allowed_regions=_decode_regions(item),
    )


def _decode_regions(item: dict[str, Any]) -> frozenset[str] | None:
    # An empty list allows any region, like a missing one.
    return frozenset(item.get('allowed_regions') or ()) or None


def _decode_split(item: dict[str, Any]) -> tuple[model.WeightedService, ...]:
    shares = item.get('traffic_split')
    if not shares:
        return (model.WeightedService(service=item['service'], weight=1.0),)
    return tuple(
        model.WeightedService(
            service=share['service'], weight=float(share['weight'])
        )
        for share in shares
    )


def _decode_stage(item: dict[str, Any]) -> model.Stage:
    return model.Stage(
        service=item['service'],
        after=tuple(int(position) for position in item.get('after') or ()),
        result_bytes=float(item.get('size_bytes', 0)),
    )


def decode_service(item: dict[str, Any]) -> model.Service:
    """Return a service; raises as the conversions do."""
    return model.Service(
        name=item['name'],
        # 'segments' configures batching; it is not a list of segments.
        batching=_decode_batching(item.get('segments')),
        has_engine='inference_engine' in item,
        engine=_decode_engine(item.get('inference_engine')),
        cold_start_s=float(item.get('cold_start_s') or 0),
        cold_per_s=float(item.get('cold_per_s') or 0),
    )


def _decode_engine(item: Any) -> model.Engine | None:
    if not item or not isinstance(item, dict):
        return None
    return model.Engine(
        slots=_decode_count(item.get('slots')),
        kv_cache_tokens=_decode_count(item.get('kv_cache_tokens')),
    )


def _decode_count(value: Any) -> int | None:
    # Only the placement uses these; a faulty one must not make the whole
    # state undecodable.
    return value if isinstance(value, int) and value > 0 else None


def _decode_batching(item: dict[str, Any] | None) -> model.Batching | None:
    if item is None:
        return None
    return model.Batching(
        slots=int(item['slots']),
        max_items=int(item['batch']),
        call_ms=float(item['call_duration_ms']),
        item_ms=float(item['item_duration_ms']),
        memory_bytes=float(item['headroom_mb']) * BYTES_PER_MB,
        # A 'handle' identifies a stored result.
        result_ttl_ms=float(item['handle_ttl_s']) * 1000,
    )


def _decode_teams(tenants: list[dict[str, Any]]) -> dict[str, model.Team]:
    teams = {}
    for item in tenants:
        team = decode_team(item)
        for key in item.get('api_keys') or ():
            teams[key] = team
    return teams


def decode_team(item: dict[str, Any]) -> model.Team:
    """Return a team without its keys; raises as the conversions do."""
    return model.Team(
        name=item['name'],
        rank=item.get('priority'),
        allowed_regions=_decode_regions(item),
    )
