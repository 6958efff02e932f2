"""Exit codes, output formats and error messages of all commands."""

from collections.abc import Coroutine
from collections.abc import Sequence
import enum
import json
from typing import Annotated
from typing import Any
from typing import TypeVar

import typer
from typer import core
import uvloop

from sycamorebeam import errors

T = TypeVar('T')

EXIT_CODES = (
    'Exit codes: 0 done, 1 failed, 2 wrong usage, 3 rejected or refused and '
    'not run, 4 outcome unknown or not in force everywhere.'
)
COLUMN_GAP = '  '
REPLACEMENT_CHAR = '\ufffd'


class ExitCode(enum.IntEnum):
    """Exit codes of the commands, see ``EXIT_CODES``."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REJECTED = 3
    UNKNOWN = 4


class OutputFormat(enum.Enum):
    """The format of a command's output."""

    TEXT = 'text'
    JSON = 'json'


FormatOption = Annotated[
    OutputFormat,
    typer.Option('--output', help='text for people, json for scripts.'),
]


class ErrorGroup(core.TyperGroup):
    """A command group that prints typed errors instead of a traceback."""

    def invoke(self, ctx: Any) -> Any:
        """Run a command; exit with code 1 on a typed error."""
        try:
            return super().invoke(ctx)
        except errors.SycamoreError as error:
            print_error(error)
            raise typer.Exit(ExitCode.FAILED) from error


def print_error(error: errors.SycamoreError) -> None:
    """Print an error after its problems, each on its own line."""
    problems = getattr(error, 'problems', ())
    for problem in problems:
        typer.echo(problem, err=True)
    typer.echo(f'error: {error}', err=True)


def print_json(value: object) -> None:
    """Print a value as JSON."""
    typer.echo(json.dumps(value, indent=2, ensure_ascii=False))


def print_json_line(value: object) -> None:
    """Print a value as one line of JSON."""
    typer.echo(json.dumps(value, ensure_ascii=False))


def print_table(
    headings: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Print rows under headings in aligned columns, one row a line."""
    lines = [
        list(headings),
        *([printable(cell) for cell in row] for row in rows),
    ]
    widths = [
        max(len(line[i]) for line in lines) for i in range(len(headings))
    ]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        typer.echo(COLUMN_GAP.join(cells).rstrip())


def printable(value: object) -> str:
    """Return a value as text that cannot move the cursor or break a line."""
    return ''.join(
        char if char.isprintable() else REPLACEMENT_CHAR for char in str(value)
    )


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on uvloop."""
    return uvloop.run(work)


def exit_with(code: ExitCode) -> None:
    """Exit the command with a code unless it is OK."""
    if code is not ExitCode.OK:
        raise typer.Exit(code)
