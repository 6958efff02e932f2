"""The interfaces at which fakes replace the platform and the targets."""

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
        """Append one record, in exactly one call to the service."""
        ...

    async def read(
        self, stream: str, start: int, limit: int = 100, wait_ms: int = 0
    ) -> results.ReadResult:
        """Read records from offset ``start`` on."""
        ...

    async def bounds(
        self, stream: str
    ) -> results.LogPage | results.LogUnavailable:
        """Return the bounds of a stream, with no records."""
        ...


OnToken = Callable[[int, str], Awaitable[None]]
OnTokens = Callable[[Sequence[tuple[int, str]]], Awaitable[None]]
BeforeSend = Callable[[], None]


@attrs.frozen(kw_only=True)
class Attempt:
    """One try of one stage at one replica.

    ``on_token`` gets the index and text of each token of a generating
    stage, in order and each once; ``on_tokens``, if set, gets them instead,
    those that came together in one call. ``fresh_connection`` asks for a
    connection on which nothing was sent before. ``before_send`` runs when
    the connection stands, right before the first byte of the call; when it
    raises, nothing is sent.
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
    """What a replica says of its load; ``age_ms`` is the report's lag."""

    running: int
    waiting: int
    capacity: int
    draining: bool
    age_ms: int


class TargetClient(Protocol):
    """Calls to targets, see ``docs/protocols/targets.md``."""

    async def call(
        self,
        kind: catalogue.TargetKind,
        replica: results.Replica,
        attempt: Attempt,
    ) -> results.TargetResult:
        """Send one attempt; cancelling this task cancels it there."""
        ...

    async def load(self, replica: results.Replica) -> LoadReport | None:
        """Return the replica's load report, None when it gave none."""
        ...
