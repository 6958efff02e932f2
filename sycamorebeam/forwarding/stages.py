"""Items of stages, calls that run them, and what came of them."""

import enum
from typing import Protocol

import attrs

from sycamorebeam.forwarding import model


@attrs.frozen
class Work:
    """What all items of one request's stage have in common.

    ``inputs`` are the results that each item takes.
    """

    attempt_id: str
    stage: int
    key: str
    takes_inputs: bool
    inputs: tuple[str, ...]


@attrs.frozen
class TimedItem:
    """An item in a call and how much longer its result is of use."""

    work: Work
    position: int
    remaining_ms: int


class FailureReason(enum.Enum):
    """Why there is no result."""

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
    """A call's results, in the order of its items."""

    results: tuple[ItemResult, ...]
    notice: model.Notice = model.NO_NOTICE


@attrs.frozen
class CallDeclined:
    """The replica did not run the call: it is full, or it ``is_gone``."""

    is_gone: bool
    notice: model.Notice = model.NO_NOTICE


@attrs.frozen
class CallFailed:
    """The replica answered something else; the call may have run."""

    error: str
    notice: model.Notice = model.NO_NOTICE


CallResult = CallCompleted | CallDeclined | CallFailed


class StageCalls(Protocol):
    """Calls to replicas that run stages."""

    async def run(
        self, address: str, target_id: str, items: list[TimedItem]
    ) -> CallResult:
        """Run some items in one call."""
        ...

    async def free(self, address: str, results: list[str]) -> model.Notice:
        """Give up results; return what their maker says of itself."""
        ...

    def holder_address(self, result: str) -> str:
        """Return the address of the replica that holds a result."""
        ...


@attrs.frozen(kw_only=True)
class StageRequest:
    """All items of one request's stage, with times left from now.

    While other items wait, the request is accepted only if its results are
    expected within ``accept_within_ms``. ``zone`` is where the results go,
    empty when that is not known yet; ``input_bytes`` is the size of what the
    items take.
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


@attrs.frozen(kw_only=True)
class Announcement:
    """Items that a request will submit when earlier stages have run.

    Times are left from now; ``arrives_in_ms`` is when that is expected. The
    others are those of the request that will follow.
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


@attrs.frozen
class Results:
    """The results of all items, in order."""

    results: tuple[str, ...]


@attrs.frozen
class Failure:
    """There will be no results; come back after some time."""

    reason: FailureReason
    retry_after_ms: float


Outcome = Results | Failure
