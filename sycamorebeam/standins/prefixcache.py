"""An engine's cache of prompt prefixes, with delayed and lossy events."""

import asyncio
import collections
from collections.abc import Callable

import attrs

from sycamorebeam import hashing

PREFIX_CHARACTERS = 256
EVENTS_KEPT = 256


def prefix_of(prompt: str) -> str:
    """Return the id of a prompt's prefix in cache events."""
    return hashing.digest(prompt[:PREFIX_CHARACTERS].encode()).hex()


@attrs.frozen
class CacheEvent:
    """The addition of a prefix to the cache or its eviction."""

    seq: int
    prefix: str
    kind: str


class PrefixCache:
    """A least-recently-used cache of at most ``size`` prefixes."""

    def __init__(
        self, size: int, lag_ms: float, loses_event: Callable[[], bool]
    ) -> None:
        self._size = size
        self._loses_event = loses_event
        self._lag_ms = lag_ms
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=EVENTS_KEPT
        )
        self._seq = 0
        self._visible_seq = 0

    def use(self, prompt: str) -> bool:
        """Add the prompt's prefix; return whether it was cached already."""
        prefix = prefix_of(prompt)
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not hit:
            self._record_event(prefix, 'stored')
        while len(self._prefixes) > self._size:
            evicted, _ = self._prefixes.popitem(last=False)
            self._record_event(evicted, 'evicted')
        return hit

    def page(self, start: int) -> tuple[int, list[CacheEvent]]:
        """Return the next sequence number and the events visible so far."""
        events = [
            event
            for event in self._events
            if start <= event.seq < self._visible_seq
        ]
        return self._visible_seq, events

    def _record_event(self, prefix: str, kind: str) -> None:
        if not self._loses_event():
            self._events.append(CacheEvent(self._seq, prefix, kind))
        self._seq += 1
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag_ms / 1000, self._make_visible, self._seq)

    def _make_visible(self, seq: int) -> None:
        self._visible_seq = max(self._visible_seq, seq)
