"""Selects the replicas of a group that an instance connects to.

A bounded subset keeps the number of connections, probes and records per
instance independent of the size of the group. Rendezvous hashing spreads
the subsets evenly and changes few members when replicas come and go.
"""

from collections.abc import Iterable

import attrs

from sycamorebeam import hashing
from sycamorebeam import settings
from sycamorebeam.clients import results


@attrs.frozen(kw_only=True)
class SubsetSizes:
    """The maximum number of replicas in a subset, by distance."""

    same_zone: int = 8
    same_region: int = 6
    other_regions: int = 3


def choose_subset(
    instance_id: str,
    here: settings.Placement,
    replicas: Iterable[results.Replica],
    sizes: SubsetSizes,
) -> list[results.Replica]:
    """Return the replicas that this instance uses, nearest first."""
    zone: list[results.Replica] = []
    region: list[results.Replica] = []
    far: list[results.Replica] = []
    for replica in replicas:
        if replica.region != here.region:
            far.append(replica)
        elif replica.zone != here.zone:
            region.append(replica)
        else:
            zone.append(replica)
    return [
        *_highest_ranked(instance_id, zone, sizes.same_zone),
        *_highest_ranked(instance_id, region, sizes.same_region),
        *_highest_ranked(instance_id, far, sizes.other_regions),
    ]


def _highest_ranked(
    instance_id: str, replicas: list[results.Replica], count: int
) -> list[results.Replica]:
    by_id = {replica.id: replica for replica in replicas}
    return [by_id[name] for name in hashing.rank(instance_id, by_id, count)]
