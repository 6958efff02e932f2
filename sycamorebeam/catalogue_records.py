"""The records of the catalogue's stream and their versions.

The stream has a format level. Every reader rejects a record whose version
is above the current level, whether it knows the version or not. A record
at or below the level whose version this program does not know raises
VersionError: the reader stops before it. An operator raises the level once
every instance can read the new version; writers use it only after that.
"""

from typing import Any

import attrs
import msgpack

from sycamorebeam import errors
from sycamorebeam import records

STREAM = 'catalogue'
FIRST_LEVEL = 1
KNOWN_VERSION = 1
MAX_EDITS = 250

_CHANGE = 'change'
_FORMAT = 'format'


@attrs.frozen
class Edit:
    """A new value of one entry, None to remove it.

    ``base_revision`` is the revision that the edit was made from,
    ``catalogue_store.ABSENT`` for an entry that did not exist.
    """

    key: str
    base_revision: int
    value: dict[str, Any] | None


@attrs.frozen(kw_only=True)
class Change:
    """Edits that are accepted together or not at all."""

    id: str
    author: str
    time_ms: int
    reason: str
    edits: tuple[Edit, ...]


@attrs.frozen(kw_only=True)
class FormatLevel:
    """Lets writers use the record versions up to ``level``."""

    id: str
    author: str
    time_ms: int
    level: int


@attrs.frozen
class Unusable:
    """A record that every reader rejects, and the reason."""

    reason: str


ParsedRecord = Change | FormatLevel | Unusable


def to_record(change: Change | FormatLevel) -> records.Record:
    """Return the log record of a change or a format level."""
    match change:
        case Change():
            return records.Record(_CHANGE, 1, attrs.asdict(change))
        case FormatLevel():
            return records.Record(_FORMAT, 1, attrs.asdict(change))


def parse(data: bytes, level: int) -> tuple[ParsedRecord, ...]:
    """Return the records of one append under format level ``level``.

    Raises VersionError when the level allows a version of the envelope or
    of a record that this program cannot read.
    """
    try:
        envelope = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException):
        return (Unusable('not an envelope'),)
    match envelope:
        case [int() as envelope_format, *_] if envelope_format > level:
            return (Unusable('the envelope format is not enabled'),)
        case [int() as envelope_format, *_]:
            _check_known(envelope_format, records.ENVELOPE_FORMAT, 'envelope')
        case _:
            return (Unusable('not an envelope'),)
    try:
        unpacked = records.unpack_envelope(data)
    except errors.VersionError:
        return (Unusable('not an envelope'),)
    return tuple(_parse_record(record, level) for record in unpacked)


def _check_known(version: int, known: int, name: str) -> None:
    if version > known:
        raise errors.VersionError(
            f'the catalogue has a {name} of version {version}, this program '
            f'reads up to {known}',
            'run a newer version of this program',
        )


def _parse_record(record: records.Record, level: int) -> ParsedRecord:
    version = record.version
    if not _is_number(version):
        return Unusable('the record has no version')
    if version > level:
        return Unusable(f'version {version} is not enabled')
    _check_known(version, KNOWN_VERSION, 'record')
    try:
        match record.type:
            case 'change':
                return _parse_change(**record.fields)
            case 'format':
                return _parse_format_level(**record.fields)
            case _:
                return Unusable(f'no record has the type {record.type!r:.50}')
    except (TypeError, ValueError) as error:
        return Unusable(f'malformed record ({error})'[:200])


def _parse_change(
    *, id: str, author: str, time_ms: int, reason: str, edits: list[Any]
) -> Change:
    if not 0 < len(edits) <= MAX_EDITS:
        raise ValueError(f'{len(edits)} edits')
    return Change(
        id=_require_text(id),
        author=_require_text(author),
        time_ms=_require_number(time_ms),
        reason=_require_text(reason),
        edits=tuple(_parse_edit(**edit) for edit in edits),
    )


def _parse_edit(
    *, key: str, base_revision: int, value: dict[str, Any] | None
) -> Edit:
    if not isinstance(value, dict | None):
        raise TypeError('the value of an edit is not a map')
    return Edit(_require_text(key), _require_number(base_revision), value)


def _parse_format_level(
    *, id: str, author: str, time_ms: int, level: int
) -> FormatLevel:
    return FormatLevel(
        id=_require_text(id),
        author=_require_text(author),
        time_ms=_require_number(time_ms),
        level=_require_number(level),
    )


def _require_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError('a text is missing')
    return value


def _require_number(value: object) -> int:
    if not _is_number(value):
        raise TypeError('a number is missing')
    return value  # type: ignore[return-value]


def _is_number(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
