"""The edits that turn the accepted catalogue into a wanted one."""

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

# Entries come before those that name them.
_ORDER = ('team', 'limit', 'target', 'model', 'pipeline')


def plan(
    fold: catalogue_fold.Fold,
    wanted: Mapping[str, catalogue.AnyEntry],
    remove_others: bool = False,
) -> list[Edits]:
    """Return the edits, divided into changes that the log takes.

    A plan that fits into one change is accepted or rejected whole. Larger
    ones are divided so that each change is valid after the ones before it.
    """
    edits = [
        *_puts(fold.store, wanted),
        *(_removals(fold.store, wanted) if remove_others else ()),
    ]
    size = catalogue_records.MAX_EDITS
    return [edits[at : at + size] for at in range(0, len(edits), size)]


def _puts(
    store: catalogue_store.Store, wanted: Mapping[str, catalogue.AnyEntry]
) -> Iterator[catalogue_records.Edit]:
    for key in sorted(wanted, key=_rank):
        value = entries.to_plain(wanted[key])
        found = store.stored.get(key)
        if found is not None and _is_same(found, value):
            continue
        yield catalogue_records.Edit(key, store.revision(key), value)


def _removals(
    store: catalogue_store.Store, wanted: Mapping[str, catalogue.AnyEntry]
) -> Iterator[catalogue_records.Edit]:
    gone = store.stored.keys() - wanted.keys()
    for key in sorted(gone, key=_rank, reverse=True):
        yield catalogue_records.Edit(key, store.revision(key), None)


def _rank(key: str) -> tuple[int, str]:
    kind, _ = entries.split_key(key)
    return _ORDER.index(kind), key


def _is_same(stored: bytes, value: dict[str, Any]) -> bool:
    packed = catalogue_store.pack_value(value)
    return stored[catalogue_store.REVISION_BYTES :] == packed
