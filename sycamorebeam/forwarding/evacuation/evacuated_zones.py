"""Decides which availability zones are evacuated, and why.

It is designed for a few records that the operator writes and removes at any
time, and for a store that is restored from a copy without the newest ones.
"""

import enum

import attrs

from sycamorebeam.forwarding.evacuation import zone_records

# The operator writes the records that a restored copy of the store lacks
# again within this time of the restore (protocol).
COPY_GRACE_MS = 2_000


class Reason(enum.Enum):
    """Why a zone is evacuated."""

    RECORD = 'record'
    MISSING_IN_COPY = 'missing_in_copy'


@attrs.define
class EvacuatedZones:
    """The zones in which targets get no new requests.

    A zone whose record was known stays evacuated for ``COPY_GRACE_MS`` after
    a read of a restored copy that lacks the record. Without reads, as while
    the store is unavailable, the last known records stay in force.
    """

    _records: zone_records.ZoneRecords = attrs.field(
        init=False, factory=zone_records.ZoneRecords
    )
    _kept_until_ms: dict[str, int] = attrs.field(init=False, factory=dict)

    @property
    def reasons(self) -> dict[str, Reason]:
        """The evacuated zones, each with the reason."""
        return {
            **dict.fromkeys(self._kept_until_ms, Reason.MISSING_IN_COPY),
            **dict.fromkeys(self._records.zones, Reason.RECORD),
        }

    def apply(
        self, changes: zone_records.ZoneChanges, position: int, now_ms: int
    ) -> None:
        """Apply the records of a read up to a position."""
        known = frozenset(self.reasons)
        is_copy = changes.is_whole and self._records.is_copy(position)
        self._records.apply(changes, position)
        if is_copy:
            for zone in known - self._records.zones:
                self._kept_until_ms[zone] = now_ms + COPY_GRACE_MS
        for zone, has_record in changes.has_record.items():
            if has_record or not changes.is_whole:
                # The zone's own record decides, also if it was removed again.
                self._kept_until_ms.pop(zone, None)

    def expire(self, now_ms: int) -> None:
        """End the evacuations whose records were not written again."""
        self._kept_until_ms = {
            zone: until_ms
            for zone, until_ms in self._kept_until_ms.items()
            if now_ms < until_ms
        }
