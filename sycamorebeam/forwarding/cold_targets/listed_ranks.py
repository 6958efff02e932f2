"""Ranks the listed instances, as a base for their shares of a target.

It is designed for fleets in which instances see different peers. The ranks
depend on the listing in the store alone, never on who can be reached, so that
instances that cannot reach each other still agree on them. It does no I/O.
"""

from collections import Counter
from typing import Any

from sycamorebeam import hashing
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding.cold_targets import rate_shares

# An instance that starts has no share until all others must have read its
# entry, and have reduced their own shares.
START_MS = membership.SETTLING_MS
# A restarted instance changes no shares. It only has to wait until the
# requests of its previous process no longer count.
RESTART_MS = rate_shares.COUNT_WINDOW_MS
# An instance that stops as planned keeps its shares for this time, since
# others still ask it to place prompts until they have read the listing.
LEAVING_MS = 8_000
# Others take over its shares only after it has given them up and had time to
# come back, so that a usual restart changes no ranks.
DEPARTED_KEPT_MS = 300_000
REFRESH_INTERVAL_MS = 250
MAX_RANKS_KEPT = 4_096

Ranks = tuple[int, int]  # as a placer, and for the common share


class ListedRanks:
    """The ranks of this instance among all that may send to a target."""

    def __init__(
        self, instances: membership.Membership, started_ms: int
    ) -> None:
        self._instances = instances
        self._started_ms = started_ms
        self._leaving_since_ms: int | None = None
        self._refreshed_ms: int | None = None
        self._seen_ms: dict[str, int] = {}
        self._entries: dict[str, membership.InstanceEntry] = {}
        self._ranked_key: Any = None
        self._ranks: dict[tuple[str, str, str], Ranks] = {}

    @property
    def instance_count(self) -> int:
        """How many instances share a target."""
        return len(self._entries)

    def may_send(self, now_ms: int) -> bool:
        """Whether this instance has any share now."""
        self._refresh(now_ms)
        if not self._instances.is_listed:
            return False
        start_ms = (
            RESTART_MS if self._instances.has_previous_entry else START_MS
        )
        if now_ms - self._started_ms < start_ms:
            return False
        since_ms = self._leaving_since_ms
        return since_ms is None or now_ms - since_ms < LEAVING_MS

    def ranks(
        self, service: model.Service, target_id: str, region: str
    ) -> Ranks:
        """Return the ranks of this instance for a target, 0 for the first."""
        key = service.name, target_id, region
        if key not in self._ranks:
            if len(self._ranks) >= MAX_RANKS_KEPT:
                self._ranks.clear()
            self._ranks[key] = self._compute(service, target_id, region)
        return self._ranks[key]

    def _compute(
        self, service: model.Service, target_id: str, region: str
    ) -> Ranks:
        own_id = self._instances.own_entry.instance_id
        entries = list(self._entries.values())
        population = Counter(entry.region for entry in entries)
        if service.has_engine:
            entries = [entry for entry in entries if entry.region == region]
        # The order in which instances prefer the placers of a region, or the
        # owners of a queue, apart from those that have just started.
        placers = sorted(
            entries,
            key=lambda entry: (
                entry.is_strong,
                population[entry.region],
                entry.region,
                hashing.weight(service.name, entry.instance_id),
            ),
            reverse=True,
        )
        placer_ids = [entry.instance_id for entry in placers]
        common = hashing.rank(target_id, self._entries, len(self._entries))
        return (
            placer_ids.index(own_id)
            if own_id in placer_ids
            else len(self._entries),
            common.index(own_id),
        )

    def _refresh(self, now_ms: int) -> None:
        if (
            self._refreshed_ms is not None
            and now_ms - self._refreshed_ms < REFRESH_INTERVAL_MS
        ):
            return
        self._refreshed_ms = now_ms
        if not self._instances.is_leaving:
            self._leaving_since_ms = None
        elif self._leaving_since_ms is None:
            self._leaving_since_ms = now_ms
        for entry in self._instances.listed_entries():
            self._entries[entry.instance_id] = entry
            self._seen_ms[entry.instance_id] = now_ms
        for instance_id, seen_ms in list(self._seen_ms.items()):
            if now_ms - seen_ms > DEPARTED_KEPT_MS:
                del self._seen_ms[instance_id]
                del self._entries[instance_id]
        ranked_key = {
            (entry.instance_id, entry.region, entry.is_strong)
            for entry in self._entries.values()
        }
        if ranked_key != self._ranked_key:
            self._ranked_key = ranked_key
            self._ranks.clear()
