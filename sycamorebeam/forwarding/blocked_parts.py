"""Keeps blocks of prompt parts in the store, for instances that start.

Instances share blocks with each other; the store has them for the case that
all instances restart at once.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any
from typing import Protocol

import attrs

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import membership

# Several instances write each block, since one may be about to stop.
WRITERS = 2
RETRY_MS = 2_000.0
MAX_WRITES = 5
# Blocks that ended this long ago without a trial are removed: no prompt with
# the part has come since.
FORGOTTEN_AFTER_MS = 3_600_000


@attrs.frozen
class StoredBlock:
    """A block in the store; its time is that of the wall clock."""

    part_id: str
    until_wall_ms: int
    duration_ms: int


class BlockStore(Protocol):
    """The part of the platform's store that has the blocks."""

    async def read_blocks(self) -> Iterable[StoredBlock]:
        """Return all blocks. Raises followers.ReadError."""
        ...

    async def write_block(self, block: StoredBlock) -> None:
        """Add or replace the block of a part. Raises followers.ReadError."""
        ...

    async def remove_block(self, part_id: str) -> None:
        """Remove the block of a part. Raises followers.ReadError."""
        ...


class BlockKeeper:
    """Reads the blocks in the store once, and writes changed ones."""

    def __init__(
        self,
        clock: clocks.Clock,
        instances: membership.Membership,
        store: BlockStore,
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._store = store
        self._tasks: set[asyncio.Task[None]] = set()

    async def load(self, adopt: Callable[[str, int, int], None]) -> None:
        """Pass each block, with the time left of it in ms, to ``adopt``."""
        while True:
            try:
                blocks = list(await self._store.read_blocks())
            except followers.ReadError as error:
                telemetry.log_event(
                    'blocks_not_read', 'WARNING', error=str(error)
                )
                await self._clock.sleep_ms(RETRY_MS)
                continue
            now_ms = self._clock.wall_ms()
            for block in blocks:
                left_ms = block.until_wall_ms - now_ms
                if left_ms < -FORGOTTEN_AFTER_MS:
                    self.remove(block.part_id)
                else:
                    adopt(block.part_id, max(0, left_ms), block.duration_ms)
            return

    def save(self, part_id: str, left_ms: int, duration_ms: int) -> None:
        """Write a block, if this instance is one of its writers."""
        until_wall_ms = self._clock.wall_ms() + left_ms
        block = StoredBlock(part_id, until_wall_ms, duration_ms)
        self._write(part_id, lambda: self._store.write_block(block))

    def remove(self, part_id: str) -> None:
        """Remove a block, if this instance is one of its writers."""
        self._write(part_id, lambda: self._store.remove_block(part_id))

    def _write(
        self, part_id: str, write: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        writers = self._instances.ranked_instances(part_id)[:WRITERS]
        if self._instances.own_entry.instance_id not in writers:
            return
        task = asyncio.create_task(self._write_with_retries(part_id, write))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write_with_retries(
        self, part_id: str, write: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        for _ in range(MAX_WRITES):
            try:
                await write()
                return
            except followers.ReadError as error:
                telemetry.log_event(
                    'block_not_written',
                    'WARNING',
                    part=part_id,
                    error=str(error),
                )
            await self._clock.sleep_ms(RETRY_MS)
