"""Converts entries of the store to the rows sent to peers, and back."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
import zlib

import attrs
import msgpack

from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import read_cache
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.evacuation import zone_records

STATE_KEY = 'state'
ZONES_KEY = 'evacuated_zones'


@attrs.frozen
class Answer:
    """Rows from another instance; ``began_ms`` is on this one's clock."""

    rows: tuple[read_cache.Row, ...]
    position: int
    is_whole: bool
    began_ms: int
    evacuations: zone_records.ZoneChanges = attrs.field(
        factory=zone_records.ZoneChanges
    )


def state_row(record: bytes) -> read_cache.Row:
    """Return the row of a desired state in the platform's encoding."""
    return read_cache.Row(STATE_KEY, zlib.compress(record, 1))


def state_read(
    answer: Answer, decode: Callable[[bytes], model.DesiredState | None]
) -> followers.StateRead:
    """Return the desired state in an answer, as a read of the store."""
    state = None
    for row in answer.rows:
        state = decode(zlib.decompress(row.record))
    return followers.StateRead(
        state,
        answer.position,
        as_of_ms=answer.began_ms,
        evacuations=answer.evacuations,
    )


def zones_row(zones: Iterable[str]) -> read_cache.Row:
    """Return the row of all zones that the operator's records name.

    Keys of records may have lone surrogates, which JSON allows.
    """
    return read_cache.Row(
        ZONES_KEY, msgpack.packb(sorted(zones), unicode_errors='surrogatepass')
    )


def decode_zones(record: bytes | None) -> list[str] | None:
    """Return the zones in the record of their row, None without one."""
    return (
        None
        if record is None
        else list(msgpack.unpackb(record, unicode_errors='surrogatepass'))
    )


def targets_read(answer: Answer) -> followers.TargetsRead:
    """Return the targets' entries in an answer, as a read of the store."""
    return followers.TargetsRead(
        target_entries(answer.rows),
        answer.position,
        answer.is_whole,
        is_paced=True,
    )


def instance_rows(
    entries: Iterable[membership.InstanceEntry],
) -> list[read_cache.Row]:
    """Return the rows of a listing of instances."""
    return [
        read_cache.Row(entry.instance_id, msgpack.packb(attrs.asdict(entry)))
        for entry in entries
    ]


def instance_entries(
    rows: Iterable[read_cache.Row],
) -> list[membership.InstanceEntry]:
    """Return the listing of instances in rows."""
    return [
        membership.InstanceEntry(**msgpack.unpackb(row.record)) for row in rows
    ]


def target_rows(
    entries: Iterable[target_directory.TargetEntry],
) -> list[read_cache.Row]:
    """Return the rows of targets' entries; a deleted one has no record."""
    return [
        read_cache.Row(
            entry.target_id,
            b''
            if entry.target is None
            else msgpack.packb(_target_fields(entry.target)),
        )
        for entry in entries
    ]


def target_entries(
    rows: Iterable[read_cache.Row],
) -> tuple[target_directory.TargetEntry, ...]:
    """Return the targets' entries in rows."""
    return tuple(
        target_directory.TargetEntry(
            row.key,
            _decode_target(msgpack.unpackb(row.record))
            if row.record
            else None,
        )
        for row in rows
    )


def _target_fields(target: model.Target) -> dict[str, Any]:
    """Return the fields of a target that instances pass on.

    Instances of earlier versions don't know the time that a target is cold.
    It is left out where it is 0, as it is at deployments without cold starts.
    """
    fields = attrs.asdict(target)
    if not target.cold_remaining_ms:
        del fields['cold_remaining_ms']
    return fields


def _decode_target(fields: dict[str, Any]) -> model.Target:
    """Return the target in a row; fields of later versions are skipped."""
    known = {field.name for field in attrs.fields(model.Target)}
    return model.Target(
        **{name: value for name, value in fields.items() if name in known}
    )
