"""The replicas of targets that this instance uses, and their condition.

The platform's instance list names the replicas but lags. Observations of
this instance override it: a replica that reports that it is draining, or
that refuses connections, is treated as leaving at once.
"""

from collections.abc import Callable

import attrs

from sycamorebeam import clocks
from sycamorebeam import settings
from sycamorebeam import telemetry
from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.policy import ejection
from sycamorebeam.policy import quantiles
from sycamorebeam.policy import score
from sycamorebeam.policy import subset

ENTRY_GROUP = 'entry'
# The interval between load polls, over all replicas together.
LOAD_POLL_MS = 400
USED_WITHIN_MS = 10_000
# Longer than the lag of the list, which alone decides once a mark expires.
LEAVING_MARK_MS = 60_000


@attrs.define
class ReplicaState:
    """One replica of this instance's subset and its recent behaviour."""

    replica: results.Replica
    in_flight: int = 0
    report: ports.LoadReport | None = None
    report_at_ms: int = 0
    polled_at_ms: int = -1
    used_at_ms: int = -USED_WITHIN_MS
    health: ejection.Health = attrs.field(factory=ejection.Health)
    durations: quantiles.RecentDurations = attrs.field(
        factory=quantiles.RecentDurations
    )

    def load(self, now_ms: int) -> score.ReplicaLoad:
        """Return the load and latency by which routing scores this replica."""
        median_ms = self.durations.quantile_ms(0.5)
        latency_ms = float(median_ms or score.DEFAULT_LATENCY_MS)
        if self.report is None:
            return score.ReplicaLoad(
                in_flight=self.in_flight, latency_ms=latency_ms
            )
        return score.ReplicaLoad(
            in_flight=self.in_flight,
            reported=self.report.running + self.report.waiting,
            report_age_ms=self.report.age_ms + now_ms - self.report_at_ms,
            capacity=self.report.capacity,
            latency_ms=latency_ms,
        )


class TargetRegistry:
    """Holds the subset of each target group that this instance uses."""

    def __init__(
        self,
        instance_id: str,
        placement: settings.Placement,
        clock: clocks.Clock,
        sizes: subset.SubsetSizes,
    ) -> None:
        self._instance_id = instance_id
        self._placement = placement
        self._clock = clock
        self._sizes = sizes
        self._groups: dict[str, dict[str, ReplicaState]] = {}
        self._instances: dict[str, results.Replica] = {}
        self._other_region_addresses: frozenset[str] = frozenset()
        self._listed_replicas: list[results.Replica] = []
        self._live_instance_count = 1
        self._leaving_until_ms: dict[str, int] = {}
        self._on_leaving: list[Callable[[str], None]] = []

    @property
    def placement(self) -> settings.Placement:
        """The zone and region of this instance."""
        return self._placement

    @property
    def groups(self) -> dict[str, dict[str, ReplicaState]]:
        """The replicas in use, by group and id."""
        return self._groups

    @property
    def instances(self) -> dict[str, results.Replica]:
        """The listed instances of this fleet, by id, leaving ones included."""
        return self._instances

    @property
    def listed_replicas(self) -> list[results.Replica]:
        """All listed replicas of targets, in use by this instance or not."""
        return self._listed_replicas

    @property
    def live_instance_ids(self) -> set[str]:
        """The ids of the listed instances that are not leaving."""
        return {
            instance_id
            for instance_id, instance in self._instances.items()
            if not instance.leaving
        }

    @property
    def live_instance_count(self) -> int:
        """The number of listed instances not leaving, at least 1."""
        return self._live_instance_count

    def on_leaving(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with the id of each replica observed leaving."""
        self._on_leaving.append(callback)

    def apply_list(self, replicas: list[results.Replica]) -> None:
        """Replace the known replicas and instances by a new list version."""
        self._listed_replicas = [
            listed for listed in replicas if listed.group != ENTRY_GROUP
        ]
        by_group: dict[str, list[results.Replica]] = {}
        for replica in replicas:
            by_group.setdefault(replica.group, []).append(replica)
        entries = by_group.pop(ENTRY_GROUP, [])
        self._instances = {replica.id: replica for replica in entries}
        live = sum(not replica.leaving for replica in entries)
        self._live_instance_count = max(1, live)
        self._groups = {
            group: self._merge_group(group, by_group[group])
            for group in by_group
        }
        self._other_region_addresses = frozenset(
            state.replica.address
            for states in self._groups.values()
            for state in states.values()
            if state.replica.region != self._placement.region
        )
        self._drop_expired_marks({replica.id for replica in replicas})

    def candidates(
        self, group: str, excluded: frozenset[str] = frozenset()
    ) -> list[ReplicaState]:
        """Return the replicas of ``group`` that may get new work."""
        states = {
            name: state
            for name, state in self._groups.get(group, {}).items()
            if not self.is_leaving(name) and not state.replica.leaving
        }
        healths = {name: states[name].health for name in states}
        usable = ejection.usable(healths, self._clock.monotonic_ms())
        return [states[name] for name in usable if name not in excluded]

    def in_flight(self, group: str) -> int:
        """Return the number of calls from this instance to ``group``."""
        states = self._groups.get(group, {}).values()
        return sum(state.in_flight for state in states)

    def is_in_other_region(self, address: str) -> bool:
        """Return whether the replica at ``address`` is in another region.

        False for an address that is not in use.
        """
        return address in self._other_region_addresses

    def is_leaving(self, replica_id: str) -> bool:
        """Return whether the replica was marked as leaving."""
        until_ms = self._leaving_until_ms.get(replica_id)
        return until_ms is not None and self._clock.monotonic_ms() < until_ms

    def mark_leaving(self, replica_id: str, *, observed: bool = True) -> None:
        """Exclude the replica from new work for ``LEAVING_MARK_MS``.

        ``observed`` means that this instance observed it, so the callbacks
        report it to peers; a report from a peer is not passed on again.
        """
        already_leaving = self.is_leaving(replica_id)
        until_ms = self._clock.monotonic_ms() + LEAVING_MARK_MS
        self._leaving_until_ms[replica_id] = until_ms
        if already_leaving or not observed:
            return
        telemetry.log_event('target_leaving', target=replica_id)
        for callback in self._on_leaving:
            callback(replica_id)

    async def poll_loads(self, client: ports.TargetClient) -> None:
        """Poll the replicas in use for their load, one at a time.

        The polling rate does not grow with the number of replicas, which
        bounds the control traffic; replicas without recent calls are not
        polled.
        """
        while True:
            await self._clock.sleep_ms(LOAD_POLL_MS)
            state = self._next_to_poll()
            if state is not None:
                await self._poll_load(client, state)

    async def _poll_load(
        self, client: ports.TargetClient, state: ReplicaState
    ) -> None:
        report = await client.load(state.replica)
        state.polled_at_ms = self._clock.monotonic_ms()
        if report is None:
            return
        state.report = report
        state.report_at_ms = state.polled_at_ms
        if report.draining:
            self.mark_leaving(state.replica.id)

    def _next_to_poll(self) -> ReplicaState | None:
        """Return the recently used replica polled longest ago, if any."""
        since_ms = self._clock.monotonic_ms() - USED_WITHIN_MS
        recently_used = [
            state
            for states in self._groups.values()
            for state in states.values()
            if state.in_flight or state.used_at_ms > since_ms
        ]
        return min(
            recently_used, key=lambda state: state.polled_at_ms, default=None
        )

    def _merge_group(
        self, group: str, replicas: list[results.Replica]
    ) -> dict[str, ReplicaState]:
        previous = self._groups.get(group, {})
        live = [replica for replica in replicas if not replica.leaving]
        chosen = subset.choose_subset(
            self._instance_id, self._placement, live, self._sizes
        )
        merged: dict[str, ReplicaState] = {}
        for replica in chosen:
            state = previous.get(replica.id)
            is_same = state and state.replica.address == replica.address
            if state is None or not is_same:
                state = ReplicaState(replica)
            state.replica = replica
            merged[replica.id] = state
        return merged

    def _drop_expired_marks(self, listed_ids: set[str]) -> None:
        now_ms = self._clock.monotonic_ms()
        self._leaving_until_ms = {
            name: until_ms
            for name, until_ms in self._leaving_until_ms.items()
            if until_ms > now_ms or name in listed_ids
        }
