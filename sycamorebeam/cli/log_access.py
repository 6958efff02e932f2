"""Access to the log service for the commands."""

from collections.abc import AsyncIterator
import contextlib
from typing import Annotated

import typer

from sycamorebeam import catalogue_fold
from sycamorebeam import checking
from sycamorebeam import errors
from sycamorebeam import publishing
from sycamorebeam.clients import log_client
from sycamorebeam.clients import results

LOG_TIMEOUT_MS = 2_000

LogOption = Annotated[
    str, typer.Option('--log', help='The log service, http://IP:port.')
]


@contextlib.asynccontextmanager
async def open_log(url: str) -> AsyncIterator[log_client.LogClient]:
    """Yield a client of the log at ``url`` and close it at the end.

    Raises SettingsError when ``url`` is not the URL of a log.
    """
    if not checking.holds(checking.Url(), url):
        raise errors.SettingsError(
            f'{checking.show(url)} is not the URL of a log',
            f'write {checking.describe_rule(checking.Url())}',
        )
    address = url.removeprefix('http://')
    client = log_client.new_log_client(address, LOG_TIMEOUT_MS)
    try:
        yield client
    finally:
        await client.close()


async def read_fold(client: log_client.LogClient) -> catalogue_fold.Fold:
    """Return the catalogue state read from the log.

    Raises PlatformError when it cannot be read.
    """
    fold = await publishing.read_fold(client)
    if isinstance(fold, results.LogUnavailable):
        raise errors.PlatformError(
            f'the catalogue cannot be read ({fold.reason})',
            'check --log, or try again when the log answers',
        )
    return fold
