"""Checks a configuration in the form of a catalogue file."""

from typing import Any

from sycamorebeam import catalogue
from sycamorebeam import catalogue_file
from sycamorebeam import checking
from sycamorebeam import entries
from sycamorebeam import jsonc
from sycamorebeam.configuration_check import configuration

TOKENS_FIELD = 'token_sha256'


def check(document: jsonc.Document) -> configuration.Checked:
    """Return all findings of a catalogue, and its entries."""
    value = document.value
    found, faults = catalogue_file.read(value)
    faults = [*document.faults, *faults]
    findings = [finding_of(fault, value) for fault in faults]
    for key, entry in found.items():
        if not isinstance(entry, catalogue.Team):
            continue
        for index, digest in enumerate(entry.token_sha256):
            if digest in entry.token_sha256[:index]:
                name = key.partition('/')[2]
                findings.append(
                    configuration.Finding(
                        'key_twice',
                        ('teams', name, TOKENS_FIELD, index),
                        'a token listed before in this entry',
                        'remove one of the two',
                    )
                )
    plain = None if faults else plain_entries(found)
    return configuration.Checked('catalogue', tuple(findings), plain)


def finding_of(fault: checking.Fault, value: Any) -> configuration.Finding:
    """Return a fault as a finding, without the text of a token."""
    found = fault.found
    if TOKENS_FIELD in fault.path and found == _shown(value, fault.path):
        found = 'a value that is not shown'
    return configuration.Finding(
        'invalid', fault.path, found, f'{fault.remedy}: {fault.allowed}'
    )


def _shown(value: Any, path: checking.Path) -> str | None:
    for part in path:
        try:
            value = value[part]
        except (KeyError, IndexError, TypeError):
            return None
    return checking.show(value)


def plain_entries(
    found: dict[str, catalogue.AnyEntry],
) -> configuration.PlainEntries:
    """Return the entries for a comparison."""
    plain = {key: entries.to_plain(entry) for key, entry in found.items()}
    for fields in plain.values():
        if TOKENS_FIELD in fields:
            tokens = frozenset(fields[TOKENS_FIELD])
            fields[TOKENS_FIELD] = configuration.Secrets(tokens)
    return plain
