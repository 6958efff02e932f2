"""Keeps the targets that are registered in the store of the platform."""

from collections import Counter
from collections.abc import Iterable

import attrs

from sycamorebeam.forwarding import model

# A target whose entry lapsed while the store was unavailable writes it again
# within two seconds of the store's recovery (protocol).
LAPSE_GRACE_MS = 2_000
# Leaving and removed incarnations that are remembered, also of targets that
# have no entry any more.
MAX_INCARNATIONS_KEPT = 4_096


@attrs.frozen
class TargetEntry:
    """A target's record in the store; ``target`` is None if it was removed."""

    target_id: str
    target: model.Target | None


class TargetDirectory:
    """Holds the known targets, and selects those that accept requests.

    While the store is unavailable, all known targets are kept. Targets whose
    entries are missing when it recovers are kept for a grace period, since
    the entries may only have lapsed.
    """

    def __init__(self) -> None:
        self._targets: dict[str, model.Target] = {}
        self._lapsed_until_ms: dict[str, int] = {}
        self._leaving_incarnations: dict[str, int] = {}
        self._removed_incarnations: dict[str, int] = {}
        self._recovered_ms: int | None = None
        self._evacuated_zones: frozenset[str] = frozenset()
        self._by_service: dict[str, list[model.Target]] | None = None
        self._last_read_ms: int | None = None

    @property
    def last_read_ms(self) -> int | None:
        """When entries of the store last arrived, None before the first."""
        return self._last_read_ms

    @property
    def targets(self) -> dict[str, model.Target]:
        """All known targets by id, including those that are draining."""
        return self._targets

    def get(self, target_id: str) -> model.Target | None:
        """Return a target, None if it is unknown or accepts no requests."""
        target = self._targets.get(target_id)
        if target is None or not self._accepts_work(target):
            return None
        return target

    def mark_leaving(self, target_id: str, incarnation: int) -> bool:
        """Mark an incarnation as leaving; return whether this is new."""
        if self._leaving_incarnations.get(target_id, -1) >= incarnation:
            return False
        _record_incarnation(self._leaving_incarnations, target_id, incarnation)
        self._by_service = None
        return True

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Set the zones in which targets accept no requests."""
        self._evacuated_zones = zones
        self._by_service = None

    def is_zone_evacuated(self, zone: str) -> bool:
        """Whether targets in a zone accept no requests."""
        return zone in self._evacuated_zones

    def is_evacuated(self, target_id: str) -> bool:
        """Whether a known target is in an evacuated zone."""
        target = self._targets.get(target_id)
        return (
            target is not None
            and target.availability_zone in self._evacuated_zones
        )

    def count_in_zone(self, zone: str) -> int:
        """Return the number of known targets in a zone."""
        return sum(
            target.availability_zone == zone
            for target in self._targets.values()
        )

    def usable(self, service: str) -> list[model.Target]:
        """Return the targets of a service that accept requests."""
        if self._by_service is None:
            self._by_service = {}
            for target in self._targets.values():
                if self._accepts_work(target):
                    usable = self._by_service.setdefault(target.service, [])
                    usable.append(target)
        return self._by_service.get(service, [])

    def most_common_zone(self, addresses: Iterable[str]) -> str | None:
        """Return the zone of the target whose address occurs most often."""
        most_common = Counter(addresses).most_common(1)
        for target in self._targets.values():
            if most_common and target.address == most_common[0][0]:
                return target.availability_zone
        return None

    def record_store_recovery(self, now_ms: int) -> None:
        """Start the grace period at the first read after failed ones."""
        self._recovered_ms = now_ms

    def replace(
        self, entries: Iterable[TargetEntry], now_ms: int
    ) -> list[str]:
        """Replace all entries; return the changes for the log."""
        return self._replace(entries, now_ms)

    def replace_from_copy(
        self, entries: Iterable[TargetEntry], now_ms: int
    ) -> list[str]:
        """Replace all entries by those of a store restored from a copy.

        Targets that the copy lacks are kept for the grace period, in which
        they write their entries again. An incarnation that was removed but
        is still in the copy is used only after it has written its entry again.
        """
        self.record_store_recovery(now_ms)
        return self._replace(
            (
                entry
                for entry in entries
                if entry.target is None
                or self._removed_incarnations.get(entry.target_id)
                != entry.target.incarnation
            ),
            now_ms,
        )

    def _replace(
        self, entries: Iterable[TargetEntry], now_ms: int
    ) -> list[str]:
        listed = {entry.target_id: entry for entry in entries}
        missing = [
            TargetEntry(target_id, None)
            for target_id in self._targets
            if target_id not in listed
        ]
        return self.update([*listed.values(), *missing], now_ms)

    def update(self, entries: Iterable[TargetEntry], now_ms: int) -> list[str]:
        """Apply changed entries in order; return the changes for the log."""
        self._last_read_ms = now_ms
        changes = []
        for entry in entries:
            change = self._apply(entry, now_ms)
            if change:
                changes.append(f'{entry.target_id}:{change}')
        return changes

    def expire(self, now_ms: int) -> list[str]:
        """Remove targets whose lapsed entries were not written again."""
        lapsed = [
            target_id
            for target_id, until_ms in self._lapsed_until_ms.items()
            if now_ms >= until_ms
        ]
        for target_id in lapsed:
            del self._lapsed_until_ms[target_id]
            self._remove(target_id)
        return [f'{target_id}:lapsed' for target_id in lapsed]

    def _apply(self, entry: TargetEntry, now_ms: int) -> str | None:
        if entry.target is not None:
            return self._store(entry.target)
        if entry.target_id not in self._targets:
            return None
        if self._may_have_lapsed(now_ms):
            assert self._recovered_ms is not None
            until_ms = self._recovered_ms + LAPSE_GRACE_MS
            self._lapsed_until_ms.setdefault(entry.target_id, until_ms)
            return 'missing'
        self._remove(entry.target_id)
        return 'gone'

    def _store(self, target: model.Target) -> str | None:
        known = self._targets.get(target.target_id)
        self._lapsed_until_ms.pop(target.target_id, None)
        if known == target:
            return None
        if known is not None and target.incarnation < known.incarnation:
            return None
        if (
            known is not None
            and known.is_draining
            and target.incarnation == known.incarnation
        ):
            # A draining incarnation never becomes ready again: this entry
            # is an old one.
            return None
        self._targets[target.target_id] = target
        self._by_service = None
        if target.is_draining and (known is None or not known.is_draining):
            return 'draining'
        return 'ready' if known is None else None

    def _remove(self, target_id: str) -> None:
        target = self._targets.pop(target_id, None)
        if target is not None:
            _record_incarnation(
                self._removed_incarnations, target_id, target.incarnation
            )
        self._by_service = None

    def _accepts_work(self, target: model.Target) -> bool:
        last_leaving = self._leaving_incarnations.get(target.target_id)
        if last_leaving is not None and target.incarnation <= last_leaving:
            return False
        if target.availability_zone in self._evacuated_zones:
            return False
        return not target.is_draining

    def _may_have_lapsed(self, now_ms: int) -> bool:
        if self._recovered_ms is None:
            return False
        return now_ms < self._recovered_ms + LAPSE_GRACE_MS


def _record_incarnation(
    incarnations: dict[str, int], target_id: str, incarnation: int
) -> None:
    """Record an incarnation, and drop the oldest one above the limit."""
    incarnations.pop(target_id, None)
    incarnations[target_id] = incarnation
    if len(incarnations) > MAX_INCARNATIONS_KEPT:
        del incarnations[next(iter(incarnations))]
