"""Chooses the instances to ask for one read, and their order."""

from collections.abc import Iterable

# Readers that have lost the store refuse at once, so many can be tried. If all
# instances read for themselves after a few refusals, they would fill the link
# between regions.
MAX_REQUESTS = 16


class ReaderChoice:
    """The readers that remain to be asked for one read, best first.

    A reader that redirects to another may read from the store a moment later,
    so it is asked once more after all others.
    """

    def __init__(self, own_id: str, ranked: Iterable[str]) -> None:
        self._remaining = list(ranked)
        self._asked = {own_id}
        self._redirecting: set[str] = set()
        self._retries: list[str] = []
        self._request_count = 0

    def next(self) -> str | None:
        """Return the next instance to ask, None when none remains."""
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

    def redirect(self, instance_id: str, redirect_id: str) -> None:
        """Ask the instance that another one redirects to next."""
        self._remaining.insert(0, redirect_id)
        if instance_id not in self._redirecting:
            self._redirecting.add(instance_id)
            self._retries.append(instance_id)
