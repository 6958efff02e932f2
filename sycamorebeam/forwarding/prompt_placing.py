"""Chooses the engine that completes the prefill of a prompt first.

It is designed for long prompts that share large prefixes. An engine reads
prompts one after the other, so a prompt that is queued behind a long one
misses its objective while another engine is idle; and a prefix that is cached
on another engine has to be read again. It does no I/O.
"""

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from sycamorebeam import hashing
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding.regions import region_filter

# Engines evict the least recently used parts, at a usual load after this time.
CACHE_LIFETIME_MS = 15_000
MAX_PARTS_PER_ENGINE = 4_096
# Prompts are dropped after these times, since an instance that stops doesn't
# report their end.
UNREAD_TIMEOUT_MS = 6_000  # engines read the longest prompts in about 1 s
RUNNING_TIMEOUT_MS = 16_000  # callers wait for a stream for 15 s at most
# If no engine is known to have a prefix cached, the engine that ranks first
# for it may have: the tokens that this would save count with this weight.
UNKNOWN_CACHE_WEIGHT = 0.5
# Transferring a megabyte between zones costs as much as reading these tokens.
TOKENS_PER_ZONE_MB = 300
# Added for an engine that is nearly full: more than the tokens of any prompt.
BUSY_PENALTY_TOKENS = 1_000_000


@attrs.frozen(kw_only=True)
class Prompt:
    """A prompt to place, with the parts it shares with others first.

    ``input_bytes`` is the size of the input that the engine fetches from
    ``zone``, if one is set. Only engines in ``allowed_regions`` may get it.
    Its answer has ``output_tokens`` at most and goes to ``caller_zone``;
    its first event should arrive within ``objective_in_ms``, if set.
    """

    attempt_id: str
    parts: tuple[requests.PromptPart, ...]
    zone: str = ''
    input_bytes: float = 0.0
    allowed_regions: region_filter.AllowedRegions = None
    output_tokens: int = 0
    caller_zone: str = ''
    objective_in_ms: float | None = None


@attrs.define
class _PlacedPrompt:
    """A request placed on an engine; it has no unread tokens once read."""

    unread_tokens: int
    placed_ms: int


@attrs.define
class _Engine:
    """The requests on one engine, and when it last used each part."""

    placed: dict[str, _PlacedPrompt] = attrs.field(factory=dict)
    last_used_ms: dict[str, int] = attrs.field(factory=dict)

    def expired(self, now_ms: int) -> list[str]:
        """Return the requests that were placed too long ago."""
        return [
            attempt_id
            for attempt_id, placed in self.placed.items()
            if now_ms - placed.placed_ms
            > (
                UNREAD_TIMEOUT_MS
                if placed.unread_tokens
                else RUNNING_TIMEOUT_MS
            )
        ]

    def unread_tokens(self) -> int:
        """Return the number of queued tokens."""
        return sum(placed.unread_tokens for placed in self.placed.values())

    def tokens_to_read(
        self, parts: tuple[requests.PromptPart, ...], now_ms: int
    ) -> int:
        """Return the number of tokens after the cached prefix of a prompt."""
        unread = sum(part.tokens for part in parts)
        for part in parts:
            last_used_ms = self.last_used_ms.get(part.part_id)
            if (
                last_used_ms is None
                or now_ms - last_used_ms > CACHE_LIFETIME_MS
            ):
                break
            unread -= part.tokens
        return unread

    def mark_cached(
        self, parts: tuple[requests.PromptPart, ...], now_ms: int
    ) -> None:
        """Record that the engine has the parts of a prompt in its cache."""
        for part in parts:
            # Insert again, so that the first key is the least recently used.
            self.last_used_ms.pop(part.part_id, None)
            self.last_used_ms[part.part_id] = now_ms
        while len(self.last_used_ms) > MAX_PARTS_PER_ENGINE:
            del self.last_used_ms[next(iter(self.last_used_ms))]


class PromptPlacer:
    """Places prompts, and keeps track of the requests on each engine."""

    def __init__(self) -> None:
        self._engines: dict[tuple[str, int], _Engine] = {}
        self._engine_of: dict[str, _Engine] = {}

    def place(
        self, prompt: Prompt, targets: Collection[model.Target], now_ms: int
    ) -> model.Target | None:
        """Choose the engine for a prompt, None if there are no targets."""
        if not targets:
            return None
        by_id = {target.target_id: target for target in targets}
        shared = prompt.parts[:-1]
        key = shared[-1].part_id if shared else prompt.attempt_id
        # Ties are resolved by an order that is the same on all instances.
        ranked = hashing.rank(key, by_id, len(by_id))
        costs = {
            target_id: self._cost_tokens(prompt, by_id[target_id], now_ms)
            for target_id in ranked
        }
        if shared and not self._is_cached(shared, targets, now_ms):
            saved = sum(part.tokens for part in shared)
            costs[ranked[0]] -= UNKNOWN_CACHE_WEIGHT * saved
        chosen = by_id[min(ranked, key=lambda name: costs[name])]
        self._record(prompt, chosen, now_ms)
        return chosen

    def mark_read(self, attempt_id: str) -> None:
        """Record that an engine has read all of a prompt."""
        engine = self._engine_of.get(attempt_id)
        if engine is not None and attempt_id in engine.placed:
            engine.placed[attempt_id].unread_tokens = 0

    def remove(self, attempt_id: str) -> None:
        """Remove a request that has ended."""
        engine = self._engine_of.pop(attempt_id, None)
        if engine is not None:
            engine.placed.pop(attempt_id, None)

    def keep_only(self, targets: Mapping[str, model.Target]) -> None:
        """Drop the engines that are not among the targets."""
        kept = {
            (target.target_id, target.incarnation)
            for target in targets.values()
        }
        for key in self._engines.keys() - kept:
            for attempt_id in self._engines.pop(key).placed:
                self._engine_of.pop(attempt_id, None)

    def _cost_tokens(
        self, prompt: Prompt, target: model.Target, now_ms: int
    ) -> float:
        """Return the tokens that an engine reads up to the prompt's end.

        Penalties for a busy engine and for transfers are included.
        """
        engine = self._engine(target)
        for attempt_id in engine.expired(now_ms):
            self.remove(attempt_id)
        tokens: float = engine.unread_tokens()
        tokens += engine.tokens_to_read(prompt.parts, now_ms)
        if len(engine.placed) >= target_choice.BUSY_SLOT_SHARE * target.slots:
            tokens += BUSY_PENALTY_TOKENS
        if prompt.zone not in ('', target.availability_zone):
            tokens += prompt.input_bytes / 1e6 * TOKENS_PER_ZONE_MB
        return tokens

    def _is_cached(
        self,
        shared: tuple[requests.PromptPart, ...],
        targets: Collection[model.Target],
        now_ms: int,
    ) -> bool:
        """Whether an engine is known to have all shared parts cached."""
        return any(
            not self._engine(target).tokens_to_read(shared, now_ms)
            for target in targets
        )

    def _record(
        self, prompt: Prompt, target: model.Target, now_ms: int
    ) -> None:
        self.remove(prompt.attempt_id)
        engine = self._engine(target)
        tokens = engine.tokens_to_read(prompt.parts, now_ms)
        engine.placed[prompt.attempt_id] = _PlacedPrompt(tokens, now_ms)
        engine.mark_cached(prompt.parts, now_ms)
        self._engine_of[prompt.attempt_id] = engine

    def _engine(self, target: model.Target) -> _Engine:
        key = target.target_id, target.incarnation
        return self._engines.setdefault(key, _Engine())
