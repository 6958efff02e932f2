"""What the placer knows of one engine: requests, reading, cached parts.

It is designed for engines that read prompts one after the other and evict
the least recently used parts. It does no I/O.
"""

from collections.abc import Sequence

import attrs

from sycamorebeam.forwarding import prompt_placing
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding.placement import pace
from sycamorebeam.forwarding.placement import target_loads

# Parts may be used through other instances unseen, or evicted early.
CACHE_HALF_LIFE_MS = 60_000.0
# Share of an engine's memory written since a part's last use at which it is
# evicted at the earliest and at the latest; running requests take the rest.
EARLIEST_EVICTION = 0.6
LATEST_EVICTION = 1.1
# A prompt that should have been read has at least this share left.
OVERDUE_SHARE = 0.4
# A prompt being read for this many times its expected time shows a slow
# period before any answer reports it.
SLOW_FACTOR = 1.3
SLOW_MIN_MS = 60.0  # shorter delays come from the network and the fetch
EXPIRY_INTERVAL_MS = 1_000


@attrs.define(kw_only=True)
class Placed:
    """A request placed on an engine; ``work_ms`` is 0 once it was read.

    ``is_certain`` means that its cached parts were known for sure.
    """

    placed_ms: float
    tokens: float
    work_ms: float
    held_tokens: int
    expected_ms: float
    is_certain: bool
    service: str


@attrs.define
class _CachedPart:
    used_ms: float
    written_tokens: float


@attrs.define
class EngineState:
    """The requests on one incarnation of an engine, and its cached parts."""

    placed: dict[str, Placed] = attrs.field(factory=dict)
    held_tokens: int = 0
    last_read_ms: float = 0.0
    _unread: dict[str, Placed] = attrs.field(factory=dict)
    _work_ms: float = 0.0
    _written_tokens: float = 0.0
    _parts: dict[str, _CachedPart] = attrs.field(factory=dict)
    _expired_ms: float = 0.0

    def expired(self, now_ms: float) -> list[str]:
        """Return the requests that were placed too long ago."""
        if now_ms - self._expired_ms < EXPIRY_INTERVAL_MS:
            return []
        self._expired_ms = now_ms
        return [
            attempt_id
            for attempt_id, placed in self.placed.items()
            if now_ms - placed.placed_ms
            > (
                prompt_placing.UNREAD_TIMEOUT_MS
                if placed.work_ms
                else prompt_placing.RUNNING_TIMEOUT_MS
            )
        ]

    def add(self, attempt_id: str, placed: Placed) -> None:
        """Add a request."""
        self.placed[attempt_id] = placed
        self.held_tokens += placed.held_tokens
        if placed.work_ms:
            self._unread[attempt_id] = placed
            self._work_ms += placed.work_ms

    def mark_read(self, attempt_id: str, now_ms: float) -> float:
        """Record that a prompt was read; return since when it was."""
        placed = self._unread.pop(attempt_id, None)
        if placed is None:
            return now_ms
        began_ms = max(placed.placed_ms, self.last_read_ms)
        self._work_ms -= placed.work_ms
        placed.work_ms = 0.0
        self.last_read_ms = now_ms
        return began_ms

    def remove(self, attempt_id: str) -> None:
        """Remove a request that has ended."""
        placed = self.placed.pop(attempt_id, None)
        if placed is None:
            return
        self.held_tokens -= placed.held_tokens
        if self._unread.pop(attempt_id, None) is not None:
            self._work_ms -= placed.work_ms

    def wait_ms(
        self,
        work_ms: float,
        sample: target_loads.Sample | None,
        now_ms: float,
    ) -> float:
        """Return how long reading the queued prompts and ``work_ms`` takes.

        The pace is that of the newest report, or of the prompt being read if
        it takes much longer than expected.
        """
        queued_ms = self._work_ms
        known_pace, age_ms = pace.USUAL_PACE, 0.0
        if sample is not None:
            known_pace, age_ms = sample.pace, now_ms - sample.seen_ms
        if self._unread:
            first = next(iter(self._unread.values()))
            spent_ms = now_ms - max(first.placed_ms, self.last_read_ms)
            done_ms = min(spent_ms, (1 - OVERDUE_SHARE) * first.work_ms)
            queued_ms -= max(0.0, done_ms)
            if (
                spent_ms > SLOW_FACTOR * first.work_ms
                and spent_ms > first.work_ms + SLOW_MIN_MS
            ):
                slow = pace.USUAL_PACE * spent_ms / first.work_ms
                if slow > known_pace:
                    known_pace, age_ms = slow, 0.0
        return pace.expected_ms(queued_ms + work_ms, known_pace, age_ms)

    def cached_probabilities(
        self,
        parts: Sequence[requests.PromptPart],
        memory_tokens: int | None,
        now_ms: float,
    ) -> list[float]:
        """Return the probability that each shared part is cached here.

        A part is only used if all parts before it are cached.
        """
        probabilities = []
        prefix = 1.0
        for part in parts:
            if prefix:
                prefix = min(prefix, self._cached(part, memory_tokens, now_ms))
            probabilities.append(prefix)
        return probabilities

    def last_used_ms(self, part_id: str) -> float | None:
        """Return when a part was last used here."""
        known = self._parts.get(part_id)
        return None if known is None else known.used_ms

    def mark_cached(
        self,
        parts: Sequence[requests.PromptPart],
        written_tokens: float,
        now_ms: float,
    ) -> None:
        """Record that the engine has parts, of which it wrote some."""
        self._written_tokens += written_tokens
        for part in parts:
            # Insert again, so that the first key is the least recently used.
            self._parts.pop(part.part_id, None)
            self._parts[part.part_id] = _CachedPart(
                now_ms, self._written_tokens
            )
        while len(self._parts) > prompt_placing.MAX_PARTS_PER_ENGINE:
            del self._parts[next(iter(self._parts))]

    def _cached(
        self,
        part: requests.PromptPart,
        memory_tokens: int | None,
        now_ms: float,
    ) -> float:
        known = self._parts.get(part.part_id)
        if known is None:
            return 0.0
        age_ms = now_ms - known.used_ms
        if memory_tokens is None:
            return float(age_ms <= prompt_placing.CACHE_LIFETIME_MS)
        written = self._written_tokens - known.written_tokens
        left = LATEST_EVICTION - (written + part.tokens) / memory_tokens
        kept = left / (LATEST_EVICTION - EARLIEST_EVICTION)
        decay: float = 0.5 ** (age_ms / CACHE_HALF_LIFE_MS)
        return decay * min(1.0, max(0.0, kept))
