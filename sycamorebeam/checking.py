"""Builds attrs objects from plain values and finds every fault at once.

The fields of the classes say which keys and types are allowed. Rules add
what a type cannot say: ranges, formats and addresses. Checking
continues after a fault, so that one run reports all of them.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import difflib
import enum
import functools
import ipaddress
import json
import re
import sys
import types
import typing
from typing import Any

import attrs

Path = tuple[str | int, ...]
MAX_PORT = 65_535
MAX_SHOWN_CHARS = 60
MAX_TEXT_CHARS = 1_000
MAX_UNKNOWN_KEYS = 20
# Listed explicitly: str.isprintable() differs between versions of Python,
# and instances that run different versions must agree on an entry.
CONTROLS = re.compile(
    '[\x00-\x1f\x7f-\x9f\u200e\u200f\u2028-\u202e\u2066-\u2069\ud800-\udfff]'
)
NEAR_RATIO = 0.7
MAX_LISTED_NAMES = 12
MAX_COMPARED_NAMES = 500


@attrs.frozen
class Fault:
    """One invalid value, and how to correct it."""

    path: Path
    found: str
    allowed: str
    remedy: str

    @property
    def key(self) -> str:
        """The path as text, ``a.b[0].c``."""
        return render_path(self.path)

    def __str__(self) -> str:
        return (
            f'{self.key}: found {self.found}, allowed {self.allowed}; '
            f'{self.remedy}'
        )


@attrs.frozen
class Range:
    """A number from ``low`` to ``high``, both included."""

    low: float
    high: float


@attrs.frozen
class Positive:
    """A number above zero."""


@attrs.frozen
class Pattern:
    """A text that matches ``expression`` whole; ``meaning`` names it."""

    expression: str
    meaning: str


@attrs.frozen
class OneOf:
    """One of some texts."""

    values: tuple[str, ...]


@attrs.frozen
class Address:
    """An IP number with a port."""


@attrs.frozen
class Url:
    """An HTTP URL of an IP number with a port, with no path."""


@attrs.frozen
class Items:
    """A list of ``low`` to ``high`` items; ``item`` is the rule of each."""

    low: int
    high: int
    item: 'Rule | None' = None


Rule = Range | Positive | Pattern | OneOf | Address | Url | Items
Rules = Mapping[type, Mapping[str, Rule]]


@attrs.frozen(kw_only=True)
class Schema:
    """Rules by class and field, and the keys that differ from field names."""

    rules: Rules = attrs.field(factory=dict)
    keys: Mapping[str, str] = attrs.field(factory=dict)

    def key_of(self, field: str) -> str:
        """Return the key of a field in a file."""
        return self.keys.get(field, field)


def render_path(path: Path) -> str:
    """Return a path as text, ``a.b[0].c``; the empty path is the file."""
    text = ''
    for part in path:
        match part:
            case int():
                text += f'[{part}]'
            case str():
                text += f'.{part}' if text else part
    return text or '(whole)'


def show(value: object) -> str:
    """Return a value as JSON, shortened, for a message."""
    text = json.dumps(value, ensure_ascii=False, default=str)
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return f'{text[:MAX_SHOWN_CHARS]}...'


def nearest(name: str, known: Iterable[str]) -> list[str]:
    """Return the known name most similar to ``name``, if one is similar.

    Comparing is slow, so the list is empty for very many known names and
    for a very long ``name``.
    """
    names = list(known)
    if len(names) > MAX_COMPARED_NAMES or len(name) > MAX_SHOWN_CHARS:
        return []
    return difflib.get_close_matches(name, names, 1, NEAR_RATIO)


def unknown_key(path: Path, known: list[str]) -> Fault:
    """Return the fault of an unknown key, suggesting the nearest known one."""
    key = str(path[-1])
    suggestions = nearest(key, known)
    path = (*path[:-1], key[:MAX_SHOWN_CHARS])
    remedy = f'write "{suggestions[0]}"' if suggestions else 'remove the key'
    allowed = ', '.join(known) or 'no key'
    return Fault(path, 'an unknown key', allowed, remedy)


def unknown_name(
    path: Path, name: str, known: list[str], remedy: str
) -> Fault:
    """Return the fault of a name that is not among the known ones."""
    suggestions = nearest(name, known)
    if suggestions:
        remedy = f'write "{suggestions[0]}", or {remedy}'
    return Fault(path, show(name), _listed(known), remedy)


def _listed(known: list[str]) -> str:
    """Return the known names, or how many there are when there are many."""
    if len(known) > MAX_LISTED_NAMES:
        return f'one of {len(known)} known names'
    return ', '.join(known) or 'a name that exists'


def build(
    cls: type, value: object, schema: Schema, path: Path = ()
) -> tuple[Any, list[Fault]]:
    """Return an object of ``cls``, or None, and the faults found."""
    builder = _Builder(schema)
    built = builder.instance(cls, value, path)
    return (None if builder.faults else built), builder.faults


@functools.cache
def type_hints(cls: type) -> dict[str, Any]:
    """Return the types of the fields of an attrs class."""
    return typing.get_type_hints(cls)


class _Builder:
    """Builds objects from plain values and collects the faults."""

    def __init__(self, schema: Schema) -> None:
        self.faults: list[Fault] = []
        self._schema = schema

    def instance(self, cls: type, value: object, path: Path) -> Any:
        """Return an object of an attrs class."""
        if not isinstance(value, dict):
            return self._add_value_fault(path, value, 'an object')
        fault_count = len(self.faults)
        hints = type_hints(cls)
        fields = {
            self._schema.key_of(field.name): field
            for field in attrs.fields(cls)
        }
        self._add_unknown_keys(value, list(fields), path)
        built = {}
        for key, field in fields.items():
            if key in value:
                built[field.name] = self._field(
                    cls,
                    field.name,
                    hints[field.name],
                    value[key],
                    (*path, key),
                )
            elif field.default is attrs.NOTHING:
                self._add_missing_key((*path, key), hints[field.name])
        return None if len(self.faults) > fault_count else cls(**built)

    def _add_unknown_keys(
        self, value: dict[Any, Any], known: list[str], path: Path
    ) -> None:
        unknown = [key for key in value if key not in known]
        for key in unknown[:MAX_UNKNOWN_KEYS]:
            self.faults.append(unknown_key((*path, key), known))
        if len(unknown) > MAX_UNKNOWN_KEYS:
            count = len(unknown) - MAX_UNKNOWN_KEYS
            found = f'{count} more unknown keys'
            allowed = ', '.join(known)
            self.faults.append(Fault(path, found, allowed, 'remove the keys'))

    def _field(
        self, cls: type, name: str, hint: Any, value: object, path: Path
    ) -> Any:
        rule = self._schema.rules.get(cls, {}).get(name)
        match rule, value:
            case Items(), list() | tuple() if not holds(rule, value):
                found = f'{len(value)} items'
                return self._add_fault(path, found, describe_rule(rule))
        fault_count = len(self.faults)
        built = self._typed(hint, value, path)
        if rule and built is not None and len(self.faults) == fault_count:
            self._check_rule(rule, built, path)
        return built

    def _typed(self, hint: Any, value: object, path: Path) -> Any:
        options = typing.get_args(hint)
        if isinstance(hint, types.UnionType):
            if value is None and types.NoneType in options:
                return None
            return self._typed(options[0], value, path)
        if typing.get_origin(hint) is tuple:
            return self._items(options[0], value, path)
        if attrs.has(hint):
            return self.instance(hint, value, path)
        if issubclass(hint, enum.Enum):
            return self._member(hint, value, path)
        return self._scalar(hint, value, path)

    def _items(self, hint: Any, value: object, path: Path) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple):
            return self._add_value_fault(path, value, 'a list')
        return tuple(
            self._typed(hint, item, (*path, index))
            for index, item in enumerate(value)
        )

    def _member(
        self, hint: type[enum.Enum], value: object, path: Path
    ) -> enum.Enum | None:
        values = [member.value for member in hint]
        if isinstance(value, str) and value in values:
            return hint(value)
        suggestions = nearest(str(value), values)
        remedy = (
            f'write "{suggestions[0]}"'
            if suggestions
            else 'write one of these'
        )
        return self._add_value_fault(
            path, value, _alternatives(values), remedy
        )

    def _scalar(self, hint: type, value: object, path: Path) -> Any:
        match value:
            case bool() if hint is bool:
                return value
            case bool():
                pass
            case int() if hint is int:
                return value
            case int() | float() if hint is float and _is_finite(value):
                return float(value)
            case str() if hint is str and _is_text(value):
                return value
        return self._add_value_fault(path, value, _describe_type(hint))

    def _check_rule(self, rule: Rule, value: Any, path: Path) -> None:
        match rule:
            case Items(item=item):
                for index, each in enumerate(value):
                    if item is not None:
                        self._check_rule(item, each, (*path, index))
            case _ if not holds(rule, value):
                self._add_value_fault(path, value, describe_rule(rule))

    def _add_missing_key(self, path: Path, hint: Any) -> None:
        allowed = _describe_type(hint)
        self.faults.append(Fault(path, 'nothing', allowed, 'add the key'))

    def _add_value_fault(
        self, path: Path, value: object, allowed: str, remedy: str = ''
    ) -> Any:
        self._add_fault(path, show(value), allowed, remedy)

    def _add_fault(
        self, path: Path, found: str, allowed: str, remedy: str = ''
    ) -> Any:
        remedy = remedy or 'change the value'
        self.faults.append(Fault(path, found, allowed, remedy))


def _is_finite(number: float) -> bool:
    return abs(number) <= sys.float_info.max


def _is_text(text: str) -> bool:
    return 0 < len(text) <= MAX_TEXT_CHARS and not CONTROLS.search(text)


def holds(rule: Rule, value: Any) -> bool:
    """Return whether a value of the right type satisfies a rule."""
    match rule:
        case Range(low=low, high=high):
            return low <= value <= high
        case Positive():
            return value > 0
        case Pattern(expression=expression):
            return re.fullmatch(expression, value) is not None
        case OneOf(values=values):
            return value in values
        case Address():
            return _is_address(value)
        case Url():
            return value.startswith('http://') and _is_address(value[7:])
        case Items(low=low, high=high):
            return low <= len(value) <= high


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of a valid address."""
    host, _, port = address.rpartition(':')
    return host.removeprefix('[').removesuffix(']'), int(port)


def _is_address(text: str) -> bool:
    host, colon, port = text.rpartition(':')
    if not colon or re.fullmatch('[0-9]{1,5}', port) is None:
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    if host.startswith('[') and host.endswith(']'):
        return _is_ip(host[1:-1], 6)
    return _is_ip(host, 4)


def _is_ip(text: str, version: int) -> bool:
    try:
        return ipaddress.ip_address(text).version == version
    except ValueError:
        return False


def describe_rule(rule: Rule) -> str:
    """Return what a rule allows, for messages and pages."""
    match rule:
        case Range(low=low, high=high):
            return f'{low} to {high}'
        case Positive():
            return 'a number above 0'
        case Pattern(meaning=meaning):
            return meaning
        case OneOf(values=values):
            return _alternatives(values)
        case Address():
            return 'an IP number with a port, 10.0.0.1:8080'
        case Url():
            return 'http:// with an IP number and a port'
        case Items(low=low, high=high):
            return f'a list of {low} to {high} items'


def _alternatives(values: typing.Iterable[str]) -> str:
    return ' or '.join(f'"{value}"' for value in values)


def _describe_type(hint: Any) -> str:
    if isinstance(hint, types.UnionType):
        return _describe_type(typing.get_args(hint)[0])
    if typing.get_origin(hint) is tuple:
        return 'a list'
    if attrs.has(hint):
        return 'an object'
    if issubclass(hint, enum.Enum):
        return _alternatives(member.value for member in hint)
    names = {
        str: f'a text of 1 to {MAX_TEXT_CHARS} characters without controls',
        int: 'a whole number',
        float: 'a finite number',
        bool: 'true or false',
    }
    return names[hint]
