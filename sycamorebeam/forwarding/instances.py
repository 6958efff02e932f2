"""The other instances: who they are, and which one owns a queue."""

from collections import Counter
from collections.abc import Iterable

import attrs

from sycamorebeam import clocks
from sycamorebeam import hashing

# Each renewal is a call to the store that is billed, and there are as many as
# instances. Who is listed and does not answer is passed over meanwhile.
RENEWAL_MS = 20_000
# An instance that did not renew its entry for this long is gone; three
# renewals may be lost before.
EXPIRY_MS = 3 * RENEWAL_MS + 2_000
# A new instance owns no queue before all others have surely heard of it;
# two owners of one queue fill its calls badly.
SETTLING_MS = 8_000
# An owner handles some thousand items a second, each named with its inputs,
# and needs this for itself.
OWNER_CORES = 0.4
OWNER_LINK_MBPS = 50.0
READING = 'reading'  # the duty that readers of the store are ranked for


@attrs.frozen
class InstanceEntry:
    """What an instance says of itself; ``renewal`` changes each time."""

    instance_id: str
    address: str
    region: str
    is_strong: bool
    started_wall_ms: int
    renewal: int


@attrs.define
class _Known:
    """An instance as last listed, and what it has said of itself since.

    ``told_start_ms`` is the start of a process that the listed entry is not
    from, in wall time.
    """

    listed: InstanceEntry
    renewed_ms: int
    told_start_ms: int | None = None

    @property
    def entry(self) -> InstanceEntry:
        """The entry, with the start of the process that runs now."""
        if self.told_start_ms is None:
            return self.listed
        return attrs.evolve(self.listed, started_wall_ms=self.told_start_ms)


def is_strong(cpu_cores: float, link_mbps: float) -> bool:
    """Return whether a machine should own queues."""
    return cpu_cores >= OWNER_CORES and link_mbps >= OWNER_LINK_MBPS


def read_precedence(instance_id: str, *, is_strong: bool) -> tuple[bool, int]:
    """Return an order of instances that does not depend on any view.

    Reads are waited for upwards in this order only, so that instances which
    disagree on who reads never wait for each other in a circle.
    """
    return is_strong, hashing.weight(READING, instance_id)


class Instances:
    """The instances that this one knows, and those it cannot reach."""

    def __init__(self, own: InstanceEntry, clock: clocks.Clock) -> None:
        self._own = own
        self._clock = clock
        self._known: dict[str, _Known] = {}
        self._unreachable: set[str] = set()
        self._is_leaving = False
        self._is_listed = False

    @property
    def is_listed(self) -> bool:
        """Whether a listing of the instances has arrived."""
        return self._is_listed

    @property
    def own(self) -> InstanceEntry:
        """The entry of this instance."""
        return self._own

    @property
    def unreachable(self) -> int:
        """How many known instances are passed over."""
        return len(self._unreachable)

    def count(self) -> int:
        """Return how many instances there are, this one included."""
        return len(self._known) + 1

    def address(self, instance_id: str) -> str | None:
        """Return the address for streams to an instance."""
        known = self._known.get(instance_id)
        return None if known is None else known.entry.address

    def update(self, entries: Iterable[InstanceEntry]) -> list[str]:
        """Take a whole listing; return what changed, for the log."""
        listed = list(entries)
        missing = self._known.keys() - {entry.instance_id for entry in listed}
        for instance_id in missing:
            self._forget(instance_id)
        return [
            *(f'{instance_id}:left' for instance_id in missing),
            *self.add(listed),
        ]

    def add(self, entries: Iterable[InstanceEntry]) -> list[str]:
        """Take some entries, and keep those of others as they are."""
        self._is_listed = True
        now_ms = self._clock.monotonic_ms()
        changes = []
        for entry in entries:
            instance_id = entry.instance_id
            if instance_id == self._own.instance_id:
                continue
            known = self._known.get(instance_id)
            if known is None:
                changes.append(f'{instance_id}:{entry.address}')
            if known is None or known.listed != entry:
                told_ms = None if known is None else known.told_start_ms
                if known and known.listed.started_wall_ms != (
                    entry.started_wall_ms
                ):
                    told_ms = None
                self._known[instance_id] = _Known(entry, now_ms, told_ms)
        return changes

    def note_start(self, instance_id: str, started_wall_ms: int) -> bool:
        """Take an instance's word for its start; return whether it is news.

        The listing names a restarted instance as settled until it is read
        again.
        """
        known = self._known.get(instance_id)
        if known is None or not started_wall_ms:
            return False
        if known.entry.started_wall_ms == started_wall_ms:
            return False
        known.told_start_ms = started_wall_ms
        return True

    def expire(self) -> list[str]:
        """Forget instances that renew their entries no more."""
        now_ms = self._clock.monotonic_ms()
        gone = [
            instance_id
            for instance_id, known in self._known.items()
            if now_ms - known.renewed_ms >= EXPIRY_MS
        ]
        for instance_id in gone:
            self._forget(instance_id)
        return [f'{instance_id}:expired' for instance_id in gone]

    def refresh(self) -> None:
        """Keep all entries: none can be renewed while the store is away."""
        now_ms = self._clock.monotonic_ms()
        for known in self._known.values():
            known.renewed_ms = now_ms

    def leave(self) -> None:
        """Own queues only where no other instance can."""
        self._is_leaving = True

    def lost(self, instance_id: str) -> bool:
        """Pass an instance over; return whether that is new."""
        if instance_id in self._unreachable or instance_id not in self._known:
            return False
        self._unreachable.add(instance_id)
        return True

    def regained(self, instance_id: str) -> None:
        """Use an instance again."""
        self._unreachable.discard(instance_id)

    def owners(self, service: str) -> list[str]:
        """Return the instances to ask for a service's items, best first.

        Strong ones of the region with most instances go first, since most
        items come from there. The last one is always this instance.
        """
        population = Counter(
            known.entry.region for known in self._known.values()
        )
        population[self._own.region] += 1
        now_ms = self._clock.wall_ms()
        ranked = sorted(
            self._reachable(),
            key=lambda entry: (
                _is_settled(entry, now_ms),
                entry.is_strong,
                population[entry.region],
                entry.region,
                hashing.weight(service, entry.instance_id),
            ),
            reverse=True,
        )
        return self._up_to_own(ranked, self._is_leaving)

    def placer(self, service: str) -> str:
        """Return the instance that places prompts in this region."""
        return self._ranked_in_region(service, own_is_last=self._is_leaving)[0]

    def readers(self, *, is_away: bool = False) -> list[str]:
        """Return the instances of this region to ask for reads, best first.

        None where this instance is the one that reads for the others. One
        that ``is_away`` from the store may ask all.
        """
        own_is_last = self._is_leaving or is_away
        return self._ranked_in_region(READING, own_is_last=own_is_last)[:-1]

    def _ranked_in_region(self, duty: str, *, own_is_last: bool) -> list[str]:
        """Return this region's instances for a duty, up to this one."""
        now_ms = self._clock.wall_ms()
        ranked = sorted(
            (
                entry
                for entry in self._reachable()
                if entry.region == self._own.region
            ),
            key=lambda entry: (
                _is_settled(entry, now_ms),
                entry.is_strong,
                hashing.weight(duty, entry.instance_id),
            ),
            reverse=True,
        )
        return self._up_to_own(ranked, own_is_last)

    def _reachable(self) -> list[InstanceEntry]:
        """Return the instances that are not passed over, this one too."""
        others = [
            known.entry
            for instance_id, known in self._known.items()
            if instance_id not in self._unreachable
        ]
        return [*others, self._own]

    def _up_to_own(
        self, ranked: list[InstanceEntry], own_is_last: bool
    ) -> list[str]:
        """Return the ids of those ranked before this instance, and its own."""
        ids = [entry.instance_id for entry in ranked]
        own = self._own.instance_id
        if own_is_last:
            ids.remove(own)
            return [*ids, own]
        return ids[: ids.index(own) + 1]

    def _forget(self, instance_id: str) -> None:
        del self._known[instance_id]
        self._unreachable.discard(instance_id)


def _is_settled(entry: InstanceEntry, now_ms: int) -> bool:
    """Return whether all others have surely heard of an instance."""
    return now_ms - entry.started_wall_ms >= SETTLING_MS
