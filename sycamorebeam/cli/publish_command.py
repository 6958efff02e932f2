"""The commands ``catalogue publish`` and ``catalogue resolve``."""

import pathlib
from typing import Annotated
from typing import Any

import aiohttp
import attrs
import typer

from sycamorebeam import catalogue_file
from sycamorebeam import catalogue_plan
from sycamorebeam import catalogue_records
from sycamorebeam import clock
from sycamorebeam import errors
from sycamorebeam import publishing
from sycamorebeam.cli import log_access
from sycamorebeam.cli import output

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


@attrs.frozen
class Unchanged:
    """The log has the catalogue of the file already."""

    offset: int


@attrs.frozen
class Conflicting:
    """Entries were changed after the file was made; nothing was sent."""

    conflicts: tuple[catalogue_plan.Conflict, ...]


@attrs.frozen
class DryRun:
    """Nothing was sent, as asked."""


Result = publishing.PublishResult | Unchanged | Conflicting | DryRun


@attrs.frozen
class Report:
    """What became of publishing, and where it is in force."""

    result: Result
    keys: tuple[str, ...] = ()
    not_in_file: tuple[str, ...] = ()
    in_force: publishing.InForce | None = None


@attrs.frozen(kw_only=True)
class Wishes:
    """What the operator asked for besides the file itself."""

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
    form: output.FormOption = output.Form.TEXT,
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
    wishes = Wishes(
        log=log,
        author=publishing.Author(author, reason),
        base=base,
        remove_missing=remove_missing,
        dry_run=dry_run,
        wait_for=tuple(wait_for or ()),
        wait_ms=wait_ms,
    )
    report = output.run(_publish(wanted, wishes))
    _print_report(report, form)
    output.end(exit_code(report))


def resolve(
    change_id: Annotated[str, typer.Argument(help='As publish printed it.')],
    log: log_access.LogOption,
    wait_for: WaitOption = None,
    wait_ms: WaitMsOption = publishing.IN_FORCE_TIMEOUT_MS,
    form: output.FormOption = output.Form.TEXT,
) -> None:
    """Tell what became of a change whose outcome was unknown.

    Example: sycamorebeam catalogue resolve 6f1e... --log
    http://127.0.0.1:21000
    """
    report = output.run(
        _resolve(change_id, log, tuple(wait_for or ()), wait_ms)
    )
    _print_report(report, form)
    output.end(exit_code(report))


async def _publish(
    wanted: dict[str, Any],
    wishes: Wishes,
) -> Report:
    async with log_access.open_log(wishes.log) as client:
        fold = await log_access.read_fold(client)
        plan = catalogue_plan.make_plan(
            fold,
            wanted,
            base=wishes.base,
            remove_missing=wishes.remove_missing,
        )
        _check_size(plan)
        result: Result
        if plan.conflicts:
            result = Conflicting(plan.conflicts)
        elif wishes.dry_run:
            result = DryRun()
        elif not plan.edits:
            result = Unchanged(plan.offset)
        else:
            result = await publishing.publish(
                client, clock.Clock(), plan.edits, wishes.author
            )
    return Report(
        result,
        tuple(edit.key for edit in plan.edits),
        plan.not_in_file,
        await _in_force(result, wishes.wait_for, wishes.wait_ms),
    )


def _check_size(plan: catalogue_plan.Plan) -> None:
    """Raise SettingsError when the log would take no such change."""
    if len(plan.edits) > catalogue_records.MAX_EDITS:
        raise errors.SettingsError(
            f'the file changes {len(plan.edits)} entries, one change takes '
            f'{catalogue_records.MAX_EDITS}',
            'publish files with a part of the entries, one after the other',
        )


async def _resolve(
    change_id: str, url: str, wait_for: tuple[str, ...], wait_ms: int
) -> Report:
    async with log_access.open_log(url) as client:
        result = await publishing.resolve(client, clock.Clock(), change_id)
    return Report(result, in_force=await _in_force(result, wait_for, wait_ms))


async def _in_force(
    result: Result, wait_for: tuple[str, ...], wait_ms: int
) -> publishing.InForce | None:
    """Ask the instances, when there is an offset to ask for."""
    match result:
        case publishing.Accepted(offset=offset) | Unchanged(offset=offset):
            pass
        case _:
            return None
    if not wait_for:
        return None
    async with aiohttp.ClientSession() as session:
        return await publishing.in_force(
            session, clock.Clock(), wait_for, offset, wait_ms
        )


def exit_code(report: Report) -> output.ExitCode:
    """Return the code that tells a script what became of the change."""
    match report.result:
        case publishing.Rejected(sent=False):
            return output.ExitCode.FAILED
        case publishing.Rejected() | Conflicting():
            return output.ExitCode.REJECTED
        case publishing.Unresolved():
            return output.ExitCode.UNKNOWN
    if report.in_force is not None and not report.in_force.everywhere:
        return output.ExitCode.UNKNOWN
    return output.ExitCode.OK


def _print_report(report: Report, form: output.Form) -> None:
    match form:
        case output.Form.JSON:
            output.print_json(_as_json(report))
        case output.Form.TEXT:
            for line in _lines(report):
                typer.echo(line)


def _as_json(report: Report) -> dict[str, Any]:
    found: dict[str, Any] = {
        'result': _verdict(report.result),
        **attrs.asdict(report.result),
        'keys': list(report.keys),
        'not_in_file': list(report.not_in_file),
    }
    if report.in_force is not None:
        everywhere = report.in_force.everywhere
        found['in_force'] = {
            'everywhere': everywhere,
            **attrs.asdict(report.in_force),
        }
    return found


def _verdict(result: Result) -> str:
    match result:
        case publishing.Accepted():
            return 'accepted'
        case publishing.Rejected(sent=False):
            return 'not_sent'
        case publishing.Rejected():
            return 'rejected'
        case publishing.Unresolved():
            return 'unresolved'
        case Unchanged():
            return 'unchanged'
        case Conflicting():
            return 'conflict'
        case DryRun():
            return 'dry_run'


def _lines(report: Report) -> list[str]:
    return [
        *_result_lines(report),
        *(f'only on the log, kept: {key}' for key in report.not_in_file),
        *_in_force_lines(report.in_force),
    ]


def _result_lines(report: Report) -> list[str]:
    match report.result:
        case publishing.Accepted(offset, change_id):
            changed = [f'changed: {key}' for key in report.keys]
            return [*changed, f'accepted at offset {offset}: {change_id}']
        case publishing.Rejected(reason=reason, change_id=change_id):
            return [f'rejected: {reason}; change {change_id}']
        case publishing.Unresolved(reason, change_id):
            return [
                f'unresolved: {reason}',
                f'ask later with: sycamorebeam catalogue resolve {change_id}',
            ]
        case Unchanged(offset):
            return [f'unchanged: the log has this catalogue at {offset}']
        case Conflicting(conflicts):
            return [
                'not sent, repeat your edits on what show prints now:',
                *(f'conflict: {item.key} {item.reason}' for item in conflicts),
            ]
        case DryRun():
            return [f'would change: {key}' for key in report.keys]


def _in_force_lines(found: publishing.InForce | None) -> list[str]:
    if found is None:
        return []
    return [
        *(f'in force: {item.address}' for item in found.reached),
        *(
            f'not in force: {item.address} at {item.offset} ({item.reason})'
            for item in found.behind
        ),
    ]
