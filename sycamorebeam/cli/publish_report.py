"""The report of publishing a catalogue, as text or JSON."""

from typing import Any

import attrs
import typer

from sycamorebeam import catalogue_plan
from sycamorebeam import publishing
from sycamorebeam.cli import output


@attrs.frozen
class Unchanged:
    """The log already has the catalogue of the file."""

    offset: int


@attrs.frozen
class Conflicting:
    """Entries were changed after the file was made; nothing was sent."""

    conflicts: tuple[catalogue_plan.Conflict, ...]


@attrs.frozen
class DryRun:
    """Nothing was sent because of --dry-run."""


Result = publishing.PublishResult | Unchanged | Conflicting | DryRun


@attrs.frozen
class Report:
    """The result of publishing and where the catalogue is in force."""

    result: Result
    keys: tuple[str, ...] = ()
    not_in_file: tuple[str, ...] = ()
    in_force: publishing.InForce | None = None


def exit_code(report: Report) -> output.ExitCode:
    """Return the exit code for the result in a report."""
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


def show(report: Report, output_format: output.OutputFormat) -> None:
    """Print a report."""
    match output_format:
        case output.OutputFormat.JSON:
            output.print_json(_as_json(report))
        case output.OutputFormat.TEXT:
            for line in _lines(report):
                typer.echo(line)


def _as_json(report: Report) -> dict[str, Any]:
    document: dict[str, Any] = {
        'result': _verdict(report.result),
        **attrs.asdict(report.result),
        'keys': list(report.keys),
        'not_in_file': list(report.not_in_file),
    }
    if report.in_force is not None:
        everywhere = report.in_force.everywhere
        document['in_force'] = {
            'everywhere': everywhere,
            **attrs.asdict(report.in_force),
        }
    return document


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
                *(
                    f'conflict: {conflict.key} {conflict.reason}'
                    for conflict in conflicts
                ),
            ]
        case DryRun():
            return [f'would change: {key}' for key in report.keys]


def _in_force_lines(in_force: publishing.InForce | None) -> list[str]:
    if in_force is None:
        return []
    return [
        *(f'in force: {instance.address}' for instance in in_force.reached),
        *(
            f'not in force: {instance.address} at {instance.offset} '
            f'({instance.reason})'
            for instance in in_force.behind
        ),
    ]
