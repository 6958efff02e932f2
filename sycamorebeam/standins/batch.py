"""Continuous batching: generations that share an engine's slots.

Tokens depend on model and prompt only, so that a test can verify that an
answer belongs to its request.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import heapq
import itertools

import attrs

from sycamorebeam import hashing
from sycamorebeam.standins import runs

WORDS = (
    'level',
    'pressure',
    'inflow',
    'pump',
    'valve',
    'shift',
    'crew',
    'alarm',
    'station',
    'reservoir',
    'balance',
    'covenant',
    'margin',
    'payroll',
    'invoice',
    'review',
    'limit',
    'branch',
    'quarter',
    'file',
)
GENERATIONS_KEPT = 1_000


def token(model: str, prompt: str, index: int) -> str:
    """Return token ``index`` of the text for ``prompt``."""
    number = hashing.weight(f'{model}\x00{prompt}', str(index))
    return f'{WORDS[number % len(WORDS)]} '


@attrs.define(kw_only=True)
class Generation:
    """The state of one text and the tokens generated so far."""

    id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    run: runs.Run | None = None
    texts: list[str] = attrs.field(factory=list)
    done: bool = False
    cancelled: bool = False
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def digest(self) -> str:
        """The SHA-256 digest of the text so far, in hex."""
        return hashlib.sha256(''.join(self.texts).encode()).hexdigest()

    def add_token(self) -> None:
        """Generate the next token."""
        self.texts.append(token(self.model, self.prompt, len(self.texts)))
        self.done = len(self.texts) >= self.max_tokens
        self.wake_readers()

    def cancel(self) -> None:
        """Generate no more tokens."""
        self.cancelled = True
        self.wake_readers()

    def wake_readers(self) -> None:
        """Wake the readers that wait for a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def read(
        self, start: int, heartbeat_ms: float
    ) -> AsyncIterator[tuple[int, str] | None]:
        """Yield tokens from ``start``, and None when a heartbeat is due."""
        index = start
        while True:
            while index < len(self.texts):
                yield index, self.texts[index]
                index += 1
            if self.done or self.cancelled:
                return
            await self._wait_for_change(heartbeat_ms)
            if index >= len(self.texts):
                yield None

    async def _wait_for_change(self, heartbeat_ms: float) -> None:
        try:
            async with asyncio.timeout(heartbeat_ms / 1000):
                await self._changed.wait()
        except TimeoutError:
            return


Prefill = Callable[[Generation], Awaitable[None]]
StartRun = Callable[[Generation], runs.Run]


class Batch:
    """Running generations and those that wait, by priority (0 first)."""

    def __init__(
        self,
        capacity: int,
        token_ms: float,
        start_run: StartRun,
        prefill: Prefill,
    ) -> None:
        self._capacity = capacity
        self._token_ms = token_ms
        self._start_run = start_run
        self._prefill = prefill
        self._generations: dict[str, Generation] = {}
        self._waiting: list[tuple[int, int, Generation]] = []
        self._sequence = itertools.count()
        self._running: dict[str, asyncio.Task[None]] = {}

    @property
    def running(self) -> int:
        """The number of running generations."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of generations that wait for a slot."""
        return sum(not entry[2].cancelled for entry in self._waiting)

    def find(self, generation_id: str) -> Generation | None:
        """Return the generation with this id, or None if it was removed."""
        return self._generations.get(generation_id)

    def submit(self, generation: Generation) -> None:
        """Queue ``generation`` and start it if a slot is free."""
        self._generations[generation.id] = generation
        self._remove_ended()
        entry = (generation.priority, next(self._sequence), generation)
        heapq.heappush(self._waiting, entry)
        self._fill_slots()

    def cancel(self, generation_id: str) -> None:
        """Cancel a running or waiting generation."""
        generation = self._generations.get(generation_id)
        if generation is None or generation.done:
            return
        generation.cancel()
        if generation.run is not None:
            generation.run.state = runs.RunState.CANCELLED
        task = self._running.get(generation_id)
        if task is not None:
            task.cancel()

    def _fill_slots(self) -> None:
        while self._waiting and len(self._running) < self._capacity:
            generation = heapq.heappop(self._waiting)[2]
            if not generation.cancelled:
                self._start_generation(generation)

    def _start_generation(self, generation: Generation) -> None:
        generation.run = self._start_run(generation)
        task = asyncio.create_task(self._generate(generation))
        self._running[generation.id] = task
        task.add_done_callback(lambda _: self._release_slot(generation))

    async def _generate(self, generation: Generation) -> None:
        await self._prefill(generation)
        while not generation.done:
            await asyncio.sleep(self._token_ms / 1000)
            generation.add_token()
        if generation.run is not None:
            generation.run.state = runs.RunState.FINISHED

    def _release_slot(self, generation: Generation) -> None:
        self._running.pop(generation.id, None)
        self._fill_slots()

    def _remove_ended(self) -> None:
        excess = len(self._generations) - GENERATIONS_KEPT
        ended = [
            generation.id
            for generation in itertools.islice(self._generations.values(), 100)
            if generation.done or generation.cancelled
        ]
        for generation_id in ended[: max(0, excess)]:
            del self._generations[generation_id]
