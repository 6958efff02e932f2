"""Decides whether the edits of a change are valid in their catalogue.

The fold runs these checks, so their verdict is part of the format: a rule
that rejects what an earlier version accepted needs a new record version.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from sycamorebeam import catalogue
from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import entries
from sycamorebeam import errors

Built = dict[str, catalogue.AnyEntry | None]
"""Edited entries by key, None for one that is removed."""


def check(
    store: catalogue_store.Store,
    edits: Sequence[catalogue_records.Edit],
) -> str | None:
    """Return what is wrong with ``edits``, None when they are valid."""
    try:
        built = {edit.key: _build(edit) for edit in edits}
    except errors.SettingsError as error:
        return str(error)
    problem = _shared_token(store, built)
    if problem is not None:
        return problem
    touched = {key for key, entry in built.items() if _may_break(entry)}
    if not touched:
        return None
    problems = entries.check_references(_Edited(store, built), touched)
    return '; '.join(problems) or None


def _build(edit: catalogue_records.Edit) -> catalogue.AnyEntry | None:
    if edit.value is None:
        entries.split_key(edit.key)
        return None
    return catalogue_store.build(
        edit.key, catalogue_store.pack_value(edit.value)
    )


def _may_break(entry: catalogue.AnyEntry | None) -> bool:
    """Whether the edit can break a reference; a new team cannot."""
    return not isinstance(entry, catalogue.Team)


def _shared_token(store: catalogue_store.Store, built: Built) -> str | None:
    owners: dict[int, str] = {}
    for key, entry in built.items():
        if not isinstance(entry, catalogue.Team):
            continue
        for digest in entry.token_sha256:
            token = catalogue_store.token_number(digest)
            owner = store.owner_of(token)
            if owner in built:
                owner = None
            owner = owners.setdefault(token, owner or key)
            if owner != key:
                return (
                    f'{key}: a token that {owner} has too; give each team a '
                    f'token of its own'
                )
    return None


class _Edited(Mapping[str, catalogue.AnyEntry]):
    """The catalogue with the edits made.

    Every entry is found by its key; iteration yields only the edited
    entries and those that may name others, which are few.
    """

    def __init__(self, store: catalogue_store.Store, built: Built) -> None:
        self._store = store
        self._built = built

    def __getitem__(self, key: str) -> catalogue.AnyEntry:
        if key not in self._built:
            stored = self._store.stored[key]
            return catalogue_store.decode(key, stored).entry
        entry = self._built[key]
        if entry is None:
            raise KeyError(key)
        return entry

    def __iter__(self) -> Iterator[str]:
        for key, entry in self._built.items():
            if entry is not None:
                yield key
        yield from self._store.linking - self._built.keys()

    def __len__(self) -> int:
        return sum(1 for _ in self)

    def __contains__(self, key: object) -> bool:
        if key in self._built:
            return self._built[key] is not None
        return key in self._store.stored
