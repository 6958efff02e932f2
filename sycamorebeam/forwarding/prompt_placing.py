"""Chooses the engine that reads a prompt soonest: pure, from what was placed.

The load answered here is long prompts of which large parts are shared. An
engine reads prompts one after the other, so that a prompt behind another
long one misses its objective while the next engine is idle; and a prompt
whose shared part was read elsewhere is read again.
"""

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from sycamorebeam import hashing
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import target_choice

# Engines drop the parts that were not used for longest; at a usual load that
# is after this time.
CACHED_MS = 15_000
MAX_PARTS = 4_096  # remembered for one engine
# Who placed a prompt and says nothing of it for longer has ended.
UNREAD_LOST_MS = 6_000  # engines read the longest prompts in a second or so
RUNNING_LOST_MS = 16_000  # callers wait for a stream 15 s at the longest
# An engine that may have read a prompt's shared part before anybody here
# knew is worth waiting for, by this share of what it may spare.
UNKNOWN_SHARE = 0.5
# Moving a megabyte between zones is billed like reading this many tokens.
TOKENS_PER_ZONE_MB = 300
# Of an engine that is nearly full: more than any prompt, so it comes last.
BUSY_TOKENS = 1_000_000


@attrs.frozen(kw_only=True)
class Prompt:
    """A prompt that is to be placed.

    ``input_bytes`` is the size of what the engine fetches from ``zone``.
    """

    attempt_id: str
    parts: tuple[requests.PromptPart, ...]
    zone: str = ''
    input_bytes: float = 0.0


@attrs.define
class _Placed:
    """A request at an engine, and the tokens that are still to be read."""

    unread_tokens: int
    at_ms: int


@attrs.define
class _Engine:
    """The requests at one engine, and when its parts were last used."""

    placed: dict[str, _Placed] = attrs.field(factory=dict)
    used_ms: dict[str, int] = attrs.field(factory=dict)

    def lost(self, now_ms: int) -> list[str]:
        """Return the requests of which nothing was heard for long."""
        return [
            attempt_id
            for attempt_id, placed in self.placed.items()
            if now_ms - placed.at_ms
            > (UNREAD_LOST_MS if placed.unread_tokens else RUNNING_LOST_MS)
        ]

    def unread_tokens(self) -> int:
        """Return how many tokens wait to be read."""
        return sum(placed.unread_tokens for placed in self.placed.values())

    def tokens_to_read(
        self, parts: tuple[requests.PromptPart, ...], now_ms: int
    ) -> int:
        """Return the tokens of a prompt behind its cached beginning."""
        left = sum(part.tokens for part in parts)
        for part in parts:
            used_ms = self.used_ms.get(part.part_id)
            if used_ms is None or now_ms - used_ms > CACHED_MS:
                break
            left -= part.tokens
        return left

    def use(self, parts: tuple[requests.PromptPart, ...], now_ms: int) -> None:
        """Note that the engine keeps the parts of a prompt now."""
        for part in parts:
            # Set anew, so that the first key is the oldest use.
            self.used_ms.pop(part.part_id, None)
            self.used_ms[part.part_id] = now_ms
        while len(self.used_ms) > MAX_PARTS:
            del self.used_ms[next(iter(self.used_ms))]


class PromptPlacer:
    """Places prompts, and remembers where they went."""

    def __init__(self) -> None:
        self._engines: dict[tuple[str, int], _Engine] = {}
        self._engine_of: dict[str, _Engine] = {}

    def place(
        self, prompt: Prompt, targets: Collection[model.Target], now_ms: int
    ) -> model.Target | None:
        """Return the engine that is to read a prompt."""
        if not targets:
            return None
        by_id = {target.target_id: target for target in targets}
        shared = prompt.parts[:-1]
        key = shared[-1].part_id if shared else prompt.attempt_id
        # Engines that are equally good are taken in an order on which all
        # instances agree.
        ranked = hashing.rank(key, by_id, len(by_id))
        costs = {
            target_id: self._cost(prompt, by_id[target_id], now_ms)
            for target_id in ranked
        }
        if shared and not self._is_cached(shared, targets, now_ms):
            spared = sum(part.tokens for part in shared)
            costs[ranked[0]] -= UNKNOWN_SHARE * spared
        chosen = by_id[min(ranked, key=lambda name: costs[name])]
        self._note(prompt, chosen, now_ms)
        return chosen

    def mark_read(self, attempt_id: str) -> None:
        """Note that a prompt has been read."""
        engine = self._engine_of.get(attempt_id)
        if engine is not None and attempt_id in engine.placed:
            engine.placed[attempt_id].unread_tokens = 0

    def remove(self, attempt_id: str) -> None:
        """Note that a request has left its engine."""
        engine = self._engine_of.pop(attempt_id, None)
        if engine is not None:
            engine.placed.pop(attempt_id, None)

    def keep_only(self, targets: Mapping[str, model.Target]) -> None:
        """Forget the engines that are gone."""
        kept = {
            (item.target_id, item.incarnation) for item in targets.values()
        }
        for key in self._engines.keys() - kept:
            for attempt_id in self._engines.pop(key).placed:
                self._engine_of.pop(attempt_id, None)

    def _cost(
        self, prompt: Prompt, target: model.Target, now_ms: int
    ) -> float:
        """Return how many tokens are to be read until a prompt is."""
        engine = self._engine(target)
        for attempt_id in engine.lost(now_ms):
            self.remove(attempt_id)
        tokens: float = engine.unread_tokens()
        tokens += engine.tokens_to_read(prompt.parts, now_ms)
        if len(engine.placed) >= target_choice.BUSY_SHARE * target.slots:
            tokens += BUSY_TOKENS
        if prompt.zone not in ('', target.availability_zone):
            tokens += prompt.input_bytes / 1e6 * TOKENS_PER_ZONE_MB
        return tokens

    def _is_cached(
        self,
        shared: tuple[requests.PromptPart, ...],
        targets: Collection[model.Target],
        now_ms: int,
    ) -> bool:
        """Whether an engine is known to have all shared parts."""
        return any(
            not self._engine(target).tokens_to_read(shared, now_ms)
            for target in targets
        )

    def _note(self, prompt: Prompt, target: model.Target, now_ms: int) -> None:
        self.remove(prompt.attempt_id)
        engine = self._engine(target)
        tokens = engine.tokens_to_read(prompt.parts, now_ms)
        engine.placed[prompt.attempt_id] = _Placed(tokens, now_ms)
        engine.use(prompt.parts, now_ms)
        self._engine_of[prompt.attempt_id] = engine

    def _engine(self, target: model.Target) -> _Engine:
        key = target.target_id, target.incarnation
        return self._engines.setdefault(key, _Engine())
