"""The results of a request: a complete answer or a typed problem."""

import enum
from typing import Any

import attrs


class Outcome(enum.Enum):
    """How far a request that was not answered is known to have run."""

    NOT_RUN = 'not_run'
    ATTEMPT_NOT_RUN = 'attempt_not_run'
    UNKNOWN = 'unknown'
    PARTIAL = 'partial'
    IN_PROGRESS = 'in_progress'


class ProblemKind(enum.Enum):
    """The stable kinds of problem: URI suffix, HTTP status and title."""

    BAD_REQUEST = ('bad-request', 400, 'The request is malformed')
    UNAUTHENTICATED = ('unauthenticated', 401, 'No valid team token')
    FORBIDDEN = ('forbidden', 403, 'The team may not use this pipeline')
    UNKNOWN_PIPELINE = ('unknown-pipeline', 404, 'No such pipeline')
    KEY_REQUIRED = ('key-required', 400, 'An Idempotency-Key is required')
    KEY_MISMATCH = ('key-mismatch', 422, 'The key has another request')
    KEY_TOO_OLD = ('key-too-old', 410, 'The key is too old to prove')
    IN_PROGRESS = ('in-progress', 409, 'The request is in progress')
    OUTCOME_UNKNOWN = ('outcome-unknown', 502, 'The outcome is unknown')
    TOO_LARGE = ('too-large', 413, 'The request body is too large')
    TOO_SLOW = ('too-slow', 408, 'The request body came too slowly')
    LIMITED = ('limited', 429, 'The team is over its limit')
    OVERLOADED = ('overloaded', 503, 'The system is overloaded')
    DEADLINE = ('deadline', 504, 'The deadline cannot be met')
    STAGE_FAILED = ('stage-failed', 502, 'A stage failed')
    LOG_UNAVAILABLE = ('log-unavailable', 503, 'The log is unavailable')
    NOT_READY = ('not-ready', 503, 'The instance is not ready')
    INTERNAL = ('internal', 500, 'Internal error')

    def __init__(self, slug: str, status: int, title: str) -> None:
        self.slug = slug
        self.status = status
        self.title = title


@attrs.frozen
class Usage:
    """What a request consumed.

    ``stage_ms`` and ``stage_cost`` are keyed by stage name; cost is in the
    catalogue's cost units. ``region_bytes`` counts bytes that crossed
    between regions, ``tokens`` the tokens generated.
    """

    stage_ms: dict[str, int] = attrs.field(factory=dict)
    stage_cost: dict[str, float] = attrs.field(factory=dict)
    region_bytes: int = 0
    tokens: int = 0
    retries: int = 0


@attrs.frozen
class Completed:
    """The complete answer to a request."""

    output: dict[str, Any]
    usage: Usage = attrs.field(factory=Usage)
    replayed: bool = False


@attrs.frozen
class Problem:
    """Why a request was not answered, and what the caller can do."""

    kind: ProblemKind
    outcome: Outcome
    detail: str
    remedy: str
    retry_after_ms: int | None = None
    target_request_id: str | None = None


Answer = Completed | Problem
