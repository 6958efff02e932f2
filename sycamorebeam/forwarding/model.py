"""Data model of forwarding: routes, services, teams and targets."""

from collections.abc import Mapping
import enum
import math

import attrs

# Callers abandon a stream without events after the longest of these waits
# (protocol).
MIN_FIRST_EVENT_TIMEOUT_MS = 2_000.0
TIMEOUT_IN_OBJECTIVES = 4
TIMEOUT_IN_PAUSES = 8
UNLIMITED = math.inf  # a rate


class Kind(enum.Enum):
    """Whether a request may run more than once, and whether it streams."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@attrs.frozen(kw_only=True)
class Stage:
    """A call to a batch service that must complete before a request runs.

    ``after`` holds the positions of the stages whose results are its input.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: float


@attrs.frozen(kw_only=True)
class WeightedService:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Matches requests by host and path, with their services and limits.

    A lower ``rank`` is more urgent. Only targets in ``allowed_regions`` may
    get the requests; None allows any region.
    """

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
    allowed_regions: frozenset[str] | None = None

    @property
    def first_event_timeout_ms(self) -> float:
        """The time after which a caller abandons a stream without events."""
        return max(
            MIN_FIRST_EVENT_TIMEOUT_MS,
            TIMEOUT_IN_OBJECTIVES * self.latency_objective_ms,
            TIMEOUT_IN_PAUSES * self.longest_pause_ms,
        )

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be sent again if it may have run already."""
        return self.kind is Kind.IDEMPOTENT or self.is_resumable


@attrs.frozen(kw_only=True)
class Batching:
    """Batch limits and timing of one replica of a stage's service."""

    slots: int
    max_items: int
    call_ms: float
    item_ms: float
    memory_bytes: float
    result_ttl_ms: float


@attrs.frozen(kw_only=True)
class Engine:
    """Bounds of one inference engine; None where the operator states none.

    Running requests and cached parts share ``kv_cache_tokens``.
    """

    slots: int | None = None
    kv_cache_tokens: int | None = None


@attrs.frozen(kw_only=True)
class Service:
    """A group of equal targets; ``batching`` is set if stages run on it.

    ``engine`` has the bounds of its engines, as far as they are stated. A
    target that turns cold is so for ``cold_start_s``, and then tolerates
    ``cold_per_s`` requests a second; 0 if targets are never cold.
    """

    name: str
    batching: Batching | None = None
    has_engine: bool = False
    engine: Engine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class Team:
    """A team of callers; its rank, if set, overrides the rank of a route.

    ``allowed_regions`` restricts its requests as those of a route do.
    """

    name: str
    rank: int | None
    allowed_regions: frozenset[str] | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on what callers send; None where the operator sets none."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: int | None = None
    idle_timeout_ms: int | None = None


@attrs.frozen(kw_only=True)
class DesiredState:
    """One complete version of the configuration set by the operator."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    team_of_key: Mapping[str, Team]
    has_teams: bool
    caller_limits: CallerLimits = CallerLimits()


@attrs.frozen(kw_only=True)
class LoadReport:
    """The load that a target reports along with an answer.

    ``pace`` is how long work takes on its machine now; 100 is usual, and
    None means that the target does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@attrs.frozen(kw_only=True)
class Feedback:
    """State of a target that it reports along with an answer.

    ``backoff_ms`` is how long this instance must not send to the target.
    ``requests_per_s`` is the rate that the target accepts from all instances
    together: UNLIMITED if it sets no limit, None if the answer tells nothing.
    It is cold for ``cold_ms``, which is None if the answer doesn't tell.
    """

    is_leaving: bool = False
    backoff_ms: float = 0.0
    requests_per_s: float | None = None
    load: LoadReport | None = None
    cold_ms: float | None = None


NO_FEEDBACK = Feedback()


@attrs.frozen(kw_only=True)
class Target:
    """One replica of a service, as in the last record that it wrote.

    It was still cold for ``cold_remaining_ms`` at that time.
    """

    target_id: str
    service: str
    address: str
    availability_zone: str
    is_draining: bool
    incarnation: int
    slots: int
    cold_remaining_ms: float = 0.0
