"""What forwarding knows of routes, services, teams and targets."""

from collections.abc import Mapping
import enum

import attrs

# Callers abandon a stream after the longest of these waits (protocol).
MIN_FIRST_EVENT_TIMEOUT_MS = 2_000.0
TIMEOUT_IN_OBJECTIVES = 4
TIMEOUT_IN_PAUSES = 8


class Kind(enum.Enum):
    """How often a request may run."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@attrs.frozen(kw_only=True)
class Stage:
    """Work on a batch service that a request needs before it can run.

    ``after`` has the positions of the stages whose results it takes.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: float


@attrs.frozen(kw_only=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Which requests go where, and under which bounds."""

    name: str
    host: str
    path_prefix: str
    kind: Kind
    timeout_ms: float
    latency_objective_ms: float
    longest_pause_ms: float
    rank: int
    split: tuple[WeightedService, ...]
    max_attempts: int
    stages: tuple[Stage, ...] = ()
    is_public: bool = False
    is_resumable: bool = False

    @property
    def first_event_timeout_ms(self) -> float:
        """How long a caller waits for the first event of a stream."""
        return max(
            MIN_FIRST_EVENT_TIMEOUT_MS,
            TIMEOUT_IN_OBJECTIVES * self.latency_objective_ms,
            TIMEOUT_IN_PAUSES * self.longest_pause_ms,
        )

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may run again."""
        return self.kind is Kind.IDEMPOTENT or self.is_resumable


@attrs.frozen(kw_only=True)
class Batching:
    """How a replica of a stage's service works through calls."""

    slots: int
    max_items: int
    call_ms: float
    item_ms: float
    memory_bytes: float
    result_ttl_ms: float


@attrs.frozen(kw_only=True)
class Service:
    """A service of targets; ``batching`` is set where stages run on it."""

    name: str
    batching: Batching | None = None
    has_engine: bool = False


@attrs.frozen(kw_only=True)
class Team:
    """A team of callers; its rank goes before a route's."""

    name: str
    rank: int | None


@attrs.frozen(kw_only=True)
class DesiredState:
    """One version of what the operator wants, whole."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    team_of_key: Mapping[str, Team]
    has_teams: bool


@attrs.frozen(kw_only=True)
class Feedback:
    """What a target says of itself beside an answer.

    ``backoff_ms`` is how long it wants nothing from this instance.
    """

    is_leaving: bool = False
    backoff_ms: float = 0.0


NO_FEEDBACK = Feedback()


@attrs.frozen(kw_only=True)
class Target:
    """One replica of a service, as it last reported itself."""

    target_id: str
    service: str
    address: str
    availability_zone: str
    is_draining: bool
    incarnation: int
    slots: int
