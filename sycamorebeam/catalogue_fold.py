"""Folds the catalogue's stream into the accepted state of the catalogue.

The fold is a pure function of a prefix of the stream. A change is accepted
when the base revision of every edit is the current revision of its entry
and the edited entries are valid; of two conflicting changes the first in
log order is accepted. Two folds at the same offset have the same digest.
"""

import collections
from collections.abc import Iterable

import attrs
import msgpack

from sycamorebeam import catalogue
from sycamorebeam import catalogue_checks
from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import errors
from sycamorebeam import hashing

AUDIT_ROWS = 512
DIGESTS_KEPT = 1_024
MAX_REASON_CHARS = 300
MAX_AUDIT_KEYS = 20
_EMPTY_HISTORY = bytes(catalogue_store.DIGEST_BYTES)


@attrs.frozen
class Rejection:
    """The reason why a change was not accepted.

    ``winner`` is the current revision of the entry in a revision conflict,
    ``catalogue_store.ABSENT`` when it does not exist, else None.
    """

    reason: str
    winner: int | None = None


@attrs.frozen(kw_only=True)
class Decision:
    """One row of the audit trail; ``rejection`` is None when accepted."""

    offset: int
    change_id: str
    author: str
    time_ms: int
    reason: str
    keys: tuple[str, ...]
    rejection: Rejection | None = None

    @property
    def accepted(self) -> bool:
        """Whether the change is part of the catalogue."""
        return self.rejection is None


def _new_audit() -> collections.deque[Decision]:
    return collections.deque(maxlen=AUDIT_ROWS)


@attrs.define(eq=False)
class Fold:
    """The catalogue at one offset, its audit trail and its digests."""

    _offset: int = -1
    _level: int = catalogue_records.FIRST_LEVEL
    _store: catalogue_store.Store = attrs.field(factory=catalogue_store.Store)
    _history: bytes = _EMPTY_HISTORY
    _audit: collections.deque[Decision] = attrs.field(factory=_new_audit)
    _digests: dict[int, bytes] = attrs.field(factory=dict)

    @property
    def offset(self) -> int:
        """The offset of the last record folded, -1 before any."""
        return self._offset

    @property
    def level(self) -> int:
        """The highest record version that writers may use."""
        return self._level

    @property
    def history(self) -> bytes:
        """A digest chained over every decision so far."""
        return self._history

    @property
    def store(self) -> catalogue_store.Store:
        """The accepted entries."""
        return self._store

    @property
    def audit(self) -> tuple[Decision, ...]:
        """The latest decisions, oldest first."""
        return tuple(self._audit)

    @property
    def digest(self) -> bytes:
        """The digest of entries, level and history at this offset."""
        entries_digest = self._store.digest
        return hashing.digest(
            msgpack.packb(
                [self._offset, self._level, entries_digest, self._history]
            )
        )

    def digest_at(self, offset: int) -> bytes | None:
        """Return the digest at an offset, if it is still kept."""
        if offset == self._offset:
            return self.digest
        return self._digests.get(offset)

    def catalogue(self) -> catalogue.Catalogue:
        """Return the catalogue at this offset, unaffected by later changes."""
        return catalogue.Catalogue(self._offset, self._store.view())

    def copy(self) -> 'Fold':
        """Return an independent copy of this fold."""
        return attrs.evolve(
            self,
            store=self._store.copy(),
            audit=self._audit.copy(),
            digests=dict(self._digests),
        )

    def find_decision(self, change_id: str) -> Decision | None:
        """Return the decision on a change, if the audit trail still has it."""
        for decision in self._audit:
            if decision.change_id == change_id:
                return decision
        return None

    def apply(self, offset: int, data: bytes) -> tuple[Decision, ...]:
        """Fold the append at ``offset`` and return the decisions.

        Raises GapError when ``offset`` is not the next one and VersionError
        when this program cannot read the append; the fold is then unchanged.
        """
        if offset != self._offset + 1:
            raise errors.GapError(
                f'the catalogue is at offset {self._offset}, the next record '
                f'is at {offset}',
                'start again from a snapshot',
            )
        records = catalogue_records.parse(data, self._level)
        self._digests[self._offset] = self.digest
        self._digests.pop(offset - DIGESTS_KEPT, None)
        decisions = tuple(self._decide(offset, record) for record in records)
        self._offset = offset
        self._audit.extend(decisions)
        for index, decision in enumerate(decisions):
            self._extend_history(index, decision)
        return decisions

    def _decide(
        self, offset: int, record: catalogue_records.ParsedRecord
    ) -> Decision:
        match record:
            case catalogue_records.Change():
                rejection = self._check_change(record)
                if rejection is None:
                    self._apply_edits(offset, record)
                keys = tuple(edit.key for edit in record.edits)
                return _new_decision(offset, record, keys, rejection)
            case catalogue_records.FormatLevel():
                rejection = self._raise_level(record)
                return _new_decision(offset, record, (), rejection)
            case catalogue_records.Unusable():
                return Decision(
                    offset=offset,
                    change_id='',
                    author='',
                    time_ms=0,
                    reason='',
                    keys=(),
                    rejection=Rejection(record.reason),
                )

    def _check_change(
        self, change: catalogue_records.Change
    ) -> Rejection | None:
        keys = {edit.key for edit in change.edits}
        if len(keys) < len(change.edits):
            return Rejection('the change edits an entry twice')
        for edit in change.edits:
            current = self._store.revision(edit.key)
            if edit.base_revision != current:
                return _revision_conflict(edit, current)
        problem = catalogue_checks.check(self._store, change.edits)
        return Rejection(problem[:MAX_REASON_CHARS]) if problem else None

    def _apply_edits(
        self, offset: int, change: catalogue_records.Change
    ) -> None:
        for edit in change.edits:
            self._store.remove(edit.key)
        for edit in change.edits:
            if edit.value is not None:
                stored = catalogue_store.pack(offset, edit.value)
                self._store.put(edit.key, stored)

    def _raise_level(
        self, record: catalogue_records.FormatLevel
    ) -> Rejection | None:
        if record.level != self._level + 1:
            return Rejection(
                f'the format level is {self._level}, it rises by one'
            )
        self._level = record.level
        return None

    def _extend_history(self, index: int, decision: Decision) -> None:
        link = [
            self._history,
            decision.offset,
            index,
            decision.change_id,
            decision.accepted,
        ]
        self._history = hashing.digest(msgpack.packb(link))


def new_fold(
    *,
    offset: int,
    level: int,
    history: bytes,
    audit: Iterable[Decision],
) -> Fold:
    """Return a fold that continues after ``offset``, without entries yet."""
    rows = _new_audit()
    rows.extend(audit)
    return Fold(offset, level, catalogue_store.Store(), history, rows)


def _new_decision(
    offset: int,
    record: catalogue_records.Change | catalogue_records.FormatLevel,
    keys: tuple[str, ...],
    rejection: Rejection | None,
) -> Decision:
    match record:
        case catalogue_records.Change(reason=reason):
            pass
        case catalogue_records.FormatLevel(level=level):
            reason = f'format level {level}'
    return Decision(
        offset=offset,
        change_id=record.id,
        author=record.author,
        time_ms=record.time_ms,
        reason=reason[:MAX_REASON_CHARS],
        keys=keys[:MAX_AUDIT_KEYS],
        rejection=rejection,
    )


def _revision_conflict(
    edit: catalogue_records.Edit, current: int
) -> Rejection:
    state = f'is at revision {current}'
    if current == catalogue_store.ABSENT:
        state = 'does not exist'
    base = f'revision {edit.base_revision}'
    if edit.base_revision == catalogue_store.ABSENT:
        base = 'no entry'
    return Rejection(
        f'{edit.key} {state}, the change was made from {base}; read it '
        f'again and repeat the edit',
        current,
    )
