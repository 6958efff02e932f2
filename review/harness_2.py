"""Stand-ins and processes for the scripts of the second review.

The store, the servers and the clients follow the users' pages. Everything
listens on loopback addresses, and every process that is started is ended.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import json
import os
import pathlib
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from typing import Any

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
HOST = 'desk.example'
KEY = 'k1'
STAGE_RUN = '/sycamorebeam/stage-run'
STAGE_FREE = '/sycamorebeam/stage-free'
HEALTH_PATH = '/healthz'
OPERATOR_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'
START_TIMEOUT_S = 30
RUN_S = 110
DESCRIPTORS = 4_100  # of each process, as on the users' machines
STEP_S = 0.02

Headers = Iterable[tuple[str, str]]
Case = Callable[['Site', bool], Awaitable[list[str]]]


class CouldNotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self) -> None:
        self._lines = []
        self._began_s = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line."""
        passed_s = time.monotonic() - self._began_s
        self._lines.append(f'{passed_s:8.3f} {text}')

    def write(self, folder: str | pathlib.Path) -> None:
        """Write the record into the folder of the case."""
        path = pathlib.Path(folder, 'record.txt')
        path.write_text('\n'.join(self._lines) + '\n')


class Head:
    """The first line and the headers of a message."""

    def __init__(self, data: bytes) -> None:
        lines = data.decode('latin-1').split('\r\n')
        self.first = lines[0].split(' ', 2)
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            if name:
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name: str, default: str = '') -> str:
        """Return the value of a header."""
        return self.headers.get(name.lower(), default)


async def read_head(reader: asyncio.StreamReader) -> 'Head | None':
    """Return the next head, None at the end of the connection."""
    try:
        return Head((await reader.readuntil(b'\r\n\r\n'))[:-4])
    except asyncio.IncompleteReadError:
        return None


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body, empty at its end."""
    size = int((await reader.readuntil(b'\r\n')).strip() or b'0', 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader: asyncio.StreamReader, head: 'Head') -> bytes:
    """Return the body that belongs to a head."""
    if head.get('Transfer-Encoding').lower() == 'chunked':
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b''.join(parts)
    return await reader.readexactly(int(head.get('Content-Length', '0')))


def encode(first: str, headers: Headers, body: bytes = b'') -> bytes:
    """Return a message with a length."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class Server:
    """An HTTP server of a stand-in, one request at a time per connection."""

    def __init__(self) -> None:
        self.address = ''
        self._server = None
        self._tasks = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def handle(
        self,
        head: 'Head',
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                await self.handle(head, body, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller has gone, or the stand-in stops
        finally:
            self._tasks.discard(task)
            writer.close()


class Store(Server):
    """The platform's store: keyed topics of one partition each."""

    def __init__(self) -> None:
        super().__init__()
        self._topics = {}

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a record as the operator or a server does."""
        data = b'' if value is None else json.dumps(value).encode()
        self._topics.setdefault(topic, []).append((key, data))

    async def handle(
        self,
        head: 'Head',
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a call."""
        path, _, query = head.first[1].partition('?')
        fields = dict(pair.split('=', 1) for pair in query.split('&') if pair)
        records = self._topics.setdefault(fields.get('topic', ''), [])
        status, answer = '200 OK', b''
        if path.endswith('/log-append'):
            offset = len(records)
            self._append(records, body)
            answer = json.dumps(
                {'offset': offset, 'end_offset': len(records)}
            ).encode()
        elif path.endswith('/log-newest'):
            answer = json.dumps(
                {
                    'entries': [
                        {
                            'key': key,
                            'value': base64.b64encode(value).decode(),
                            'offset': offset,
                        }
                        for offset, (key, value) in newest(records)
                        if value
                    ],
                    'has_more': False,
                    'end_offset': len(records),
                }
            ).encode()
        elif path.endswith('/log-read'):
            answer = await self._read(records, fields)
        else:
            status = '404 Not Found'
        own = [('Store-Era', '1')]
        writer.write(encode(f'HTTP/1.1 {status}', own, answer))
        await writer.drain()

    def _append(self, records: list[tuple[str, bytes]], body: bytes) -> None:
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from('>I', body, position)
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            end = 1 + content[0]
            records.append((content[1:end].decode(), content[end:]))

    async def _read(
        self, records: list[tuple[str, bytes]], fields: dict[str, str]
    ) -> bytes:
        start = int(fields['source'])
        wait_s = int(fields.get('wait_ms', 0)) / 1000
        for _ in range(int(wait_s / STEP_S)):
            if len(records) > start:
                break
            await asyncio.sleep(STEP_S)
        parts = [struct.pack('>QQ', len(records), 0)]
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            parts.append(struct.pack('>I', len(content)) + content)
        return b''.join(parts)


def newest(
    records: list[tuple[str, bytes]],
) -> list[tuple[int, tuple[str, bytes]]]:
    """Return the newest record of each key, with its offset."""
    last = {key: offset for offset, (key, _) in enumerate(records)}
    return [(offset, records[offset]) for offset in sorted(last.values())]


class Replica(Server):
    """A sound replica of a plain service, an engine or a stage."""

    def __init__(self, record: 'Record', name: str, service: str) -> None:
        super().__init__()
        self._record = record
        self.name = name
        self.service = service
        self.work_s = 0.05
        self.answer_bytes = 800
        self.events = 0  # of a stream; 0 sends an answer with a length
        self.ran = []
        self.ended = []
        self._results = 0

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the entry in the store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'a1',
            'version': 'v1',
            'slots': 128,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': 1,
        }

    async def handle(
        self,
        head: 'Head',
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request."""
        if head.get('X-Expected-Instance', self.name) != self.name:
            first = 'HTTP/1.1 421 Misdirected Request'
            writer.write(encode(first, [('X-Instance-Id', self.name)]))
            return
        path = head.first[1]
        if path == STAGE_RUN:
            await self._run_stage(json.loads(body), writer)
            return
        if path == STAGE_FREE:
            writer.write(encode('HTTP/1.1 200 OK', [], b'{}'))
            return
        if path == HEALTH_PATH:
            own = [('X-Instance-Id', self.name)]
            writer.write(encode('HTTP/1.1 200 OK', own))
            return
        if path.startswith('/sycamorebeam/'):
            writer.write(encode('HTTP/1.1 404 Not Found', []))
            return
        if self.service == 'model' and not head.get('X-Input-Items'):
            own = [('X-Not-Executed', '1')]
            writer.write(encode('HTTP/1.1 400 Bad Request', own))
            return
        await self._run(head, body, writer)

    def event(self, number: int, attempt_id: str) -> bytes:
        """Return one event of a stream."""
        return f'id: {number}\ndata: {attempt_id}\n\n'.encode()

    async def _run_stage(
        self, call: dict[str, Any], writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.15)
        handles = []
        for _ in call['entries']:
            self._results += 1
            handles.append({'handle': f'{self.address}/{self._results:x}'})
        data = json.dumps({'entries': handles}).encode()
        kind = [('Content-Type', 'application/json')]
        writer.write(encode('HTTP/1.1 200 OK', kind, data))

    async def _run(
        self, head: 'Head', body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = head.get('X-Attempt-Id')
        self.ran.append(attempt_id)
        self._record.add(
            f'{self.name} runs {attempt_id}: {" ".join(head.first[:2])}'
        )
        own = [
            ('X-Attempt-Id', attempt_id),
            ('X-Server-Signature', f'{self.name}.{attempt_id}'),
        ]
        if self.service == 'model':
            own.append(('X-Weight-Versions', '1'))
        if self.events:
            await self._stream(own, attempt_id, writer)
        else:
            await asyncio.sleep(self.work_s)
            data = attempt_id.encode().ljust(self.answer_bytes, b'.')
            writer.write(encode('HTTP/1.1 200 OK', own, data))
            await writer.drain()
        self.ended.append(attempt_id)
        self._record.add(f'{self.name} has answered {attempt_id}')

    async def _stream(
        self,
        own: list[tuple[str, str]],
        attempt_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        headers = [
            *own,
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{name}: {value}' for name, value in headers]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = self.event(number, attempt_id)
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def desired_state(version: int = 1, **limits: int) -> dict[str, Any]:
    """Return a desired state with a plain route and one with stages."""
    common = {
        'hostname': HOST,
        'timeout_ms': 15_000,
        'target_latency_ms': 1_000,
        'priority': 1,
        'public': False,
        'max_attempts': 2,
        'session_affinity': False,
        'stream_resumption': False,
    }
    return {
        'version': version,
        'routes': [
            {
                **common,
                'name': 'order',
                'path_prefix': '/order/',
                'route_kind': 'non_idempotent',
                'timeout_ms': 5_189,
                'service': 'ledger',
            },
            {
                **common,
                'name': 'chat',
                'path_prefix': '/chat/',
                'route_kind': 'streaming',
                'service': 'writer',
                'gap_aim_ms': 500,
            },
            {
                **common,
                'name': 'memo',
                'path_prefix': '/memo/',
                'route_kind': 'streaming',
                'service': 'model',
                'gap_aim_ms': 500,
                'session_affinity': True,
                'stages': [
                    {'service': 'desk', 'after': [], 'size_bytes': 8000}
                ],
            },
        ],
        'services': [
            _service('ledger'),
            _service('writer'),
            {
                **_service('model'),
                'inference_engine': {'slots': 128, 'kv_cache_tokens': 270_000},
            },
            {
                **_service('desk'),
                'segments': {
                    'slots': 1,
                    'queue': 2,
                    'batch': 10,
                    'call_duration_ms': 150.0,
                    'item_duration_ms': 13.2,
                    'headroom_mb': 1.7,
                    'handle_ttl_s': 4.0,
                    'link_mbps': 10_000,
                },
            },
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3_000,
            'idle_timeout_ms': 15_000,
            **limits,
        },
        'tenants': [{'name': 'bozi', 'api_keys': [KEY], 'priority': 1}],
    }


def _service(name: str) -> dict[str, Any]:
    return {
        'name': name,
        'health_check_path': HEALTH_PATH,
        'connection_limit': 630,
        'protocol': 'h1',
        'tls': False,
    }


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(('127.0.0.1', 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


class Instance:
    """One process of the system, with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        folder: str | pathlib.Path,
        store: 'Store',
        memory_mb: int = 300,
        drain_timeout_ms: int = 2_500,
    ) -> None:
        ports = free_ports(4)
        parts = ('callers', 'readiness', 'peers', 'metrics')
        self.addresses = {
            part: f'127.0.0.1:{port}'
            for part, port in zip(parts, ports, strict=True)
        }
        self.name = name
        self._log_path = pathlib.Path(folder, f'{name}.log')
        self._settings_path = pathlib.Path(folder, f'{name}.json')
        self._settings_path.write_text(
            json.dumps(self._settings(store, memory_mb, drain_timeout_ms))
        )
        self.process = None

    def _settings(
        self, store: 'Store', memory_mb: int, drain_timeout_ms: int
    ) -> dict[str, Any]:
        return {
            'instance_id': self.name,
            'availability_zone': 'a1',
            'region': 'a',
            'cpu_cores': 0.537,
            'link_mbps': 1000.0,
            'memory_mb': memory_mb,
            'zones': [{'name': 'a1', 'region': 'a'}],
            'addresses': self.addresses,
            'store': {'address': store.address},
            'bounds': {
                'grace_period_s': 8,
                'drain_timeout_ms': drain_timeout_ms,
                'strict_revocation': True,
                'revocation_ms': 5000,
                'retry_budget_ratio': 0.2,
                'retry_budget_extra': 52,
                'budget_window_s': 10,
                'reuse_window_s': 6.8,
            },
            'caller_limits': {
                'header_bytes': 16384,
                'idle_timeout_ms': 15000,
            },
        }

    def start(self) -> None:
        """Start the process."""
        dependencies = REPOSITORY / 'target' / 'deps'
        with self._log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'sycamorebeam.platform'],
                cwd=REPOSITORY,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(dependencies),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'SYCAMOREBEAM_NODE_FILE': str(self._settings_path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def log(self) -> str:
        """Return what the process has logged."""
        return self._log_path.read_text(errors='replace')

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def memory_mb(self, field: str = 'VmHWM') -> float:
        """Return the memory of the process in MB; 0 once it has ended."""
        with contextlib.suppress(OSError):
            path = pathlib.Path(f'/proc/{self.process.pid}/status')
            for line in path.read_text().splitlines():
                if line.startswith(f'{field}:'):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def is_ready(self) -> bool:
        """Whether the process says that it is ready."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(2):
                reader, writer = await connect(self.addresses['readiness'])
                writer.write(
                    b'GET /sycamorebeam/readyz HTTP/1.1\r\nHost: x\r\n\r\n'
                )
                head = await read_head(reader)
                writer.close()
                return head is not None and head.first[1] == '200'
        return False

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            if not self.is_running:
                raise CouldNotRunError(f'{self.name} ended: {self.log()}')
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f'{self.name} is not ready: {self.log()}')


async def connect(
    address: str, receive_bytes: int | None = None
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Return a new connection, with a small buffer if asked for."""
    host, _, port = address.rpartition(':')
    opened = socket.socket()
    if receive_bytes is not None:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    opened.setblocking(False)
    try:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(opened, (host, int(port)))
    except OSError:
        opened.close()
        raise
    limit = receive_bytes or 2**16
    return await asyncio.open_connection(sock=opened, limit=limit)


def request(
    attempt_id: str,
    path: str = '/order/1',
    deadline_ms: int = 10_000,
    extra: Headers = (),
) -> bytes:
    """Return the bytes of a request without a body."""
    headers = [
        ('Host', HOST),
        ('X-Attempt-Id', attempt_id),
        ('X-Deadline-Ms', str(deadline_ms)),
        ('X-Credential', KEY),
        *extra,
    ]
    return encode(f'POST {path} HTTP/1.1', headers)


class Site:
    """A store, replicas and instances, all ended together."""

    def __init__(self, record: 'Record') -> None:
        self.record = record
        self.store = Store()
        self.replicas = []
        self.instances = []
        self.drain_timeout_ms = 2_500  # of Kovacik; Atlas has 4,000
        self.folder = tempfile.TemporaryDirectory(prefix='review-')

    async def start(
        self,
        replicas: list['Replica'],
        instances: list[str],
        memory_mb: int = 300,
        **limits: int,
    ) -> None:
        """Start everything and wait until the instances are ready."""
        await self.store.start()
        for replica in replicas:
            await replica.start()
            self.replicas.append(replica)
            self.store.put(SERVERS_TOPIC, replica.name, replica.entry())
        self.store.put(OPERATOR_TOPIC, 'config', desired_state(**limits))
        for name in instances:
            instance = Instance(
                name,
                self.folder.name,
                self.store,
                memory_mb,
                self.drain_timeout_ms,
            )
            self.instances.append(instance)
            instance.start()
        for instance in self.instances:
            await instance.wait_ready()

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for instance in self.instances:
            instance.end()
        for server in (self.store, *self.replicas):
            await server.stop()
        self.folder.cleanup()


def run(folder: str | pathlib.Path, case: Case) -> None:
    """Run a case; exit with 1 for a broken rule, 0 if it held, else 2."""
    record = Record()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = DESCRIPTORS if hard == resource.RLIM_INFINITY else hard
    resource.setrlimit(
        resource.RLIMIT_NOFILE, (min(DESCRIPTORS, allowed), hard)
    )
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.add(f'trouble={has_trouble}')

    async def main() -> list[str]:
        site = Site(record)
        task = asyncio.current_task()
        assert task is not None
        # Ends the processes also if the script itself is ended.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            async with asyncio.timeout(RUN_S):
                return await case(site, has_trouble)
        finally:
            await site.stop()

    code = 2
    try:
        faults = asyncio.run(main())
        for fault in faults:
            record.add(f'BROKEN {fault}')
        code = 1 if faults else 0
    except (Exception, asyncio.CancelledError) as error:
        # Exit code 1 is for a broken rule only.
        record.add(f'could not run: {error!r}')
    record.add(f'exit={code}')
    record.write(folder)
    sys.exit(code)
