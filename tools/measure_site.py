"""The processes of a measurement: platform, targets and one instance.

The catalogue sets no limits, so that the figures show the cost of the
instance and no refusals.
"""

import asyncio
import hashlib
import json
import pathlib
import signal
import sys
from typing import Any

import aiohttp
import attrs

from demo import processes
from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import clocks
from sycamorebeam import publishing
from sycamorebeam.clients import log_client

PLATFORM = '127.0.0.1:27000'
CALLERS = '127.0.0.1:27101'
PEERS = '127.0.0.1:27201'
ADMIN = '127.0.0.1:27301'
FIRST_TARGET_PORT = 27_401
TOKEN = 'measure-token'
TOKEN_SHA256 = hashlib.sha256(TOKEN.encode()).hexdigest()
LOG_TIMEOUT_MS = 2_000
REPLICAS = 3
CAPACITY = 1_024
MAX_TOKENS = 32
COMMON: dict[str, Any] = {'owner': 'measure', 'class': 'normal', 'limits': {}}


@attrs.frozen(kw_only=True)
class Group:
    """A group of identical stand-ins and the pipeline that calls it."""

    name: str
    kind: str
    operation: str
    pace_ms: float
    in_flight: tuple[int, ...]
    rounds: int

    @property
    def work_ms(self) -> float:
        """The duration of one call."""
        calls = MAX_TOKENS if self.kind == 'engine' else 1
        return self.pace_ms * calls


# "quick" and "fast" saturate the instance; "slow" and "steady" hold requests
# in flight at a rate that leaves it idle time.
GROUPS = (
    Group(
        name='quick',
        kind='service',
        operation='read',
        pace_ms=0,
        in_flight=(1, 32, 256),
        rounds=2,
    ),
    Group(
        name='slow',
        kind='service',
        operation='read',
        pace_ms=800,
        in_flight=(32, 256),
        rounds=1,
    ),
    Group(
        name='fast',
        kind='engine',
        operation='generate',
        pace_ms=1,
        in_flight=(1, 32, 256),
        rounds=2,
    ),
    Group(
        name='steady',
        kind='engine',
        operation='generate',
        pace_ms=40,
        in_flight=(32, 256),
        rounds=1,
    ),
)


class MeasuredSite:
    """Starts and stops the processes of one measurement."""

    def __init__(
        self, directory: pathlib.Path, launch_arguments: list[str]
    ) -> None:
        self._directory = directory
        self._launch_arguments = launch_arguments
        self._processes: list[processes.Process] = []
        self._listed_targets: list[dict[str, Any]] = []
        self._instance: processes.Process | None = None

    @property
    def instance_pid(self) -> int:
        """The process id of the instance."""
        assert self._instance is not None
        return self._instance.handle.pid

    def addresses(self, group: str) -> list[str]:
        """Return the addresses of a group's replicas."""
        return [
            target['address']
            for target in self._listed_targets
            if target['group'] == group
        ]

    async def start(self) -> None:
        """Start all processes and wait until the instance is ready."""
        await self._start_platform()
        await self._start_targets()
        await self._publish_catalogue()
        self._instance = await self._start_instance()
        await processes.wait_until_up(CALLERS, '/readyz')

    async def stop(self) -> None:
        """Stop the instance gracefully, then the stand-ins."""
        started = [self._instance] if self._instance else []
        for process in (*started, *self._processes):
            process.signal(signal.SIGTERM)
            await process.wait()

    async def _start_platform(self) -> None:
        arguments = ['standin', 'platform', '--listen', PLATFORM]
        await self._start_standin('platform', arguments)
        await processes.wait_until_up(PLATFORM, '/v1/instances')

    async def _start_targets(self) -> None:
        port = FIRST_TARGET_PORT
        for group in GROUPS:
            for number in range(1, REPLICAS + 1):
                await self._start_target(group, number, port)
                port += 1
        for target in self._listed_targets:
            await processes.wait_until_up(target['address'], '/v1/load')

    async def _start_target(
        self, group: Group, number: int, port: int
    ) -> None:
        name = f'{group.name}-{number}'
        address = f'127.0.0.1:{port}'
        pace = '--work-ms' if group.kind == 'service' else '--token-ms'
        arguments = ['standin', 'target', '--kind', group.kind]
        arguments += ['--group', group.name, '--listen', address]
        arguments += [pace, str(group.pace_ms), '--capacity', str(CAPACITY)]
        await self._start_standin(name, arguments)
        self._listed_targets.append(_list_entry(name, group.name, address))

    async def _start_standin(self, name: str, arguments: list[str]) -> None:
        process = await processes.start(name, arguments, self._directory)
        self._processes.append(process)

    async def _start_instance(self) -> processes.Process:
        (self._directory / 'peer.secret').write_text('secret-of-measurements')
        (self._directory / 'peer.secret').chmod(0o600)
        path = self._directory / 'settings.json'
        path.write_text(json.dumps(_settings()))
        arguments = [*self._launch_arguments, 'run', '--settings', str(path)]
        log_path = self._directory / 'entry.log'
        with log_path.open('ab') as output:
            handle = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdout=output,
                stderr=output,
                cwd=processes.ROOT,
            )
        return processes.Process('entry', log_path, handle)

    async def _publish_catalogue(self) -> None:
        entry = _list_entry('measured', 'entry', CALLERS) | {
            'peer_address': PEERS
        }
        await _publish_instance_list([*self._listed_targets, entry])
        client = log_client.new_log_client(PLATFORM, LOG_TIMEOUT_MS)
        try:
            result = await publishing.publish(
                client,
                clocks.Clock(),
                _edits(),
                publishing.Author('measure', 'a catalogue without limits'),
            )
        finally:
            await client.close()
        if not isinstance(result, publishing.Accepted):
            raise RuntimeError(f'the catalogue was not accepted: {result}')


async def _publish_instance_list(list_entries: list[dict[str, Any]]) -> None:
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f'http://{PLATFORM}/standin/instances', json={'put': list_entries}
        ) as response,
    ):
        response.raise_for_status()


def _list_entry(name: str, group: str, address: str) -> dict[str, Any]:
    return {
        'id': name,
        'group': group,
        'address': address,
        'zone': 'zone-1',
        'region': 'region-1',
        'state': 'live',
    }


def _settings() -> dict[str, Any]:
    return {
        'instance_id': 'measured',
        'placement': {'zone': 'zone-1', 'region': 'region-1'},
        'addresses': {'callers': CALLERS, 'peers': PEERS, 'admin': ADMIN},
        'platform': {
            'log': f'http://{PLATFORM}',
            'instances': f'http://{PLATFORM}',
        },
        'peer_secret_file': 'peer.secret',
        'shutdown': {'balancer_lag_ms': 100, 'drain_timeout_ms': 5_000},
    }


def _edits() -> list[catalogue_records.Edit]:
    values = {'team/measure': {**COMMON, 'token_sha256': [TOKEN_SHA256]}}
    for group in GROUPS:
        values.update(_catalogue_entries(group))
    return [
        catalogue_records.Edit(key, catalogue_store.ABSENT, values[key])
        for key in values
    ]


def _catalogue_entries(group: Group) -> dict[str, dict[str, Any]]:
    name = group.name
    stage: dict[str, Any] = {
        'name': 'only',
        'target': name,
        'operation': group.operation,
    }
    entries: dict[str, dict[str, Any]] = {
        f'target/{name}': {**COMMON, 'kind': group.kind}
    }
    if group.kind == 'engine':
        entries[f'model/{name}'] = {**COMMON, 'target': name, 'version': '1'}
        stage.update(model=name, max_tokens=MAX_TOKENS)
    entries[f'pipeline/{name}'] = {
        **COMMON,
        'deadline_ms': 60_000,
        'stages': [stage],
    }
    return entries
