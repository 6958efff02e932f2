"""What an instance shows its operators."""

from typing import Any

from sycamorebeam import settings as settings_module
from sycamorebeam import telemetry
from sycamorebeam.controllers import catalogue
from sycamorebeam.controllers import claims_controller
from sycamorebeam.controllers import limits
from sycamorebeam.controllers import orders_controller
from sycamorebeam.controllers import peers
from sycamorebeam.controllers import readiness
from sycamorebeam.controllers import shutdown
from sycamorebeam.controllers import targets

AUDIT_ROWS = 50


def document(
    settings: settings_module.Settings,
    followed: catalogue.CatalogueFollower,
    ready: readiness.Readiness,
    stopping: shutdown.Shutdown,
    known: targets.Targets,
    connected: peers.Peers,
    counted: limits.LimitsController,
    claimed: claims_controller.ClaimsController,
    ordered: orders_controller.OrdersController,
    metrics: telemetry.Metrics,
) -> dict[str, Any]:
    """Return the status document of ``GET /admin/status``."""
    return {
        'instance': {
            'id': settings.instance_id,
            'zone': settings.placement.zone,
            'region': settings.placement.region,
            'state': stopping.state.value,
            **_ready(ready),
        },
        'catalogue': _catalogue(followed),
        'targets': _targets(known),
        'peers': {
            'connected': connected.connected,
            'sent_bytes': connected.sent_bytes,
        },
        'limits': {
            'in_flight': counted.in_flight,
            'entries': counted.in_flight_by_entry(),
        },
        'claims': {'unsettled': claimed.unsettled},
        'orders': ordered.status,
        'counters': metrics.totals,
    }


def _ready(ready: readiness.Readiness) -> dict[str, Any]:
    match ready.state:
        case readiness.NotReady(reason):
            return {'ready': False, 'reason': reason}
        case _:
            return {'ready': True}


def _catalogue(followed: catalogue.CatalogueFollower) -> dict[str, Any]:
    offset, digest = followed.in_force()
    return {
        'offset': offset,
        'digest': digest.hex(),
        'lag_ms': followed.lag_ms,
        'entries': len(followed.catalogue.entries),
        'alarm': str(followed.alarm) if followed.alarm else None,
        'obstacle': str(followed.obstacle) if followed.obstacle else None,
    }


def _targets(known: targets.Targets) -> list[dict[str, Any]]:
    return [
        {
            'group': group,
            'id': name,
            'zone': state.replica.zone,
            'leaving': known.is_leaving(name) or state.replica.leaving,
            'in_flight': state.in_flight,
            'reported': _reported(state),
            'median_ms': state.durations.quantile_ms(0.5),
        }
        for group, states in sorted(known.groups.items())
        for name, state in sorted(states.items())
    ]


def _reported(state: targets.ReplicaState) -> int | None:
    if state.report is None:
        return None
    return state.report.running + state.report.waiting
