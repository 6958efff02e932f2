"""Starts instances as processes, and sends requests to them."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import socket
import subprocess
import sys

import attrs

from tests.forwarding import standin
from tests.forwarding import test_forwarding

START_TIMEOUT_S = 20
POLL_S = 0.05
PEERS_PORT = 2  # index of the port for other instances
TARGET_BUFFER_BYTES = 16_384
ZONES = ('a1', 'a2')  # the instances are in the first


# Below the kernel's ephemeral ports, so that no connection or other server
# takes the ports of a process that is down.
FIRST_PORT = 22_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 10
# Datagram sockets that reserve blocks of ports against other test runs.
_guards = []


def free_ports(count):
    """Return ports that stay reserved until this test run ends."""
    blocks = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK))
    random.SystemRandom().shuffle(blocks)
    for first in blocks:
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        ports = range(first, first + count)
        try:
            guard.bind(('127.0.0.1', first))
            for port in ports:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(('127.0.0.1', port))
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        return list(ports)
    raise OSError('no block of ports is free')


async def wait_until(condition, timeout_s=3.0):
    """Wait until ``condition`` holds."""
    for _ in range(int(timeout_s / POLL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError('the condition did not hold in time')


@attrs.define
class Process:
    name: str
    callers_address: str
    readiness_address: str
    metrics_address: str
    log_path: pathlib.Path
    store_address: str
    ports: list
    log_start: int
    popen: subprocess.Popen

    def log(self):
        """Return the log of this process."""
        return self.log_path.read_text()[self.log_start :]

    def has_started(self):
        return 'event=started' in self.log()

    async def is_ready(self):
        with contextlib.suppress(OSError):
            return (await get(self.readiness_address, '/')).status == 200
        return False

    async def wait_ready(self):
        for _ in range(int(START_TIMEOUT_S / POLL_S)):
            if await self.is_ready():
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f'{self.name} is not ready: {self.log()}')

    async def wait_exit(self, timeout_s=10):
        await wait_until(lambda: self.popen.poll() is not None, timeout_s)
        return self.popen.returncode


async def get(address, path):
    raw = f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    return await test_forwarding.call(address, raw=raw.encode())


def start(
    folder,
    name,
    store_address,
    ports=None,
    grace_period_s=8,
    memory_mb=300,
    **bounds,
):
    ports = ports or free_ports(4)
    addresses = [f'127.0.0.1:{port}' for port in ports]
    settings = {
        'instance_id': name,
        'availability_zone': 'a1',
        'region': 'north',
        'cpu_cores': 0.5,
        'link_mbps': 1_000.0,
        'zones': [{'name': zone, 'region': 'north'} for zone in ZONES],
        'addresses': dict(
            zip(
                ('callers', 'readiness', 'peers', 'metrics'),
                addresses,
                strict=True,
            )
        ),
        'store': {'address': store_address},
        'bounds': {
            'grace_period_s': grace_period_s,
            'drain_timeout_ms': 2_500,
            'strict_revocation': True,
            'revocation_ms': 5_000,
            'retry_budget_ratio': 0.2,
            'retry_budget_extra': 50,
            'budget_window_s': 10,
            **bounds,
        },
        'caller_limits': {'header_bytes': 16_384, 'idle_timeout_ms': 15_000},
        'memory_mb': memory_mb,
    }
    path = pathlib.Path(folder, f'{name}.json')
    path.write_text(json.dumps(settings))
    log_path = pathlib.Path(folder, f'{name}.log')
    log_start = len(log_path.read_text()) if log_path.exists() else 0
    with log_path.open('a') as log:
        popen = subprocess.Popen(
            [sys.executable, '-m', 'sycamorebeam.platform'],
            env={**os.environ, 'SYCAMOREBEAM_NODE_FILE': str(path)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    return Process(
        name,
        addresses[0],
        addresses[1],
        addresses[3],
        log_path,
        store_address,
        ports,
        log_start,
        popen,
    )


@contextlib.asynccontextmanager
async def instance_before(folder, serve):
    """Run an instance before one server, which ``serve`` answers for.

    It is the only target of the plain service and the only engine.
    """
    platform = standin.StandinPlatform()
    await platform.start([standin.StandinTarget('d0', 'desk')])
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, TARGET_BUFFER_BYTES
    )
    server = await asyncio.start_server(serve, sock=listener, backlog=512)
    host, port = listener.getsockname()
    for service in ('plain', 'engine'):
        target = standin.StandinTarget(f'{service}0', service)
        target.address = f'{host}:{port}'
        platform.announce(target)
    platform.configure(1, ['k1'])
    process = start(folder, 'i0', platform.store_address)
    try:
        await process.wait_ready()
        yield process
    finally:
        process.popen.kill()
        process.popen.wait()
        server.close()
        await platform.stop()


async def send(process, name, path='/stream/x', key='k1', prompt=None):
    prompt_line = '' if prompt is None else f'X-Prompt-Prefix: {prompt}\r\n'
    return await test_forwarding.call(
        process.callers_address,
        raw=(
            f'POST {path} HTTP/1.1\r\nHost: h.example\r\n'
            f'X-Attempt-Id: {name}\r\nX-Deadline-Ms: 5000\r\n'
            f'X-Credential: {key}\r\n{prompt_line}'
            'X-Chunks: 2\r\nX-Chunk-Key: k\r\n'
            'Content-Length: 0\r\nConnection: close\r\n\r\n'
        ).encode(),
    )
