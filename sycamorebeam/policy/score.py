"""Scores replicas for routing; a lower score is better."""

import attrs

from sycamorebeam import catalogue
from sycamorebeam import settings
from sycamorebeam.clients import results

# The weight of a load report halves in this time.
REPORT_HALF_LIFE_MS = 2_000
# One-way network latency, which a call has both ways.
ZONE_TRIP_MS = 1.5
REGION_TRIP_MS = 12.0
# The extra latency that is accepted to avoid a call to another region.
REGION_PENALTY_MS = {
    catalogue.Weighting.ATTAINMENT: 20.0,
    catalogue.Weighting.COST: 2_000.0,
}
DEFAULT_LATENCY_MS = 20.0


@attrs.frozen(kw_only=True)
class ReplicaLoad:
    """The load of one replica: own calls and its last report."""

    in_flight: int = 0
    reported: int = 0
    report_age_ms: int = 60_000
    capacity: int = 1
    latency_ms: float = DEFAULT_LATENCY_MS


def score(
    load: ReplicaLoad,
    replica: results.Replica,
    here: settings.Placement,
    weighting: catalogue.Weighting,
) -> float:
    """Return the expected cost of one more call, in milliseconds."""
    freshness = 0.5 ** (load.report_age_ms / REPORT_HALF_LIFE_MS)
    # Calls that this instance started after the report are not in it.
    others = max(0, load.reported - load.in_flight) * freshness
    queue = (load.in_flight + others) / max(1, load.capacity)
    return load.latency_ms * (1 + queue) + network_ms(replica, here, weighting)


def network_ms(
    replica: results.Replica,
    here: settings.Placement,
    weighting: catalogue.Weighting,
) -> float:
    """Return the network part of the score of ``replica``."""
    if replica.region != here.region:
        return 2 * REGION_TRIP_MS + REGION_PENALTY_MS[weighting]
    if replica.zone != here.zone:
        return 2 * ZONE_TRIP_MS
    return 0.0
