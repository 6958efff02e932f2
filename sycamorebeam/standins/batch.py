"""Continuous batching: generations that share an engine's slots.

Tokens depend on model and prompt only, so that a test can tell whose
answer it got.
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
    """One text in the making."""

    id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    run: runs.Run | None = None
    texts: list[str] = attrs.field(factory=list)
    done: bool = False
    cancelled: bool = False
    _grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def digest(self) -> str:
        """The digest of the whole text, in hex."""
        return hashlib.sha256(''.join(self.texts).encode()).hexdigest()

    def add(self) -> None:
        """Make the next token."""
        self.texts.append(token(self.model, self.prompt, len(self.texts)))
        self.done = len(self.texts) >= self.max_tokens
        self.wake_readers()

    def cancel(self) -> None:
        """Make no more tokens."""
        self.cancelled = True
        self.wake_readers()

    def wake_readers(self) -> None:
        """Let the readers look again."""
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()

    async def read(
        self, start: int, beat_ms: float
    ) -> AsyncIterator[tuple[int, str] | None]:
        """Yield tokens from ``start``, and None after a quiet time."""
        index = start
        while True:
            while index < len(self.texts):
                yield index, self.texts[index]
                index += 1
            if self.done or self.cancelled:
                return
            await self._wait(beat_ms)
            if index >= len(self.texts):
                yield None

    async def _wait(self, beat_ms: float) -> None:
        try:
            async with asyncio.timeout(beat_ms / 1000):
                await self._grown.wait()
        except TimeoutError:
            return


Prefill = Callable[[Generation], Awaitable[None]]
Start = Callable[[Generation], runs.Run]


class Batch:
    """Generations that run, by priority (0 first), and those that wait."""

    def __init__(
        self, capacity: int, token_ms: float, start: Start, prefill: Prefill
    ) -> None:
        self._capacity = capacity
        self._token_ms = token_ms
        self._start = start
        self._prefill = prefill
        self._known: dict[str, Generation] = {}
        self._waiting: list[tuple[int, int, Generation]] = []
        self._order = itertools.count()
        self._running: dict[str, asyncio.Task[None]] = {}

    @property
    def running(self) -> int:
        """How many generations run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """How many generations wait for a slot."""
        return sum(not item[2].cancelled for item in self._waiting)

    def find(self, generation_id: str) -> Generation | None:
        """Return the generation with this id, if still known."""
        return self._known.get(generation_id)

    def submit(self, generation: Generation) -> None:
        """Queue ``generation``."""
        self._known[generation.id] = generation
        self._forget()
        place = (generation.priority, next(self._order), generation)
        heapq.heappush(self._waiting, place)
        self._fill()

    def cancel(self, generation_id: str) -> None:
        """Stop a generation that runs or waits."""
        generation = self._known.get(generation_id)
        if generation is None or generation.done:
            return
        generation.cancel()
        if generation.run is not None:
            generation.run.state = runs.RunState.CANCELLED
        task = self._running.get(generation_id)
        if task is not None:
            task.cancel()

    def _fill(self) -> None:
        while self._waiting and len(self._running) < self._capacity:
            generation = heapq.heappop(self._waiting)[2]
            if not generation.cancelled:
                self._begin(generation)

    def _begin(self, generation: Generation) -> None:
        generation.run = self._start(generation)
        task = asyncio.create_task(self._generate(generation))
        self._running[generation.id] = task
        task.add_done_callback(lambda _: self._end(generation))

    async def _generate(self, generation: Generation) -> None:
        await self._prefill(generation)
        while not generation.done:
            await asyncio.sleep(self._token_ms / 1000)
            generation.add()
        if generation.run is not None:
            generation.run.state = runs.RunState.FINISHED

    def _end(self, generation: Generation) -> None:
        self._running.pop(generation.id, None)
        self._fill()

    def _forget(self) -> None:
        excess = len(self._known) - GENERATIONS_KEPT
        ended = [
            item.id
            for item in itertools.islice(self._known.values(), 100)
            if item.done or item.cancelled
        ]
        for generation_id in ended[: max(0, excess)]:
            del self._known[generation_id]
