"""Puts the evacuation of zones in force at this instance."""

from sycamorebeam import telemetry
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.evacuation import evacuated_zones
from sycamorebeam.forwarding.evacuation import zone_records


class Evacuations:
    """Excludes the targets of evacuated zones from the directory."""

    def __init__(self, directory: target_directory.TargetDirectory) -> None:
        self._directory = directory
        self._zones = evacuated_zones.EvacuatedZones()
        self._reasons: dict[str, evacuated_zones.Reason] = {}

    @property
    def count(self) -> int:
        """The number of evacuated zones."""
        return len(self._reasons)

    def apply(
        self, changes: zone_records.ZoneChanges, position: int, now_ms: int
    ) -> None:
        """Put the records of a read up to a position in force."""
        self._zones.apply(changes, position, now_ms)
        self.expire(now_ms)

    def expire(self, now_ms: int) -> None:
        """End evacuations that a restored copy of the store lacks."""
        self._zones.expire(now_ms)
        before, self._reasons = self._reasons, self._zones.reasons
        if self._reasons == before:
            return
        self._directory.set_evacuated_zones(frozenset(self._reasons))
        for zone, reason in self._reasons.items():
            if before.get(zone) is not reason:
                telemetry.log_event(
                    'zone_evacuated',
                    'WARNING',
                    zone=zone,
                    reason=reason.value,
                    targets=self._directory.count_in_zone(zone),
                )
        for zone, reason in before.items():
            if zone not in self._reasons:
                telemetry.log_event(
                    'zone_in_use_again',
                    zone=zone,
                    evacuated_by=reason.value,
                    targets=self._directory.count_in_zone(zone),
                )
