"""Callers' requests, heads of answers, and refusals, in decoded form."""

import attrs

from sycamorebeam import clocks
from sycamorebeam.forwarding import model

# Tell a caller that its request has not run, and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.frozen
class PromptPart:
    """A part of a prompt; parts with the same id have the same text."""

    part_id: str
    tokens: int


@attrs.frozen
class TokenUsage:
    """The tokens of a prompt, and the most that its answer may have."""

    prompt_tokens: int
    max_output_tokens: int


@attrs.frozen(kw_only=True)
class CallerRequest:
    """One attempt of a caller, decoded.

    ``headers`` are those to pass on, ``key`` is the API key; ``item_counts``
    has the number of items of each stage, and ``item_key`` identifies the
    request's data there. ``token_usage`` is the size of its prompt and
    answer, None if the caller does not state it.
    """

    attempt_id: str
    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_ms: int
    deadline_ms: float | None
    key: str | None
    prompt: tuple[PromptPart, ...] = ()
    item_counts: tuple[int, ...] = ()
    item_key: str = ''
    last_event_id: str | None = None
    token_usage: TokenUsage | None = None

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """The ids of the parts that other requests may share."""
        return tuple(part.part_id for part in self.prompt[:-1])

    @property
    def session_part(self) -> PromptPart | None:
        """The last part that other requests may share."""
        return self.prompt[-2] if len(self.prompt) > 1 else None


@attrs.frozen(kw_only=True)
class SendParameters:
    """What the headers of one attempt tell its target."""

    remaining_ms: int
    team: str | None
    rank: int
    results: tuple[str, ...] | None = None
    last_event_id: str | None = None


@attrs.frozen(kw_only=True)
class AnswerHead:
    """The head of a target's answer.

    ``is_executed`` is False only where the target says that the request
    has not run, ``is_misdirected`` True where another target has the address.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    attempt_id: str | None
    is_signed: bool
    is_executed: bool
    is_misdirected: bool
    has_encoding: bool
    feedback: model.Feedback = model.NO_FEEDBACK

    @property
    def load(self) -> model.LoadReport | None:
        """The load that the target reports, None if it reports none."""
        return self.feedback.load


@attrs.frozen(kw_only=True)
class Refusal:
    """An answer that this instance generates.

    Status 503 promises that no target ran the request or ever will.
    """

    status: int
    reason: str
    retry_after_ms: float | None = None


def unavailable(reason: str, retry_after_ms: float) -> Refusal:
    """Return the refusal of a request that has not run."""
    return Refusal(status=503, reason=reason, retry_after_ms=retry_after_ms)


def compute_deadline(
    request: CallerRequest, timeout_ms: float, clock: clocks.Clock
) -> clocks.Deadline:
    """Return the deadline, the earlier of the route's and the caller's."""
    allowed_ms = timeout_ms
    if request.deadline_ms is not None:
        allowed_ms = min(allowed_ms, request.deadline_ms)
    return clocks.Deadline(at_ms=request.arrived_ms + int(allowed_ms))
