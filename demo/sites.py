"""One user's site on this machine: stand-ins and entry instances.

The sample files of the user are copied with their ports shifted, so that
several sites can run side by side.
"""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
from typing import Any

import aiohttp

from demo import processes
from sycamorebeam import catalogue
from sycamorebeam import catalogue_file
from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import clocks
from sycamorebeam import entries
from sycamorebeam import jsonc
from sycamorebeam import publishing
from sycamorebeam.clients import log_client

SAMPLES = processes.ROOT / 'samples'
PORT_PATTERN = re.compile(r'127\.0\.0\.1:(\d+)')
LOG_TIMEOUT_MS = 2_000
# Even, so that the ranges of the two samples never meet.
PORT_SHIFT = 2_000
MAX_PORT_SHIFTS = 5
# Held by whoever uses a shift; below all ports of the samples.
GUARD_PORT = 20_000


def reserve_port_shift(user: str) -> tuple[int, socket.socket]:
    """Return a shift by which all ports of a user's sample are free.

    The socket with it keeps the shift from other processes that reserve
    one, until it is closed.
    """
    texts = [path.read_text() for path in (SAMPLES / user).glob('*.jsonc')]
    ports = {
        int(port) for text in texts for port in PORT_PATTERN.findall(text)
    }
    first = os.getpid() % MAX_PORT_SHIFTS
    for step in range(MAX_PORT_SHIFTS):
        number = 1 + (first + step) % MAX_PORT_SHIFTS
        guard = _bind(GUARD_PORT + number)
        if guard is None:
            continue
        shift = PORT_SHIFT * number
        if all(_is_free(port + shift) for port in ports):
            return shift, guard
        guard.close()
    raise OSError('no free range of ports for the stand-ins')


def _bind(port: int) -> socket.socket | None:
    guard = socket.socket()
    # Connections that linger after a close do not keep a port from use.
    guard.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        guard.bind(('127.0.0.1', port))
    except OSError:
        guard.close()
        return None
    guard.listen()
    return guard


def _is_free(port: int) -> bool:
    probe = _bind(port)
    if probe is None:
        return False
    probe.close()
    return True


class Site:
    """The processes of one user."""

    def __init__(
        self, user: str, folder: pathlib.Path, port_shift: int = 0
    ) -> None:
        self.user = user
        self.folder = folder
        self._shift = port_shift
        self.items: list[dict[str, Any]] = []
        self.entries: dict[str, catalogue.AnyEntry] = {}
        self.settings: dict[int, dict[str, Any]] = {}
        self.instances: dict[int, processes.Process] = {}
        self.standins: dict[str, processes.Process] = {}
        self.platform = ''

    async def start(self, numbers: list[int], **overrides: Any) -> None:
        """Start stand-ins and the entry instances ``numbers``."""
        self._prepare(overrides)
        await self._start_standins()
        await self._list_instances(numbers)
        await self.publish(self.entries)
        for number in numbers:
            await self.start_instance(number)
        for number in numbers:
            await self.wait_ready(number)

    async def start_instance(self, number: int) -> None:
        """Start one entry instance."""
        path = self.folder / f'settings-{number}.json'
        self.instances[number] = await processes.start(
            f'entry-{number}', ['run', '--settings', str(path)], self.folder
        )

    async def wait_ready(self, number: int) -> None:
        """Wait until an instance may serve."""
        await processes.wait_until_up(self.callers_address(number), '/readyz')

    def callers_address(self, number: int) -> str:
        """Return where an instance serves callers."""
        return self.settings[number]['addresses']['callers']

    def admin_address(self, number: int) -> str:
        """Return where an instance serves operators."""
        return self.settings[number]['addresses']['admin']

    async def publish(
        self,
        wanted: dict[str, catalogue.AnyEntry],
        revisions: dict[str, int] | None = None,
    ) -> publishing.PublishResult:
        """Publish entries as they are in ``wanted``.

        Without ``revisions`` they are made from the current ones.
        """
        client = log_client.new_log_client(self.platform, LOG_TIMEOUT_MS)
        try:
            if revisions is None:
                fold = await publishing.read_fold(client)
                revisions = {key: _revision(fold, key) for key in wanted}
            edits = [
                catalogue_records.Edit(
                    key, revisions[key], entries.to_plain(wanted[key])
                )
                for key in wanted
            ]
            return await publishing.publish(
                client,
                clocks.Clock(),
                edits,
                publishing.Author('demo', 'the sample catalogue'),
            )
        finally:
            await client.close()

    async def post_platform(self, path: str, body: dict[str, Any]) -> None:
        """Set a switch of the platform's stand-in."""
        await self.post(self.platform, path, body)

    async def post(
        self, address: str, path: str, body: dict[str, Any]
    ) -> None:
        """Set a switch of a stand-in."""
        async with (
            aiohttp.ClientSession() as session,
            session.post(f'http://{address}{path}', json=body) as response,
        ):
            response.raise_for_status()

    async def get(self, address: str, path: str) -> dict[str, Any]:
        """Return the JSON at ``path`` of a process."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f'http://{address}{path}') as response,
        ):
            return await response.json()

    async def action_runs(self) -> dict[str, int]:
        """Return how often each key's action ran, as the targets count."""
        operations = _action_operations(self.entries)
        counts: dict[str, int] = {}
        for item in self.items:
            if item['group'] not in operations:
                continue
            found = await self.get(item['address'], '/standin/runs')
            for run in found['runs']:
                if run['operation'] in operations[item['group']]:
                    counts[run['key']] = counts.get(run['key'], 0) + 1
        return counts

    def addresses(self, group: str) -> list[str]:
        """Return the addresses of a group's replicas."""
        return [
            item['address'] for item in self.items if item['group'] == group
        ]

    async def stop(self) -> None:
        """End every process of the site."""
        running = [*self.instances.values(), *self.standins.values()]
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        await asyncio.gather(*(process.wait() for process in running))

    def _prepare(self, overrides: dict[str, Any]) -> None:
        sample = SAMPLES / self.user
        self.folder.mkdir(parents=True, exist_ok=True)
        catalogue_path = sample / 'catalogue.jsonc'
        self.entries = catalogue_file.load_catalogue_file(catalogue_path)
        secret = (sample / 'peer.secret').read_bytes()
        (self.folder / 'peer.secret').write_bytes(secret)
        (self.folder / 'peer.secret').chmod(0o600)
        self.items = self._copy(sample / 'replicas.jsonc')
        for path in sorted(sample.glob('settings-*.jsonc')):
            number = int(path.stem.split('-')[1])
            self.settings[number] = self._copy(path, overrides)
        first = next(iter(self.settings.values()))
        self.platform = first['platform']['log'].removeprefix('http://')

    def _copy(
        self, path: pathlib.Path, overrides: dict[str, Any] | None = None
    ) -> Any:
        text = json.dumps(jsonc.load(path).value)
        value = json.loads(PORT_PATTERN.sub(self._shifted, text))
        if overrides:
            value.update(overrides)
        target = self.folder / f'{path.stem}.json'
        target.write_text(json.dumps(value, indent=2))
        return value

    def _shifted(self, match: re.Match[str]) -> str:
        return f'127.0.0.1:{int(match[1]) + self._shift}'

    async def _start_standins(self) -> None:
        platform = ['standin', 'platform', '--listen', self.platform]
        commands = {'platform': platform}
        for zone in sorted({item['zone'] for item in self._targets()}):
            commands[f'targets-{zone}'] = self._targets_command(zone)
        for name, arguments in commands.items():
            self.standins[name] = await processes.start(
                name, arguments, self.folder
            )
        await processes.wait_until_up(self.platform, '/v1/instances')
        for item in self._targets():
            await processes.wait_until_up(item['address'], '/v1/load')

    def _targets(self) -> list[dict[str, Any]]:
        return [item for item in self.items if item['group'] != 'entry']

    def _targets_command(self, zone: str) -> list[str]:
        """Write the replicas of a zone; return what serves them."""
        items = [item for item in self._targets() if item['zone'] == zone]
        path = self.folder / f'replicas-{zone}.json'
        path.write_text(json.dumps(items))
        known = SAMPLES / self.user / 'catalogue.jsonc'
        return ['standin', 'targets', str(path), '--catalogue', str(known)]

    async def _list_instances(self, numbers: list[int]) -> None:
        ids = {self.settings[number]['instance_id'] for number in numbers}
        listed = [
            item
            for item in self.items
            if item['group'] != 'entry' or item['id'] in ids
        ]
        await self.post_platform('/standin/instances', {'put': listed})


def _revision(fold: Any, key: str) -> int:
    found = fold.catalogue().entries.get(key)
    return found.revision if found else catalogue_store.ABSENT


def _action_operations(
    known: dict[str, catalogue.AnyEntry],
) -> dict[str, set[str]]:
    operations: dict[str, set[str]] = {}
    for entry in known.values():
        if not isinstance(entry, catalogue.Pipeline):
            continue
        for stage in entry.stages:
            if not stage.idempotent:
                operations.setdefault(stage.target, set()).add(stage.operation)
    return operations
