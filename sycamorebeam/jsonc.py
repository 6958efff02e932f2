"""Parses JSON with comments to plain values, and the line of each value.

Comments and trailing commas are allowed, as is the rest of JSON5. A
duplicate key in an object is a fault, since one of its values would be lost
silently.
"""

from collections.abc import Mapping
import pathlib
import re
from typing import Any

import attrs
from json5 import loader
from json5 import model
from json5 import utils

from sycamorebeam import checking
from sycamorebeam import errors

MAX_FILE_BYTES = 1024 * 1024


@attrs.frozen
class Document:
    """A parsed file.

    ``lines`` has the line of each path in the file; ``overrides`` has the
    origin of each value that does not come from the file.
    """

    name: str
    value: Any
    lines: Mapping[checking.Path, int]
    faults: tuple[checking.Fault, ...] = ()
    overrides: Mapping[checking.Path, str] = attrs.field(factory=dict)

    def defines(self, path: checking.Path) -> bool:
        """Return whether the file or an override sets the value at a path."""
        return path in self.overrides or path in self.lines

    def origin(self, path: checking.Path) -> str:
        """Return the origin of the value at a path, or of its parent."""
        for end in range(len(path), -1, -1):
            if path[:end] in self.overrides:
                return self.overrides[path[:end]]
            if path[:end] in self.lines:
                return f'{self.name}:{self.lines[path[:end]]}'
        return self.name

    def describe(self, fault: checking.Fault) -> str:
        """Return a fault as one line that starts with its origin."""
        return f'{self.origin(fault.path)}: {fault}'


def load(path: pathlib.Path) -> Document:
    """Read and parse a file. Raises SettingsError if that fails."""
    try:
        data = path.read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise errors.SettingsError(
                f'{path} has {len(data)} bytes, more than {MAX_FILE_BYTES}',
                'name the file that was meant, or split it',
            )
        return parse(data.decode(), str(path))
    except OSError as error:
        raise errors.SettingsError(
            f'{path} cannot be read ({error.strerror})',
            'name a file that exists and that this user may read',
        ) from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(
            f'{path} is not UTF-8 at byte {error.start}',
            'save the file as UTF-8',
        ) from error


def parse(text: str, name: str) -> Document:
    """Parse a text. Raises SettingsError if it is not valid JSON5."""
    try:
        root = loader.loads(text, loader=loader.ModelLoader())
    except utils.JSON5DecodeError as error:
        raise _syntax_error(text, name, str(error)) from error
    except (RecursionError, ValueError) as error:
        raise _syntax_error(text, name, type(error).__name__) from error
    reader = _Reader()
    value = reader.read(root.value, ())
    return Document(name, value, reader.lines, tuple(reader.faults))


def _syntax_error(text: str, name: str, message: str) -> errors.SettingsError:
    primary = message.partition('Additionally')[0].split('\n\t')[-1].strip()
    line = _error_line(text, primary)
    return errors.SettingsError(
        f'{name}:{line}: not JSON with comments: {primary}',
        'correct the text at or just before this line',
    )


def _error_line(text: str, message: str) -> int:
    index = re.search(r'at index (\d+)', message)
    if index:
        return text.count('\n', 0, int(index[1])) + 1
    lines = re.search(r'line (\d+)', message)
    return int(lines[1]) if lines else text.count('\n') + 1


class _Reader:
    """Converts the library's tree to plain values and records their lines."""

    def __init__(self) -> None:
        self.lines: dict[checking.Path, int] = {}
        self.faults: list[checking.Fault] = []
        self._values = loader.DefaultLoader()

    def read(self, node: model.Node, path: checking.Path) -> Any:
        self.lines.setdefault(path, node.lineno or 1)
        match node:
            case model.JSONObject():
                return self._object(node, path)
            case model.JSONArray(values=values):
                return [
                    self.read(value, (*path, index))
                    for index, value in enumerate(values)
                ]
            case model.String(characters=characters):
                return self._join_surrogates(characters, path)
            case _:
                return self._values.load(node)

    def _join_surrogates(self, characters: str, path: checking.Path) -> str:
        """Return a text with its surrogate pairs joined.

        The library keeps an escaped pair as two code points. An unpaired
        surrogate cannot be encoded as UTF-8, so it is a fault.
        """
        try:
            return characters.encode('utf-16', 'surrogatepass').decode(
                'utf-16'
            )
        except UnicodeDecodeError:
            self.faults.append(
                checking.Fault(
                    path,
                    'half of a surrogate pair',
                    'text that has a UTF-8 form',
                    'write the character itself',
                )
            )
            return '\ufffd'

    def _object(
        self, node: model.JSONObject, path: checking.Path
    ) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for key_node, value_node in node.key_value_pairs:
            key = self._join_surrogates(str(self._values.load(key_node)), path)
            key_path = (*path, key)
            if key in found:
                self._add_duplicate_key(key_path, key_node.lineno)
            self.lines[key_path] = key_node.lineno or 1
            found[key] = self.read(value_node, key_path)
        return found

    def _add_duplicate_key(
        self, path: checking.Path, line: int | None
    ) -> None:
        fault = checking.Fault(
            path,
            f'the key again in line {line}',
            'a key once in an object',
            'remove one of the two',
        )
        self.faults.append(fault)


def raise_faults(
    document: Document, faults: list[checking.Fault], file_kind: str
) -> None:
    """Raise SettingsError with all faults of a document, if there are any."""
    found = [*document.faults, *faults]
    if not found:
        return
    problems = tuple(document.describe(fault) for fault in found)
    noun = 'problem' if len(problems) == 1 else 'problems'
    raise errors.SettingsError(
        f'{document.name} has {len(problems)} {noun}',
        f'correct the {file_kind} and check it again',
        problems,
    )
