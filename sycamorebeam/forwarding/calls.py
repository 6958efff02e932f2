"""One request on its way: its ports, its state, and what attempts yield."""

from typing import Protocol

import attrs

from sycamorebeam import clocks
from sycamorebeam.forwarding import elapsed_times
from sycamorebeam.forwarding import events
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import upstream


class Reply(Protocol):
    """The way back to the caller."""

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
        """Send a whole answer of a target."""
        ...

    async def refuse(self, refusal: requests.Refusal) -> None:
        """Send an answer of this instance's own."""
        ...

    def abort(self) -> None:
        """Break the answer off, so that it cannot look complete."""
        ...


class Codec(Protocol):
    """Heads of requests and answers, as targets speak them."""

    def target_headers(
        self,
        request: requests.CallerRequest,
        target_id: str,
        parameters: requests.SendParameters,
    ) -> list[tuple[str, str]]:
        """Return the headers of a request as a target gets it."""
        ...

    def decode_answer_head(
        self, answer: upstream.Answer
    ) -> requests.AnswerHead:
        """Return the head of a target's answer."""
        ...


@attrs.frozen
class Delivered:
    """The caller has a whole answer."""

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
    """The request may have run; ``answer`` is a target's own failure."""

    error: str
    answer: tuple[requests.AnswerHead, bytes] | None = None


Outcome = Delivered | NotSent | Declined | Broken


@attrs.define(kw_only=True)
class Call:
    """One request on its way."""

    request: requests.CallerRequest
    reply: Reply
    route: model.Route
    service: str
    team: model.Team | None
    deadline: clocks.Deadline
    elapsed_ms: int = 0
    sends: int = 0
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

    @property
    def rank(self) -> int:
        """The rank of the team, or else of the route."""
        if self.team is not None and self.team.rank is not None:
            return self.team.rank
        return self.route.rank

    @property
    def is_caller_retry(self) -> bool:
        """Whether the caller came back after an earlier attempt."""
        return self.elapsed_ms > elapsed_times.CERTAIN_ELAPSED_MS

    @property
    def input_bytes(self) -> float:
        """The size of the results that the target fetches."""
        followed = {
            index for stage in self.route.stages for index in stage.after
        }
        counts = self.request.item_counts
        return sum(
            stage.result_bytes * count
            for position, (stage, count) in enumerate(
                zip(self.route.stages, counts, strict=False)
            )
            if position not in followed
        )

    @property
    def may_send_again(self) -> bool:
        """Whether another target may get the request."""
        if self.sends >= self.route.max_attempts:
            return False
        return not self.may_have_run or self.route.may_repeat
