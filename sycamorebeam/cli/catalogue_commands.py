"""The command group ``catalogue``, with the command ``check``."""

import collections
import pathlib
from typing import Annotated

import typer

from sycamorebeam import catalogue_file
from sycamorebeam.cli import history_commands
from sycamorebeam.cli import output
from sycamorebeam.cli import publish_command

app = typer.Typer(
    name='catalogue',
    help='Check, publish and show the catalogue.',
    cls=output.ErrorGroup,
    no_args_is_help=True,
)

FileArgument = Annotated[
    pathlib.Path, typer.Argument(help='The catalogue, JSON with comments.')
]


@app.command(epilog=output.EXIT_CODES)
def check(
    file: FileArgument,
    output_format: output.FormatOption = output.OutputFormat.TEXT,
) -> None:
    """Check a catalogue file, naming every problem.

    Example: sycamorebeam catalogue check samples/kovacik/catalogue.jsonc
    """
    entries = catalogue_file.load_catalogue_file(file)
    counts = collections.Counter(key.partition('/')[0] for key in entries)
    match output_format:
        case output.OutputFormat.JSON:
            output.print_json({'valid': True, 'entries': dict(counts)})
        case output.OutputFormat.TEXT:
            listed = ', '.join(
                f'{count} {kind}s' if count > 1 else f'1 {kind}'
                for kind, count in counts.items()
            )
            typer.echo(f'{file}: valid, {listed or "no entries"}')


app.command(epilog=output.EXIT_CODES)(publish_command.publish)
app.command(epilog=output.EXIT_CODES)(publish_command.resolve)
app.command(epilog=output.EXIT_CODES)(history_commands.show)
app.command(epilog=output.EXIT_CODES)(history_commands.history)
