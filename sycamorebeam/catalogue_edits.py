"""Plans the edits that turn the accepted catalogue into a wanted one."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from sycamorebeam import catalogue
from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import entries

Edits = Sequence[catalogue_records.Edit]

# Entries come before those that refer to them.
_DEPENDENCY_ORDER = ('team', 'limit', 'target', 'model', 'pipeline')


def plan_changes(
    fold: catalogue_fold.Fold,
    wanted: Mapping[str, catalogue.AnyEntry],
    remove_missing: bool = False,
) -> list[Edits]:
    """Return the edits, divided into changes of bounded size.

    Edits that fit into one change are accepted or rejected as a whole. More
    are divided so that each change is valid after the ones before it.
    """
    edits = [
        *_put_edits(fold.store, wanted),
        *(_removal_edits(fold.store, wanted) if remove_missing else ()),
    ]
    size = catalogue_records.MAX_EDITS
    return [edits[at : at + size] for at in range(0, len(edits), size)]


def _put_edits(
    store: catalogue_store.Store, wanted: Mapping[str, catalogue.AnyEntry]
) -> Iterator[catalogue_records.Edit]:
    for key in sorted(wanted, key=_dependency_rank):
        value = entries.to_plain(wanted[key])
        stored = store.stored.get(key)
        if stored is not None and _has_value(stored, value):
            continue
        yield catalogue_records.Edit(key, store.revision(key), value)


def _removal_edits(
    store: catalogue_store.Store, wanted: Mapping[str, catalogue.AnyEntry]
) -> Iterator[catalogue_records.Edit]:
    missing = store.stored.keys() - wanted.keys()
    for key in sorted(missing, key=_dependency_rank, reverse=True):
        yield catalogue_records.Edit(key, store.revision(key), None)


def _dependency_rank(key: str) -> tuple[int, str]:
    kind, _ = entries.split_key(key)
    return _DEPENDENCY_ORDER.index(kind), key


def _has_value(stored: bytes, value: dict[str, Any]) -> bool:
    packed = catalogue_store.pack_value(value)
    return stored[catalogue_store.REVISION_BYTES :] == packed
