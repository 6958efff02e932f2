"""The records of the claim streams, and the streams that hold them."""

from typing import Any
import uuid

import attrs

from sycamorebeam import claims
from sycamorebeam import hashing
from sycamorebeam import records

STREAM_PREFIX = 'claims.'
RECORD_VERSION = 1


@attrs.frozen(kw_only=True)
class Claim:
    """An attempt asks to own a key.

    ``deadline_ms`` is the time that the caller still gives the request
    when the claim is made.
    """

    key_digest: bytes
    claim_id: str
    request_digest: bytes
    deadline_ms: int
    owner: str


@attrs.frozen(kw_only=True)
class Abandon:
    """A claim whose append had an unknown outcome must not own the key.

    It takes effect only when it precedes the claim in the log.
    """

    key_digest: bytes
    claim_id: str


@attrs.frozen(kw_only=True)
class Release:
    """The owner gives the key up; nothing was or will be dispatched."""

    key_digest: bytes
    claim_id: str


@attrs.frozen(kw_only=True)
class Outcome:
    """How the request that owns the key ended."""

    key_digest: bytes
    claim_id: str
    known: bool
    output: dict[str, Any] | None = None
    target_request_id: str | None = None


@attrs.frozen
class Tick:
    """Tells the log's time on a stream that is seldom written."""


KeyRecord = Claim | Abandon | Release | Outcome
ClaimRecord = KeyRecord | Tick

_TYPES: dict[str, type[ClaimRecord]] = {
    'claim': Claim,
    'abandon': Abandon,
    'release': Release,
    'outcome': Outcome,
    'tick': Tick,
}
_NAMES = {kind: name for name, kind in _TYPES.items()}


def to_record(claim_record: ClaimRecord) -> records.Record:
    """Return the record that carries ``claim_record``."""
    fields = attrs.asdict(claim_record, recurse=False)
    return records.Record(_NAMES[type(claim_record)], RECORD_VERSION, fields)


def from_record(record: records.Record) -> ClaimRecord:
    """Return what ``record`` carries; fields it does not know are ignored.

    Raises VersionError for an unknown type or version: a reader that
    skipped a record could take a key for free that is owned.
    """
    return records.from_fields(
        record, _TYPES, RECORD_VERSION, 'a claim stream'
    )


def stream_of(partition: int) -> str:
    """Return the name of the stream of a partition."""
    return f'{STREAM_PREFIX}{partition}'


def key_digest(key: claims.ClaimKey) -> bytes:
    """Return the digest that stands for ``key`` in records."""
    return hashing.digest_value([key.team, key.pipeline, key.key])


def partition_of(digest: bytes, partitions: int) -> int:
    """Return the partition of a key digest."""
    return int.from_bytes(digest[:8]) % partitions


def created_ms(key: claims.ClaimKey) -> int | None:
    """Return the Unix time in a UUID version 7, None for other keys.

    Only the canonical spelling counts, so that one UUID is one key.
    """
    try:
        value = uuid.UUID(key.key)
    except ValueError:
        return None
    if value.version != 7 or str(value) != key.key:
        return None
    return value.int >> 80
