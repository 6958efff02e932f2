"""The other instances: who they are, and which one owns a queue."""

from collections import Counter
from collections.abc import Iterable

import attrs

from sycamorebeam import hashing

# An instance that did not renew its entry for this long is gone.
EXPIRY_MS = 16_000
RENEWAL_MS = 5_000  # three renewals may be lost before an entry expires
FIRST_SUSPICION_MS = 1_000
LONGEST_SUSPICION_MS = 8_000


@attrs.frozen
class InstanceEntry:
    """What an instance says of itself; ``renewal`` changes each time."""

    instance_id: str
    address: str
    region: str
    renewal: int


@attrs.define
class _Known:
    entry: InstanceEntry
    renewed_ms: int


@attrs.define
class _Suspicion:
    until_ms: int
    period_ms: int


class Instances:
    """The instances that this one knows, and those it cannot reach."""

    def __init__(self, own: InstanceEntry) -> None:
        self._own = own
        self._known: dict[str, _Known] = {}
        self._suspected: dict[str, _Suspicion] = {}

    @property
    def own(self) -> InstanceEntry:
        """The entry of this instance."""
        return self._own

    def count(self) -> int:
        """Return how many instances there are, this one included."""
        return len(self._known) + 1

    def address(self, instance_id: str) -> str | None:
        """Return the address for streams to an instance."""
        known = self._known.get(instance_id)
        return None if known is None else known.entry.address

    def update(
        self, entries: Iterable[InstanceEntry], now_ms: int
    ) -> list[str]:
        """Take a whole listing; return what changed, for the log."""
        listed = {
            entry.instance_id: entry
            for entry in entries
            if entry.instance_id != self._own.instance_id
        }
        changes = []
        for instance_id in self._known.keys() - listed.keys():
            del self._known[instance_id]
            changes.append(f'{instance_id}:left')
        for instance_id, entry in listed.items():
            known = self._known.get(instance_id)
            if known is None:
                changes.append(f'{instance_id}:{entry.address}')
            if known is None or known.entry != entry:
                self._known[instance_id] = _Known(entry, now_ms)
        return changes

    def expire(self, now_ms: int) -> list[str]:
        """Forget instances that renew their entries no more."""
        gone = [
            instance_id
            for instance_id, known in self._known.items()
            if now_ms - known.renewed_ms >= EXPIRY_MS
        ]
        for instance_id in gone:
            del self._known[instance_id]
        return [f'{instance_id}:expired' for instance_id in gone]

    def refresh(self, now_ms: int) -> None:
        """Keep all entries: none can be renewed while the store is away."""
        for known in self._known.values():
            known.renewed_ms = now_ms

    def suspect(self, instance_id: str, now_ms: int) -> None:
        """Pass an instance over for a growing period: it does not answer."""
        before = self._suspected.get(instance_id)
        period_ms = FIRST_SUSPICION_MS
        if before is not None:
            period_ms = min(LONGEST_SUSPICION_MS, before.period_ms * 2)
        self._suspected[instance_id] = _Suspicion(
            now_ms + period_ms, period_ms
        )

    def answered(self, instance_id: str) -> None:
        """Trust an instance again."""
        self._suspected.pop(instance_id, None)

    def owners(self, service: str, now_ms: int) -> list[str]:
        """Return the instances to ask for a service's items, best first.

        Those of the region with most instances go first, since most items
        come from there. The last one is always this instance.
        """
        entries = [known.entry for known in self._known.values()]
        entries.append(self._own)
        population = Counter(entry.region for entry in entries)
        entries.sort(
            key=lambda entry: (
                population[entry.region],
                entry.region,
                hashing.weight(service, entry.instance_id),
            ),
            reverse=True,
        )
        ranked = [
            entry.instance_id
            for entry in entries
            if not self._is_suspected(entry.instance_id, now_ms)
        ]
        return ranked[: ranked.index(self._own.instance_id) + 1]

    def _is_suspected(self, instance_id: str, now_ms: int) -> bool:
        suspicion = self._suspected.get(instance_id)
        return suspicion is not None and now_ms < suspicion.until_ms
