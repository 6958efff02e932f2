"""Estimates the throughput of a stage service and waits in its queue.

The estimates are for queues whose items arrive faster than the replicas work.
Throughput is limited by the duration of calls, or by the memory that results
take up.
"""

from collections.abc import Sequence

from sycamorebeam.forwarding import model

# Less urgent items are assumed to get at least this share of the capacity,
# however many more urgent ones arrive.
MIN_CAPACITY_SHARE = 0.1


def call_ms(batching: model.Batching, item_count: int) -> float:
    """Return the configured duration of a call with that many items."""
    return batching.call_ms + item_count * batching.item_ms


def capacity_per_ms(
    batching: model.Batching,
    paces: Sequence[float],
    mean_result_bytes: float,
    residence_ms: float,
) -> float:
    """Return how many items the replicas can produce in a millisecond.

    ``paces`` has each replica's throughput as a share of the configured one,
    from the measured durations of its calls and its rate limit. Results take
    up memory from the start of their call until they are freed, which limits
    the throughput of some services; ``residence_ms`` is the part of that time
    after the call.
    """
    full_call_ms = call_ms(batching, batching.max_items)
    items_per_ms = batching.max_items * sum(paces) / full_call_ms
    if not mean_result_bytes:
        return items_per_ms
    kept_ms = full_call_ms + residence_ms
    max_held_items = len(paces) * batching.memory_bytes / mean_result_bytes
    return min(items_per_ms, max_held_items / kept_ms)


def wait_ms(
    batching: model.Batching,
    items_ahead: int,
    items_per_ms: float,
    overtaking_per_ms: float,
) -> float:
    """Return how long items wait for the calls before theirs.

    ``items_ahead`` items go first; more urgent ones arrive at the rate
    ``overtaking_per_ms`` meanwhile.
    """
    spare_per_ms = items_per_ms - overtaking_per_ms
    usable_per_ms = max(MIN_CAPACITY_SHARE * items_per_ms, spare_per_ms)
    return (
        (items_ahead // batching.max_items)
        * batching.max_items
        / usable_per_ms
    )
