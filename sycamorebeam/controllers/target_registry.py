"""What this instance knows of the targets: who they are, how they fare.

It follows the platform's instance list, which lags, and corrects it by its
own observations: a replica that said it is draining, or that refuses
connections, is leaving at once for this instance, whatever the list says.
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
# The pause between two questions for a load, whichever replica they go to.
LOAD_POLL_MS = 400
USED_WITHIN_MS = 10_000
# An observed departure outlives the list's lag, then the list is believed.
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
        """Return what routing needs to know."""
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
    """The subset of each group that this instance uses."""

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
        self._listed: list[results.Replica] = []
        self._live_instance_count = 1
        self._leaving_until_ms: dict[str, int] = {}
        self._on_leaving: list[Callable[[str], None]] = []

    @property
    def placement(self) -> settings.Placement:
        """Where this instance runs."""
        return self._placement

    @property
    def groups(self) -> dict[str, dict[str, ReplicaState]]:
        """The states of the replicas in use, by group and id."""
        return self._groups

    @property
    def instances(self) -> dict[str, results.Replica]:
        """Our own instances as the list names them, by id."""
        return self._instances

    @property
    def listed_replicas(self) -> list[results.Replica]:
        """All replicas that the list names, in use here or not."""
        return self._listed

    @property
    def live_instance_ids(self) -> set[str]:
        """The ids of our instances that are live, as the list names them."""
        return {
            name for name, item in self._instances.items() if not item.leaving
        }

    @property
    def live_instance_count(self) -> int:
        """How many of our instances are live, at least this one."""
        return self._live_instance_count

    def on_leaving(self, callback: Callable[[str], None]) -> None:
        """Call ``callback`` with the id of each replica observed leaving."""
        self._on_leaving.append(callback)

    def apply_list(self, replicas: list[results.Replica]) -> None:
        """Take a new version of the whole instance list."""
        self._listed = [item for item in replicas if item.group != ENTRY_GROUP]
        by_group: dict[str, list[results.Replica]] = {}
        for replica in replicas:
            by_group.setdefault(replica.group, []).append(replica)
        entries = by_group.pop(ENTRY_GROUP, [])
        self._instances = {replica.id: replica for replica in entries}
        live = sum(not replica.leaving for replica in entries)
        self._live_instance_count = max(1, live)
        self._groups = {
            group: self._merge(group, by_group[group]) for group in by_group
        }
        self._other_region_addresses = frozenset(
            state.replica.address
            for states in self._groups.values()
            for state in states.values()
            if state.replica.region != self._placement.region
        )
        self._forget_old_marks({replica.id for replica in replicas})

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
        in_use = ejection.usable(healths, self._clock.monotonic_ms())
        return [states[name] for name in in_use if name not in excluded]

    def in_flight(self, group: str) -> int:
        """How many calls of this instance a group has in progress."""
        states = self._groups.get(group, {}).values()
        return sum(state.in_flight for state in states)

    def is_in_other_region(self, address: str) -> bool:
        """Whether a replica in use at ``address`` is in another region."""
        return address in self._other_region_addresses

    def is_leaving(self, replica_id: str) -> bool:
        """Whether the replica was observed to be leaving."""
        until_ms = self._leaving_until_ms.get(replica_id)
        return until_ms is not None and self._clock.monotonic_ms() < until_ms

    def mark_leaving(self, replica_id: str, *, observed: bool = True) -> None:
        """Give the replica no new work from now on.

        ``observed`` says that this instance saw it itself, and so tells
        others; news from a peer is not passed on again.
        """
        known = self.is_leaving(replica_id)
        until_ms = self._clock.monotonic_ms() + LEAVING_MARK_MS
        self._leaving_until_ms[replica_id] = until_ms
        if known or not observed:
            return
        telemetry.log_event('target_leaving', target=replica_id)
        for callback in self._on_leaving:
            callback(replica_id)

    async def poll_loads(self, client: ports.TargetClient) -> None:
        """Ask the replicas in use for their load, one at a time.

        The pace does not grow with the number of replicas, which bounds
        the traffic of control; a replica that gets no calls is not asked.
        """
        while True:
            await self._clock.sleep_ms(LOAD_POLL_MS)
            state = self._next_to_poll()
            if state is not None:
                await self._poll_one(client, state)

    async def _poll_one(
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
        """Return the replica in use that was asked longest ago."""
        since_ms = self._clock.monotonic_ms() - USED_WITHIN_MS
        in_use = [
            state
            for states in self._groups.values()
            for state in states.values()
            if state.in_flight or state.used_at_ms > since_ms
        ]
        return min(in_use, key=lambda item: item.polled_at_ms, default=None)

    def _merge(
        self, group: str, replicas: list[results.Replica]
    ) -> dict[str, ReplicaState]:
        known = self._groups.get(group, {})
        live = [replica for replica in replicas if not replica.leaving]
        chosen = subset.choose_subset(
            self._instance_id, self._placement, live, self._sizes
        )
        merged: dict[str, ReplicaState] = {}
        for replica in chosen:
            state = known.get(replica.id)
            same = state and state.replica.address == replica.address
            if state is None or not same:
                state = ReplicaState(replica)
            state.replica = replica
            merged[replica.id] = state
        return merged

    def _forget_old_marks(self, listed: set[str]) -> None:
        now_ms = self._clock.monotonic_ms()
        self._leaving_until_ms = {
            name: until_ms
            for name, until_ms in self._leaving_until_ms.items()
            if until_ms > now_ms or name in listed
        }
