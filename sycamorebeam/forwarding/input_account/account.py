"""One account of what an instance holds for what its peers have sent.

Designed for thousands of connections, of which most hold a body that never
ends, and for a small share of a core. A read adds to a sum. Only when the sum
may exceed the bound is each connection asked what it holds.
"""

from collections.abc import Callable
import enum
from typing import Protocol

import attrs

from sycamorebeam.forwarding import request_memory

# Of a connection without any input: transport, protocol, parser and task take
# about twice this. Bodies are counted once as well, and are held twice.
CONNECTION_BYTES = 16 * 1024
# Of a parsed request that waits, or is handled: about half of what it takes.
REQUEST_BYTES = 8 * 1024
# Of a request that is passed on: about half of what its call, its tasks and
# the read buffer of its connection to a target take.
PASSED_ON_BYTES = 48 * 1024
# Room is made down to this share of the bound, so that it isn't made for each
# connection anew.
RELIEVED_SHARE = 7 / 8
# Progress is that since the last mark, which is set anew after this time.
MARK_MS = 1_000
# Connections that are younger have had no time to make progress.
MIN_AGE_MS = 250
# A body may take a quarter of what is free.
ROOM_FACTOR = 4
# Of the bound. All connections are asked anew only after this was added.
SWEEP_SHARE = 1 / 32
# A connection that takes less is one that has stopped, or sends byte by byte.
SLOW_BYTES_PER_S = 1_000
# Of the limit on descriptors; the others are for targets, store and files.
DESCRIPTOR_SHARE = 5 / 8


class Reason(enum.StrEnum):
    """Why a connection was closed."""

    MEMORY = 'memory'
    DESCRIPTORS = 'descriptors'
    SLOW_HEAD = 'slow_head'
    SLOW_BODY = 'slow_body'
    UNREAD_ANSWER = 'unread_answer'


class Connection(Protocol):
    """What the account asks of a connection."""

    @property
    def held_bytes(self) -> int:
        """What it holds, apart from what is counted for its request."""
        ...

    @property
    def is_unread(self) -> bool:
        """Whether its answer is not taken."""
        ...

    def overdue(self, now_ms: int) -> Reason | None:
        """Return why the connection is to be closed, None if it isn't."""
        ...

    def close_for(self, reason: Reason) -> None:
        """Close the connection at once."""
        ...


@attrs.define(eq=False)
class Entry:
    """One connection in the account, and its progress."""

    connection: Connection
    opened_ms: int
    received_bytes: int = 0
    is_passed_on: bool = False
    is_closing: bool = False
    served_requests: int = 0
    share: request_memory.Share | None = None
    marked_ms: int = 0
    marked_bytes: int = 0
    rate: float = 0.0

    @property
    def own_bytes(self) -> int:
        """What it holds besides the share of its request."""
        held = self.connection.held_bytes
        return held + PASSED_ON_BYTES if self.is_passed_on else held

    @property
    def held_bytes(self) -> int:
        """What the connection and its request hold."""
        return self.own_bytes + (0 if self.share is None else self.share.size)

    @property
    def may_close(self) -> bool:
        """Whether closing it cuts no request that a target may run."""
        return not self.is_closing and (
            not self.is_passed_on or self.connection.is_unread
        )

    def progress(self, now_ms: int) -> float:
        """Return how many bytes per second it has sent lately."""
        passed_ms = now_ms - self.marked_ms
        if passed_ms >= MIN_AGE_MS:
            moved = self.received_bytes - self.marked_bytes
            self.rate = moved * 1000 / passed_ms
            if passed_ms >= MARK_MS:
                self.marked_ms = now_ms
                self.marked_bytes = self.received_bytes
        return self.rate

    def rank(self, now_ms: int, held_bytes: int) -> tuple[int, float, int]:
        """Return the order in which connections are closed."""
        if self.connection.is_unread:
            return 0, 0.0, -held_bytes
        rate = self.progress(now_ms)
        if now_ms - self.opened_ms < MIN_AGE_MS:
            return 3, 0.0, 0
        is_idle = self.served_requests and held_bytes <= CONNECTION_BYTES
        if rate >= SLOW_BYTES_PER_S:
            return 3, rate / held_bytes, -held_bytes
        return (2 if is_idle else 1), rate / held_bytes, -held_bytes


class InputAccount:
    """Counts what all connections hold, and closes the worst of them."""

    def __init__(
        self,
        memory: request_memory.RequestMemory,
        now_ms: Callable[[], int],
        max_connections: Callable[[], float],
        on_closed: Callable[[Reason, int, int], None],
        on_removed: Callable[[], None] = lambda: None,
    ) -> None:
        self._memory = memory
        self._now_ms = now_ms
        self._max_connections = max_connections
        self._on_closed = on_closed
        self._on_removed = on_removed
        self._entries: dict[Entry, None] = {}
        self._held_bytes = 0
        self._added_bytes = 0
        self._closing_count = 0
        self._is_stuck = False
        self.removed_count = 0

    @property
    def entries(self) -> tuple[Entry, ...]:
        """All open connections."""
        return tuple(self._entries)

    @property
    def held_bytes(self) -> int:
        """What is held: as last counted, and what was added since."""
        return self._held_bytes + self._added_bytes + self._memory.used_bytes

    @property
    def is_full(self) -> bool:
        """Whether no request may begin, as no connection can be closed."""
        return self._is_stuck and self.held_bytes > self._memory.limit

    def open(self, connection: Connection) -> Entry:
        """Count a connection that was opened."""
        now_ms = self._now_ms()
        entry = Entry(connection, now_ms, marked_ms=now_ms)
        self._entries[entry] = None
        open_count = len(self._entries) - self._closing_count
        if open_count > self._max_connections():
            self._close_for_descriptors()
        self.add(CONNECTION_BYTES)
        return entry

    def remove(self, entry: Entry) -> None:
        """Forget a connection that was closed."""
        if entry in self._entries:
            del self._entries[entry]
            self.removed_count += 1
            if entry.is_closing:
                self._closing_count -= 1
            else:
                self._held_bytes = max(0, self._held_bytes - CONNECTION_BYTES)
            self._on_removed()

    def add(self, size: int) -> None:
        """Count bytes that were received, or are to be sent."""
        self._added_bytes += size
        if (
            self._added_bytes > SWEEP_SHARE * self._memory.limit
            and self.held_bytes > self._memory.limit
        ):
            self.relieve()

    def make_room(self, needed_bytes: int) -> None:
        """Close connections that keep a body from its memory.

        Only those that send next to nothing, since the body is refused.
        """
        now_ms = self._now_ms()
        freed = closed = 0
        for entry in tuple(self._entries):
            size = 0 if entry.share is None else entry.share.size
            if (
                freed < needed_bytes * ROOM_FACTOR
                and size
                and entry.may_close
                and entry.rank(now_ms, entry.held_bytes)[0] < 2
            ):
                self._close(entry, Reason.MEMORY)
                freed += size
                closed += 1
        if closed:
            self._on_closed(Reason.MEMORY, closed, freed)

    def relieve(self) -> None:
        """Close connections until the bound is kept, the worst first."""
        now_ms = self._now_ms()
        sizes = []
        held = closing = 0
        for entry in self._entries:
            if entry.is_closing:
                closing += 0 if entry.share is None else entry.share.size
                continue
            held += entry.own_bytes
            sizes.append((entry, entry.held_bytes))
        self._held_bytes, self._added_bytes = held, 0
        limit = self._memory.limit
        used = held + self._memory.used_bytes - closing
        self._is_stuck = False
        if used <= limit:
            return
        excess = used - RELIEVED_SHARE * limit
        ranked = sorted(
            (
                (entry.rank(now_ms, size), index)
                for index, (entry, size) in enumerate(sizes)
                if entry.may_close
            ),
        )
        closed = freed = 0
        for _, index in ranked:
            if excess <= freed:
                break
            entry, size = sizes[index]
            self._close(entry, Reason.MEMORY)
            freed += size
            closed += 1
        self._held_bytes = max(0, self._held_bytes - freed)
        if closed:
            self._on_closed(Reason.MEMORY, closed, freed)
        self._is_stuck = used - freed > limit

    def close(self, entry: Entry, reason: Reason) -> None:
        """Close one connection that exceeds a limit of its own."""
        size = entry.held_bytes
        self._close(entry, reason)
        self._on_closed(reason, 1, size)

    def _close_for_descriptors(self) -> None:
        now_ms = self._now_ms()
        wanted = max(1, len(self._entries) // 16)
        ranked = sorted(
            (entry.rank(now_ms, entry.held_bytes), index, entry)
            for index, entry in enumerate(self._entries)
            if entry.may_close
        )
        chosen = [entry for _, _, entry in ranked[:wanted]]
        for entry in chosen:
            self._close(entry, Reason.DESCRIPTORS)
        if chosen:
            self._on_closed(Reason.DESCRIPTORS, len(chosen), 0)

    def _close(self, entry: Entry, reason: Reason) -> None:
        entry.is_closing = True
        self._closing_count += 1
        entry.connection.close_for(reason)
