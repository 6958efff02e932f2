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
    """An attempt to become the owner of a key.

    ``deadline_ms`` is the time left of the caller's deadline when the claim
    is made.
    """

    key_digest: bytes
    claim_id: str
    request_digest: bytes
    deadline_ms: int
    owner: str


@attrs.frozen(kw_only=True)
class Abandon:
    """Bars a claim whose append had an unknown outcome from owning the key.

    It takes effect only if it precedes the claim in the log.
    """

    key_digest: bytes
    claim_id: str


@attrs.frozen(kw_only=True)
class Release:
    """Frees the key: its owner has dispatched nothing and never will."""

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
    """Makes the log's time known on a stream with few other records."""


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
    """Return the claim record in ``record``, ignoring unknown fields.

    Raises VersionError for an unknown type or version: a reader that
    skipped a record could treat an owned key as free.
    """
    return records.from_fields(
        record, _TYPES, RECORD_VERSION, 'a claim stream'
    )


def stream_of(partition: int) -> str:
    """Return the name of the stream of a partition."""
    return f'{STREAM_PREFIX}{partition}'


def key_digest(key: claims.ClaimKey) -> bytes:
    """Return the digest that identifies ``key`` in records."""
    return hashing.digest_value([key.team, key.pipeline, key.key])


def partition_of(digest: bytes, partitions: int) -> int:
    """Return the partition of a key digest."""
    return int.from_bytes(digest[:8]) % partitions


def created_ms(key: claims.ClaimKey) -> int | None:
    """Return the Unix time in a UUID version 7, None for other keys.

    Only the canonical spelling is accepted, so that one UUID is one key.
    """
    try:
        value = uuid.UUID(key.key)
    except ValueError:
        return None
    if value.version != 7 or str(value) != key.key:
        return None
    return value.int >> 80
