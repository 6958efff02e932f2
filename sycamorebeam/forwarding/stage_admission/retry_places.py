"""Places in the queue of a stage service that are kept for refused callers.

Designed for a burst in which 1,476 requests were refused 3,287 times, since
they were told to return when the queue was as long as before.
"""

import attrs

# This share of the capacity is promised to callers that return late. Their
# answers are worth 15% of those in time, so most capacity is for the others.
PROMISED_SHARE = 0.1
EARLY_MS = 50  # callers may return a little before the time they were given
KEPT_MS = 400  # how long a place is kept after that time
MAX_PLACES = 2_000


@attrs.frozen
class _Place:
    rank: int
    items: int
    due_ms: float


class RetryPlaces:
    """Promises places, and finds those of callers that return.

    Attempts have no common id, so a place is for any returning caller of the
    same rank with as many items or fewer.
    """

    def __init__(self) -> None:
        self._places: list[_Place] = []
        self._next_ms = 0.0

    def book(
        self,
        rank: int,
        items: int,
        earliest_ms: float,
        latest_ms: float,
        items_per_ms: float,
    ) -> float | None:
        """Keep a place; return its time, None if all are too late."""
        due_ms = max(earliest_ms, self._next_ms)
        if due_ms > latest_ms or len(self._places) >= MAX_PLACES:
            return None
        self._next_ms = due_ms + items / (PROMISED_SHARE * items_per_ms)
        self._places.append(_Place(rank, items, due_ms))
        return due_ms

    def take(self, rank: int, items: int, now_ms: int) -> bool:
        """Use up a place that is due; return whether there was one."""
        self._places = [
            place for place in self._places if now_ms <= place.due_ms + KEPT_MS
        ]
        for place in self._places:
            if (
                place.rank == rank
                and place.items >= items
                and place.due_ms - EARLY_MS <= now_ms
            ):
                self._places.remove(place)
                return True
        return False
