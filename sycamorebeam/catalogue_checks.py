"""Checks whether the edits of a change are valid in their catalogue.

The fold runs these checks, so their result is part of the format: a rule
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

EditedEntries = dict[str, catalogue.AnyEntry | None]
"""Edited entries by key, None for one that is removed."""


def check(
    store: catalogue_store.Store,
    edits: Sequence[catalogue_records.Edit],
) -> str | None:
    """Return the problems of ``edits``, None when they are valid."""
    try:
        edited = {edit.key: _build_entry(edit) for edit in edits}
    except errors.SettingsError as error:
        return str(error)
    problem = _find_shared_token(store, edited)
    if problem is not None:
        return problem
    keys_to_check = {
        key for key, entry in edited.items() if _can_break_references(entry)
    }
    if not keys_to_check:
        return None
    problems = entries.check_references(
        _EditedCatalogue(store, edited), keys_to_check
    )
    return '; '.join(problems) or None


def _build_entry(edit: catalogue_records.Edit) -> catalogue.AnyEntry | None:
    if edit.value is None:
        entries.split_key(edit.key)
        return None
    return catalogue_store.build(
        edit.key, catalogue_store.pack_value(edit.value)
    )


def _can_break_references(entry: catalogue.AnyEntry | None) -> bool:
    """Return whether an edit can break references; setting a team cannot."""
    return not isinstance(entry, catalogue.Team)


def _find_shared_token(
    store: catalogue_store.Store, edited: EditedEntries
) -> str | None:
    teams_by_token: dict[int, str] = {}
    for key, entry in edited.items():
        if not isinstance(entry, catalogue.Team):
            continue
        for digest in entry.token_sha256:
            token = catalogue_store.token_index_key(digest)
            team = store.team_of_token(token)
            if team in edited:
                team = None
            team = teams_by_token.setdefault(token, team or key)
            if team != key:
                return (
                    f'{key}: a token that {team} has too; give each team a '
                    f'token of its own'
                )
    return None


class _EditedCatalogue(Mapping[str, catalogue.AnyEntry]):
    """The catalogue with the edits applied.

    Every entry is found by its key; iteration yields only the edited
    entries and those that may refer to others, which are few.
    """

    def __init__(
        self, store: catalogue_store.Store, edited: EditedEntries
    ) -> None:
        self._store = store
        self._edited = edited

    def __getitem__(self, key: str) -> catalogue.AnyEntry:
        if key not in self._edited:
            stored = self._store.stored[key]
            return catalogue_store.decode(key, stored).entry
        entry = self._edited[key]
        if entry is None:
            raise KeyError(key)
        return entry

    def __iter__(self) -> Iterator[str]:
        for key, entry in self._edited.items():
            if entry is not None:
                yield key
        yield from self._store.referring_keys - self._edited.keys()

    def __len__(self) -> int:
        return sum(1 for _ in self)

    def __contains__(self, key: object) -> bool:
        if key in self._edited:
            return self._edited[key] is not None
        return key in self._store.stored
