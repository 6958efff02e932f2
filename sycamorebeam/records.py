"""The encoding of records on the log.

One append carries an envelope of one or more records, so that many small
records cost one append. The position of a record in the total order of its
stream is the pair of its envelope's offset and its index in the envelope.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import TypeVar

import attrs
import msgpack

from sycamorebeam import errors

ENVELOPE_FORMAT = 1

T = TypeVar('T', bound='attrs.AttrsInstance')


@attrs.frozen
class Record:
    """A record of a stream: its type, the type's version and the fields."""

    type: str
    version: int
    fields: dict[str, Any]


def pack_envelope(records: Sequence[Record]) -> bytes:
    """Return the bytes of one append that carries ``records``."""
    body = [[record.type, record.version, record.fields] for record in records]
    return msgpack.packb([ENVELOPE_FORMAT, body])


def unpack_envelope(data: bytes) -> tuple[Record, ...]:
    """Return the records of one append.

    Raises VersionError when the envelope has an unknown format.
    """
    try:
        envelope_format, body = msgpack.unpackb(data)
        known = envelope_format == ENVELOPE_FORMAT
        records = tuple(Record(*item) for item in body) if known else ()
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise errors.VersionError(
            f'a log record is not an envelope ({error})',
            'check what else writes to this stream',
        ) from error
    if not known:
        raise errors.VersionError(
            f'a log record has envelope format {envelope_format}',
            'run a newer version of this program',
        )
    return records


def from_fields(
    record: Record, types: Mapping[str, type[T]], version: int, stream: str
) -> T:
    """Return the attrs object that the fields of ``record`` describe.

    Fields that its class does not have are ignored. Raises VersionError,
    which names ``stream``, for an unknown type or version and for missing
    fields: a reader must not skip a record that it cannot decode.
    """
    kind = types.get(record.type)
    if kind is None or record.version != version:
        raise errors.VersionError(
            f'{stream} has a record {record.type!r} of version '
            f'{record.version}',
            'run a newer version of this program',
        )
    names = {field.name for field in attrs.fields(kind)}
    known = {
        name: value for name, value in record.fields.items() if name in names
    }
    try:
        return kind(**known)
    except TypeError as error:
        raise errors.VersionError(
            f'{stream} has a malformed {record.type!r} ({error})',
            'check what else writes to this stream',
        ) from error
