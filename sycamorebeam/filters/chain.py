"""The filter chain that every request passes through."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

import attrs

from sycamorebeam import answers
from sycamorebeam import catalogue
from sycamorebeam import claims
from sycamorebeam import clocks

EmitTokens = Callable[[Sequence[tuple[int, str]]], Awaitable[None]]


@attrs.define(kw_only=True)
class Request:
    """A caller's request on its way through the filters.

    ``emit_tokens`` sends tokens (index and text) to a streaming caller and
    is None for a plain request; ``emitted`` counts the tokens sent. Filters
    fill in ``team`` and ``pipeline``; ``permit`` is the dispatch permit of
    a request that runs at most once.
    """

    request_id: str
    pipeline_name: str
    body: dict[str, Any]
    deadline: clocks.Deadline | None = None
    deadline_ms: int | None = None
    token: str | None = None
    idempotency_key: str | None = None
    first_attempt: bool = False
    emit_tokens: EmitTokens | None = None
    team_name: str = ''
    team: catalogue.Team | None = None
    pipeline: catalogue.Pipeline | None = None
    permit: claims.DispatchPermit | None = None
    emitted: int = 0


Handler = Callable[[Request], Awaitable[answers.Answer]]


class Filter(Protocol):
    """One filter of the chain: answers a request or calls ``proceed``."""

    async def __call__(
        self, request: Request, proceed: Handler
    ) -> answers.Answer:
        """Return the answer to ``request``."""
        ...


def chain(filters: Sequence[Filter], last: Handler) -> Handler:
    """Return a handler that applies ``filters`` in order, then ``last``."""
    handler = last
    for filter_ in reversed(filters):
        handler = _bind(filter_, handler)
    return handler


def _bind(filter_: Filter, proceed: Handler) -> Handler:
    async def handle(request: Request) -> answers.Answer:
        return await filter_(request, proceed)

    return handle
