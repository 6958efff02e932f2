"""The command ``configuration check``."""

import pathlib
from typing import Annotated

import attrs
import typer

from sycamorebeam import checking
from sycamorebeam import errors
from sycamorebeam import jsonc
from sycamorebeam.cli import output
from sycamorebeam.configuration_check import catalogue_form
from sycamorebeam.configuration_check import configuration
from sycamorebeam.configuration_check import differences
from sycamorebeam.platform import configuration_reader
from sycamorebeam.platform import desired_state
from sycamorebeam.platform import json_records

FINDINGS = 1
UNREADABLE = 2

app = typer.Typer(
    name='configuration',
    help='Check a configuration before it is sent.',
    cls=output.ErrorGroup,
    no_args_is_help=True,
)


@app.callback()
def group() -> None:
    """Check a configuration before it is sent."""


@app.command(
    epilog='Exit codes: 0 no findings, 1 findings, 2 unreadable or wrong usage'
)
def check(
    file: Annotated[
        pathlib.Path,
        typer.Argument(help='A catalogue file or a desired state.'),
    ],
    in_force: Annotated[
        pathlib.Path | None,
        typer.Option(help='The version in force, to compare with.'),
    ] = None,
    zone: Annotated[
        list[str] | None,
        typer.Option(help='A zone as ZONE=REGION; once for each zone.'),
    ] = None,
    memory_mb: Annotated[
        float | None,
        typer.Option(min=0, help='The memory of the smallest machine.'),
    ] = None,
    output_format: output.FormatOption = output.OutputFormat.TEXT,
) -> None:
    """Check a configuration, and compare it with the version in force.

    Example: sycamorebeam configuration check new.json --in-force old.json
    """
    surroundings = configuration.Surroundings(
        region_of_zone=_regions(zone) if zone else None,
        memory_bytes=None
        if memory_mb is None
        else memory_mb * desired_state.BYTES_PER_MB,
    )
    try:
        checked = _check_file(file, surroundings)
        changes = None
        if in_force is not None:
            changes = _compare(checked, _check_file(in_force, surroundings))
    except errors.SettingsError as error:
        output.print_error(error)
        raise typer.Exit(UNREADABLE) from error
    match output_format:
        case output.OutputFormat.JSON:
            _print_json_lines(file, checked, changes)
        case output.OutputFormat.TEXT:
            _print_tables(file, checked, changes)
    if in_force is not None and changes is None:
        typer.echo('not compared: an entry of a file is not valid', err=True)
    if checked.findings:
        raise typer.Exit(FINDINGS)


def _regions(zones: list[str]) -> dict[str, str]:
    regions = {}
    for text in zones:
        zone, equals, region = text.partition('=')
        if not zone or not equals or not region:
            raise typer.BadParameter('write ZONE=REGION', param_hint='--zone')
        regions[zone] = region
    return regions


def _check_file(
    path: pathlib.Path, surroundings: configuration.Surroundings
) -> configuration.Checked:
    try:
        body = json_records.parse(path.read_bytes())
    except OSError as error:
        raise errors.SettingsError(
            f'{path} cannot be read ({error.strerror})',
            'name a file that exists and that this user may read',
        ) from error
    except ValueError:
        body = None
    if configuration_reader.is_desired_state(body):
        return configuration_reader.check(body, surroundings)
    document = jsonc.load(path)
    if not configuration_reader.is_desired_state(document.value):
        return catalogue_form.check(document)
    raise errors.SettingsError(
        f'{path} is a desired state but not plain JSON',
        'remove comments and trailing commas',
    )


def _compare(
    checked: configuration.Checked, in_force: configuration.Checked
) -> list[differences.Difference] | None:
    if checked.form != in_force.form:
        raise errors.SettingsError(
            f'the files have two forms, {checked.form} and {in_force.form}',
            'name a version in force that has the form of the file',
        )
    if checked.plain is None or in_force.plain is None:
        return None
    return differences.compare(in_force.plain, checked.plain)


def _print_json_lines(
    file: pathlib.Path,
    checked: configuration.Checked,
    changes: list[differences.Difference] | None,
) -> None:
    for finding in checked.findings:
        output.print_json_line(
            {
                'type': 'finding',
                'file': str(file),
                **attrs.asdict(finding),
                'path': checking.render_path(finding.path),
            }
        )
    for change in changes or ():
        output.print_json_line({'type': 'difference', **attrs.asdict(change)})


def _print_tables(
    file: pathlib.Path,
    checked: configuration.Checked,
    changes: list[differences.Difference] | None,
) -> None:
    if checked.findings:
        output.print_table(
            ('file', 'field', 'check', 'found', 'remedy'),
            [
                (
                    file,
                    checking.render_path(finding.path),
                    finding.check,
                    finding.found,
                    finding.remedy,
                )
                for finding in checked.findings
            ],
        )
    else:
        typer.echo(f'{file}: no findings')
    if changes:
        output.print_table(
            ('entry', 'field', 'change', 'in force', 'new'),
            [attrs.astuple(change) for change in changes],
        )
    elif changes is not None:
        typer.echo('no difference from the version in force')
