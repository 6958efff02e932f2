"""Stage requests, the calls that run their items, and the results."""

import enum
from typing import Protocol

import attrs

from sycamorebeam.forwarding import model
from sycamorebeam.forwarding.regions import region_filter


@attrs.frozen
class Work:
    """The fields that all items of one request's stage share.

    ``inputs`` are the results of earlier stages that each item takes.
    """

    attempt_id: str
    stage: int
    key: str
    takes_inputs: bool
    inputs: tuple[str, ...]


@attrs.frozen
class TimedItem:
    """An item of a call; its result is useless after ``remaining_ms``."""

    work: Work
    position: int
    remaining_ms: int


class FailureReason(enum.Enum):
    """Why an item or a request has no result."""

    TOO_LATE = 'too_late'
    INPUT_GONE = 'input_gone'
    NO_MEMORY = 'no_memory'
    FAILED = 'failed'
    OVERLOADED = 'overloaded'
    NO_TARGET = 'no_target'
    OWNER_LOST = 'owner_lost'


@attrs.frozen
class Produced:
    """An item's result."""

    result: str


@attrs.frozen
class NotProduced:
    """An item without a result."""

    reason: FailureReason


ItemResult = Produced | NotProduced


@attrs.frozen
class CallCompleted:
    """The results of a call, in the order of its items."""

    results: tuple[ItemResult, ...]
    feedback: model.Feedback = model.NO_FEEDBACK


@attrs.frozen
class CallDeclined:
    """The replica did not run the call.

    It is full, or ``is_gone``: another target answers at its address.
    """

    is_gone: bool
    feedback: model.Feedback = model.NO_FEEDBACK


@attrs.frozen
class CallFailed:
    """The replica's answer was unusable; the call may have run."""

    error: str
    feedback: model.Feedback = model.NO_FEEDBACK


CallResult = CallCompleted | CallDeclined | CallFailed


class StageCalls(Protocol):
    """Calls replicas that run stages."""

    async def run(
        self, address: str, target_id: str, items: list[TimedItem]
    ) -> CallResult:
        """Run some items in one call."""
        ...

    async def free(self, address: str, results: list[str]) -> model.Feedback:
        """Free results; return the feedback in the replica's answer."""
        ...

    def holder_address(self, result: str) -> str:
        """Return the address of the replica that holds a result."""
        ...


@attrs.frozen(kw_only=True)
class StageRequest:
    """A request for the results of all items of one stage.

    Durations count from now. While other items wait, the request is accepted
    only if its results are expected within ``accept_within_ms``. ``zone`` is
    the availability zone that the results go to, empty when that is not known
    yet; ``input_bytes`` is the total size of ``work.inputs``. Only replicas
    in ``allowed_regions`` may run the items. Where the contention of requests
    is decided by what can be in time, results are wanted within
    ``in_time_within_ms`` (None for begun work), and the engine is expected to
    start ``engine_gain_ms`` sooner than the other durations assume. With
    ``reports_pace``, the targets of the request report their pace.
    ``is_retry`` tells that the caller was refused before.
    """

    service: str
    rank: int
    objective_in_ms: int
    accept_within_ms: int
    expires_in_ms: int
    zone: str
    input_bytes: float
    result_bytes: float
    work: Work
    positions: tuple[int, ...]
    allowed_regions: region_filter.AllowedRegions = None
    in_time_within_ms: int | None = None
    engine_gain_ms: int = 0
    is_retry: bool = False
    reports_pace: bool = False


@attrs.frozen(kw_only=True)
class Announcement:
    """Items that a request will submit when its earlier stages have run.

    Durations count from now; the items are expected in ``arrives_in_ms``. The
    other fields equal those of the ``StageRequest`` that will follow.
    """

    service: str
    attempt_id: str
    stage: int
    rank: int
    items: int
    result_bytes: float
    arrives_in_ms: int
    objective_in_ms: int
    accept_within_ms: int
    expires_in_ms: int
    allowed_regions: region_filter.AllowedRegions = None
    in_time_within_ms: int | None = None
    engine_gain_ms: int = 0
    is_retry: bool = False
    reports_pace: bool = False


@attrs.frozen
class Results:
    """The results of all items, in order."""

    results: tuple[str, ...]


@attrs.frozen
class Failure:
    """No results will come; a retry should wait ``retry_after_ms``."""

    reason: FailureReason
    retry_after_ms: float


Outcome = Results | Failure
