"""When the results of a group of items are to be expected: pure arithmetic.

The load answered here is a queue that arrives faster than replicas work, by
time or by the memory that results take up.
"""

from collections.abc import Iterable

from sycamorebeam.forwarding import model

# However many more urgent items arrive, some places are left for others.
MIN_CAPACITY_SHARE = 0.1


def capacity_per_ms(
    batching: model.Batching,
    slownesses: Iterable[float],
    mean_result_bytes: float,
    residence_ms: float,
) -> float:
    """Return how many items a millisecond the replicas can produce.

    ``slownesses`` has the pace of each replica, 1 as stated. Results take
    up memory from the start of their call until they are freed, which bounds
    the calls of some services; ``residence_ms`` is the time after the call.
    """
    paces = [1 / slowness for slowness in slownesses]
    full_ms = batching.call_ms + batching.max_items * batching.item_ms
    items_per_ms = batching.max_items * sum(paces) / full_ms
    if not mean_result_bytes:
        return items_per_ms
    kept_ms = full_ms + residence_ms
    held_items = len(paces) * batching.memory_bytes / mean_result_bytes
    return min(items_per_ms, held_items / kept_ms)


def wait_ms(
    batching: model.Batching,
    items_ahead: int,
    items_per_ms: float,
    overtaking_per_ms: float,
) -> float:
    """Return how long calls take that go before some items.

    ``items_ahead`` items are known to go before; more urgent ones arrive
    meanwhile.
    """
    spare_per_ms = items_per_ms - overtaking_per_ms
    usable_per_ms = max(MIN_CAPACITY_SHARE * items_per_ms, spare_per_ms)
    return (
        (items_ahead // batching.max_items)
        * batching.max_items
        / usable_per_ms
    )
