"""Measures the request path: one instance between callers and targets.

The instance runs in this process; platform, targets and callers run in
two others, so that CPU and memory of this one are those of the instance.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import multiprocessing
from multiprocessing import connection
import time
from typing import Any

import aiohttp
import attrs
import loguru
import psutil
import uvloop

from sycamorebeam import catalogue
from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import entries
from sycamorebeam import instance
from sycamorebeam import records
from sycamorebeam import settings
from sycamorebeam.clients import log_client
from sycamorebeam.clients import results
from sycamorebeam.standins import platform_server
from sycamorebeam.standins import replica
from sycamorebeam.standins import target_server
from tools import capacity_catalogue
from tools import fits

STAGES = (1, 2, 4, 8, 32)
REQUESTS = (10, 30, 100, 300, 1_000)
TOKENS = (2, 8, 32, 128, 256)
IN_FLIGHT = (5, 15, 50, 150, 500)
TEAMS = (270, 900, 2_700, 9_000, 27_000)
TOKEN_REQUESTS = 24
CONCURRENCY = 8
SLOW_MS = 4_000
HOLD_S = 2.5
IDLE_QUARTER_S = 1.5
READY_TRIES = 200
QUICK = 'quick'
SLOW = 'slow'
ENGINE = 'engine'
CATALOGUE_TEAMS = 100


@attrs.frozen
class Load:
    """The requests that the callers send."""

    pipeline: str
    requests: int
    concurrency: int
    stream: bool = False


def _serve_site(pipe: connection.Connection) -> None:
    """Serve platform and targets until the pipe has a message."""
    uvloop.run(_run_site(pipe))


async def _run_site(pipe: connection.Connection) -> None:
    loguru.logger.remove()
    standin_platform = await platform_server.start_platform()
    kinds = {
        QUICK: (catalogue.TargetKind.POOL, replica.TargetOptions(work_ms=0)),
        SLOW: (
            catalogue.TargetKind.POOL,
            replica.TargetOptions(work_ms=SLOW_MS, capacity=2_000),
        ),
        ENGINE: (
            catalogue.TargetKind.ENGINE,
            replica.TargetOptions(token_ms=1, prefill_ms=0),
        ),
    }
    list_items = []
    servers = []
    for name, (kind, options) in kinds.items():
        server = await target_server.start_target(kind, name, options)
        servers.append(server)
        list_items.append(
            {
                'id': f'{name}-1',
                'group': name,
                'address': server.address,
                'zone': 'a1',
                'region': 'a',
                'state': 'live',
            }
        )
    standin_platform.instances.put(list_items)
    pipe.send(standin_platform.address)
    await asyncio.to_thread(pipe.recv)
    for server in servers:
        await server.close()
    await standin_platform.close()


def _serve_callers(pipe: connection.Connection, address: str) -> None:
    """Run each load that arrives on the pipe and send back its successes."""
    uvloop.run(_run_callers(pipe, address))


async def _run_callers(pipe: connection.Connection, address: str) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        while True:
            load = await asyncio.to_thread(pipe.recv)
            if load is None:
                return
            semaphore = asyncio.Semaphore(load.concurrency)
            url = f'http://{address}/v1/pipelines/{load.pipeline}/requests'
            statuses = await asyncio.gather(
                *(
                    _send_request(session, semaphore, url, load.stream)
                    for _ in range(load.requests)
                )
            )
            pipe.send(statuses.count(200))


async def _send_request(
    session: aiohttp.ClientSession,
    semaphore: asyncio.Semaphore,
    url: str,
    stream: bool,
) -> int:
    headers = {'Authorization': 'Bearer t0'}
    if stream:
        headers['Accept'] = 'text/event-stream'
    body = {'input': {'text': 'why did the level fall at station 7?'}}
    async with (
        semaphore,
        session.post(url, json=body, headers=headers) as response,
    ):
        await response.read()
        return response.status


def _catalogue_values() -> dict[str, dict[str, Any]]:
    """Return the catalogue: pipelines by stages and tokens, and a team."""
    plain = {'owner': 'ops', 'class': 'normal', 'limits': {}}
    values: dict[str, dict[str, Any]] = {
        f'target/{QUICK}': {**plain, 'kind': 'pool'},
        f'target/{SLOW}': {**plain, 'kind': 'pool'},
        f'target/{ENGINE}': {**plain, 'kind': 'engine'},
        'model/m': {**plain, 'target': ENGINE, 'version': '1'},
        'team/first': {
            **plain,
            'token_sha256': capacity_catalogue.team_value(0)['token_sha256'],
        },
    }
    for count in STAGES:
        stages = [_stage(f's{number}', QUICK) for number in range(count)]
        values[f'pipeline/stages-{count}'] = _pipeline(stages)
    for count in TOKENS:
        stage = _stage('g', ENGINE, 'generate', model='m', max_tokens=count)
        values[f'pipeline/tokens-{count}'] = _pipeline([stage])
    values['pipeline/slow'] = _pipeline([_stage('s', SLOW)])
    return values


def _stage(
    name: str, group: str, operation: str = 'encode', **fields: Any
) -> dict[str, Any]:
    return {'name': name, 'target': group, 'operation': operation, **fields}


def _pipeline(stages: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        'owner': 'ops',
        'class': 'normal',
        'limits': {},
        'deadline_ms': 60_000,
        'stages': stages,
    }


def _pack_change(number: int, values: dict[str, dict[str, Any]]) -> bytes:
    """Return the change that creates the entries, packed for the log."""
    edits = []
    for key, value in values.items():
        entry = entries.from_plain(key.partition('/')[0], value)
        plain = entries.to_plain(entry)
        edits.append(
            catalogue_records.Edit(key, catalogue_store.ABSENT, plain)
        )
    catalogue_change = catalogue_records.Change(
        id=f'change-{number}',
        author='ops',
        time_ms=number,
        reason='capacity',
        edits=tuple(edits),
    )
    return records.pack_envelope(
        [catalogue_records.to_record(catalogue_change)]
    )


@attrs.define
class Bench:
    """The measured instance, and the connections to callers and log."""

    measured_instance: instance.Instance
    callers: connection.Connection
    log: log_client.LogClient
    teams: int = 1

    async def run(self, load: Load) -> float:
        """Return the CPU time of the instance for a load, in milliseconds."""
        start = time.process_time()
        await self.send(load)
        await self.wait(load)
        return (time.process_time() - start) * 1000

    async def send(self, load: Load) -> None:
        """Start a load."""
        self.callers.send(load)

    async def wait(self, load: Load) -> None:
        """Wait until every request of the load was answered."""
        complete = await asyncio.to_thread(self.callers.recv)
        assert complete == load.requests, (complete, load)

    async def add_teams(self, teams: int) -> None:
        """Add teams until the catalogue has ``teams`` of them."""
        while self.teams < teams:
            last = min(teams, self.teams + CATALOGUE_TEAMS)
            data = capacity_catalogue.pack_change(
                self.teams,
                capacity_catalogue.team_edits(
                    self.teams, last, catalogue_store.ABSENT
                ),
            )
            result = await self.log.append(catalogue_records.STREAM, data)
            self.teams = last
            assert isinstance(result, results.Appended), result
            await self._wait_until_in_force(result.offset)

    async def _wait_until_in_force(self, offset: int) -> None:
        for _ in range(READY_TRIES):
            if self.measured_instance._follower.offset >= offset:
                return
            await asyncio.sleep(0.01)
        raise AssertionError('the added teams did not come into force')


@contextlib.asynccontextmanager
async def _bench() -> AsyncIterator[Bench]:
    loguru.logger.remove()
    context = multiprocessing.get_context('spawn')
    site_pipe, site_end = context.Pipe()
    site = context.Process(target=_serve_site, args=(site_end,))
    site.start()
    address = await asyncio.to_thread(site_pipe.recv)
    log = log_client.new_log_client(address, 2_000)
    await log.append(
        catalogue_records.STREAM, _pack_change(0, _catalogue_values())
    )
    measured_instance = instance.Instance(_settings(address), b'0' * 32)
    await measured_instance.start()
    for _ in range(READY_TRIES):
        await asyncio.sleep(0.02)
        if (
            measured_instance._follower.offset >= 0
            and measured_instance._registry.groups
        ):
            break
    host, port = measured_instance._runners[0].addresses[0][:2]
    callers_pipe, callers_end = context.Pipe()
    callers = context.Process(
        target=_serve_callers, args=(callers_end, f'{host}:{port}')
    )
    callers.start()
    try:
        yield Bench(measured_instance, callers_pipe, log)
    finally:
        callers_pipe.send(None)
        site_pipe.send(None)
        await measured_instance.stop()
        await log.close()
        for process in (site, callers):
            process.join(5)
            process.kill()


def _settings(address: str) -> settings.Settings:
    return settings.Settings(
        instance_id='entry-1',
        placement=settings.Placement(zone='a1', region='a'),
        addresses=settings.Addresses(
            callers='127.0.0.1:0', peers='127.0.0.1:0'
        ),
        platform=settings.Platform(
            log=f'http://{address}', instances=f'http://{address}'
        ),
        peer_secret_file='',
        bounds=settings.Bounds(max_in_flight=2_000),
    )


def measure() -> list[fits.Series]:
    """Measure the series of the request path."""
    return uvloop.run(_measure())


async def _measure() -> list[fits.Series]:
    async with _bench() as bench:
        await bench.run(Load('stages-4', 200, CONCURRENCY))
        return [
            await _requests_series(bench),
            await _stages_series(bench),
            await _tokens_series(bench),
            await _memory_series(bench),
            await _idle_series(bench),
            await _teams_series(bench),
        ]


def _series(
    name: str,
    sizes: Sequence[int],
    size_unit: str,
    value_unit: str,
    values: list[float],
) -> fits.Series:
    points = tuple(
        fits.Point(size, value)
        for size, value in zip(sizes, values, strict=True)
    )
    return fits.Series(
        name=name, size_unit=size_unit, value_unit=value_unit, points=points
    )


async def _requests_series(bench: Bench) -> fits.Series:
    times_ms = [
        await bench.run(Load('stages-4', count, CONCURRENCY))
        for count in REQUESTS
    ]
    return _series('path.requests', REQUESTS, 'requests', 'ms', times_ms)


async def _stages_series(bench: Bench) -> fits.Series:
    times_ms = [
        await bench.run(Load(f'stages-{count}', 100, CONCURRENCY)) / 100
        for count in STAGES
    ]
    return _series('path.stages', STAGES, 'stages', 'ms a request', times_ms)


async def _tokens_series(bench: Bench) -> fits.Series:
    times_ms = []
    for count in TOKENS:
        load = Load(f'tokens-{count}', TOKEN_REQUESTS, CONCURRENCY, True)
        times_ms.append(await bench.run(load) / TOKEN_REQUESTS)
    return _series('path.tokens', TOKENS, 'tokens', 'ms a request', times_ms)


async def _memory_series(bench: Bench) -> fits.Series:
    """Measure the growth of resident memory by requests in flight."""
    process = psutil.Process()
    growth_bytes = []
    for count in IN_FLIGHT:
        rss_before = process.memory_info().rss
        load = Load('slow', count, count)
        await bench.send(load)
        await asyncio.sleep(HOLD_S)
        growth_bytes.append(float(process.memory_info().rss - rss_before))
        await bench.wait(load)
    return _series(
        'path.memory', IN_FLIGHT, 'in flight', 'bytes', growth_bytes
    )


async def _idle_series(bench: Bench) -> fits.Series:
    """Measure the resident memory and CPU of an idle instance."""
    start = time.process_time()
    await asyncio.sleep(IDLE_QUARTER_S * 4)
    taken_ms = (time.process_time() - start) * 1000
    rss = float(psutil.Process().memory_info().rss)
    return fits.Series(
        name='path.idle',
        size_unit='CPU ms/s',
        value_unit='bytes resident',
        points=(fits.Point(taken_ms / IDLE_QUARTER_S / 4, rss),),
    )


async def _teams_series(bench: Bench) -> fits.Series:
    """Measure the CPU time of a request by the size of the catalogue."""
    times_ms = []
    for teams in TEAMS:
        await bench.add_teams(teams)
        load = Load('stages-4', 40, CONCURRENCY)
        times_ms.append(await bench.run(load) / 40)
    return _series('path.teams', TEAMS, 'teams', 'ms a request', times_ms)
