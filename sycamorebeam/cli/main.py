"""The ``sycamorebeam`` command: a thin layer over the other modules."""

from typing import Annotated

import typer

import sycamorebeam
from sycamorebeam.cli import catalogue_commands
from sycamorebeam.cli import configuration_commands
from sycamorebeam.cli import history_commands
from sycamorebeam.cli import output
from sycamorebeam.cli import request_command
from sycamorebeam.cli import run_command
from sycamorebeam.cli import settings_commands
from sycamorebeam.cli import standin_commands
from sycamorebeam.cli import status_command

app = typer.Typer(
    name='sycamorebeam',
    help='Serve multi-stage model pipelines.',
    cls=output.ErrorGroup,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    epilog=output.EXIT_CODES,
)
app.add_typer(settings_commands.app)
app.add_typer(catalogue_commands.app)
app.add_typer(configuration_commands.app)
app.add_typer(standin_commands.app)
app.command(epilog=output.EXIT_CODES)(run_command.run)
app.command(epilog=output.EXIT_CODES)(request_command.request)
app.command(epilog=output.EXIT_CODES)(history_commands.audit)
app.command(epilog=output.EXIT_CODES)(status_command.status)


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f'sycamorebeam {sycamorebeam.__version__}')
        raise typer.Exit()


@app.callback()
def root(
    version: Annotated[
        bool,
        typer.Option(
            '--version',
            callback=_print_version,
            is_eager=True,
            help='Print the version and exit.',
        ),
    ] = False,
) -> None:
    """Serve multi-stage model pipelines."""


def main() -> None:
    """Run the command line."""
    app()
