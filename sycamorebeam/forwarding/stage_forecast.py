"""When the results of a group of items are to be expected: pure arithmetic.

The load answered here is a queue that arrives faster than replicas work, by
time or by the memory that results take up.
"""

from collections.abc import Iterable

from sycamorebeam.forwarding import model

# However many more urgent items arrive, some places are left for others.
LEAST_SHARE = 0.1


def capacity(
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
    full_ms = batching.call_ms + batching.items * batching.item_ms
    places = batching.items * sum(paces) / full_ms
    if not mean_result_bytes:
        return places
    kept_ms = full_ms + residence_ms
    held = len(paces) * batching.memory_bytes / mean_result_bytes
    return min(places, held / kept_ms)


def wait_ms(
    batching: model.Batching,
    ahead: int,
    items_per_ms: float,
    overtaking_per_ms: float,
) -> float:
    """Return how long calls take that go before some items.

    ``ahead`` items are known to go before; more urgent ones arrive
    meanwhile.
    """
    left = items_per_ms - overtaking_per_ms
    usable = max(LEAST_SHARE * items_per_ms, left)
    return (ahead // batching.items) * batching.items / usable
