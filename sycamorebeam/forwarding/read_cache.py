"""Caches the newest rows of one part of the store for other instances.

Does no I/O and reads no clock. A row is a key and a packed record, which is
empty if the key was deleted.
"""

from collections.abc import Iterable

import attrs

from sycamorebeam.forwarding import positions

# Deleted keys that are kept. An instance that missed more gets all rows.
MAX_DELETED_KEYS = 256


@attrs.frozen
class Row:
    """The newest record of a key; empty if the key was deleted."""

    key: str
    record: bytes


@attrs.frozen
class Changes:
    """The rows that changed after a position, or all if ``is_whole``."""

    rows: tuple[Row, ...]
    position: int
    is_whole: bool


@attrs.define
class _CachedRow:
    record: bytes
    changed_at: int


class ReadCache:
    """The newest rows of one part of the store.

    Positions are the store's, so positions of different readers can be
    compared.
    """

    def __init__(self) -> None:
        self._rows: dict[str, _CachedRow] = {}
        self._position: int | None = None
        self._complete_from = 0
        self._last_change = -1
        self.began_ms: int | None = None

    def put(
        self,
        rows: Iterable[Row],
        position: int,
        is_whole: bool,
        began_ms: int,
    ) -> None:
        """Add the rows of a read that began at a time, up to a position.

        The first read after the store was restored from a copy replaces all
        rows; reads from before the restore are ignored after it.
        """
        era = positions.era_of(position)
        if self._position is not None:
            known_era = positions.era_of(self._position)
            if era < known_era:
                return
            if era > known_era:
                self._rows.clear()
                self._position = None
                self._last_change = -1
        if self._position is None:
            self._complete_from = position
        if is_whole:
            rows = self._with_deletions(rows)
        for row in rows:
            cached = self._rows.get(row.key)
            if cached is None or cached.record != row.record:
                # Reinsert the key, so that keys are in order of their changes.
                self._rows.pop(row.key, None)
                self._rows[row.key] = _CachedRow(row.record, position)
                self._last_change = position
        self._position = max(position, self._position or 0)
        if self.began_ms is None or began_ms > self.began_ms:
            self.began_ms = began_ms
        self._evict_deletions()

    def record(self, key: str) -> bytes | None:
        """Return the newest record of a key, None if there is none."""
        cached = self._rows.get(key)
        return None if cached is None else cached.record

    def has_changes(self, position: int) -> bool:
        """Whether rows changed after a position, or may have."""
        if self._position is None:
            return False
        return position < self._complete_from or self._last_change > position

    def changes_since(self, position: int) -> Changes:
        """Return the rows that changed, or all if the changes are unknown."""
        assert self._position is not None
        is_whole = position < self._complete_from
        rows = tuple(
            Row(key, cached.record)
            for key, cached in self._rows.items()
            if (cached.record if is_whole else cached.changed_at > position)
        )
        return Changes(rows, self._position, is_whole)

    def _with_deletions(self, rows: Iterable[Row]) -> list[Row]:
        listed = list(rows)
        keys = {row.key for row in listed}
        deleted = [Row(key, b'') for key in self._rows if key not in keys]
        return [*listed, *deleted]

    def _evict_deletions(self) -> None:
        deleted = [
            key for key, cached in self._rows.items() if not cached.record
        ]
        for key in deleted[: max(0, len(deleted) - MAX_DELETED_KEYS)]:
            self._complete_from = self._rows.pop(key).changed_at
