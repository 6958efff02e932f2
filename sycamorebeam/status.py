"""Builds the status document that an instance serves to operators."""

from typing import Any

from sycamorebeam import settings
from sycamorebeam import telemetry
from sycamorebeam.controllers import catalogue_follower
from sycamorebeam.controllers import claims_controller
from sycamorebeam.controllers import limits
from sycamorebeam.controllers import orders_controller
from sycamorebeam.controllers import peers
from sycamorebeam.controllers import readiness
from sycamorebeam.controllers import shutdown
from sycamorebeam.controllers import target_registry

AUDIT_ROWS = 50


def document(
    config: settings.Settings,
    follower: catalogue_follower.CatalogueFollower,
    instance_readiness: readiness.Readiness,
    planned_stop: shutdown.Shutdown,
    registry: target_registry.TargetRegistry,
    peer_streams: peers.Peers,
    limit_controller: limits.LimitsController,
    claim_controller: claims_controller.ClaimsController,
    order_controller: orders_controller.OrdersController,
    metrics: telemetry.Metrics,
) -> dict[str, Any]:
    """Return the status document of ``GET /admin/status``."""
    return {
        'instance': {
            'id': config.instance_id,
            'zone': config.placement.zone,
            'region': config.placement.region,
            'state': planned_stop.state.value,
            **_ready(instance_readiness),
        },
        'catalogue': _catalogue(follower),
        'targets': _targets(registry),
        'peers': {
            'connected': peer_streams.connected,
            'sent_bytes': peer_streams.sent_bytes,
        },
        'limits': {
            'in_flight': limit_controller.in_flight,
            'entries': limit_controller.in_flight_by_entry(),
        },
        'claims': {'unsettled': claim_controller.unsettled},
        'orders': order_controller.status,
        'counters': metrics.totals,
    }


def _ready(instance_readiness: readiness.Readiness) -> dict[str, Any]:
    match instance_readiness.state:
        case readiness.NotReady(reason):
            return {'ready': False, 'reason': reason}
        case _:
            return {'ready': True}


def _catalogue(
    follower: catalogue_follower.CatalogueFollower,
) -> dict[str, Any]:
    offset, digest = follower.offset_and_digest()
    return {
        'offset': offset,
        'digest': digest.hex(),
        'lag_ms': follower.lag_ms,
        'entries': len(follower.catalogue.entries),
        'alarm': str(follower.alarm) if follower.alarm else None,
        'obstacle': str(follower.obstacle) if follower.obstacle else None,
    }


def _targets(registry: target_registry.TargetRegistry) -> list[dict[str, Any]]:
    return [
        {
            'group': group,
            'id': name,
            'zone': state.replica.zone,
            'leaving': registry.is_leaving(name) or state.replica.leaving,
            'in_flight': state.in_flight,
            'reported': _reported(state),
            'median_ms': state.durations.quantile_ms(0.5),
        }
        for group, states in sorted(registry.groups.items())
        for name, state in sorted(states.items())
    ]


def _reported(state: target_registry.ReplicaState) -> int | None:
    if state.report is None:
        return None
    return state.report.running + state.report.waiting
