"""The command ``status``: print the status of an instance."""

import json
from typing import Annotated
from typing import Any

import aiohttp
import typer

from sycamorebeam import errors
from sycamorebeam.cli import output
from sycamorebeam.clients import bounded

TIMEOUT_S = 5
STATUS_PATH = '/admin/status'


def status(
    address: Annotated[
        str, typer.Argument(help='Admin address of an instance, IP:port.')
    ],
    output_format: output.FormatOption = output.OutputFormat.TEXT,
) -> None:
    """Print the catalogue offset, targets, peers, leases and limits.

    Example: sycamorebeam status 127.0.0.1:21301 --output json
    """
    current = output.run(fetch_status(address))
    match output_format:
        case output.OutputFormat.JSON:
            output.print_json(current)
        case output.OutputFormat.TEXT:
            _print_section(current)


async def fetch_status(address: str) -> dict[str, Any]:
    """Return the status of the instance at an admin address.

    Raises PlatformError when the instance returns none.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(
                connector=bounded.BoundedConnector(), timeout=timeout
            ) as session,
            session.get(f'http://{address}{STATUS_PATH}') as response,
        ):
            response.raise_for_status()
            return await response.json()
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        raise errors.PlatformError(
            f'{address} gave no status ({str(error) or type(error).__name__})',
            'check that the instance runs and that this is its admin address',
        ) from error


def _print_section(section: dict[str, Any], indent: int = 0) -> None:
    """Print plain values as lines, tables as rows, objects as sections."""
    margin = '  ' * indent
    for name, value in section.items():
        match value:
            case dict():
                typer.echo(f'{margin}{name}:')
                _print_section(value, indent + 1)
            case [dict(), *_]:
                typer.echo(f'{margin}{name}:')
                _print_rows(value)
            case _:
                shown = json.dumps(value, ensure_ascii=False)
                typer.echo(f'{margin}{name}: {shown}')


def _print_rows(rows: list[dict[str, Any]]) -> None:
    columns = list(dict.fromkeys(key for row in rows for key in row))
    output.print_table(
        columns,
        [[row.get(column, '') for column in columns] for row in rows],
    )
