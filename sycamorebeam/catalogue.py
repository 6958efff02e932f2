"""The catalogue: the accepted pipelines, targets, models, teams and limits.

An entry is addressed by its key, ``kind/name`` (``team/dispatch``), and has
an owner, a class of service and limits. Target entries describe groups of
replicas; the replicas themselves are read from the platform's instance list.
"""

from collections.abc import Mapping
import enum

import attrs


class ServiceClass(enum.Enum):
    """Classes of service, from most to least important."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    BULK = 'bulk'


class TargetKind(enum.Enum):
    """The protocol that a target speaks."""

    ENGINE = 'engine'
    POOL = 'pool'
    SERVICE = 'service'


class Weighting(enum.Enum):
    """The goal to which routing gives more weight."""

    ATTAINMENT = 'attainment'
    COST = 'cost'


@attrs.frozen
class Limits:
    """Upper bounds; None means that the bound is not set."""

    requests_per_s: float | None = None
    concurrency: int | None = None
    tokens_per_s: float | None = None
    bytes_per_s: float | None = None


@attrs.frozen(kw_only=True)
class Entry:
    """The fields common to all catalogue entries."""

    owner: str
    service_class: ServiceClass
    limits: Limits


@attrs.frozen(kw_only=True)
class Stage:
    """One step of a pipeline.

    ``operation`` is the operation that the target executes (``encode``,
    ``retrieve``, ``rerank``, ``generate`` or an operation of a service).
    ``after`` names the stages whose results it needs; None means the stage
    before it in the list, an empty tuple no stage.
    """

    name: str
    target: str
    operation: str
    model: str | None = None
    idempotent: bool = True
    after: tuple[str, ...] | None = None
    max_tokens: int = 64


@attrs.frozen(kw_only=True)
class Pipeline(Entry):
    """A pipeline of stages under one deadline in milliseconds."""

    deadline_ms: int
    stages: tuple[Stage, ...]
    teams: tuple[str, ...] = ()

    @property
    def idempotent(self) -> bool:
        """Whether the pipeline may run more than once for one request."""
        return all(stage.idempotent for stage in self.stages)


@attrs.frozen(kw_only=True)
class Target(Entry):
    """A group of interchangeable replicas.

    ``role`` is the role that engines are ordered to take; None leaves
    their role unchanged.
    """

    kind: TargetKind
    checks_fencing: bool = False
    cost_per_call: float = 1.0
    cost_per_token: float = 0.0
    role: str | None = None


@attrs.frozen(kw_only=True)
class Model(Entry):
    """A model version that engines of a target group keep loaded."""

    target: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Team(Entry):
    """A team of callers; tokens are kept as SHA-256 digests in hex."""

    token_sha256: tuple[str, ...]


@attrs.frozen(kw_only=True)
class SharedLimit(Entry):
    """A limit on a shared resource.

    ``resource`` is ``region_link`` (bytes between two regions, shared by
    all traffic) or ``weight_store`` (model loads).
    """

    resource: str
    weighting: Weighting = Weighting.ATTAINMENT


AnyEntry = Pipeline | Target | Model | Team | SharedLimit

KINDS: dict[str, type[Entry]] = {
    'pipeline': Pipeline,
    'target': Target,
    'model': Model,
    'team': Team,
    'limit': SharedLimit,
}


@attrs.frozen
class Versioned:
    """An accepted entry and its revision, the offset of its last change."""

    revision: int
    entry: AnyEntry


@attrs.frozen
class Catalogue:
    """All accepted entries by key, as of ``offset`` (-1 before any)."""

    offset: int = -1
    entries: Mapping[str, Versioned] = attrs.field(factory=dict)

    def pipeline(self, name: str) -> Pipeline | None:
        """Return the pipeline called ``name``, if accepted."""
        versioned = self.entries.get(f'pipeline/{name}')
        return versioned.entry if versioned else None  # type: ignore[return-value]

    def target(self, name: str) -> Target | None:
        """Return the target group called ``name``, if accepted."""
        versioned = self.entries.get(f'target/{name}')
        return versioned.entry if versioned else None  # type: ignore[return-value]

    def team(self, name: str) -> Team | None:
        """Return the team called ``name``, if accepted."""
        versioned = self.entries.get(f'team/{name}')
        return versioned.entry if versioned else None  # type: ignore[return-value]

    def of_kind(self, kind: str) -> dict[str, AnyEntry]:
        """Return the entries of one kind by name, in name order."""
        prefix = f'{kind}/'
        keys = [key for key in self.entries if key.startswith(prefix)]
        return {
            key.removeprefix(prefix): self.entries[key].entry
            for key in sorted(keys)
        }
