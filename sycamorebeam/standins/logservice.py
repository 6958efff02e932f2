"""A stand-in of the platform's log service that keeps records in memory."""

import asyncio
from collections.abc import Mapping
import re
import time

from aiohttp import web
import attrs
import msgpack

from sycamorebeam.standins import server

RECORD_BYTES = 1_048_576
PAGE_BYTES = 8_388_608
PAGE_RECORDS = 1_000
WAIT_MS = 60_000
STREAM_NAME = re.compile(r'[a-z0-9._-]+')


@attrs.define
class LogFaults:
    """The fault switches of the log; see ``docs/protocols/log.md``."""

    down: bool = False
    read_down: bool = False
    delay_ms: float = 0
    lose_answers: int = 0
    late_appends: int = 0
    late_by_ms: float = 0
    appends_per_s: float = 400


@attrs.define
class Stream:
    """The records of one stream from offset ``oldest`` on."""

    oldest: int = 0
    records: list[tuple[int, int, bytes]] = attrs.field(factory=list)
    grown: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next(self) -> int:
        """The offset that the next append gets."""
        return self.oldest + len(self.records)

    def append(self, record: bytes) -> int:
        """Append ``record`` and return its offset."""
        offset = self.next
        last_ms = self.records[-1][1] if self.records else 0
        now_ms = max(last_ms, int(time.time() * 1000))
        self.records.append((offset, now_ms, record))
        self.wake_readers()
        return offset

    def truncate(self, oldest: int) -> None:
        """Delete the records before offset ``oldest``."""
        oldest = min(max(oldest, self.oldest), self.next)
        del self.records[: oldest - self.oldest]
        self.oldest = oldest
        self.wake_readers()

    def wake_readers(self) -> None:
        """Wake the waiting readers, which check the stream again."""
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()

    def page(self, start: int, limit: int) -> list[tuple[int, int, bytes]]:
        """Return up to ``limit`` records from ``start``, limited in size."""
        page: list[tuple[int, int, bytes]] = []
        size_bytes = 0
        first = start - self.oldest
        for record in self.records[first : first + limit]:
            size_bytes += len(record[2])
            if page and size_bytes > PAGE_BYTES:
                break
            page.append(record)
        return page


@attrs.define
class Counts:
    """The number of calls to the log, and of records and bytes."""

    appends: dict[str, int] = attrs.field(factory=dict)
    append_calls: int = 0
    reads: int = 0
    bytes_read: int = 0


class LogService:
    """The log's HTTP handlers and their state."""

    def __init__(self) -> None:
        self._streams: dict[str, Stream] = {}
        self._faults = LogFaults()
        self._counts = Counts()
        self._allowance = self._faults.appends_per_s
        self._refilled_at_s = time.monotonic()
        self._late_tasks: set[asyncio.Task[None]] = set()

    @property
    def faults(self) -> LogFaults:
        """The switches, to be set in place."""
        return self._faults

    @property
    def counts(self) -> Counts:
        """The counts since the start."""
        return self._counts

    def drain_allowance(self) -> None:
        """Use up the burst of appends that the rate limit still allows."""
        self._allowance = 0.0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the log to ``router``."""
        records = '/v1/streams/{name}/records'
        router.add_post(records, self._append)
        router.add_get(records, self._read)
        router.add_get('/v1/streams/{name}', self._bounds)
        router.add_post('/standin/faults', self._set_faults)
        router.add_post('/standin/truncate', self._truncate)
        router.add_get('/standin/counts', self._get_counts)

    async def _append(self, request: web.Request) -> web.StreamResponse:
        self._counts.append_calls += 1
        name = request.match_info['name']
        record = await request.read()
        await self._delay()
        refusal = self._check_append(name, record)
        if refusal is not None:
            return refusal
        if self._faults.late_appends > 0:
            self._faults.late_appends -= 1
            self._append_late(name, record)
            return _drop_connection(request)
        offset = self._store(name, record)
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            return _drop_connection(request)
        return _msgpack_response({'offset': offset})

    def _check_append(self, name: str, record: bytes) -> web.Response | None:
        if self._faults.down:
            return _refusal(503)
        if not STREAM_NAME.fullmatch(name):
            return _refusal(400)
        if len(record) > RECORD_BYTES:
            return _refusal(413)
        wait_ms = self._consume_allowance()
        if wait_ms:
            return _refusal(429, {'Retry-After-Ms': str(wait_ms)})
        return None

    def _consume_allowance(self) -> int:
        rate = self._faults.appends_per_s
        now_s = time.monotonic()
        refill = (now_s - self._refilled_at_s) * rate
        self._refilled_at_s = now_s
        self._allowance = min(max(rate, 1.0), self._allowance + refill)
        if self._allowance < 1:
            return 1 + int((1 - self._allowance) / max(rate, 0.001) * 1000)
        self._allowance -= 1
        return 0

    def _append_late(self, name: str, record: bytes) -> None:
        task = asyncio.create_task(self._store_later(name, record))
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)

    async def _store_later(self, name: str, record: bytes) -> None:
        await asyncio.sleep(self._faults.late_by_ms / 1000)
        self._store(name, record)

    def _store(self, name: str, record: bytes) -> int:
        self._counts.appends[name] = self._counts.appends.get(name, 0) + 1
        return self._streams.setdefault(name, Stream()).append(record)

    async def _read(self, request: web.Request) -> web.StreamResponse:
        self._counts.reads += 1
        await self._delay()
        try:
            start, limit, wait_ms = _parse_range(request)
        except ValueError:
            return web.Response(status=400)
        if self._is_read_down():
            return web.Response(status=503)
        # A reader may wait on a stream before its first append.
        stream = self._streams.setdefault(request.match_info['name'], Stream())
        if start >= stream.next and wait_ms:
            await self._wait(stream, start, wait_ms)
        if self._is_read_down():
            return web.Response(status=503)
        bounds = {'oldest': stream.oldest, 'next': stream.next}
        if start < stream.oldest:
            return _msgpack_response(bounds, status=410)
        answer = _msgpack_response(
            bounds | {'records': stream.page(start, limit)}
        )
        self._counts.bytes_read += len(answer.body)  # type: ignore[arg-type]
        return answer

    async def _wait(self, stream: Stream, start: int, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while start >= stream.next and not self._is_read_down():
                    await stream.grown.wait()
        except TimeoutError:
            return

    async def _bounds(self, request: web.Request) -> web.StreamResponse:
        await self._delay()
        if self._is_read_down():
            return web.Response(status=503)
        stream = self._streams.get(request.match_info['name'], Stream())
        return _msgpack_response(
            {'oldest': stream.oldest, 'next': stream.next}
        )

    def _is_read_down(self) -> bool:
        return self._faults.down or self._faults.read_down

    async def _delay(self) -> None:
        if self._faults.delay_ms:
            await asyncio.sleep(self._faults.delay_ms / 1000)

    async def _set_faults(self, request: web.Request) -> web.Response:
        answer = await server.apply_switches(request, self._faults)
        for stream in self._streams.values():
            stream.wake_readers()
        return answer

    async def _truncate(self, request: web.Request) -> web.Response:
        fields = await request.json()
        stream = self._streams.setdefault(fields['stream'], Stream())
        stream.truncate(fields['oldest'])
        return web.json_response(
            {'oldest': stream.oldest, 'next': stream.next}
        )

    async def _get_counts(self, request: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(self._counts))


def _parse_range(request: web.Request) -> tuple[int, int, float]:
    start = int(request.query.get('from', 0))
    limit = int(request.query.get('limit', 100))
    wait_ms = float(request.query.get('wait_ms', 0))
    if start < 0 or limit < 1:
        raise ValueError('the range is empty')
    return start, min(limit, PAGE_RECORDS), min(wait_ms, WAIT_MS)


def _drop_connection(request: web.Request) -> web.Response:
    """Close the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def _refusal(
    status: int, headers: dict[str, str] | None = None
) -> web.Response:
    return web.Response(
        status=status, headers={'Log-Refused': '1'} | (headers or {})
    )


def _msgpack_response(
    value: Mapping[str, object], status: int = 200
) -> web.Response:
    return web.Response(
        body=msgpack.packb(value),
        status=status,
        content_type='application/msgpack',
    )
