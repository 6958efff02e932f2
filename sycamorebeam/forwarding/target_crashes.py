"""Detects crashes of targets from answers that break off.

It is designed for prompts that crash the engine that answers them: of all
requests on an engine, those without an answer at its crash may be the cause.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import attrs

from sycamorebeam import telemetry
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import upstream

MAX_LOGGED_PROMPTS = 8


@attrs.frozen
class UnansweredPrompt:
    """A request whose answer broke off before it had begun for good."""

    attempt_id: str
    part_ids: tuple[str, ...]
    sent_ms: int


CrashHandler = Callable[[model.Target, Sequence[UnansweredPrompt]], None]


class CrashDetector:
    """Checks whether targets whose answers broke off have crashed."""

    def __init__(
        self,
        client: upstream.Upstream,
        metrics: prometheus_metrics.Metrics,
        on_crash: CrashHandler,
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._on_crash = on_crash
        self._unanswered: dict[tuple[str, int], list[UnansweredPrompt]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_broken(
        self, target: model.Target, prompt: UnansweredPrompt
    ) -> None:
        """Check whether the target of a broken request still runs."""
        key = target.target_id, target.incarnation
        prompts = self._unanswered.setdefault(key, [])
        prompts.append(prompt)
        if len(prompts) > 1:
            return  # the check has begun already
        task = asyncio.create_task(self._check(target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, target: model.Target) -> None:
        is_running = await self._client.accepts_connections(target.address)
        key = target.target_id, target.incarnation
        prompts = self._unanswered.pop(key)
        if is_running:
            return
        self._metrics.target_crashes.inc()
        telemetry.log_event(
            'target_crashed',
            target=target.target_id,
            incarnation=target.incarnation,
            unanswered=len(prompts),
            prompts=' '.join(
                f'{prompt.attempt_id}:{",".join(prompt.part_ids)}'
                for prompt in prompts[:MAX_LOGGED_PROMPTS]
            ),
        )
        self._on_crash(target, prompts)
