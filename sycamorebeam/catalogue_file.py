"""The catalogue file: all entries of a catalogue, as operators write them.

The file has one object per kind of entry, keyed by the entries' names.
"""

import pathlib
from typing import Any

from sycamorebeam import catalogue
from sycamorebeam import checking
from sycamorebeam import entries
from sycamorebeam import jsonc
from sycamorebeam import references

SECTIONS = {f'{kind}s': kind for kind in catalogue.KINDS}
AN_OBJECT = 'an object'


def load_catalogue_file(
    path: pathlib.Path,
) -> dict[str, catalogue.AnyEntry]:
    """Return the entries of a file by key.

    Raises SettingsError, which lists every problem of the file.
    """
    document = jsonc.load(path)
    found, faults = read(document.value)
    jsonc.raise_faults(document, faults, 'catalogue')
    return found


def read(
    value: Any,
) -> tuple[dict[str, catalogue.AnyEntry], list[checking.Fault]]:
    """Return the valid entries of a parsed file by key, and its faults."""
    reader = _Reader()
    reader.read(value)
    return reader.entries, reader.faults


class _Reader:
    """Collects the entries and faults of one document."""

    def __init__(self) -> None:
        self.entries: dict[str, catalogue.AnyEntry] = {}
        self.faults: list[checking.Fault] = []
        self._invalid_keys: set[str] = set()

    def read(self, value: Any) -> None:
        """Read the whole document."""
        if not self._check_object((), value):
            return
        for section, section_entries in value.items():
            if section not in SECTIONS:
                known = list(SECTIONS)
                self.faults.append(checking.unknown_key((section,), known))
            elif self._check_object((section,), section_entries):
                self._read_section(section, section_entries)
        self._check_references()

    def _read_section(
        self, section: str, section_entries: dict[str, Any]
    ) -> None:
        kind = SECTIONS[section]
        for name, value in section_entries.items():
            path = (section, name)
            entry, faults = entries.build(kind, value, path)
            faults = [*entries.check_name(kind, name, path), *faults]
            self.faults.extend(faults)
            if entry is None or faults:
                self._invalid_keys.add(f'{kind}/{name}')
            else:
                self.entries[f'{kind}/{name}'] = entry

    def _check_references(self) -> None:
        known = self.entries | dict.fromkeys(self._invalid_keys)
        faults = references.reference_faults(known, self.entries)
        for key, fault in faults:
            kind, name = entries.split_key(key)
            path = (f'{kind}s', name, *fault.path)
            self.faults.append(
                checking.Fault(path, fault.found, fault.allowed, fault.remedy)
            )

    def _check_object(self, path: checking.Path, value: Any) -> bool:
        if isinstance(value, dict):
            return True
        shown = checking.show(value)
        self.faults.append(
            checking.Fault(path, shown, AN_OBJECT, 'change the value')
        )
        return False
