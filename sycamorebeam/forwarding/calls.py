"""A request in progress: its interfaces, its state, outcomes of attempts."""

from typing import Protocol

import attrs

from sycamorebeam import clocks
from sycamorebeam.forwarding import elapsed_times
from sycamorebeam.forwarding import events
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import upstream
from sycamorebeam.forwarding.regions import region_filter


class Reply(Protocol):
    """Sends the answer to the caller."""

    @property
    def has_begun(self) -> bool:
        """Whether the caller may have received a part of an answer."""
        ...

    async def begin(self, head: requests.AnswerHead) -> None:
        """Begin a streamed answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        ...

    async def end(self) -> None:
        """End a streamed answer as complete."""
        ...

    async def send_whole(self, head: requests.AnswerHead, body: bytes) -> None:
        """Send a complete answer of a target."""
        ...

    async def refuse(self, refusal: requests.Refusal) -> None:
        """Send an answer that this instance generated."""
        ...

    def abort(self) -> None:
        """Abort the connection, so that the answer cannot look complete."""
        ...


class Codec(Protocol):
    """Encodes headers for targets and decodes the heads of answers."""

    def target_headers(
        self,
        request: requests.CallerRequest,
        target_id: str,
        parameters: requests.SendParameters,
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to a target."""
        ...

    def decode_answer_head(
        self, answer: upstream.Answer
    ) -> requests.AnswerHead:
        """Return the head of a target's answer."""
        ...


@attrs.frozen
class Delivered:
    """The caller was sent a complete answer."""

    status: int


@attrs.frozen
class NotSent:
    """Nothing reached the target."""

    error: str


@attrs.frozen
class Declined:
    """The target did not run the request, and never will."""

    status: int


@attrs.frozen
class Broken:
    """The request may have run; ``answer`` is the target's error, if any."""

    error: str
    answer: tuple[requests.AnswerHead, bytes] | None = None


@attrs.frozen
class Withheld:
    """Nothing was sent, since the prompt would crash the target."""

    retry_after_ms: float


@attrs.frozen
class Limited:
    """Nothing was sent, since no target may take another request now."""

    retry_after_ms: float
    reason: str = 'targets may be cold'


Outcome = Delivered | NotSent | Declined | Broken | Withheld | Limited


@attrs.define(kw_only=True)
class Call:
    """A request in progress, with what the log reports at its end.

    ``elapsed_ms`` is how long the caller waited before this attempt. The
    first event of any target arrived at ``begun_ms``, that of the last target
    at ``attempt_begun_ms``. The target for the next send was chosen at
    ``chosen_ms`` at the earliest.
    """

    request: requests.CallerRequest
    reply: Reply
    route: model.Route
    service: str
    team: model.Team | None
    deadline: clocks.Deadline
    elapsed_ms: int = 0
    sends: int = 0
    chosen_ms: int = 0
    connect_failures: int = 0
    excluded: set[str] = attrs.field(factory=set)
    has_begun: bool = False
    may_have_run: bool = False
    splitter: events.EventSplitter = attrs.field(factory=events.EventSplitter)
    last_target_id: str = ''
    detail: str = ''
    stages_ms: dict[int, int] = attrs.field(factory=dict)
    sent_ms: int | None = None
    begun_ms: int | None = None
    attempt_begun_ms: int | None = None

    @property
    def limit_ms(self) -> int:
        """How long the request may take from its arrival."""
        return self.deadline.at_ms - self.request.arrived_ms

    @property
    def rank(self) -> int:
        """The rank of the team, or else of the route."""
        if self.team is not None and self.team.rank is not None:
            return self.team.rank
        return self.route.rank

    @property
    def allowed_regions(self) -> region_filter.AllowedRegions:
        """The regions that may serve the request."""
        return region_filter.of_request(self.route, self.team)

    @property
    def is_caller_retry(self) -> bool:
        """Whether the caller made an earlier attempt."""
        return self.elapsed_ms > elapsed_times.CERTAIN_ELAPSED_MS

    @property
    def input_bytes(self) -> float:
        """The size of the results that the target fetches."""
        consumed = {
            index for stage in self.route.stages for index in stage.after
        }
        counts = self.request.item_counts
        return sum(
            stage.result_bytes * count
            for position, (stage, count) in enumerate(
                zip(self.route.stages, counts, strict=False)
            )
            if position not in consumed
        )

    @property
    def may_send_again(self) -> bool:
        """Whether the request may be sent to another target."""
        if self.sends >= self.route.max_attempts:
            return False
        return not self.may_have_run or self.route.may_repeat
