"""Starts processes of a demonstration, and signals them by their id."""

import asyncio
import os
import pathlib
import signal
import sys
import time

import aiohttp
import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0


@attrs.define
class Process:
    """A process of the program; its output goes to ``log_path``."""

    name: str
    log_path: pathlib.Path
    handle: asyncio.subprocess.Process

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.handle.returncode is None:
            self.handle.send_signal(number)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit code; kill the process after ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.handle.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            return await self.handle.wait()


async def start(
    name: str, arguments: list[str], folder: pathlib.Path
) -> Process:
    """Start ``sycamorebeam`` with ``arguments``."""
    log_path = folder / f'{name}.log'
    with log_path.open('ab') as output:
        handle = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'sycamorebeam',
            *arguments,
            stdout=output,
            stderr=output,
            cwd=ROOT,
            env=dict(os.environ, PYTHONUNBUFFERED='1'),
        )
    return Process(name, log_path, handle)


async def wait_until_up(address: str, path: str, status: int = 200) -> None:
    """Wait until an HTTP server responds with ``status``."""
    end = time.monotonic() + START_TIMEOUT_S
    timeout = aiohttp.ClientTimeout(total=1)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while time.monotonic() < end:
            if await _status(session, f'http://{address}{path}') == status:
                return
            await asyncio.sleep(0.05)
    raise TimeoutError(f'{address}{path} did not respond with status {status}')


async def _status(session: aiohttp.ClientSession, url: str) -> int | None:
    try:
        async with session.get(url) as response:
            return response.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None
