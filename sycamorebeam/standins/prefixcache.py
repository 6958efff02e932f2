"""An engine's cache of prompt prefixes and its events, late and with gaps."""

import asyncio
import collections
from collections.abc import Callable

import attrs

from sycamorebeam import hashing

PREFIX_CHARACTERS = 256
EVENTS_KEPT = 256


def prefix_of(prompt: str) -> str:
    """Return the name of the prefix that a prompt has in cache events."""
    return hashing.digest(prompt[:PREFIX_CHARACTERS].encode()).hex()


@attrs.frozen
class CacheEvent:
    """A prefix came into the cache or left it."""

    seq: int
    prefix: str
    kind: str


class PrefixCache:
    """The latest prefixes, bounded, least recently used out first."""

    def __init__(
        self, size: int, lag_ms: float, lose: Callable[[], bool]
    ) -> None:
        self._size = size
        self._lose = lose
        self._lag_ms = lag_ms
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=EVENTS_KEPT
        )
        self._seq = 0
        self._shown = 0

    def use(self, prompt: str) -> bool:
        """Return whether the prompt's prefix was cached; cache it."""
        prefix = prefix_of(prompt)
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not hit:
            self._note(prefix, 'stored')
        while len(self._prefixes) > self._size:
            evicted, _ = self._prefixes.popitem(last=False)
            self._note(evicted, 'evicted')
        return hit

    def page(self, start: int) -> tuple[int, list[CacheEvent]]:
        """Return the next sequence number and the shown events."""
        events = [
            item for item in self._events if start <= item.seq < self._shown
        ]
        return self._shown, events

    def _note(self, prefix: str, kind: str) -> None:
        if not self._lose():
            self._events.append(CacheEvent(self._seq, prefix, kind))
        self._seq += 1
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag_ms / 1000, self._show, self._seq)

    def _show(self, until: int) -> None:
        self._shown = max(self._shown, until)
