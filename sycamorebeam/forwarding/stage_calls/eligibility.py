"""Selects the groups that a free replica of a stage service may run."""

from collections import Counter
from collections.abc import Collection

from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import stage_forecast
from sycamorebeam.forwarding import stage_groups
from sycamorebeam.forwarding import stage_replica

# A replica whose calls take more than this multiple of their configured
# duration gets only the items that the others' next calls have no place for.
SLOW_FACTOR = 1.8


def eligible_groups(
    batching: model.Batching,
    ordered: list[stage_groups.PendingGroup],
    replica: stage_replica.Replica,
    replicas: list[stage_replica.Replica],
    now_ms: int,
    *,
    fillable_zones: Collection[str] = (),
) -> list[stage_groups.PendingGroup]:
    """Return the groups that a replica may run, most urgent first.

    A slow replica runs only what the next calls of the others have no place
    for. A group waits for a replica in its own zone while it can afford to
    and the next calls there have places and memory for it. Those that wait
    for one of ``fillable_zones`` come after the others instead, so that they
    take only places that would stay empty.
    """
    ordered = [
        pending
        for pending in ordered
        if pending.group.may_run_in(replica.zone)
    ]
    if replica.slowness > SLOW_FACTOR:
        return _overflow_groups(batching, ordered, replica, replicas)
    places: Counter[str] = Counter()
    zone_free_bytes: Counter[str] = Counter()
    free_in_ms: dict[str, int] = {}
    for other in replicas:
        if other.slowness <= SLOW_FACTOR:
            other_free_in_ms = other.free_in_ms(now_ms)
            known_free_in_ms = free_in_ms.get(other.zone, other_free_in_ms)
            free_in_ms[other.zone] = min(known_free_in_ms, other_free_in_ms)
            places[other.zone] += batching.max_items
            free_bytes = batching.memory_bytes - other.held_bytes
            zone_free_bytes[other.zone] += max(0, int(free_bytes))
    eligible = []
    waiting = []
    for pending in ordered:
        zone = pending.group.zone
        needed_bytes = int(pending.group.result_bytes * len(pending.remaining))
        if (
            zone != replica.zone
            and places[zone] >= len(pending.remaining)
            and zone_free_bytes[zone] >= needed_bytes
            and _can_wait(batching, pending.group, free_in_ms[zone], now_ms)
        ):
            places[zone] -= len(pending.remaining)
            zone_free_bytes[zone] -= needed_bytes
            waiting.append(pending)
        else:
            eligible.append(pending)
    return eligible + [
        pending for pending in waiting if pending.group.zone in fillable_zones
    ]


def _overflow_groups(
    batching: model.Batching,
    ordered: list[stage_groups.PendingGroup],
    replica: stage_replica.Replica,
    replicas: list[stage_replica.Replica],
) -> list[stage_groups.PendingGroup]:
    """Return groups that overflow the next calls of faster replicas."""
    faster_count = sum(
        other.slowness <= SLOW_FACTOR
        for other in replicas
        if other is not replica
    )
    places = faster_count * batching.max_items
    overflow = []
    for pending in ordered:
        if places <= 0:
            overflow.append(pending)
        places -= len(pending.remaining)
    return overflow


def _can_wait(
    batching: model.Batching,
    group: stage_groups.Group,
    wait_ms: float,
    now_ms: int,
) -> bool:
    """Whether a group can wait for a full call.

    It must still meet its objective, or end before it expires if the
    objective is already out of reach.
    """
    full_call_ms = stage_forecast.call_ms(batching, batching.max_items)
    end_ms = now_ms + wait_ms + full_call_ms
    own_call_ms = stage_forecast.call_ms(batching, group.size)
    if now_ms + own_call_ms > group.objective_ms:
        return end_ms < group.expiry_ms
    return end_ms < group.objective_ms
