"""Decides which regions may serve a request, and which targets that leaves.

It is designed for data that must not leave a region while other regions have
free targets. It does no I/O.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from sycamorebeam.forwarding import model

# The regions that may serve a request; None if any may.
AllowedRegions = frozenset[str] | None


def of_request(route: model.Route, team: model.Team | None) -> AllowedRegions:
    """Return the regions that both the route and the team allow.

    The result is empty if they have no region in common.
    """
    if team is None or team.allowed_regions is None:
        return route.allowed_regions
    if route.allowed_regions is None:
        return team.allowed_regions
    return route.allowed_regions & team.allowed_regions


def only_allowed(
    targets: list[model.Target],
    allowed: AllowedRegions,
    region_of_zone: Mapping[str, str],
) -> list[model.Target]:
    """Return the targets that are in an allowed region.

    A target in an unknown zone is in no allowed region.
    """
    if allowed is None:
        return targets
    return [
        target
        for target in targets
        if region_of_zone.get(target.availability_zone) in allowed
    ]


def zones(
    allowed: AllowedRegions, region_of_zone: Mapping[str, str]
) -> frozenset[str] | None:
    """Return the zones of the allowed regions; None if any zone will do."""
    if allowed is None:
        return None
    return frozenset(
        zone for zone, region in region_of_zone.items() if region in allowed
    )


def encode(allowed: AllowedRegions) -> list[str] | None:
    """Return the regions for a message to another instance."""
    return None if allowed is None else sorted(allowed)


def decode(names: Iterable[str] | None) -> AllowedRegions:
    """Return the regions of a message of another instance."""
    return None if names is None else frozenset(names)
