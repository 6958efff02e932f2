"""Typed results of calls to the platform and to targets."""

from collections.abc import Sequence

import attrs


@attrs.frozen
class Appended:
    """The log holds the record at ``offset``."""

    offset: int


@attrs.frozen
class AppendRefused:
    """The log holds nothing of the record."""

    reason: str
    retry_after_ms: int = 0


@attrs.frozen
class AppendUnknown:
    """The record may be in the log, may appear later, or never."""

    reason: str


AppendResult = Appended | AppendRefused | AppendUnknown


@attrs.frozen
class LogRecord:
    """One record as read from a stream; ``time_ms`` is the log's clock."""

    offset: int
    time_ms: int
    data: bytes


@attrs.frozen
class LogPage:
    """Consecutive records and the bounds of the stream."""

    oldest: int
    next: int
    records: Sequence[LogRecord]


@attrs.frozen
class LogGap:
    """The offset asked for is older than the oldest record kept."""

    oldest: int
    next: int


@attrs.frozen
class LogUnavailable:
    """The log did not answer a read."""

    reason: str


ReadResult = LogPage | LogGap | LogUnavailable


@attrs.frozen
class Replica:
    """One replica of a target group, or one of our own instances."""

    id: str
    group: str
    address: str
    zone: str
    region: str
    leaving: bool = False
    peer_address: str | None = None


@attrs.frozen
class TargetAnswer:
    """A whole, verified answer of a target."""

    output: dict[str, object]
    sent_bytes: int = 0
    received_bytes: int = 0
    tokens: int = 0
    target_request_id: str | None = None
    draining: bool = False


@attrs.frozen
class TargetNotRun:
    """The target provably did nothing for this attempt."""

    reason: str
    draining: bool = False


@attrs.frozen
class TargetMaybeRun:
    """The target may have run the attempt, in whole or in part."""

    reason: str
    target_request_id: str | None = None


TargetResult = TargetAnswer | TargetNotRun | TargetMaybeRun
