"""Compares two versions of a configuration by meaning."""

from collections.abc import Iterator
from typing import Any

import attrs

from sycamorebeam.configuration_check import configuration

SERVICES_FIELD = 'split'
"""The field with the services of a route and their shares."""


@attrs.frozen
class Difference:
    """A change of an entry or of one of its fields."""

    entry: str
    field: str
    change: str
    before: str = ''
    after: str = ''


def compare(
    before: configuration.PlainEntries, after: configuration.PlainEntries
) -> list[Difference]:
    """Return the differences in the order of the entries' names."""
    found: list[Difference] = []
    for key in sorted(before.keys() | after.keys()):
        if key not in before:
            found.append(Difference(key, '', 'added'))
        elif key not in after:
            found.append(Difference(key, '', 'removed'))
        is_in_both = key in before and key in after
        old, new = before.get(key, {}), after.get(key, {})
        for field in sorted(old.keys() | new.keys()):
            values = old.get(field), new.get(field)
            found.extend(_compare_field(key, field, *values, is_in_both))
    return found


def _compare_field(
    key: str, field: str, old: Any, new: Any, is_in_both: bool
) -> Iterator[Difference]:
    match old, new:
        case (configuration.Secrets(), _) | (_, configuration.Secrets()):
            old_keys = old.values if old else frozenset()
            new_keys = new.values if new else frozenset()
            if added := len(new_keys - old_keys):
                yield Difference(key, field, f'{added} added')
            if removed := len(old_keys - new_keys):
                yield Difference(key, field, f'{removed} removed')
        case _ if old == new or not is_in_both:
            return
        case dict(), dict() if field == SERVICES_FIELD:
            change = 'changed' if old.keys() == new.keys() else 'moved'
            yield Difference(key, field, change, _show(old), _show(new))
        case dict(), dict():
            for part in sorted(old.keys() | new.keys()):
                yield from _compare_field(
                    key,
                    f'{field}.{part}',
                    old.get(part),
                    new.get(part),
                    is_in_both,
                )
        case list() | tuple(), list() | tuple() if len(old) == len(new):
            for index, (one, other) in enumerate(zip(old, new, strict=True)):
                yield from _compare_field(
                    key, f'{field}[{index}]', one, other, is_in_both
                )
        case _:
            yield Difference(key, field, 'changed', _show(old), _show(new))


def _show(value: Any) -> str:
    match value:
        case None:
            return 'none'
        case dict():
            parts = sorted(value.items())
            return ', '.join(f'{name} {_show(part)}' for name, part in parts)
        case list() | tuple():
            return '[' + ', '.join(_show(part) for part in value) + ']'
        case bool():
            return str(value).lower()
        case float():
            return f'{value:.10g}'
        case _:
            return str(value)
