"""Overrides settings of a file by environment variables.

``SYCAMOREBEAM_PLATFORM__LOG`` overrides ``platform.log``.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import json
import types
from typing import Any

import attrs

from sycamorebeam import checking
from sycamorebeam import jsonc

ENVIRONMENT_PREFIX = 'SYCAMOREBEAM_'


def apply(
    document: jsonc.Document, cls: type, environ: Mapping[str, str]
) -> tuple[jsonc.Document, list[checking.Fault]]:
    """Return the document with the overrides in ``environ``, and faults.

    Variables that have the prefix but match no setting of ``cls`` are faults.
    """
    faults = []
    origins: dict[checking.Path, str] = {}
    known = paths(cls)
    for variable in sorted(environ):
        if not variable.startswith(ENVIRONMENT_PREFIX):
            continue
        path = _path_of(variable)
        origins[path] = f'environment {variable}'
        if path in known:
            value = _parse_override(known[path], environ[variable])
            _set_value(document.value, path, value)
        else:
            faults.append(_unknown_variable(variable, path, known))
    return attrs.evolve(document, overrides=origins), faults


def paths(cls: type, path: checking.Path = ()) -> dict[checking.Path, Any]:
    """Return the path and type of every setting."""
    found: dict[checking.Path, Any] = {}
    for name, hint in checking.type_hints(cls).items():
        if attrs.has(hint):
            found |= paths(hint, (*path, name))
        else:
            found[(*path, name)] = hint
    return found


def _path_of(variable: str) -> checking.Path:
    name = variable.removeprefix(ENVIRONMENT_PREFIX).lower()
    return tuple(name.split('__'))


def _unknown_variable(
    variable: str, path: checking.Path, known: Iterable[checking.Path]
) -> checking.Fault:
    keys = ['__'.join(map(str, item)).upper() for item in known]
    name = variable.removeprefix(ENVIRONMENT_PREFIX)
    suggestions = checking.nearest(name, keys)
    write = (
        f'write "{ENVIRONMENT_PREFIX}{suggestions[0]}", or '
        if suggestions
        else ''
    )
    return checking.Fault(
        path,
        'a variable that matches no setting',
        f'{ENVIRONMENT_PREFIX} and the key of a setting, with __ for a dot',
        f'{write}unset it',
    )


def _parse_override(hint: Any, text: str) -> Any:
    """Return ``text`` as it is for a text setting, else parsed as JSON."""
    is_optional = isinstance(hint, types.UnionType)
    if hint is str or (is_optional and text != 'null'):
        return text
    try:
        return json.loads(text)
    except ValueError:
        return text


def _set_value(value: Any, path: checking.Path, leaf: Any) -> None:
    for name in path[:-1]:
        if not isinstance(value, dict):
            return
        value = value.setdefault(name, {})
    if isinstance(value, dict):
        value[path[-1]] = leaf
