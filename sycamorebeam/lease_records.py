"""The records of the lease streams, and the streams that hold them."""

import attrs

from sycamorebeam import hashing
from sycamorebeam import records

STREAM_PREFIX = 'leases.'
RECORD_VERSION = 1
# All fencing numbers of an engine are offsets of one stream, so this number
# must not change on a log that is in use.
PARTITIONS = 4


@attrs.frozen(kw_only=True)
class Lease:
    """``holder``, one process, acquires the lease of an engine."""

    engine: str
    holder: str


@attrs.frozen(kw_only=True)
class Renew:
    """The holder of the lease at offset ``fence`` extends it."""

    engine: str
    holder: str
    fence: int


@attrs.frozen(kw_only=True)
class Release:
    """The holder of the lease at offset ``fence`` gives it up."""

    engine: str
    holder: str
    fence: int


LeaseRecord = Lease | Renew | Release

_TYPES: dict[str, type[LeaseRecord]] = {
    'lease': Lease,
    'renew': Renew,
    'release': Release,
}
_NAMES = {kind: name for name, kind in _TYPES.items()}


def to_record(lease_record: LeaseRecord) -> records.Record:
    """Return the record that carries ``lease_record``."""
    return records.Record(
        _NAMES[type(lease_record)], RECORD_VERSION, attrs.asdict(lease_record)
    )


def from_record(record: records.Record) -> LeaseRecord:
    """Return the lease record in ``record``, ignoring unknown fields.

    Raises VersionError for an unknown type or version: a reader that
    skipped a lease could treat an older one as valid.
    """
    return records.from_fields(
        record, _TYPES, RECORD_VERSION, 'a lease stream'
    )


def stream_of(engine: str) -> str:
    """Return the name of the stream that holds an engine's leases."""
    digest = hashing.digest(engine.encode())
    return f'{STREAM_PREFIX}{int.from_bytes(digest[:8]) % PARTITIONS}'
