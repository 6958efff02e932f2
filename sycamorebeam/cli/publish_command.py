"""The commands ``catalogue publish`` and ``catalogue resolve``."""

from collections.abc import Mapping
import pathlib
from typing import Annotated

import aiohttp
import attrs
import typer

from sycamorebeam import catalogue
from sycamorebeam import catalogue_file
from sycamorebeam import catalogue_plan
from sycamorebeam import catalogue_records
from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam import publishing
from sycamorebeam.cli import log_access
from sycamorebeam.cli import output
from sycamorebeam.cli import publish_report
from sycamorebeam.clients import bounded
from sycamorebeam.clients import ports

FileArgument = Annotated[
    pathlib.Path, typer.Argument(help='The catalogue, JSON with comments.')
]
WaitOption = Annotated[
    list[str] | None,
    typer.Option(
        '--wait-for',
        help='Admin address of an instance that must have it in force; '
        'may be repeated.',
    ),
]
WaitMsOption = Annotated[
    int, typer.Option(min=0, help='How long to wait for these instances.')
]


@attrs.frozen(kw_only=True)
class PublishOptions:
    """The options of ``catalogue publish`` besides the file and format."""

    log: str
    author: publishing.Author
    base: int | None
    remove_missing: bool
    dry_run: bool
    wait_for: tuple[str, ...]
    wait_ms: int


def publish(
    file: FileArgument,
    log: log_access.LogOption,
    author: Annotated[str, typer.Option(help='Who makes the change.')],
    reason: Annotated[
        str, typer.Option(help='Why, for the audit trail.')
    ] = '',
    base: Annotated[
        int | None,
        typer.Option(
            min=-1,
            help='Offset that the file was made from, as show prints it; '
            'entries changed since are then conflicts.',
        ),
    ] = None,
    remove_missing: Annotated[
        bool,
        typer.Option(
            '--remove-missing',
            help='Remove entries that the file does not have.',
        ),
    ] = False,
    dry_run: Annotated[
        bool, typer.Option('--dry-run', help='Print the edits, send nothing.')
    ] = False,
    wait_for: WaitOption = None,
    wait_ms: WaitMsOption = publishing.IN_FORCE_TIMEOUT_MS,
    output_format: output.FormatOption = output.OutputFormat.TEXT,
) -> None:
    """Publish a catalogue file, and wait until it is in force.

    Only entries that differ from the log are changed, all or none of them.
    With --wait-for the command says where the change is in force and where
    not, and ends with 4 when some instance does not have it.

    Example: sycamorebeam catalogue publish samples/kovacik/catalogue.jsonc
    --log http://127.0.0.1:21000 --author jana --wait-for 127.0.0.1:21301
    """
    if not author.strip():
        raise typer.BadParameter('--author is empty')
    wanted = catalogue_file.load_catalogue_file(file)
    options = PublishOptions(
        log=log,
        author=publishing.Author(author, reason),
        base=base,
        remove_missing=remove_missing,
        dry_run=dry_run,
        wait_for=tuple(wait_for or ()),
        wait_ms=wait_ms,
    )
    report = output.run(_publish(wanted, options))
    publish_report.show(report, output_format)
    output.exit_with(publish_report.exit_code(report))


def resolve(
    change_id: Annotated[str, typer.Argument(help='As publish printed it.')],
    log: log_access.LogOption,
    wait_for: WaitOption = None,
    wait_ms: WaitMsOption = publishing.IN_FORCE_TIMEOUT_MS,
    output_format: output.FormatOption = output.OutputFormat.TEXT,
) -> None:
    """Tell what became of a change whose outcome was unknown.

    Example: sycamorebeam catalogue resolve 6f1e... --log
    http://127.0.0.1:21000
    """
    report = output.run(
        _resolve(change_id, log, tuple(wait_for or ()), wait_ms)
    )
    publish_report.show(report, output_format)
    output.exit_with(publish_report.exit_code(report))


async def _publish(
    wanted: Mapping[str, catalogue.AnyEntry], options: PublishOptions
) -> publish_report.Report:
    async with log_access.open_log(options.log) as client:
        fold = await log_access.read_fold(client)
        plan = catalogue_plan.make_plan(
            fold,
            wanted,
            base=options.base,
            remove_missing=options.remove_missing,
        )
        result = await _apply_plan(client, plan, options)
    return publish_report.Report(
        result,
        tuple(edit.key for edit in plan.edits),
        plan.not_in_file,
        await _check_in_force(result, options.wait_for, options.wait_ms),
    )


async def _apply_plan(
    client: ports.Log, plan: catalogue_plan.Plan, options: PublishOptions
) -> publish_report.Result:
    """Publish the edits of a plan, unless there are none or conflicts."""
    _check_size(plan)
    if plan.conflicts:
        return publish_report.Conflicting(plan.conflicts)
    if options.dry_run:
        return publish_report.DryRun()
    if not plan.edits:
        return publish_report.Unchanged(plan.offset)
    return await publishing.publish(
        client, clocks.Clock(), plan.edits, options.author
    )


def _check_size(plan: catalogue_plan.Plan) -> None:
    """Raise SettingsError when the plan is too large for one change."""
    if len(plan.edits) > catalogue_records.MAX_EDITS:
        raise errors.SettingsError(
            f'the file changes {len(plan.edits)} entries, one change takes '
            f'{catalogue_records.MAX_EDITS}',
            'publish files with a part of the entries, one after the other',
        )


async def _resolve(
    change_id: str, url: str, wait_for: tuple[str, ...], wait_ms: int
) -> publish_report.Report:
    async with log_access.open_log(url) as client:
        result = await publishing.resolve(client, clocks.Clock(), change_id)
    return publish_report.Report(
        result, in_force=await _check_in_force(result, wait_for, wait_ms)
    )


async def _check_in_force(
    result: publish_report.Result, wait_for: tuple[str, ...], wait_ms: int
) -> publishing.InForce | None:
    """Ask the instances if ``result`` has an offset, else return None."""
    match result:
        case (
            publishing.Accepted(offset=offset)
            | publish_report.Unchanged(offset=offset)
        ):
            pass
        case _:
            return None
    if not wait_for:
        return None
    async with aiohttp.ClientSession(
        connector=bounded.BoundedConnector()
    ) as session:
        return await publishing.wait_until_in_force(
            session, clocks.Clock(), wait_for, offset, wait_ms
        )
