"""The ``sycamorebeam`` command: a thin layer over the other modules."""

from typing import Annotated

import typer

import sycamorebeam

app = typer.Typer(
    name='sycamorebeam',
    help='Serve multi-stage model pipelines.',
    no_args_is_help=True,
)


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
