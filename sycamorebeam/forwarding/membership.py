"""Known instances, and which of them own queues and read the store."""

from collections import Counter
from collections.abc import Iterable

import attrs

from sycamorebeam import clocks
from sycamorebeam import hashing

# Every instance renews its entry, and each renewal is a billed call to the
# store. Listed instances that do not answer are skipped until they expire.
RENEWAL_INTERVAL_MS = 20_000
# An entry that was not renewed for this long is dropped; three consecutive
# renewals may fail before that.
EXPIRY_MS = 3 * RENEWAL_INTERVAL_MS + 2_000
# A new instance owns no queue until every other instance must have read its
# entry; two owners of one queue would split its items into smaller batches.
SETTLING_MS = 8_000
# A queue owner handles some thousand items per second, each sent with the
# names of its inputs, and needs these resources for that alone.
MIN_OWNER_CORES = 0.4
MIN_OWNER_LINK_MBPS = 50.0
# An instance that was not reached for this long issues no permits any more;
# before, it may still do so for others.
LOST_ISSUER_MS = 5_000
READING = 'reading'  # hashed to rank the instances that read the store


@attrs.frozen
class InstanceEntry:
    """An instance's entry in the store; each renewal changes ``renewal``."""

    instance_id: str
    address: str
    region: str
    is_strong: bool
    started_wall_ms: int
    renewal: int


@attrs.define
class _Member:
    """The last listed entry of an instance, and its restart since then.

    ``announced_start_ms`` is the start time that the instance reported in a
    handshake, in wall time; None while the listed one holds.
    """

    listed: InstanceEntry
    renewed_ms: int
    announced_start_ms: int | None = None

    @property
    def entry(self) -> InstanceEntry:
        """The entry, with the start time of the process that runs now."""
        if self.announced_start_ms is None:
            return self.listed
        return attrs.evolve(
            self.listed, started_wall_ms=self.announced_start_ms
        )


def is_strong(cpu_cores: float, link_mbps: float) -> bool:
    """Return whether a machine has the resources to own queues."""
    return cpu_cores >= MIN_OWNER_CORES and link_mbps >= MIN_OWNER_LINK_MBPS


def read_precedence(instance_id: str, *, is_strong: bool) -> tuple[bool, int]:
    """Return a sort key of instances that is the same on all of them.

    An instance waits only for reads of instances with a higher key, so that
    instances whose listings differ never wait for each other in a cycle.
    """
    return is_strong, hashing.weight(READING, instance_id)


class Membership:
    """The known instances, and which of them cannot be reached."""

    def __init__(self, own_entry: InstanceEntry, clock: clocks.Clock) -> None:
        self._own_entry = own_entry
        self._clock = clock
        self._members: dict[str, _Member] = {}
        self._unreachable_since_ms: dict[str, int] = {}
        self._expired: dict[str, InstanceEntry] = {}
        self._is_leaving = False
        self._is_listed = False
        self._has_previous_entry = False

    @property
    def is_listed(self) -> bool:
        """Whether any entries of instances have been read."""
        return self._is_listed

    @property
    def is_leaving(self) -> bool:
        """Whether this instance stops."""
        return self._is_leaving

    @property
    def has_previous_entry(self) -> bool:
        """Whether an earlier process of this instance was listed."""
        return self._has_previous_entry

    @property
    def own_entry(self) -> InstanceEntry:
        """The entry of this instance."""
        return self._own_entry

    @property
    def unreachable_count(self) -> int:
        """How many known instances are skipped as unreachable."""
        return len(self._unreachable_since_ms)

    def count(self) -> int:
        """Return the number of known instances, this one included."""
        return len(self._members) + 1

    def listed_entries(self) -> list[InstanceEntry]:
        """Return the entries in the store, those that expired included.

        An instance whose entry expired may only be cut off from the store.
        """
        members = {
            instance_id: member.listed
            for instance_id, member in self._members.items()
        }
        return [*(self._expired | members).values(), self._own_entry]

    def address(self, instance_id: str) -> str | None:
        """Return an instance's address for streams, None if it is unknown."""
        member = self._members.get(instance_id)
        return None if member is None else member.entry.address

    def replace(self, entries: Iterable[InstanceEntry]) -> list[str]:
        """Replace all entries; return the changes, for the log."""
        listed = list(entries)
        listed_ids = {entry.instance_id for entry in listed}
        self._expired = {
            instance_id: entry
            for instance_id, entry in self._expired.items()
            if instance_id in listed_ids
        }
        missing = self._members.keys() - listed_ids
        for instance_id in missing:
            self._remove(instance_id)
        return [
            *(f'{instance_id}:left' for instance_id in missing),
            *self.merge(listed),
        ]

    def merge(self, entries: Iterable[InstanceEntry]) -> list[str]:
        """Add or update some entries, keep the rest; return new instances."""
        self._is_listed = True
        now_ms = self._clock.monotonic_ms()
        changes = []
        for entry in entries:
            instance_id = entry.instance_id
            if instance_id == self._own_entry.instance_id:
                self._has_previous_entry |= (
                    entry.started_wall_ms != self._own_entry.started_wall_ms
                )
                continue
            member = self._members.get(instance_id)
            if member is None:
                changes.append(f'{instance_id}:{entry.address}')
            if member is None or member.listed != entry:
                announced_ms = (
                    None if member is None else member.announced_start_ms
                )
                if member and member.listed.started_wall_ms != (
                    entry.started_wall_ms
                ):
                    announced_ms = None
                self._members[instance_id] = _Member(
                    entry, now_ms, announced_ms
                )
        return changes

    def update_start_time(
        self, instance_id: str, started_wall_ms: int
    ) -> bool:
        """Set the start time an instance reported; return if it changed.

        After a restart, the last listing still has the start time of the
        previous process, by which the instance would count as settled.
        """
        member = self._members.get(instance_id)
        if member is None or not started_wall_ms:
            return False
        if member.entry.started_wall_ms == started_wall_ms:
            return False
        member.announced_start_ms = started_wall_ms
        return True

    def expire(self) -> list[str]:
        """Drop entries that were not renewed; return them, for the log."""
        now_ms = self._clock.monotonic_ms()
        gone = [
            instance_id
            for instance_id, member in self._members.items()
            if now_ms - member.renewed_ms >= EXPIRY_MS
        ]
        for instance_id in gone:
            self._expired[instance_id] = self._members[instance_id].listed
            self._remove(instance_id)
        return [f'{instance_id}:expired' for instance_id in gone]

    def renew_all(self) -> None:
        """Keep all entries: none can be renewed while the store is down."""
        now_ms = self._clock.monotonic_ms()
        for member in self._members.values():
            member.renewed_ms = now_ms

    def begin_leaving(self) -> None:
        """Rank this instance last for all duties from now on."""
        self._is_leaving = True

    def mark_unreachable(self, instance_id: str) -> bool:
        """Skip an instance in rankings; return whether that is a change."""
        if (
            instance_id in self._unreachable_since_ms
            or instance_id not in self._members
        ):
            return False
        now_ms = self._clock.monotonic_ms()
        self._unreachable_since_ms[instance_id] = now_ms
        return True

    def mark_reachable(self, instance_id: str) -> None:
        """Include an instance in rankings again."""
        self._unreachable_since_ms.pop(instance_id, None)

    def is_unreachable(self, instance_id: str) -> bool:
        """Whether an instance is skipped as unreachable."""
        return instance_id in self._unreachable_since_ms

    def ranked_instances(self, duty: str) -> list[str]:
        """Return the instances ranked for a duty, such as issuing permits.

        The ranking depends on the listed instances alone, so that instances
        agree on it even if they reach different ones; only those that were
        lost for LOST_ISSUER_MS are left out. Before the first listing there
        is none: this instance would take itself for the only one.
        """
        lost_before_ms = self._clock.monotonic_ms() - LOST_ISSUER_MS
        return [
            instance_id
            for instance_id in self._ranked_by_listing(duty)
            if self._unreachable_since_ms.get(instance_id, lost_before_ms + 1)
            > lost_before_ms
        ]

    def is_first_issuer(self, target_id: str) -> bool:
        """Whether this instance ranks first, lost instances included."""
        ranked = self._ranked_by_listing(target_id)
        return ranked[:1] == [self._own_entry.instance_id]

    def _ranked_by_listing(self, duty: str) -> list[str]:
        if not self._is_listed:
            return []
        now_ms = self._clock.wall_ms()
        entries = [member.entry for member in self._members.values()]
        if not self._is_leaving:
            entries.append(self._own_entry)
        entries.sort(
            key=lambda entry: (
                _is_settled(entry, now_ms),
                hashing.weight(duty, entry.instance_id),
            ),
            reverse=True,
        )
        return [entry.instance_id for entry in entries]

    def owners(self, service: str) -> list[str]:
        """Return the candidates to own a service's queue, best first.

        Strong instances of the region with most instances rank first, since
        most items come from there. The last one is always this instance.
        """
        population = Counter(
            member.entry.region for member in self._members.values()
        )
        population[self._own_entry.region] += 1
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

    def placer(self, service: str, region: str | None = None) -> str:
        """Return the instance that places prompts in a region.

        That is this instance's region by default. Without an instance in the
        region, this instance places them.
        """
        if region is None or region == self._own_entry.region:
            return self._ranked_in_region(
                service, own_is_last=self._is_leaving
            )[0]
        ranked = self._rank_region(service, region)
        return ranked[0].instance_id if ranked else self._own_entry.instance_id

    def placers_by_listing(self, service: str, region: str) -> list[str]:
        """Return the reachable instances of a region, best placer first.

        Those that have just started keep the place that the listing gives
        them, since shares of targets depend on the listing alone.
        """
        ranked = self._rank_region(service, region, settled_first=False)
        own_id = self._own_entry.instance_id
        return [
            entry.instance_id
            for entry in ranked
            if not (self._is_leaving and entry.instance_id == own_id)
        ]

    def readers(self, *, is_store_lost: bool = False) -> list[str]:
        """Return the instances of this region to ask for reads, best first.

        The list is empty if this instance reads for the others. If it has
        lost the store or is leaving, the list holds all others.
        """
        own_is_last = self._is_leaving or is_store_lost
        return self._ranked_in_region(READING, own_is_last=own_is_last)[:-1]

    def _ranked_in_region(self, duty: str, *, own_is_last: bool) -> list[str]:
        """Return this region's instances ranked for a duty, up to this one."""
        ranked = self._rank_region(duty, self._own_entry.region)
        return self._up_to_own(ranked, own_is_last)

    def _rank_region(
        self, duty: str, region: str, *, settled_first: bool = True
    ) -> list[InstanceEntry]:
        """Return the reachable instances of a region, best first."""
        now_ms = self._clock.wall_ms()
        return sorted(
            (entry for entry in self._reachable() if entry.region == region),
            key=lambda entry: (
                settled_first and _is_settled(entry, now_ms),
                entry.is_strong,
                hashing.weight(duty, entry.instance_id),
            ),
            reverse=True,
        )

    def _reachable(self) -> list[InstanceEntry]:
        """Return the entries of reachable instances, this one included."""
        others = [
            member.entry
            for instance_id, member in self._members.items()
            if instance_id not in self._unreachable_since_ms
        ]
        return [*others, self._own_entry]

    def _up_to_own(
        self, ranked: list[InstanceEntry], own_is_last: bool
    ) -> list[str]:
        """Return the ids that rank above this instance, and its own."""
        ids = [entry.instance_id for entry in ranked]
        own = self._own_entry.instance_id
        if own_is_last:
            ids.remove(own)
            return [*ids, own]
        return ids[: ids.index(own) + 1]

    def _remove(self, instance_id: str) -> None:
        del self._members[instance_id]
        self._unreachable_since_ms.pop(instance_id, None)


def _is_settled(entry: InstanceEntry, now_ms: int) -> bool:
    """Return whether all others must have read an instance's entry."""
    return now_ms - entry.started_wall_ms >= SETTLING_MS
