"""The state that the owner of a queue keeps of its stage service."""

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

# Calls time out after this multiple of their configured duration, since
# replicas can become several times slower.
CALL_TIMEOUT_FACTOR = 8
MIN_CALL_TIMEOUT_MS = 2_000
SLOWNESS_WEIGHT = 0.4  # of the newest call in a replica's average slowness
MIN_BROKEN_PAUSE_MS = 500  # first pause after a broken call; doubles
MAX_BROKEN_PAUSE_MS = 4_000


@attrs.define
class StageService:
    """The queue of a service, its replicas, and the results they hold."""

    name: str
    queue: stage_queue.StageQueue
    results: held_results.HeldResults = attrs.field(
        factory=held_results.HeldResults
    )
    _replicas: dict[str, stage_replica.Replica] = attrs.field(factory=dict)
    _next_pauses_ms: dict[str, int] = attrs.field(factory=dict)
    _freeing_paused_until_ms: dict[str, float] = attrs.field(factory=dict)

    @property
    def replicas(self) -> Iterable[stage_replica.Replica]:
        """The usable replicas, and others with calls in flight or a pause."""
        return self._replicas.values()

    def refresh_replicas(
        self,
        targets: Iterable[model.Target],
        lead_ms: Callable[[str], int],
        now_ms: int,
    ) -> list[stage_replica.Replica]:
        """Update the replicas from ``targets``; return those to be called.

        ``lead_ms`` returns how far ahead calls to a zone are sent.
        """
        usable = {target.target_id: target for target in targets}
        for target_id in self._replicas.keys() - usable.keys():
            replica = self._replicas[target_id]
            if (
                not replica.calls_in_flight
                and replica.paused_until_ms <= now_ms
            ):
                del self._replicas[target_id]
        for target_id, target in usable.items():
            if target_id not in self._replicas:
                zone = target.availability_zone
                self._replicas[target_id] = stage_replica.Replica(
                    target_id, zone, lead_ms=lead_ms(zone)
                )
        return [self._replicas[target_id] for target_id in usable]

    def pause_freeing(
        self, address: str, pause_ms: float, now_ms: int
    ) -> None:
        """Send no calls that free results to an address for a time."""
        until_ms = now_ms + pause_ms
        known_until_ms = self._freeing_paused_until_ms.get(address, 0.0)
        self._freeing_paused_until_ms[address] = max(known_until_ms, until_ms)

    def freeing_paused_addresses(self, now_ms: int) -> Collection[str]:
        """Return the addresses that get no calls that free results now."""
        self._freeing_paused_until_ms = {
            address: until_ms
            for address, until_ms in self._freeing_paused_until_ms.items()
            if until_ms > now_ms
        }
        return self._freeing_paused_until_ms.keys()

    def begin_call(
        self,
        replica: stage_replica.Replica,
        items: list[stage_groups.GroupItem],
        now_ms: int,
    ) -> None:
        """Count a call, its memory and its duration at its replica."""
        replica.calls_in_flight += 1
        replica.held_bytes += total_result_bytes(items)
        call_ms = self.queue.call_ms(len(items))
        begin_ms = max(now_ms, replica.busy_until_ms)
        replica.busy_until_ms = begin_ms + int(call_ms * replica.slowness)

    def end_call(
        self,
        replica: stage_replica.Replica,
        items: list[stage_groups.GroupItem],
        *,
        has_run: bool,
    ) -> None:
        """Count the end of a call; release its memory unless it has run."""
        replica.calls_in_flight -= 1
        if not replica.calls_in_flight:
            replica.busy_until_ms = 0
        if not has_run:
            replica.held_bytes -= total_result_bytes(items)

    def call_timeout_ms(self, items: list[stage_groups.GroupItem]) -> float:
        """Return the timeout of a call."""
        configured_ms = self.queue.call_ms(len(items))
        return max(MIN_CALL_TIMEOUT_MS, CALL_TIMEOUT_FACTOR * configured_ms)

    def update_slowness(
        self,
        replica: stage_replica.Replica,
        item_count: int,
        began_ms: int,
        now_ms: int,
    ) -> None:
        """Update a replica's slowness from the duration of a call that ran."""
        self._next_pauses_ms.pop(replica.target_id, None)
        # A call that was sent ahead started when the previous one ended.
        took_ms = now_ms - max(began_ms, replica.last_call_ended_ms)
        replica.last_call_ended_ms = now_ms
        # Items cheaper than configured don't show a fast replica.
        measured_slowness = max(1.0, took_ms / self.queue.call_ms(item_count))
        replica.slowness += SLOWNESS_WEIGHT * (
            measured_slowness - replica.slowness
        )

    def log_fields(
        self,
        replica: stage_replica.Replica,
        items: list[stage_groups.GroupItem],
    ) -> dict[str, Any]:
        """Return the log fields that describe a call and its replica."""
        memory_bytes = self.queue.batching.memory_bytes
        return {
            'in_zone': count_in_zone(items, replica.zone),
            'waiting': self.queue.waiting_item_count,
            'held_share': round(replica.held_bytes / memory_bytes, 2),
            'slowness': round(replica.slowness, 2),
        }

    def pause_after_broken_call(
        self, replica: stage_replica.Replica, now_ms: int
    ) -> int:
        """Pause a replica, longer after each broken call; return how long."""
        pause_ms = self._next_pauses_ms.get(
            replica.target_id, MIN_BROKEN_PAUSE_MS
        )
        self._next_pauses_ms[replica.target_id] = min(
            MAX_BROKEN_PAUSE_MS, pause_ms * 2
        )
        replica.pause(pause_ms, now_ms)
        return pause_ms


def total_result_bytes(items: list[stage_groups.GroupItem]) -> float:
    """Return the memory that the results of a call take up."""
    return sum(item.group.result_bytes for item in items)


def oldest_queued_ms(items: list[stage_groups.GroupItem]) -> int:
    """Return when the oldest group of a call was queued."""
    return min(item.group.queued_ms for item in items)


def count_in_zone(items: list[stage_groups.GroupItem], zone: str) -> int:
    """Return how many items of a call need no data from other zones."""
    return sum(item.group.zone in ('', zone) for item in items)


def timed_items(
    items: list[stage_groups.GroupItem], now_ms: int
) -> list[stages.TimedItem]:
    """Return the items of a call with the remaining time of each."""
    return [
        stages.TimedItem(
            item.group.work,
            item.position,
            max(1, item.group.expiry_ms - now_ms),
        )
        for item in items
    ]
