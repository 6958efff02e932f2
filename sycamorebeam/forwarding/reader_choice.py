"""Which instances are asked for one read, and in which order."""

from collections.abc import Iterable

# Readers without contact to the store answer at once. If all read for
# themselves after a few of them, the link between regions would be full.
MAX_REQUESTS = 16


class ReaderChoice:
    """The readers left to ask, best first.

    One that asks others itself may be reading by itself a moment later, so
    it is asked once more after all others.
    """

    def __init__(self, own_id: str, ranked: Iterable[str]) -> None:
        self._remaining = list(ranked)
        self._asked = {own_id}
        self._redirecting: set[str] = set()
        self._retries: list[str] = []
        self._request_count = 0

    def next(self) -> str | None:
        """Return whom to ask next, None when nobody is left."""
        while self._remaining and self._request_count < MAX_REQUESTS:
            instance_id = self._remaining.pop(0)
            if instance_id not in self._asked:
                self._asked.add(instance_id)
                self._request_count += 1
                return instance_id
        if self._retries and self._request_count < MAX_REQUESTS:
            self._request_count += 1
            return self._retries.pop(0)
        return None

    def redirect(self, instance_id: str, asked_instead: str) -> None:
        """Note that an instance asks another one itself."""
        self._remaining.insert(0, asked_instead)
        if instance_id not in self._redirecting:
            self._redirecting.add(instance_id)
            self._retries.append(instance_id)
