"""The command that runs an entry instance."""

import os
import pathlib
from typing import Annotated

import typer

from sycamorebeam import settings as settings_module


def run(
    settings: Annotated[
        pathlib.Path, typer.Option('--settings', help='The settings file.')
    ],
) -> None:
    """Run an entry instance until SIGTERM or SIGINT.

    The first signal begins a graceful stop; a second one ends the
    requests in progress at once, each with an explicit answer.

    Example: sycamorebeam run --settings samples/kovacik/settings-1.jsonc
    """
    # Imported here so that the other commands start faster.
    from sycamorebeam import instance

    loaded = settings_module.load_settings(settings, os.environ)
    raise typer.Exit(instance.run(loaded))
