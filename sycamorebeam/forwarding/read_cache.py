"""What an instance last read of one part of the store, cached for others.

Pure: rows and times in, rows out. A row is a key and a packed record, empty
where the key was dropped.
"""

from collections.abc import Iterable

import attrs

from sycamorebeam.forwarding import positions

# Dropped keys that are remembered; who missed more reads the whole.
MAX_DELETED_KEYS = 256


@attrs.frozen
class Row:
    """The newest record of a key; empty when the key was dropped."""

    key: str
    record: bytes


@attrs.frozen
class Changes:
    """Rows that changed after a position, or all where ``is_whole``."""

    rows: tuple[Row, ...]
    position: int
    is_whole: bool


@attrs.define
class _CachedRow:
    record: bytes
    changed_at: int


class ReadCache:
    """The newest rows of one part of the store.

    Positions are the store's, so those of different readers compare.
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
        """Take a read that reached a position and began at a time.

        Of a store that is back from a copy nothing is cached from before.
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
                # Set anew, so that the last key is the latest change.
                self._rows.pop(row.key, None)
                self._rows[row.key] = _CachedRow(row.record, position)
                self._last_change = position
        self._position = max(position, self._position or 0)
        if self.began_ms is None or began_ms > self.began_ms:
            self.began_ms = began_ms
        self._evict_deletions()

    def has_changes(self, position: int) -> bool:
        """Whether anything changed after a position, or is not known."""
        if self._position is None:
            return False
        return position < self._complete_from or self._last_change > position

    def changes_since(self, position: int) -> Changes:
        """Return what changed after a position, or all if that is unknown."""
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
        dropped = [Row(key, b'') for key in self._rows if key not in keys]
        return [*listed, *dropped]

    def _evict_deletions(self) -> None:
        dropped = [
            key for key, cached in self._rows.items() if not cached.record
        ]
        for key in dropped[: max(0, len(dropped) - MAX_DELETED_KEYS)]:
            self._complete_from = self._rows.pop(key).changed_at
