"""The commands ``settings check`` and ``settings show``."""

import os
import pathlib
from typing import Annotated

import attrs
import typer

from sycamorebeam import settings
from sycamorebeam.cli import output

app = typer.Typer(
    name='settings',
    help='Check and show the settings of an instance.',
    cls=output.ErrorGroup,
    no_args_is_help=True,
)

FileArgument = Annotated[
    pathlib.Path, typer.Argument(help='The settings, JSON with comments.')
]


@app.command(epilog=output.EXIT_CODES)
def check(
    file: FileArgument,
    output_format: output.FormatOption = output.OutputFormat.TEXT,
    secrets: Annotated[
        bool, typer.Option(help='Also read the secret files.')
    ] = True,
) -> None:
    """Check a settings file and the environment, naming every problem.

    Example: sycamorebeam settings check samples/kovacik/settings-1.jsonc
    """
    loaded = settings.load_settings(file, os.environ)
    if secrets:
        settings.read_secret(loaded.peer_secret_file)
    match output_format:
        case output.OutputFormat.JSON:
            output.print_json({'valid': True, 'instance': loaded.instance_id})
        case output.OutputFormat.TEXT:
            typer.echo(f'{file}: valid, instance {loaded.instance_id}')


@app.command(epilog=output.EXIT_CODES)
def show(
    file: FileArgument,
    output_format: output.FormatOption = output.OutputFormat.TEXT,
) -> None:
    """Show every setting in effect and where it comes from.

    Example: SYCAMOREBEAM_BOUNDS__BODY_BYTES=65536 sycamorebeam settings show
    samples/kovacik/settings-1.jsonc
    """
    explained = settings.effective_settings(file, os.environ)
    match output_format:
        case output.OutputFormat.JSON:
            output.print_json([attrs.asdict(setting) for setting in explained])
        case output.OutputFormat.TEXT:
            output.print_table(
                ('setting', 'value', 'from'),
                [
                    (setting.key, setting.value, setting.origin)
                    for setting in explained
                ],
            )
