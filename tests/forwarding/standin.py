"""A stand-in platform for tests: a store and targets of three kinds.

The targets record what they ran, so that tests can check it.
"""

import asyncio
import base64
import collections
import functools
import itertools
import json
import struct
import time

from aiohttp import web
import attrs

WAIT_STEP_S = 0.02
CRASH_DOWN_S = 1.0  # how long an engine is down after a crash
TARGETS_TOPIC = 'keyed.servers'
COLD_START_S = 3.0  # how long a target is cold
SLOTS = 8


class StandinStore:
    """Keyed topics of one partition each, without any limits."""

    def __init__(self):
        self.topics = collections.defaultdict(list)
        self.published = collections.defaultdict(dict)
        self.is_unavailable = False
        self.unavailable_topics = set()
        self.era = 1
        # Replacements of addresses in instances' entries (for proxies).
        self.aliases = {}

    def put(self, topic, key, value):
        data = b'' if value is None else json.dumps(value).encode()
        self.topics[topic].append((key, data))
        self.published[topic][key] = data

    def rewrite_lost_records(self):
        """Append the published records that a restored copy lacks."""
        for topic, newest in self.published.items():
            kept = dict(self.topics[topic])
            self.topics[topic].extend(
                (key, data)
                for key, data in newest.items()
                if kept.get(key) != data
            )

    def restore_from_copy(self, kept):
        """Keep only the first ``kept[topic]`` records of each topic in it."""
        for topic, count in kept.items():
            del self.topics[topic][count:]
        self.era += 1

    async def handle(self, request):
        response = await self.answer(request)
        response.headers['Store-Era'] = str(self.era)
        return response

    async def answer(self, request):
        topic = request.query['topic']
        if self.is_unavailable or topic in self.unavailable_topics:
            return web.Response(status=503)
        records = self.topics[topic]
        if request.path.endswith('/log-append'):
            content = (await request.read())[4:]
            end = 1 + content[0]
            value = self.with_alias(content[end:])
            records.append((content[1:end].decode(), value))
            return web.json_response({'offset': len(records) - 1})
        if request.path.endswith('/log-newest'):
            return web.json_response(self.newest(records))
        return await self.read(request, records)

    def with_alias(self, value):
        if not value:
            return value
        fields = json.loads(value)
        if 'address' not in fields:
            return value
        alias = self.aliases.get(fields['address'], fields['address'])
        return json.dumps({**fields, 'address': alias}).encode()

    def newest(self, records):
        newest = dict(records)
        return {
            'entries': [
                {'key': key, 'value': base64.b64encode(value).decode()}
                for key, value in newest.items()
                if value
            ],
            'has_more': False,
            'end_offset': len(records),
        }

    async def read(self, request, records):
        start = int(request.query['source'])
        if start > len(records):
            return web.json_response({'first_offset': 0}, status=410)
        wait_s = int(request.query.get('wait_ms', 0)) / 1000
        for _ in range(int(wait_s / WAIT_STEP_S)):
            if len(records) > start:
                break
            await asyncio.sleep(WAIT_STEP_S)
        parts = [struct.pack('>QQ', len(records), 0)]
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            parts.append(struct.pack('>I', len(content)) + content)
        return web.Response(body=b''.join(parts))


@attrs.define
class StandinTarget:
    """One replica of an engine, a stage or a plain service."""

    target_id: str
    service: str
    duration_ms: int = 30
    zone: str = 'a1'
    # Aborts the connection after this many events; 0 is before any answer.
    abort_after_events: int | None = None
    is_leaving: bool = False
    padding_bytes: int = 0  # added to each answer, or each event
    # Prompt parts that crash an engine when it begins its answer.
    crashing_parts: set = attrs.field(factory=set)
    crash: object = None  # called to crash this target
    # The rate that it accepts from all instances together; None is any.
    requests_per_s: float | None = None
    # The reported pace, which also scales ``duration_ms``; None reports none.
    pace: float | None = None
    # Begin and end of each time in which it is cold.
    cold_periods: list = attrs.field(factory=list)
    state: str = 'ready'
    running: int = 0
    arrivals_s: list = attrs.field(factory=list)
    work_s: list = attrs.field(factory=list)  # of requests and stage calls
    requests_run: list = attrs.field(factory=list)
    stage_call_sizes: list = attrs.field(factory=list)
    # Parts of each prompt that arrived, with the time of its arrival.
    prompts: list = attrs.field(factory=list)
    held_results: set = attrs.field(factory=set)
    abandoned: list = attrs.field(factory=list)
    address: str = ''
    _ids: object = attrs.field(factory=lambda: itertools.count(1))

    async def handle(self, request):
        self.arrivals_s.append(time.monotonic())
        self.running += 1
        try:
            return await self.answer(request)
        finally:
            self.running -= 1

    def work_duration_s(self):
        return self.duration_ms / 1000 * (self.pace or 100) / 100

    def turn_cold(self):
        now_s = time.monotonic()
        self.cold_periods.append((now_s, now_s + COLD_START_S))

    def cold_remaining_ms(self):
        ends_s = (end_s for _, end_s in self.cold_periods[-1:])
        return 1000 * max(0.0, next(ends_s, 0.0) - time.monotonic())

    def report_headers(self):
        headers = {}
        if self.requests_per_s is not None:
            headers['Server-Limit'] = str(self.requests_per_s)
        if self.pace is not None:
            load = f'{self.running},0,{SLOTS},{self.pace}'
            headers['X-Instance-Load'] = load
        return headers

    async def answer(self, request):
        # Unlike request.read(), this allows bodies over 1 MiB.
        body = await request.content.read()
        expected = request.headers.get('X-Expected-Instance', self.target_id)
        if expected != self.target_id:
            return web.Response(status=421)
        if request.path.endswith('/stage-run'):
            return await self.run_stage(json.loads(body))
        if request.path.endswith('/stage-free'):
            self.held_results.difference_update(json.loads(body)['handles'])
            return web.json_response({}, headers=self.report_headers())
        return await self.run(request)

    async def run_stage(self, body):
        self.stage_call_sizes.append(len(body['entries']))
        self.work_s.append(time.monotonic())
        await asyncio.sleep(self.work_duration_s())
        names = [f'{self.address}/{next(self._ids)}' for _ in body['entries']]
        self.held_results.update(names)
        return web.json_response(
            {'entries': [{'handle': name} for name in names]},
            headers=self.report_headers(),
        )

    async def work(self, request):
        """Work for ``duration_ms``, or until the connection is closed."""
        for _ in range(int(self.work_duration_s() / WAIT_STEP_S) + 1):
            if request.transport is None or request.transport.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(WAIT_STEP_S)

    async def run(self, request):
        attempt_id = request.headers['X-Attempt-Id']
        self.requests_run.append((attempt_id, dict(request.headers)))
        self.work_s.append(time.monotonic())
        if self.abort_after_events == 0:
            request.transport.abort()
        headers = {
            'X-Attempt-Id': attempt_id,
            'X-Server-Signature': 's',
            **self.report_headers(),
        }
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        if 'X-Input-Items' not in request.headers:
            await asyncio.sleep(self.work_duration_s())
            padding = ' ' * self.padding_bytes
            return web.Response(
                text=f'served {attempt_id}{padding}', headers=headers
            )
        parts = request.headers.get('X-Prompt-Prefix', '').split(',')
        part_ids = [part.partition(':')[0] for part in parts]
        self.prompts.append((time.monotonic(), part_ids))
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        if self.crashing_parts.intersection(part_ids):
            await self.work(request)
            self.crash()
        padding = ' ' * self.padding_bytes
        try:
            for number in range(1, 4):
                await self.work(request)
                await response.write(
                    f'id: {number}\ndata: {attempt_id}{padding}\n\n'.encode()
                )
                if number == self.abort_after_events:
                    # Let the event arrive before the reset.
                    await asyncio.sleep(WAIT_STEP_S)
                    request.transport.abort()
            await response.write_eof()
        except ConnectionError:
            self.abandoned.append(attempt_id)
        return response


class StandinPlatform:
    """Runs the store and the targets, each at its own address."""

    def __init__(self):
        self.store = StandinStore()
        self.store_address = ''
        self.targets = []
        self.cold_per_s = 0.0  # of engines
        self.crashes_s = []
        self._runners = {}
        self._tasks = set()

    async def start(self, targets):
        self.store_address = await self._serve(self.store.handle)
        for target in targets:
            await self.add(target)

    async def add(self, target):
        """Start a target and announce it."""
        target.address = await self._serve(target.handle)
        target.crash = functools.partial(self.crash, target)
        self.targets.append(target)
        self.announce(target)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for runner in self._runners.values():
            await runner.cleanup()

    def crash(self, target):
        """Crash a target; it is back after a time under another id."""
        runner = self._runners.pop(target.address, None)
        if runner is None:
            return  # it is down already
        self.crashes_s.append(time.monotonic())
        for connection in runner.server.connections:
            connection.transport.abort()
        task = asyncio.create_task(self._restart(target, runner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, target, runner):
        await runner.cleanup()
        await asyncio.sleep(CRASH_DOWN_S)
        self.store.put(TARGETS_TOPIC, target.target_id, None)
        target.target_id += '+'
        host, port = target.address.split(':')
        await self._serve(target.handle, host, int(port))
        self.announce(target)

    def announce(self, target, state=None):
        target.state = state or target.state
        self.store.put(
            TARGETS_TOPIC,
            target.target_id,
            {
                'service': target.service,
                'address': target.address,
                'zone': target.zone,
                'version': 'v1',
                'slots': SLOTS,
                'state': target.state,
                'cold_remaining_ms': target.cold_remaining_ms(),
                'born': 1,
            },
        )

    def configure(self, version, keys):
        state = desired_state(version, keys, self.cold_per_s)
        self.store.put('keyed.op', 'config', state)

    async def _serve(self, handler, host='127.0.0.1', port=0):
        runner = web.ServerRunner(
            web.Server(handler, access_log=None), shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        address = f'{host}:{runner.addresses[0][1]}'
        self._runners[address] = runner
        return address


def desired_state(version, keys, cold_per_s=0.0):
    """Return a state with a stream over one stage, and a plain route."""
    common = {
        'hostname': 'h.example',
        'timeout_ms': 5_000,
        'target_latency_ms': 1_000,
        'priority': 1,
        'public': False,
    }
    return {
        'version': version,
        'routes': [
            {
                **common,
                'name': 'stream',
                'path_prefix': '/stream/',
                'route_kind': 'streaming',
                'service': 'engine',
                'max_attempts': 1,
                'stages': [{'service': 'desk', 'after': [], 'size_bytes': 9}],
                'session_affinity': True,
                'stream_resumption': False,
                'gap_aim_ms': 300,
            },
            {
                **common,
                'name': 'plain',
                'path_prefix': '/plain/',
                'route_kind': 'non_idempotent',
                'service': 'plain',
                'max_attempts': 1,
            },
        ],
        'services': [
            {
                'name': 'engine',
                'inference_engine': {},
                'cold_start_s': COLD_START_S if cold_per_s else 0.0,
                'cold_per_s': cold_per_s,
            },
            {'name': 'plain'},
            {
                'name': 'desk',
                'segments': {
                    'slots': 1,
                    'queue': 2,
                    'batch': 8,
                    'call_duration_ms': 30.0,
                    'item_duration_ms': 1.0,
                    'headroom_mb': 1.0,
                    'handle_ttl_s': 4.0,
                },
            },
        ],
        'tenants': [{'name': 'crew', 'api_keys': keys, 'priority': 0}],
    }
