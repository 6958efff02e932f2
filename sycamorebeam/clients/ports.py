"""Interfaces to the platform and the targets, which tests implement too."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

import attrs

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam.clients import results


class Log(Protocol):
    """The platform's log service, see ``docs/protocols/log.md``."""

    async def append(self, stream: str, data: bytes) -> results.AppendResult:
        """Append one record with a single request, without retries."""
        ...

    async def read(
        self, stream: str, start: int, limit: int = 100, wait_ms: int = 0
    ) -> results.ReadResult:
        """Read records from offset ``start`` on."""
        ...

    async def bounds(
        self, stream: str
    ) -> results.LogPage | results.LogUnavailable:
        """Return the bounds of a stream, without records."""
        ...


OnToken = Callable[[int, str], Awaitable[None]]
OnTokens = Callable[[Sequence[tuple[int, str]]], Awaitable[None]]
BeforeSend = Callable[[], None]


@attrs.frozen(kw_only=True)
class Attempt:
    """One attempt of one stage at one replica.

    ``on_token`` is called with the index and text of each token of a
    generating stage, in order and once each. ``on_tokens``, if set, is
    called instead, with all tokens that arrived together.
    ``fresh_connection`` asks for a connection on which nothing was sent
    before. ``before_send`` runs once the connection is established, right
    before the first byte of the call; if it raises, nothing is sent.
    """

    id: str
    operation: str
    input: dict[str, Any]
    deadline: clocks.Deadline
    model: str | None = None
    max_tokens: int = 64
    priority: int = 1
    on_token: OnToken | None = None
    on_tokens: OnTokens | None = None
    fresh_connection: bool = False
    before_send: BeforeSend | None = None


@attrs.frozen(kw_only=True)
class LoadReport:
    """The load that a replica reports, as of ``age_ms`` ago."""

    running: int
    waiting: int
    capacity: int
    draining: bool
    age_ms: int


class TargetClient(Protocol):
    """Client of targets, see ``docs/protocols/targets.md``."""

    async def call(
        self,
        kind: catalogue.TargetKind,
        replica: results.Replica,
        attempt: Attempt,
    ) -> results.TargetResult:
        """Send one attempt; cancelling the task cancels it at the target."""
        ...

    async def load(self, replica: results.Replica) -> LoadReport | None:
        """Return the replica's load report, None if there is none."""
        ...
