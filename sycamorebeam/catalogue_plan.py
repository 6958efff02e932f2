"""Compares a catalogue file with the catalogue on the log.

The difference becomes the edits of one change, each based on the current
revision of its entry. If the offset that the file was made from is given,
entries that changed after it are reported as conflicts, not overwritten.
"""

from collections.abc import Mapping
import itertools

import attrs

from sycamorebeam import catalogue
from sycamorebeam import catalogue_edits
from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_records


@attrs.frozen
class Conflict:
    """An entry that was changed after the file was made."""

    key: str
    reason: str


@attrs.frozen(kw_only=True)
class Plan:
    """The edits that publish a file, and the conflicts found.

    ``not_in_file`` are the entries that only the log has and that stay.
    """

    offset: int
    edits: tuple[catalogue_records.Edit, ...]
    not_in_file: tuple[str, ...]
    conflicts: tuple[Conflict, ...]


def make_plan(
    fold: catalogue_fold.Fold,
    wanted: Mapping[str, catalogue.AnyEntry],
    *,
    base: int | None = None,
    remove_missing: bool = False,
) -> Plan:
    """Return the edits that turn the log's catalogue into ``wanted``.

    ``base`` is the offset that ``wanted`` was made from, None when that is
    not known. Entries not in ``wanted`` stay unless ``remove_missing``.
    """
    current = fold.catalogue().entries
    missing = sorted(current.keys() - wanted.keys())
    changes = catalogue_edits.plan_changes(fold, wanted, remove_missing)
    edits = list(itertools.chain.from_iterable(changes))
    return Plan(
        offset=fold.offset,
        edits=tuple(edits),
        not_in_file=() if remove_missing else tuple(missing),
        conflicts=() if base is None else _find_conflicts(fold, edits, base),
    )


def _find_conflicts(
    fold: catalogue_fold.Fold,
    edits: list[catalogue_records.Edit],
    base: int,
) -> tuple[Conflict, ...]:
    changed = _changed_since(fold, base)
    conflicts = []
    for edit in edits:
        offset = max(edit.base_revision, changed.get(edit.key, -1))
        if offset > base:
            reason = f'changed at offset {offset}, the file is from {base}'
            conflicts.append(Conflict(edit.key, reason))
    return tuple(conflicts)


def _changed_since(fold: catalogue_fold.Fold, base: int) -> dict[str, int]:
    """Return the offset of the last change of each key after ``base``.

    A removed entry has no revision, so removals are found only in the audit
    trail, which lists at most ``MAX_AUDIT_KEYS`` entries of a change.
    """
    return {
        key: decision.offset
        for decision in fold.audit
        if decision.accepted and decision.offset > base
        for key in decision.keys
    }
