"""Finds the parts of prompts that crash engines, and blocks them.

It is designed for a part that crashes each engine that begins to answer a
prompt with it, while prompts with the same other parts are sound. The part is
among those of the unanswered prompts at each crash, and no prompt with it
ever has an answer. It does no I/O.
"""

from collections.abc import Iterable

import attrs

from sycamorebeam.forwarding import target_crashes

# Crashes of one cause may be simultaneous, such as the loss of a zone, and
# then count once: of successive crashes, each comes from a prompt that was
# sent after the one before.
MIN_CRASHES = 3
MIN_SUCCESSIVE = 2
# Of a part whose prompts were answered before.
MIN_CRASHES_OF_KNOWN = 5
MIN_SUCCESSIVE_OF_KNOWN = 3
MAX_CRASHES_KEPT = 64
MAX_PARTS_KEPT = 8_192
MAX_BLOCKED_PARTS = 512
# After this time one prompt is tried, as the part may be sound. The time
# grows by the factor with each crash that a trial causes.
FIRST_BLOCK_MS = 30_000
BLOCK_GROWTH = 4
MAX_BLOCK_MS = 3_600_000
# A trial without a result by then has not reached an engine.
TRIAL_TIMEOUT_MS = 15_000
OTHER_TRIAL_WAIT_MS = 1_000.0
BEFORE_ALL_CRASHES_MS = -1


@attrs.define
class _Crash:
    """A crash, and when the prompts with each part were sent at the latest."""

    crashed_ms: int
    sent_ms: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class Block:
    """A blocked part; prompts with it may be tried from ``until_ms`` on."""

    began_ms: int
    until_ms: int
    duration_ms: int
    tried_ms: int | None = None

    def has_open_trial(self, now_ms: int) -> bool:
        """Whether the result of a trial may still come."""
        return (
            self.tried_ms is not None
            and now_ms - self.tried_ms < TRIAL_TIMEOUT_MS
        )


class CrashingParts:
    """The crashes of engines, and the parts that are blocked for them."""

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, int], _Crash] = {}
        # When a prompt with a part was last answered, the latest ones last.
        self._survived_ms: dict[str, int] = {}
        # Parts that no prompt has survived with since a crash.
        self._suspects: set[str] = set()
        self._blocks: dict[str, Block] = {}

    @property
    def blocks(self) -> dict[str, Block]:
        """The blocked parts."""
        return self._blocks

    def record_survival(
        self, part_ids: Iterable[str], now_ms: int
    ) -> list[str]:
        """Record that an engine answers a prompt with these parts.

        Returns those that were suspected or blocked until now.
        """
        cleared = []
        for part_id in part_ids:
            self._set_survived(part_id, now_ms)
            was_blocked = self._blocks.pop(part_id, None) is not None
            if part_id in self._suspects or was_blocked:
                self._suspects.discard(part_id)
                cleared.append(part_id)
        return cleared

    def survived(self, part_ids: Iterable[str]) -> list[str]:
        """Return those parts that prompts have been answered with."""
        return [
            part_id for part_id in part_ids if part_id in self._survived_ms
        ]

    def record_earlier_survival(self, part_ids: Iterable[str]) -> list[str]:
        """Record that prompts were answered before any known crash.

        Returns the parts of which this was not known.
        """
        new = [
            part_id for part_id in part_ids if part_id not in self._survived_ms
        ]
        for part_id in new:
            self._set_survived(part_id, BEFORE_ALL_CRASHES_MS)
        return new

    def record_crash(
        self,
        key: tuple[str, int],
        crashed_ms: int,
        prompts: Iterable[target_crashes.UnansweredPrompt],
        now_ms: int,
    ) -> list[str]:
        """Record a crash of an engine; return the parts blocked for it.

        ``key`` is the id and incarnation of the engine. Several instances
        may report the same crash, each with its own unanswered prompts.
        """
        crash = self._crashes.setdefault(key, _Crash(crashed_ms))
        if len(self._crashes) > MAX_CRASHES_KEPT:
            self._drop_crash(next(iter(self._crashes)))
        for prompt in prompts:
            for part_id in prompt.part_ids:
                crash.sent_ms[part_id] = max(
                    prompt.sent_ms, crash.sent_ms.get(part_id, prompt.sent_ms)
                )
                if self._is_open(part_id, crash):
                    self._suspects.add(part_id)
        return [
            *self._extend_blocks(crash, now_ms),
            *self._block_worst(crash, now_ms),
        ]

    def adopt(
        self, part_id: str, left_ms: int, duration_ms: int, now_ms: int
    ) -> bool:
        """Block a part that is blocked elsewhere; return whether it is new.

        Of two blocks of a part the longer one holds. A part that has survived
        here is not blocked on another's word.
        """
        known = self._blocks.get(part_id)
        if part_id in self._survived_ms or (
            known is not None and known.duration_ms >= duration_ms
        ):
            return False
        self._add_block(part_id, Block(now_ms, now_ms + left_ms, duration_ms))
        return True

    def wait_ms(
        self, part_ids: Iterable[str], now_ms: int, *, may_try: bool
    ) -> float:
        """Return how long a prompt is blocked, 0 if it may be sent now.

        ``may_try`` tells whether this instance tries blocked parts.
        """
        return max(
            (
                self._wait_ms(self._blocks[part_id], now_ms, may_try)
                for part_id in part_ids
                if part_id in self._blocks
            ),
            default=0.0,
        )

    def begin_trial(self, part_ids: Iterable[str], now_ms: int) -> list[str]:
        """Record that a prompt is sent; return the parts that it tries."""
        tried = [part_id for part_id in part_ids if part_id in self._blocks]
        for part_id in tried:
            self._blocks[part_id].tried_ms = now_ms
        return tried

    def _wait_ms(self, block: Block, now_ms: int, may_try: bool) -> float:
        if now_ms < block.until_ms:
            return block.until_ms - now_ms
        if may_try and not block.has_open_trial(now_ms):
            return 0.0
        return OTHER_TRIAL_WAIT_MS

    def _extend_blocks(self, crash: _Crash, now_ms: int) -> list[str]:
        """Block parts for longer that have crashed an engine in a trial."""
        extended = []
        for part_id, sent_ms in crash.sent_ms.items():
            block = self._blocks.get(part_id)
            if block is None or sent_ms < block.until_ms:
                continue
            duration_ms = min(MAX_BLOCK_MS, block.duration_ms * BLOCK_GROWTH)
            self._add_block(
                part_id, Block(now_ms, now_ms + duration_ms, duration_ms)
            )
            extended.append(part_id)
        return extended

    def _block_worst(self, crash: _Crash, now_ms: int) -> list[str]:
        """Block the part that most likely caused a crash, if any does.

        Of parts with the same record the last one in the prompt is blocked,
        which fewest other prompts share.
        """
        if self._is_explained(crash):
            return []
        convicted = [
            part_id
            for part_id in reversed(crash.sent_ms)
            if self._is_convicted(part_id)
        ]
        if not convicted:
            return []
        worst = max(
            convicted,
            key=lambda part_id: (
                part_id not in self._survived_ms,
                len(self._open_crashes(part_id)),
            ),
        )
        self._add_block(
            worst, Block(now_ms, now_ms + FIRST_BLOCK_MS, FIRST_BLOCK_MS)
        )
        return [worst]

    def _is_explained(self, crash: _Crash) -> bool:
        """Whether a part that is blocked already has caused a crash."""
        return any(part_id in self._blocks for part_id in crash.sent_ms)

    def _is_open(self, part_id: str, crash: _Crash) -> bool:
        """Whether no prompt with a part was answered since a crash."""
        survived_ms = self._survived_ms.get(part_id)
        return survived_ms is None or survived_ms < crash.crashed_ms

    def _open_crashes(self, part_id: str) -> list[_Crash]:
        """Return the crashes that a part may have caused, in order."""
        return sorted(
            (
                crash
                for crash in self._crashes.values()
                if part_id in crash.sent_ms
                and self._is_open(part_id, crash)
                and not self._is_explained(crash)
            ),
            key=lambda crash: crash.crashed_ms,
        )

    def _is_convicted(self, part_id: str) -> bool:
        crashes = self._open_crashes(part_id)
        successive = 0
        last_crash_ms: int | None = None
        for crash in crashes:
            if last_crash_ms is None or crash.sent_ms[part_id] > last_crash_ms:
                successive += 1
                last_crash_ms = crash.crashed_ms
        if part_id in self._survived_ms:
            return (
                len(crashes) >= MIN_CRASHES_OF_KNOWN
                and successive >= MIN_SUCCESSIVE_OF_KNOWN
            )
        return len(crashes) >= MIN_CRASHES and successive >= MIN_SUCCESSIVE

    def _set_survived(self, part_id: str, at_ms: int) -> None:
        # Insert again, so that the first key is the oldest one.
        self._survived_ms.pop(part_id, None)
        self._survived_ms[part_id] = at_ms
        if len(self._survived_ms) > MAX_PARTS_KEPT:
            del self._survived_ms[next(iter(self._survived_ms))]

    def _add_block(self, part_id: str, block: Block) -> None:
        self._blocks[part_id] = block
        if len(self._blocks) > MAX_BLOCKED_PARTS:
            del self._blocks[next(iter(self._blocks))]

    def _drop_crash(self, key: tuple[str, int]) -> None:
        dropped = self._crashes.pop(key)
        kept = {
            part_id
            for crash in self._crashes.values()
            for part_id in crash.sent_ms
        }
        self._suspects -= dropped.sent_ms.keys() - kept
