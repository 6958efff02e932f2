"""The folded state of one claim stream, bounded in memory."""

import collections
from typing import Any

import attrs
import msgpack

from sycamorebeam import claim_fold
from sycamorebeam import claim_records

MAX_KEYS = 4_000
MAX_OUTPUT_BYTES = 524_288


@attrs.define
class OutputCache:
    """The newest stored outputs by key digest, bounded in bytes.

    A dropped output can be read again from the log, at the position in the
    key's state.
    """

    max_bytes: int = MAX_OUTPUT_BYTES
    _packed: collections.OrderedDict[bytes, bytes] = attrs.field(
        factory=collections.OrderedDict
    )
    _size_bytes: int = 0

    @property
    def size_bytes(self) -> int:
        """The size of all cached outputs, packed."""
        return self._size_bytes

    def put(self, digest: bytes, output: dict[str, Any]) -> None:
        """Add ``output`` and drop the oldest ones beyond the bound."""
        self.drop(digest)
        packed = msgpack.packb(output)
        self._packed[digest] = packed
        self._size_bytes += len(packed)
        while self._size_bytes > self.max_bytes:
            _, dropped = self._packed.popitem(last=False)
            self._size_bytes -= len(dropped)

    def get(self, digest: bytes) -> dict[str, Any] | None:
        """Return the output of a key, None if it is not cached."""
        packed = self._packed.get(digest)
        return None if packed is None else msgpack.unpackb(packed)

    def drop(self, digest: bytes) -> None:
        """Remove the output of a key, if it is cached."""
        packed = self._packed.pop(digest, None)
        if packed is not None:
            self._size_bytes -= len(packed)


@attrs.define
class PartitionState:
    """The keys of one partition, oldest claim first.

    A key is evicted when its claim is older than the window or when there
    are more than ``max_keys``. ``horizon`` then moves up to its claim, so
    that a request whose key may be older is not treated as new.
    """

    window_ms: int
    max_keys: int = MAX_KEYS
    next_offset: int = 0
    last_time_ms: int = 0
    horizon: claim_fold.Horizon | None = None
    outputs: OutputCache = attrs.field(factory=OutputCache)
    _keys: dict[bytes, claim_fold.KeyState] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._keys)

    def get(self, digest: bytes) -> claim_fold.KeyState | None:
        """Return the state of a key."""
        return self._keys.get(digest)

    def advance(self, offset: int, time_ms: int) -> None:
        """Record that the envelope at ``offset`` was read; evict old keys.

        If the reader started after records were lost, the first record that
        it reads is the upper bound on their append times.
        """
        self.next_offset = offset + 1
        self.last_time_ms = max(self.last_time_ms, time_ms)
        if self.horizon is not None and self.horizon.time_ms is None:
            self.horizon = attrs.evolve(self.horizon, time_ms=time_ms)
        self._evict()

    def fold(
        self,
        record: claim_records.KeyRecord,
        position: claim_fold.Position,
    ) -> claim_fold.KeyState | None:
        """Apply one record and return the state of its key."""
        digest = record.key_digest
        old = self._keys.get(digest)
        new = claim_fold.apply(old, record, position, self.window_ms)
        if new is None or new is old:
            return new
        if old is not None and new.offset != old.offset:
            del self._keys[digest]
        self._keys[digest] = new
        self._store_output(record, new, position)
        return new

    def _store_output(
        self,
        record: claim_records.KeyRecord,
        state: claim_fold.KeyState,
        position: claim_fold.Position,
    ) -> None:
        match record, state.outcome:
            case (
                claim_records.Outcome(output=dict() as output),
                claim_fold.StoredOutcome(position=stored),
            ) if stored == position:
                self.outputs.put(record.key_digest, output)

    def _evict(self) -> None:
        while self._keys:
            digest, state = next(iter(self._keys.items()))
            kept = len(self._keys) <= self.max_keys
            if kept and not claim_fold.is_expired(
                state, self.last_time_ms, self.window_ms
            ):
                return
            del self._keys[digest]
            self.outputs.drop(digest)
            self._raise_horizon(state)

    def _raise_horizon(self, state: claim_fold.KeyState) -> None:
        old = self.horizon
        if old is None or old.offset < state.offset:
            self.horizon = claim_fold.Horizon(state.offset, state.time_ms)


def new_partition_state(
    window_ms: int, oldest: int = 0, max_keys: int = MAX_KEYS
) -> PartitionState:
    """Return the state of a stream whose log starts at ``oldest``."""
    horizon = claim_fold.Horizon(oldest - 1, None) if oldest else None
    return PartitionState(
        window_ms=window_ms,
        max_keys=max_keys,
        next_offset=oldest,
        horizon=horizon,
    )
