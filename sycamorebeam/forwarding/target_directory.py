"""Which targets there are, from what they report to the platform's store."""

from collections import Counter
from collections.abc import Iterable

import attrs

from sycamorebeam.forwarding import model

# A target whose entry lapsed while the store was away reports itself again
# within two seconds of the store's return (protocol).
LAPSE_GRACE_MS = 2_000
# Lives of targets that are remembered to be leaving or to have ended, those
# that no entry names any more included.
MAX_INCARNATIONS_KEPT = 4_096


@attrs.frozen
class TargetEntry:
    """What the store holds of one target: a record, or that it is gone."""

    target_id: str
    target: model.Target | None


class TargetDirectory:
    """The targets that may be used.

    While the store is away all known targets stay. Entries that are missing
    at its return stay for a grace period, since they may only have lapsed.
    """

    def __init__(self) -> None:
        self._targets: dict[str, model.Target] = {}
        self._lapsed_until_ms: dict[str, int] = {}
        self._leaving: dict[str, int] = {}
        self._gone: dict[str, int] = {}
        self._returned_ms: int | None = None
        self._by_service: dict[str, list[model.Target]] | None = None
        self._last_read_ms: int | None = None

    @property
    def last_read_ms(self) -> int | None:
        """When the store's entries last arrived; None before the first."""
        return self._last_read_ms

    @property
    def targets(self) -> dict[str, model.Target]:
        """All known targets by id, those that drain included."""
        return self._targets

    def get(self, target_id: str) -> model.Target | None:
        """Return a usable target, None when it is gone or drains."""
        target = self._targets.get(target_id)
        if target is None or not self._may_get_work(target):
            return None
        return target

    def mark_leaving(self, target_id: str, incarnation: int) -> bool:
        """Note that a life of a target leaves; return whether that is new."""
        if self._leaving.get(target_id, -1) >= incarnation:
            return False
        _remember(self._leaving, target_id, incarnation)
        self._by_service = None
        return True

    def usable(self, service: str) -> list[model.Target]:
        """Return the targets of a service that may get new work."""
        if self._by_service is None:
            self._by_service = {}
            for target in self._targets.values():
                if self._may_get_work(target):
                    found = self._by_service.setdefault(target.service, [])
                    found.append(target)
        return self._by_service.get(service, [])

    def most_common_zone(self, addresses: Iterable[str]) -> str | None:
        """Return the zone of the target that most of the addresses name."""
        counted = Counter(addresses).most_common(1)
        for target in self._targets.values():
            if counted and target.address == counted[0][0]:
                return target.availability_zone
        return None

    def record_store_recovery(self, now_ms: int) -> None:
        """Note the first successful read after failed ones."""
        self._returned_ms = now_ms

    def replace(
        self, entries: Iterable[TargetEntry], now_ms: int
    ) -> list[str]:
        """Take a whole listing; return what changed, for the log."""
        return self._replace(entries, now_ms)

    def replace_from_copy(
        self, entries: Iterable[TargetEntry], now_ms: int
    ) -> list[str]:
        """Take a whole listing of a store that is back from a copy.

        What the copy lacks may only have to be written again, and what has
        ended since is used only once it reports anew.
        """
        self.record_store_recovery(now_ms)
        return self._replace(
            (
                entry
                for entry in entries
                if entry.target is None
                or self._gone.get(entry.target_id) != entry.target.incarnation
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
        """Take changed entries in order; return what changed."""
        self._last_read_ms = now_ms
        changes = []
        for entry in entries:
            change = self._take(entry, now_ms)
            if change:
                changes.append(f'{entry.target_id}:{change}')
        return changes

    def expire(self, now_ms: int) -> list[str]:
        """Drop targets whose lapsed entries did not come back."""
        gone = [
            target_id
            for target_id, until_ms in self._lapsed_until_ms.items()
            if now_ms >= until_ms
        ]
        for target_id in gone:
            del self._lapsed_until_ms[target_id]
            self._remove(target_id)
        return [f'{target_id}:lapsed' for target_id in gone]

    def _take(self, entry: TargetEntry, now_ms: int) -> str | None:
        if entry.target is not None:
            return self._put(entry.target)
        if entry.target_id not in self._targets:
            return None
        if self._may_have_lapsed(now_ms):
            assert self._returned_ms is not None
            until_ms = self._returned_ms + LAPSE_GRACE_MS
            self._lapsed_until_ms.setdefault(entry.target_id, until_ms)
            return 'missing'
        self._remove(entry.target_id)
        return 'gone'

    def _put(self, target: model.Target) -> str | None:
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
            # A life that leaves does not come back, whatever an old entry
            # of it says.
            return None
        self._targets[target.target_id] = target
        self._by_service = None
        if target.is_draining and (known is None or not known.is_draining):
            return 'draining'
        return 'ready' if known is None else None

    def _remove(self, target_id: str) -> None:
        target = self._targets.pop(target_id, None)
        if target is not None:
            _remember(self._gone, target_id, target.incarnation)
        self._by_service = None

    def _may_get_work(self, target: model.Target) -> bool:
        left_life = self._leaving.get(target.target_id)
        if left_life is not None and target.incarnation <= left_life:
            return False
        return not target.is_draining

    def _may_have_lapsed(self, now_ms: int) -> bool:
        if self._returned_ms is None:
            return False
        return now_ms < self._returned_ms + LAPSE_GRACE_MS


def _remember(lives: dict[str, int], target_id: str, incarnation: int) -> None:
    """Note a life of a target, and forget the oldest of too many."""
    lives.pop(target_id, None)
    lives[target_id] = incarnation
    if len(lives) > MAX_INCARNATIONS_KEPT:
        del lives[next(iter(lives))]
