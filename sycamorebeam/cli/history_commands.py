"""The commands ``catalogue show``, ``catalogue history`` and ``audit``."""

from collections.abc import Sequence
import datetime
import json
from typing import Annotated
from typing import Any

import aiohttp
import typer

from sycamorebeam import catalogue
from sycamorebeam import catalogue_fold
from sycamorebeam import clocks
from sycamorebeam import entries
from sycamorebeam import publishing
from sycamorebeam.cli import log_access
from sycamorebeam.cli import output
from sycamorebeam.clients import bounded

MAX_SHOWN_KEYS = 3

KeyOption = Annotated[
    str | None, typer.Option('--key', help='Only this entry, kind/name.')
]


def show(
    log: log_access.LogOption,
    key: KeyOption = None,
    as_file: Annotated[
        bool,
        typer.Option(
            '--as-file', help='Print a catalogue file, to edit and publish.'
        ),
    ] = False,
    output_format: output.FormatOption = output.OutputFormat.TEXT,
) -> None:
    """Show the catalogue on the log with its revisions.

    Example: sycamorebeam catalogue show --log http://127.0.0.1:21000
    --as-file
    """
    current = output.run(_read(log)).catalogue()
    wanted = {
        name: versioned
        for name, versioned in sorted(current.entries.items())
        if key in (None, name)
    }
    if as_file:
        typer.echo(f'// Publish with --base {current.offset}.')
        output.print_json(_as_file(wanted))
        return
    match output_format:
        case output.OutputFormat.JSON:
            listed = {
                name: {
                    'revision': versioned.revision,
                    'value': entries.to_plain(versioned.entry),
                }
                for name, versioned in wanted.items()
            }
            output.print_json({'offset': current.offset, 'entries': listed})
        case output.OutputFormat.TEXT:
            typer.echo(f'offset {current.offset}')
            _print_entries(wanted)


def history(
    log: log_access.LogOption,
    key: KeyOption = None,
    output_format: output.FormatOption = output.OutputFormat.TEXT,
) -> None:
    """Show the latest changes that were accepted, oldest first.

    Example: sycamorebeam catalogue history --log http://127.0.0.1:21000
    --key pipeline/shift-summary
    """
    decisions = [
        decision
        for decision in _decisions(log, key)
        if decision.rejection is None
    ]
    _print_decisions(decisions, {}, output_format)


def audit(
    log: log_access.LogOption,
    key: KeyOption = None,
    instance: Annotated[
        list[str] | None,
        typer.Option(
            help='Admin address of an instance to ask what is in force there;'
            ' may be repeated.'
        ),
    ] = None,
    output_format: output.FormatOption = output.OutputFormat.TEXT,
) -> None:
    """Show who changed what and when, and what became of it.

    Rejected changes are listed with the reason. With --instance the last
    column says where an accepted change is in force.

    Example: sycamorebeam audit --log http://127.0.0.1:21000 --instance
    127.0.0.1:21301 --output json
    """
    decisions = _decisions(log, key)
    offsets = output.run(_fetch_offsets(tuple(instance or ())))
    _print_decisions(decisions, offsets, output_format)


async def _read(url: str) -> catalogue_fold.Fold:
    async with log_access.open_log(url) as client:
        return await log_access.read_fold(client)


def _decisions(url: str, key: str | None) -> list[catalogue_fold.Decision]:
    audit_rows = output.run(_read(url)).audit
    return [
        decision
        for decision in audit_rows
        if key is None or key in decision.keys
    ]


async def _fetch_offsets(addresses: Sequence[str]) -> dict[str, int | None]:
    """Return the offset in force at each instance, None where unknown."""
    if not addresses:
        return {}
    async with aiohttp.ClientSession(
        connector=bounded.BoundedConnector()
    ) as session:
        in_force = await publishing.wait_until_in_force(
            session, clocks.Clock(), addresses, 0, timeout_ms=0
        )
    instances = (*in_force.reached, *in_force.behind)
    return {instance.address: instance.offset for instance in instances}


def _as_file(
    wanted: dict[str, catalogue.Versioned],
) -> dict[str, dict[str, Any]]:
    document: dict[str, dict[str, Any]] = {}
    for key, versioned in wanted.items():
        kind, name = entries.split_key(key)
        section = document.setdefault(f'{kind}s', {})
        section[name] = entries.to_plain(versioned.entry)
    return document


def _print_entries(wanted: dict[str, catalogue.Versioned]) -> None:
    rows = []
    for key, versioned in wanted.items():
        plain = entries.to_plain(versioned.entry)
        bounds = {
            name: bound
            for name, bound in plain['limits'].items()
            if bound is not None
        }
        rows.append(
            (
                key,
                versioned.revision,
                plain['owner'],
                plain['class'],
                json.dumps(bounds),
            )
        )
    output.print_table(('entry', 'revision', 'owner', 'class', 'limits'), rows)


def _print_decisions(
    decisions: Sequence[catalogue_fold.Decision],
    offsets: dict[str, int | None],
    output_format: output.OutputFormat,
) -> None:
    match output_format:
        case output.OutputFormat.JSON:
            output.print_json(
                [_as_json(decision, offsets) for decision in decisions]
            )
        case output.OutputFormat.TEXT:
            output.print_table(
                (
                    'offset',
                    'time',
                    'author',
                    'verdict',
                    'entries',
                    'reason',
                    'in force at',
                ),
                [_row(decision, offsets) for decision in decisions],
            )


def _as_json(
    decision: catalogue_fold.Decision, offsets: dict[str, int | None]
) -> dict[str, Any]:
    return {
        'offset': decision.offset,
        'change_id': decision.change_id,
        'time': _format_time(decision),
        'author': decision.author,
        'reason': decision.reason,
        'keys': list(decision.keys),
        'accepted': decision.accepted,
        'rejection': decision.rejection.reason if decision.rejection else None,
        'winner': decision.rejection.winner if decision.rejection else None,
        'in_force_at': _in_force_at(decision, offsets),
    }


def _row(
    decision: catalogue_fold.Decision, offsets: dict[str, int | None]
) -> tuple[object, ...]:
    verdict = 'accepted'
    if decision.rejection is not None:
        verdict = f'rejected: {decision.rejection.reason}'
    in_force = ''
    if offsets and decision.accepted:
        count = len(_in_force_at(decision, offsets))
        in_force = f'{count} of {len(offsets)} instances'
    return (
        decision.offset,
        _format_time(decision),
        decision.author,
        verdict,
        _shorten_keys(decision.keys),
        decision.reason,
        in_force,
    )


def _shorten_keys(keys: Sequence[str]) -> str:
    if len(keys) <= MAX_SHOWN_KEYS:
        return ' '.join(keys)
    shown = ' '.join(keys[:MAX_SHOWN_KEYS])
    or_more = ' or more' if len(keys) >= catalogue_fold.MAX_AUDIT_KEYS else ''
    return f'{shown} and {len(keys) - MAX_SHOWN_KEYS}{or_more}'


def _in_force_at(
    decision: catalogue_fold.Decision, offsets: dict[str, int | None]
) -> list[str]:
    if not decision.accepted:
        return []
    return [
        address
        for address, offset in offsets.items()
        if offset is not None and offset >= decision.offset
    ]


def _format_time(decision: catalogue_fold.Decision) -> str:
    """Return the author's time, in ms if it is out of range for a date."""
    try:
        moment = datetime.datetime.fromtimestamp(
            decision.time_ms / 1000, datetime.UTC
        )
    except (ValueError, OverflowError, OSError):
        return f'{decision.time_ms} ms'
    return moment.isoformat(timespec='milliseconds')
