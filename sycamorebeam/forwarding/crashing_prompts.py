"""Keeps prompts from engines that one of their parts would crash.

Instances share what they see, since prompts with the part come to all of
them: each crash with its unanswered prompts, and answers to prompts with
parts that are suspected. Each instance judges for itself.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import random
from typing import Any

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import blocked_parts
from sycamorebeam.forwarding import crashing_parts
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import target_crashes
from sycamorebeam.forwarding import upstream
from sycamorebeam.peering import crash_messages
from sycamorebeam.peering import messages

MAX_REPORTS_KEPT = 1_024
# Instances that see a crash have streams to these, so that reports reach
# regions that have no other streams between them.
RELAYS = 2
RELAYING = 'crash reports'  # hashed to rank the relays
# Instances that know parts in a report to be answered say so after a random
# time, which grows with their number, unless another one did.
ANSWERED_DELAY_MS = 5.0


class CrashingPrompts:
    """The prompts that this instance sends to engines or withholds."""

    def __init__(
        self,
        clock: clocks.Clock,
        instances: membership.Membership,
        links: peer_links.PeerLinks,
        client: upstream.Upstream,
        metrics: prometheus_metrics.Metrics,
        keeper: blocked_parts.BlockKeeper,
    ) -> None:
        self._keeper = keeper
        self._clock = clock
        self._instances = instances
        self._links = links
        self._detector = target_crashes.CrashDetector(
            client, metrics, self._report
        )
        self._parts = crashing_parts.CrashingParts()
        self._report_numbers = itertools.count(1)
        self._known_reports: dict[str, None] = {}
        # Parts that were heard of as answered before the last crash.
        self._heard: dict[str, None] = {}
        links.add_broadcast_handler(self._on_message)
        links.add_greeting(self._greet)

    @property
    def blocked_part_count(self) -> int:
        """How many parts are blocked."""
        return len(self._parts.blocks)

    async def load(self) -> None:
        """Block the parts that were blocked before this process started."""
        await self._keeper.load(
            lambda part_id, left_ms, duration_ms: self._adopt(
                [[part_id, left_ms, duration_ms]], 'store'
            )
        )

    def record_broken(
        self, target: model.Target, prompt: target_crashes.UnansweredPrompt
    ) -> None:
        """Record a prompt whose answer broke off at its beginning."""
        self._detector.record_broken(target, prompt)

    def record_survival(self, part_ids: Sequence[str]) -> None:
        """Record that an engine answers a prompt with these parts."""
        blocked = self._parts.blocks.keys() & part_ids
        cleared = self._parts.record_survival(
            part_ids, self._clock.monotonic_ms()
        )
        if not cleared:
            return
        telemetry.log_event('prompt_parts_survived', parts=','.join(cleared))
        for part_id in blocked:
            self._keeper.remove(part_id)
        self._links.broadcast(crash_messages.PartsSurvived(cleared))

    def wait_ms(self, part_ids: Sequence[str]) -> float:
        """Return how long a prompt is withheld, 0 if it may be sent now."""
        if not self._parts.blocks:
            return 0.0
        return self._parts.wait_ms(
            part_ids,
            self._clock.monotonic_ms(),
            may_try=self._tries(part_ids),
        )

    def begin(self, part_ids: Sequence[str]) -> None:
        """Record that a prompt, which may be a trial, is sent now."""
        if not self._parts.blocks:
            return
        tried = self._parts.begin_trial(part_ids, self._clock.monotonic_ms())
        for part_id in tried:
            telemetry.log_event('prompt_part_tried', part=part_id)

    def _tries(self, part_ids: Sequence[str]) -> bool:
        """Whether this instance is the one that tries all these parts.

        Instances that try a part at the same time would crash one engine
        each. An isolated instance does not know whether others try it.
        """
        if self._links.is_isolated:
            return False
        own_id = self._instances.own_entry.instance_id
        return all(
            self._instances.ranked_instances(part_id)[:1] == [own_id]
            for part_id in part_ids
            if part_id in self._parts.blocks
        )

    def _report(
        self,
        target: model.Target,
        prompts: Sequence[target_crashes.UnansweredPrompt],
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        own_id = self._instances.own_entry.instance_id
        message = crash_messages.EngineCrashed(
            f'{own_id}:{now_ms}:{next(self._report_numbers)}',
            target.target_id,
            target.incarnation,
            0,
            [
                [now_ms - prompt.sent_ms, list(prompt.part_ids)]
                for prompt in prompts
            ],
        )
        for relay_id in self._instances.ranked_instances(RELAYING)[:RELAYS]:
            if relay_id != own_id:
                self._links.send_soon(relay_id, message)
        self._handle_crash(message)

    def _on_message(self, message: messages.Message) -> None:
        match message:
            case crash_messages.EngineCrashed():
                self._handle_crash(message)
            case crash_messages.PartsSurvived(part_ids, is_earlier=False):
                self.record_survival(part_ids)
            case crash_messages.PartsSurvived(part_ids):
                self._handle_earlier_survival(part_ids)
            case crash_messages.PartsBlocked(rows):
                self._adopt(rows, 'instance')

    def _handle_crash(self, message: crash_messages.EngineCrashed) -> None:
        """Record a crash and pass it on, unless it is known."""
        if message.report_id in self._known_reports:
            return
        self._known_reports[message.report_id] = None
        if len(self._known_reports) > MAX_REPORTS_KEPT:
            del self._known_reports[next(iter(self._known_reports))]
        now_ms = self._clock.monotonic_ms()
        blocked = self._parts.record_crash(
            (message.target_id, message.incarnation),
            now_ms - message.age_ms,
            [
                target_crashes.UnansweredPrompt(
                    '', tuple(part_ids), now_ms - age_ms
                )
                for age_ms, part_ids in message.prompts
            ],
            now_ms,
        )
        self._links.broadcast(message)
        self._share_earlier_survival(message)
        for part_id in blocked:
            duration_ms = self._parts.blocks[part_id].duration_ms
            self._log_block(part_id, duration_ms, message.target_id)
            self._keeper.save(part_id, duration_ms, duration_ms)
        if blocked:
            # Others may not know of all crashes that speak against a part.
            self._share_blocks(blocked)

    def _share_earlier_survival(
        self, message: crash_messages.EngineCrashed
    ) -> None:
        """Tell others which parts in a report were answered before.

        Few instances may have seen that, and a part that was never answered
        is blocked sooner.
        """
        part_ids = {
            part_id for _, part_ids in message.prompts for part_id in part_ids
        }
        known = self._parts.survived(part_ids)
        for part_id in known:
            self._heard.pop(part_id, None)
        if known:
            highest_ms = ANSWERED_DELAY_MS * self._instances.count()
            delay_ms = random.uniform(0, highest_ms)
            asyncio.get_running_loop().call_later(
                delay_ms / 1_000, self._send_earlier_survival, known
            )

    def _send_earlier_survival(self, known: list[str]) -> None:
        unheard = [part_id for part_id in known if part_id not in self._heard]
        if unheard:
            self._handle_earlier_survival(unheard)

    def _handle_earlier_survival(self, part_ids: list[str]) -> None:
        """Record earlier answers and pass them on, once for each crash."""
        self._parts.record_earlier_survival(part_ids)
        unheard = [
            part_id for part_id in part_ids if part_id not in self._heard
        ]
        if not unheard:
            return
        self._heard.update(dict.fromkeys(unheard))
        while len(self._heard) > MAX_REPORTS_KEPT:
            del self._heard[next(iter(self._heard))]
        self._links.broadcast(
            crash_messages.PartsSurvived(unheard, is_earlier=True)
        )

    def _greet(self) -> messages.Message | None:
        """Return what an instance at a new stream may not know."""
        if not self._parts.blocks:
            return None
        return self._blocks_message(self._parts.blocks)

    def _share_blocks(self, part_ids: Iterable[str]) -> None:
        self._links.broadcast(self._blocks_message(part_ids))

    def _blocks_message(
        self, part_ids: Iterable[str]
    ) -> crash_messages.PartsBlocked:
        now_ms = self._clock.monotonic_ms()
        rows = []
        for part_id in part_ids:
            block = self._parts.blocks[part_id]
            left_ms = max(0, block.until_ms - now_ms)
            rows.append([part_id, left_ms, block.duration_ms])
        return crash_messages.PartsBlocked(rows)

    def _adopt(self, rows: list[list[Any]], source: str) -> None:
        """Block parts that are blocked elsewhere, and pass new ones on."""
        now_ms = self._clock.monotonic_ms()
        adopted = []
        for part_id, left_ms, duration_ms in rows:
            if self._parts.adopt(part_id, left_ms, duration_ms, now_ms):
                adopted.append(part_id)
                self._log_block(part_id, duration_ms, source)
        if adopted:
            self._share_blocks(adopted)

    def _log_block(self, part_id: str, duration_ms: int, source: str) -> None:
        telemetry.log_event(
            'prompt_part_blocked',
            'WARNING',
            part=part_id,
            block_ms=duration_ms,
            source=source,
        )
