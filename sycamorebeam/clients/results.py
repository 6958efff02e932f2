"""Typed results of calls to the platform and to targets."""

from collections.abc import Sequence

import attrs


@attrs.frozen
class Appended:
    """The log stored the record at ``offset``."""

    offset: int


@attrs.frozen
class AppendRefused:
    """The record was not appended and never will be."""

    reason: str
    retry_after_ms: int = 0


@attrs.frozen
class AppendUnknown:
    """The record may be in the log, appear there later, or never."""

    reason: str


AppendResult = Appended | AppendRefused | AppendUnknown


@attrs.frozen
class LogRecord:
    """One record read from a stream; ``time_ms`` is by the log's clock."""

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
    """The requested offset is older than the oldest retained record."""

    oldest: int
    next: int


@attrs.frozen
class LogUnavailable:
    """The log could not be read; ``reason`` says why."""

    reason: str


ReadResult = LogPage | LogGap | LogUnavailable


@attrs.frozen
class Replica:
    """One replica of a target group, or one instance of this system."""

    id: str
    group: str
    address: str
    zone: str
    region: str
    leaving: bool = False
    peer_address: str | None = None


@attrs.frozen
class TargetAnswer:
    """A complete, verified answer of a target."""

    output: dict[str, object]
    sent_bytes: int = 0
    received_bytes: int = 0
    tokens: int = 0
    target_request_id: str | None = None
    draining: bool = False


@attrs.frozen
class TargetNotRun:
    """The target certainly ran no part of the attempt."""

    reason: str
    draining: bool = False


@attrs.frozen
class TargetMaybeRun:
    """The target may have run the attempt, in whole or in part."""

    reason: str
    target_request_id: str | None = None


TargetResult = TargetAnswer | TargetNotRun | TargetMaybeRun
