"""Stand-ins for the review's scripts: store, replicas, clients, links.

They use the standard library only. Every address is a loopback address.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import gc
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN_COMMAND = ('python3', '-m', 'sycamorebeam.platform')
REPORT_INTERVAL_S = 1.2  # heartbeat_interval_ms of the settings
START_TIMEOUT_S = 30.0
HEAD_END = b'\r\n\r\n'
# Exit codes of a scenario; run.sh turns all others into 2. An error that ends
# the interpreter gives 1, so that code isn't used here.
HELD = 0
BROKEN = 3
CANNOT_RUN = 2


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._began_s = time.monotonic()
        self.broken: list[str] = []

    def now_s(self) -> float:
        """Return the time since the start of the script."""
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        """Write one line with its time, also to standard output."""
        line = f'{self.now_s():8.3f} s  {text}'
        print(line, flush=True)
        self._file.write(line + '\n')
        self._file.flush()

    def break_rule(self, text: str) -> None:
        """Record that the rule was broken."""
        self.broken.append(text)
        self.write(f'BROKEN: {text}')


class Head:
    """The first line and the headers of a message."""

    def __init__(self, raw: bytes) -> None:
        lines = raw.decode('latin-1').split('\r\n')
        self.line = lines[0]
        self.values = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            if name:
                self.values[name.lower()] = value.strip()

    @property
    def status(self) -> int:
        """The status code of an answer."""
        return int(self.line.split(' ')[1])

    def get(self, name: str, default: str = '') -> str:
        """Return the value of a header."""
        return self.values.get(name.lower(), default)


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    return Head((await reader.readuntil(HEAD_END))[: -len(HEAD_END)])


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body of a message with a length or in chunks."""
    if head.get('transfer-encoding') == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(head.get('content-length', '0')))


def encode_answer(
    status: str, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    """Return an answer with a length."""
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    return '\r\n'.join(lines).encode() + HEAD_END + body


Handler = Callable[
    [Head, bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Server:
    """Serves one request after the other on each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, backlog=512
        )
        bound = self._server.sockets[0].getsockname()
        self.address = f'127.0.0.1:{bound[1]}'

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        assert self._server is not None
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                await self._handler(head, body, reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: keyed topics of one partition each."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.server = Server(self._handle)
        self._changed = asyncio.Event()
        self._is_away = False
        self._era = 1

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Append a record; without a value it drops the key."""
        if self._is_away:
            return
        data = b'' if value is None else json.dumps(value).encode()
        self._append(topic, key, data)

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        return {
            key: value
            for key, value in dict(self.topics.get(topic, [])).items()
            if value
        }

    def go_away(self) -> None:
        """Answer no call any more."""
        self._is_away = True
        self.server.reset()

    def come_back(self, copy: dict[str, list[tuple[str, bytes]]]) -> None:
        """Come back from a copy, without what was written since."""
        self.topics = {topic: list(kept) for topic, kept in copy.items()}
        self._era += 1
        self._is_away = False

    def copy(self) -> dict[str, list[tuple[str, bytes]]]:
        """Return a copy of all records."""
        return {topic: list(kept) for topic, kept in self.topics.items()}

    def _append(self, topic: str, key: str, value: bytes) -> None:
        self.topics.setdefault(topic, []).append((key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(
        self,
        head: Head,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        path, _, query_text = head.line.split(' ')[1].partition('?')
        query = dict(
            part.partition('=')[::2] for part in query_text.split('&')
        )
        topic = query['topic']
        status, answer = '200 OK', b'{}'
        await asyncio.sleep(0.004)
        if self._is_away:
            status = '503 Service Unavailable'
        elif path.endswith('/log-append'):
            end = 5 + body[4]
            self._append(topic, body[5:end].decode(), body[end:])
            count = len(self.topics[topic])
            answer = json.dumps(
                {'offset': count - 1, 'end_offset': count}
            ).encode()
        elif path.endswith('/log-newest'):
            entries = [
                {'key': key, 'value': base64.b64encode(value).decode()}
                for key, value in self.newest(topic).items()
            ]
            answer = json.dumps(
                {
                    'entries': entries,
                    'has_more': False,
                    'end_offset': len(self.topics.get(topic, [])),
                }
            ).encode()
        elif int(query['source']) > len(self.topics.get(topic, [])):
            status, answer = '410 Gone', b'{"first_offset":0}'
        else:
            answer = await self._read(topic, query)
        headers = {'Store-Era': str(self._era)}
        writer.write(encode_answer(status, answer, headers))
        await writer.drain()

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        start = int(query['source'])
        until_s = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while len(self.topics.get(topic, [])) <= start:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        records = self.topics.get(topic, [])
        parts = [struct.pack('>QQ', len(records), 0)]
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            parts.append(struct.pack('>I', len(content)) + content)
        return b''.join(parts)


Run = Callable[[Head, bytes, asyncio.StreamWriter], Awaitable[None]]


class Replica:
    """A sound replica that registers itself and runs requests."""

    def __init__(
        self, store: Store, target_id: str, service: str, run: Run
    ) -> None:
        self._store = store
        self._run = run
        self._tasks: list[asyncio.Task[None]] = []
        self.target_id = target_id
        self.service = service
        self.server = Server(self._handle)
        self.ran: list[str] = []

    async def start(self) -> None:
        """Listen, and register in the store at each report interval."""
        await self.server.start()
        self._tasks.append(asyncio.create_task(self._report()))

    def stop(self) -> None:
        """Stop as a crashed replica does: without a word."""
        for task in self._tasks:
            task.cancel()
        self.server.stop()

    def answer_headers(self, attempt_id: str) -> dict[str, str]:
        """Return the headers of an answer to a request that has run."""
        return {
            'X-Attempt-Id': attempt_id,
            'X-Server-Signature': f's.{self.target_id}.{attempt_id}',
        }

    async def _report(self) -> None:
        born = int(time.time() * 1000)
        sequence = 0
        while True:
            sequence += 1
            self._store.put(
                'keyed.servers',
                self.target_id,
                target_entry(
                    self.service, self.server.address, sequence, born
                ),
            )
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _handle(
        self,
        head: Head,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt_id = head.get('x-attempt-id')
        if head.get('x-expected-instance', self.target_id) != self.target_id:
            writer.write(encode_answer('421 Misdirected Request', b''))
        elif not attempt_id:
            writer.write(
                encode_answer('400 Bad Request', b'', {'X-Not-Executed': '1'})
            )
        else:
            self.ran.append(attempt_id)
            await self._run(head, body, writer)
        await writer.drain()


class Instance:
    """One process of the system, started by the deploy file's command."""

    def __init__(
        self, folder: pathlib.Path, name: str, store_address: str
    ) -> None:
        self._folder = folder
        self.name = name
        callers, readiness, peers, metrics = free_addresses(4)
        self.callers = callers
        self.readiness = readiness
        self._log = (folder / f'{name}.log').open('ab')
        self._settings = {
            'instance_id': name,
            'availability_zone': 'zone-a',
            'region': 'region-a',
            'cpu_cores': 0.537,
            'link_mbps': 1000.0,
            'zones': [{'name': 'zone-a', 'region': 'region-a'}],
            'addresses': {
                'callers': callers,
                'readiness': readiness,
                'peers': peers,
                'metrics': metrics,
            },
            'store': {'address': store_address},
            'bounds': {
                'grace_period_s': 8,
                'drain_timeout_ms': 2500,
                'strict_revocation': True,
                'revocation_ms': 5000,
                'retry_budget_ratio': 0.2,
                'retry_budget_extra': 52,
                'budget_window_s': 10,
            },
            'caller_limits': {'header_bytes': 16384, 'idle_timeout_ms': 15000},
        }
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self) -> pathlib.Path:
        """Write the settings file and return its path."""
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(self._settings))
        return path

    def start(self) -> None:
        """Start the process with its settings file."""
        path = self.write_settings()
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['SYCAMOREBEAM_NODE_FILE'] = str(path)
        self.process = start_process(
            RUN_COMMAND,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the instance says that it is ready."""
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, TimeoutError
        ):
            async with asyncio.timeout(1):
                client = await Client.connect(self.readiness)
                head, _ = await client.ask('GET /sycamorebeam/readyz', {})
                client.close()
                return head.status == 200
        return False

    async def wait_ready(self) -> None:
        """Wait until the instance is ready."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise CannotRunError(f'{self.name} does not become ready')
            await asyncio.sleep(0.1)

    def log(self) -> str:
        """Return what the process has logged."""
        return (self._folder / f'{self.name}.log').read_text()


class CannotRunError(Exception):
    """The case could not run."""


class Client:
    """A client with one kept channel."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str) -> 'Client':
        """Open a channel."""
        host, _, port = address.partition(':')
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(
        self, line: str, headers: dict[str, str], body: bytes = b''
    ) -> None:
        """Send a request with a length."""
        lines = [f'{line} HTTP/1.1', f'Content-Length: {len(body)}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        self.writer.write('\r\n'.join(lines).encode() + HEAD_END + body)

    async def receive(self) -> tuple[Head, bytes]:
        """Read one answer."""
        head = await read_head(self.reader)
        return head, await read_body(self.reader, head)

    async def ask(
        self, line: str, headers: dict[str, str], body: bytes = b''
    ) -> tuple[Head, bytes]:
        """Send a request and read its answer."""
        self.send(line, {'Host': 'x', **headers}, body)
        return await self.receive()

    def close(self) -> None:
        """Close the channel."""
        self.writer.close()


def target_entry(
    service: str, address: str, sequence: int, born: int
) -> dict[str, Any]:
    """Return a replica's entry in the store."""
    return {
        'service': service,
        'address': address,
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': sequence,
        'born': born,
    }


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that are free now."""
    opened = [socket.socket() for _ in range(count)]
    for item in opened:
        item.bind(('127.0.0.1', 0))
    addresses = [f'127.0.0.1:{item.getsockname()[1]}' for item in opened]
    for item in opened:
        item.close()
    return addresses


def has_trouble() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


Scenario = Callable[[Record, pathlib.Path], Awaitable[None]]


def main(scenario: Scenario, script: str, limit_s: float) -> None:
    """Run a scenario, end all processes, and exit with its code."""
    record = Record(pathlib.Path(script).resolve().parent / 'record.txt')
    record.write(f'disruption: {"yes" if has_trouble() else "no"}')
    code = CANNOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        try:
            asyncio.run(_run(scenario, record, pathlib.Path(folder), limit_s))
            code = BROKEN if record.broken else HELD
        except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
            record.write(f'could not run: {error!r}')
        finally:
            end_processes()
    record.write({HELD: 'held', BROKEN: 'broken'}.get(code, 'could not run'))
    sys.exit(code)


_processes: list[subprocess.Popen[bytes]] = []


def start_process(
    command: Sequence[str], **options: Any
) -> subprocess.Popen[bytes]:
    """Start a process, which the script ends at its own end at the latest."""
    process = subprocess.Popen(command, **options)
    _processes.append(process)
    return process


def end_processes() -> None:
    """Kill all processes that the script started and that still run."""
    for process in _processes:
        if process.poll() is None:
            process.kill()
        process.wait()


async def _run(
    scenario: Scenario, record: Record, folder: pathlib.Path, limit_s: float
) -> None:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(limit_s):
        await scenario(record, folder)
    # Tasks of connections end once these have been reset.
    left = asyncio.all_tasks() - {task}
    for other in left:
        other.cancel()
    await asyncio.gather(*left, return_exceptions=True)
    # Writers close their connections when they are collected.
    gc.collect()
    await asyncio.sleep(0.1)


def route(name: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the desired state."""
    return {
        'name': name,
        'hostname': 'front.example',
        'path_prefix': f'/{name}/',
        'route_kind': 'idempotent',
        'service': 'station-control',
        'timeout_ms': 2000,
        'target_latency_ms': 400,
        'priority': 2,
        'max_attempts': 1,
        'public': False,
        **fields,
    }


def desired_state(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a desired state with one tenant."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'works', 'api_keys': ['key-1'], 'priority': 1}],
    }
