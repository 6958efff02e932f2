"""Starts and stops the HTTP servers of the stand-ins."""

import asyncio
from collections.abc import Sequence
import signal
from typing import Any
from typing import Protocol

from aiohttp import web
import attrs

from sycamorebeam import errors

SHUTDOWN_MS = 100


class Closeable(Protocol):
    """A server that can be stopped."""

    async def close(self) -> None:
        """Stop the server."""
        ...


@attrs.define
class Server:
    """A running server that listens on ``address``, ``IP:port``."""

    address: str
    _runner: web.AppRunner

    async def stop_listening(self) -> None:
        """Refuse new connections, but keep the open ones."""
        for site in list(self._runner.sites):
            await site.stop()

    async def close(self) -> None:
        """Stop listening and close the open connections."""
        await self._runner.cleanup()


async def start(app: web.Application, host: str, port: int) -> Server:
    """Return a running server of ``app``; port 0 picks a free one."""
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=SHUTDOWN_MS / 1000
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound_host, bound_port = runner.addresses[0][:2]
    return Server(f'{bound_host}:{bound_port}', runner)


def split_address(listen: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``."""
    host, _, port = listen.rpartition(':')
    if not host or not port.isdecimal():
        raise errors.SettingsError(
            f'{listen!r} is not an address', 'write it as IP:port'
        )
    return host, int(port)


async def run_until_signal(servers: Sequence[Closeable]) -> None:
    """Keep ``servers`` up until SIGINT or SIGTERM, then close them."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
    for server in servers:
        await server.close()


def set_switches(switches: Any, fields: dict[str, Any]) -> None:
    """Set the attributes of ``switches`` that are named in ``fields``.

    Raises SettingsError for a name that is no switch.
    """
    names = [field.name for field in attrs.fields(type(switches))]
    unknown = sorted(set(fields) - set(names))
    if unknown:
        raise errors.SettingsError(
            f'no such switch: {", ".join(unknown)}',
            f'use one of {", ".join(names)}',
        )
    for name, value in fields.items():
        setattr(switches, name, value)


async def apply_switches(request: web.Request, switches: Any) -> web.Response:
    """Set switches from the JSON body of ``request``; respond with all."""
    try:
        set_switches(switches, await request.json())
    except errors.SettingsError as error:
        return web.json_response({'error': str(error)}, status=400)
    return web.json_response(attrs.asdict(switches))
