"""One stage service as the owner of its queue sees it."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import Any

import attrs

from sycamorebeam.forwarding import held_results
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import stage_groups
from sycamorebeam.forwarding import stage_queue
from sycamorebeam.forwarding import stage_replica
from sycamorebeam.forwarding import stages

# A call may take this many times its stated length before it is given up;
# replicas are known to turn some times slower.
CALL_PATIENCE = 8
MIN_CALL_TIMEOUT_MS = 2_000
PACE_WEIGHT = 0.4  # of the newest call in the average of a replica's pace
BROKEN_PAUSE_MS = 500  # first pause of a replica that broke a call
LONGEST_PAUSE_MS = 4_000


@attrs.define
class StageService:
    """The queue of a service, its replicas, and the results they hold."""

    name: str
    queue: stage_queue.StageQueue
    held: held_results.HeldResults = attrs.field(
        factory=held_results.HeldResults
    )
    _replicas: dict[str, stage_replica.Replica] = attrs.field(factory=dict)
    _pauses_ms: dict[str, int] = attrs.field(factory=dict)
    _rests_until_ms: dict[str, float] = attrs.field(factory=dict)

    @property
    def replicas(self) -> Iterable[stage_replica.Replica]:
        """The replicas that get calls or still have some."""
        return self._replicas.values()

    def refresh(
        self,
        targets: Iterable[model.Target],
        lead_ms: Callable[[str], int],
        now_ms: int,
    ) -> list[stage_replica.Replica]:
        """Return the replicas that may get calls.

        ``lead_ms`` says how far ahead calls to a zone are sent.
        """
        usable = {target.target_id: target for target in targets}
        for target_id in self._replicas.keys() - usable.keys():
            replica = self._replicas[target_id]
            if not replica.calls and replica.paused_until_ms <= now_ms:
                del self._replicas[target_id]
        for target_id, target in usable.items():
            if target_id not in self._replicas:
                zone = target.availability_zone
                self._replicas[target_id] = stage_replica.Replica(
                    target_id, zone, lead_ms=lead_ms(zone)
                )
        return [self._replicas[target_id] for target_id in usable]

    def rest(self, address: str, rest_ms: float, now_ms: int) -> None:
        """Free nothing at an address for a time, as its replica asks."""
        until_ms = now_ms + rest_ms
        known_ms = self._rests_until_ms.get(address, 0.0)
        self._rests_until_ms[address] = max(known_ms, until_ms)

    def resting_addresses(self, now_ms: int) -> Collection[str]:
        """Return the addresses of the replicas that want nothing now."""
        self._rests_until_ms = {
            address: until_ms
            for address, until_ms in self._rests_until_ms.items()
            if until_ms > now_ms
        }
        return self._rests_until_ms.keys()

    def begin_call(
        self,
        replica: stage_replica.Replica,
        entries: list[stage_groups.Entry],
        now_ms: int,
    ) -> None:
        """Count a call against its replica."""
        replica.calls += 1
        replica.held_bytes += result_bytes(entries)
        call_ms = self.queue.call_ms(len(entries))
        begin_ms = max(now_ms, replica.busy_until_ms)
        replica.busy_until_ms = begin_ms + int(call_ms * replica.slowness)

    def end_call(
        self,
        replica: stage_replica.Replica,
        entries: list[stage_groups.Entry],
        *,
        has_run: bool,
    ) -> None:
        """Count the end of a call, and its memory unless it ran."""
        replica.calls -= 1
        if not replica.calls:
            replica.busy_until_ms = 0
        if not has_run:
            replica.held_bytes -= result_bytes(entries)

    def call_timeout_ms(self, entries: list[stage_groups.Entry]) -> float:
        """Return after what time a call is given up."""
        stated_ms = self.queue.call_ms(len(entries))
        return max(MIN_CALL_TIMEOUT_MS, CALL_PATIENCE * stated_ms)

    def learn_pace(
        self,
        replica: stage_replica.Replica,
        items: int,
        began_ms: int,
        now_ms: int,
    ) -> None:
        """Note how long a call took against what the service states."""
        self._pauses_ms.pop(replica.target_id, None)
        # A call that was sent ahead began when the one before it ended.
        took_ms = now_ms - max(began_ms, replica.ended_ms)
        replica.ended_ms = now_ms
        # Items cheaper than stated say nothing about the replica's pace.
        sample = max(1.0, took_ms / self.queue.call_ms(items))
        replica.slowness += PACE_WEIGHT * (sample - replica.slowness)

    def describe(
        self, replica: stage_replica.Replica, entries: list[stage_groups.Entry]
    ) -> dict[str, Any]:
        """Return for the log how a call and its replica stand."""
        memory_bytes = self.queue.batching.memory_bytes
        return {
            'in_zone': count_in_zone(entries, replica.zone),
            'waiting': self.queue.items,
            'held_share': round(replica.held_bytes / memory_bytes, 2),
            'slowness': round(replica.slowness, 2),
        }

    def pause_broken(self, replica: stage_replica.Replica, now_ms: int) -> int:
        """Pause a replica that broke a call, longer each time."""
        pause_ms = self._pauses_ms.get(replica.target_id, BROKEN_PAUSE_MS)
        self._pauses_ms[replica.target_id] = min(
            LONGEST_PAUSE_MS, pause_ms * 2
        )
        replica.pause(pause_ms, now_ms)
        return pause_ms


def result_bytes(entries: list[stage_groups.Entry]) -> float:
    """Return the memory that the results of a call take."""
    return sum(entry.group.result_bytes for entry in entries)


def oldest_ms(entries: list[stage_groups.Entry]) -> int:
    """Return when the first group of a call was queued."""
    return min(entry.group.queued_ms for entry in entries)


def count_in_zone(entries: list[stage_groups.Entry], zone: str) -> int:
    """Return how many items of a call need no data from other zones."""
    return sum(entry.group.zone in ('', zone) for entry in entries)


def timed(
    entries: list[stage_groups.Entry], now_ms: int
) -> list[stages.TimedItem]:
    """Return the items of a call with the time that is left for each."""
    return [
        stages.TimedItem(
            entry.group.work,
            entry.position,
            max(1, entry.group.useless_ms - now_ms),
        )
        for entry in entries
    ]
