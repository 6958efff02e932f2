"""Combines reads of the operator's records into the zones to evacuate.

It is designed for reads that come from the store or from other instances in
any order, so that a reader that lags behind never undoes a newer record.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from sycamorebeam.forwarding import positions


@attrs.frozen
class ZoneChanges:
    """Zones with a record (True) or a removed one (False), from one read.

    If it ``is_whole``, zones that are not listed have no record.
    """

    has_record: Mapping[str, bool] = attrs.field(factory=dict)
    is_whole: bool = False

    @property
    def zones(self) -> frozenset[str]:
        """The zones with a record."""
        return frozenset(
            zone for zone, has_record in self.has_record.items() if has_record
        )


def whole(zones: Iterable[str]) -> ZoneChanges:
    """Return a read of all records, which name the given zones."""
    return ZoneChanges(dict.fromkeys(sorted(zones), True), is_whole=True)


@attrs.define
class ZoneRecords:
    """The zones that the records name at the newest position read.

    ``position`` is None before the first full read.
    """

    position: int | None = None
    zones: frozenset[str] = frozenset()

    def is_copy(self, position: int) -> bool:
        """Whether a read shows a copy from which the store was restored."""
        return self.position is not None and (
            positions.era_of(position) > positions.era_of(self.position)
        )

    def apply(self, changes: ZoneChanges, position: int) -> ZoneChanges:
        """Apply a read up to a position; return what it changes.

        The change is whole at the first read and after a restore, where a
        missing record is not a removed one. Reads older than the newest one
        are ignored.
        """
        if changes.is_whole:
            if self.position is not None and position < self.position:
                return ZoneChanges()
            zones = changes.zones
        else:
            if self.position is None or position <= self.position:
                return ZoneChanges()
            zones = self.zones.difference(changes.has_record) | changes.zones
        is_new = self.position is None or self.is_copy(position)
        before, self.zones = self.zones, zones
        self.position = position
        if is_new:
            return whole(zones)
        return ZoneChanges(
            {zone: zone in zones for zone in sorted(before ^ zones)}
        )
