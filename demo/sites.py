"""Runs a sample user's site on this machine: stand-ins and entry instances.

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
# Even, so that the shifted port ranges of the two samples never overlap.
PORT_SHIFT = 2_000
MAX_PORT_SHIFTS = 5
# The lock of shift N is this port plus N; below all ports of the samples.
FIRST_LOCK_PORT = 20_000


def reserve_port_shift(user: str) -> tuple[int, socket.socket]:
    """Return a shift by which all ports of a user's sample are free.

    The socket returned with it is the lock: until it is closed, no other
    process can reserve the same shift.
    """
    texts = [path.read_text() for path in (SAMPLES / user).glob('*.jsonc')]
    ports = {
        int(port) for text in texts for port in PORT_PATTERN.findall(text)
    }
    first = os.getpid() % MAX_PORT_SHIFTS
    for step in range(MAX_PORT_SHIFTS):
        number = 1 + (first + step) % MAX_PORT_SHIFTS
        lock = _try_bind(FIRST_LOCK_PORT + number)
        if lock is None:
            continue
        shift = PORT_SHIFT * number
        if all(_is_free(port + shift) for port in ports):
            return shift, lock
        lock.close()
    raise OSError('no free range of ports for the stand-ins')


def _try_bind(port: int) -> socket.socket | None:
    lock = socket.socket()
    # Lets a port be bound while closed connections are in TIME_WAIT.
    lock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        lock.bind(('127.0.0.1', port))
    except OSError:
        lock.close()
        return None
    lock.listen()
    return lock


def _is_free(port: int) -> bool:
    probe = _try_bind(port)
    if probe is None:
        return False
    probe.close()
    return True


class Site:
    """The processes, settings and catalogue of one user's site."""

    def __init__(
        self, user: str, folder: pathlib.Path, port_shift: int = 0
    ) -> None:
        self.user = user
        self.folder = folder
        self._port_shift = port_shift
        self.replicas: list[dict[str, Any]] = []
        self.entries: dict[str, catalogue.AnyEntry] = {}
        self.settings: dict[int, dict[str, Any]] = {}
        self.instances: dict[int, processes.Process] = {}
        self.standins: dict[str, processes.Process] = {}
        self.platform = ''

    async def start(self, numbers: list[int], **overrides: Any) -> None:
        """Start stand-ins and the entry instances ``numbers``."""
        self._copy_sample(overrides)
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
        """Wait until an instance is ready."""
        await processes.wait_until_up(self.callers_address(number), '/readyz')

    def callers_address(self, number: int) -> str:
        """Return the address where an instance serves callers."""
        return self.settings[number]['addresses']['callers']

    def admin_address(self, number: int) -> str:
        """Return the address where an instance serves operators."""
        return self.settings[number]['addresses']['admin']

    async def publish(
        self,
        wanted: dict[str, catalogue.AnyEntry],
        revisions: dict[str, int] | None = None,
    ) -> publishing.PublishResult:
        """Publish the entries in ``wanted``.

        Without ``revisions``, the edits are based on the current revisions.
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
        """Return how often the non-idempotent stage of each key ran."""
        operations = _action_operations(self.entries)
        counts: dict[str, int] = {}
        for replica in self.replicas:
            if replica['group'] not in operations:
                continue
            recorded = await self.get(replica['address'], '/standin/runs')
            for run in recorded['runs']:
                if run['operation'] in operations[replica['group']]:
                    counts[run['key']] = counts.get(run['key'], 0) + 1
        return counts

    def addresses(self, group: str) -> list[str]:
        """Return the addresses of a group's replicas."""
        return [
            replica['address']
            for replica in self.replicas
            if replica['group'] == group
        ]

    async def stop(self) -> None:
        """End every process of the site."""
        running = [*self.instances.values(), *self.standins.values()]
        for process in running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        await asyncio.gather(*(process.wait() for process in running))

    def _copy_sample(self, overrides: dict[str, Any]) -> None:
        sample = SAMPLES / self.user
        self.folder.mkdir(parents=True, exist_ok=True)
        catalogue_path = sample / 'catalogue.jsonc'
        self.entries = catalogue_file.load_catalogue_file(catalogue_path)
        secret = (sample / 'peer.secret').read_bytes()
        (self.folder / 'peer.secret').write_bytes(secret)
        (self.folder / 'peer.secret').chmod(0o600)
        self.replicas = self._copy_file(sample / 'replicas.jsonc')
        for path in sorted(sample.glob('settings-*.jsonc')):
            number = int(path.stem.split('-')[1])
            self.settings[number] = self._copy_file(path, overrides)
        first = next(iter(self.settings.values()))
        self.platform = first['platform']['log'].removeprefix('http://')

    def _copy_file(
        self, path: pathlib.Path, overrides: dict[str, Any] | None = None
    ) -> Any:
        text = json.dumps(jsonc.load(path).value)
        value = json.loads(PORT_PATTERN.sub(self._shift_port, text))
        if overrides:
            value.update(overrides)
        target = self.folder / f'{path.stem}.json'
        target.write_text(json.dumps(value, indent=2))
        return value

    def _shift_port(self, match: re.Match[str]) -> str:
        return f'127.0.0.1:{int(match[1]) + self._port_shift}'

    async def _start_standins(self) -> None:
        platform = ['standin', 'platform', '--listen', self.platform]
        commands = {'platform': platform}
        for zone in sorted(
            {replica['zone'] for replica in self._target_replicas()}
        ):
            commands[f'targets-{zone}'] = self._targets_command(zone)
        for name, arguments in commands.items():
            self.standins[name] = await processes.start(
                name, arguments, self.folder
            )
        await processes.wait_until_up(self.platform, '/v1/instances')
        for replica in self._target_replicas():
            await processes.wait_until_up(replica['address'], '/v1/load')

    def _target_replicas(self) -> list[dict[str, Any]]:
        return [
            replica for replica in self.replicas if replica['group'] != 'entry'
        ]

    def _targets_command(self, zone: str) -> list[str]:
        """Write the replicas of a zone; return the arguments to serve them."""
        replicas = [
            replica
            for replica in self._target_replicas()
            if replica['zone'] == zone
        ]
        path = self.folder / f'replicas-{zone}.json'
        path.write_text(json.dumps(replicas))
        catalogue_path = SAMPLES / self.user / 'catalogue.jsonc'
        return [
            'standin',
            'targets',
            str(path),
            '--catalogue',
            str(catalogue_path),
        ]

    async def _list_instances(self, numbers: list[int]) -> None:
        ids = {self.settings[number]['instance_id'] for number in numbers}
        listed = [
            replica
            for replica in self.replicas
            if replica['group'] != 'entry' or replica['id'] in ids
        ]
        await self.post_platform('/standin/instances', {'put': listed})


def _revision(fold: Any, key: str) -> int:
    entry = fold.catalogue().entries.get(key)
    return entry.revision if entry else catalogue_store.ABSENT


def _action_operations(
    catalogue_entries: dict[str, catalogue.AnyEntry],
) -> dict[str, set[str]]:
    operations: dict[str, set[str]] = {}
    for entry in catalogue_entries.values():
        if not isinstance(entry, catalogue.Pipeline):
            continue
        for stage in entry.stages:
            if not stage.idempotent:
                operations.setdefault(stage.target, set()).add(stage.operation)
    return operations
