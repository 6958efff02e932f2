"""A parsed configuration file and what is found in it.

Paths use the names of the product's own data model; the reader of a form
translates them to the keys of its file.
"""

from collections.abc import Mapping
from typing import Any

import attrs

from sycamorebeam import checking
from sycamorebeam.forwarding import model


@attrs.frozen
class Finding:
    """One thing to correct. ``found`` never has the text of a key."""

    check: str
    path: checking.Path
    found: str
    remedy: str


@attrs.frozen
class Secrets:
    """Keys of callers, which are compared but never shown."""

    values: frozenset[str] = attrs.field(repr=False)


PlainEntries = Mapping[str, Mapping[str, Any]]
"""Entries as plain fields by ``kind/name``, for the comparison."""


@attrs.frozen(kw_only=True)
class ListedTeam:
    """A team as it is listed, with its keys in the order of the file."""

    team: model.Team
    keys: tuple[str, ...] = attrs.field(default=(), repr=False)


@attrs.frozen(kw_only=True)
class Configuration:
    """The decodable entries of a desired state, by position in the file.

    A desired state has services and keys as mappings, where those listed
    twice are lost; here they are as listed. ``service_names`` includes
    services that cannot be decoded, so that routes to them are no findings.
    """

    routes: Mapping[int, model.Route] = attrs.field(factory=dict)
    services: Mapping[int, model.Service] = attrs.field(factory=dict)
    teams: Mapping[int, ListedTeam] = attrs.field(factory=dict)
    service_names: frozenset[str] = frozenset()
    has_all_teams: bool = True
    max_body_bytes: int | None = None


@attrs.frozen(kw_only=True)
class Surroundings:
    """What the operator states of the deployment; None if not stated."""

    region_of_zone: Mapping[str, str] | None = None
    memory_bytes: float | None = None


@attrs.frozen
class Checked:
    """The findings of a file; ``plain`` is None if entries are invalid."""

    form: str
    findings: tuple[Finding, ...]
    plain: PlainEntries | None
