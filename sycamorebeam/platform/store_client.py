"""A client of the platform's store, a log with keyed topics."""

import base64
from collections.abc import Callable
import json
import struct
from typing import Any

import aiohttp
import attrs

from sycamorebeam.clients import bounded

SILENCE_TIMEOUT_S = 1.5  # well below all time limits that depend on reads
# A large desired state takes seconds on a full link, and a retry would only
# add to the load.
CALL_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 0.6  # a few round trips between regions
MAX_READ_BYTES = 4 * 1024 * 1024  # above the store's largest record
# An answer may exceed the requested size by one record, such as a desired
# state of the largest size.
MAX_ANSWER_BYTES = 2 * MAX_READ_BYTES
OPERATOR_TOPIC = 'keyed.op'
TARGETS_TOPIC = 'keyed.servers'
INSTANCES_TOPIC = 'keyed.instances'
BLOCKS_TOPIC = 'keyed.blocked_parts'
MAX_KEY_BYTES = 255  # its length is one byte
ERA_HEADER = 'Store-Era'
_LENGTH = struct.Struct('>I')
_OFFSETS = struct.Struct('>QQ')


class StoreError(Exception):
    """A call to the store failed; it may or may not have taken effect."""


class HistoryGoneError(StoreError):
    """The requested records were deleted; read the newest of each key."""


@attrs.frozen
class Record:
    """One record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


@attrs.frozen
class Records:
    """Records, the offset after them, and the era of the store."""

    items: tuple[Record, ...]
    next_offset: int
    era: int = 0


@attrs.frozen
class _Page:
    items: tuple[Record, ...]
    end_offset: int
    has_more: bool


@attrs.frozen
class _Answer:
    data: bytes
    era: int


class StoreClient:
    """A client of the store."""

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}/sycamorebeam'
        self._session: aiohttp.ClientSession | None = None
        self._era = 0

    @property
    def era(self) -> int:
        """How often the store was restored from a copy, by its last answer."""
        return self._era

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def reset_connections(self) -> None:
        """Close all connections, since any may be silent by now."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def read_newest(
        self, topic: str, on_arriving: Callable[[], None] | None = None
    ) -> Records:
        """Return the newest record of each key and the offset after them.

        The offset is that of the first page, since pages are not a snapshot.
        ``on_arriving`` is called as parts of the answer arrive.
        """
        items: list[Record] = []
        params: dict[str, str | int] = {'topic': topic, 'part': 0}
        next_offset: int | None = None
        era: int | None = None
        while True:
            answer = await self._get('/log-newest', params, 0, on_arriving)
            if era is not None and answer.era != era:
                raise StoreError(
                    '/log-newest: the store was restored meanwhile'
                )
            era = answer.era
            page = _decode_page(answer.data)
            items.extend(page.items)
            if next_offset is None:
                next_offset = page.end_offset
            if not page.has_more:
                return Records(tuple(items), next_offset, era)
            params['after'] = page.items[-1].key

    async def read(
        self,
        topic: str,
        offset: int,
        wait_ms: int = 0,
        on_arriving: Callable[[], None] | None = None,
    ) -> Records:
        """Return the records from ``offset``, waiting up to ``wait_ms``."""
        params: dict[str, str | int] = {
            'topic': topic,
            'part': 0,
            'source': offset,
            'max_size': MAX_READ_BYTES,
        }
        if wait_ms:
            params['wait_ms'] = wait_ms
        answer = await self._get('/log-read', params, wait_ms, on_arriving)
        items = _decode_records(answer.data)
        return Records(items, offset + len(items), answer.era)

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Append a record, which becomes the newest one of ``key``."""
        encoded_key = key.encode()
        content = bytes([len(encoded_key)]) + encoded_key + value
        await self._call(
            'POST',
            '/log-append',
            {'topic': topic, 'part': 0},
            0,
            _LENGTH.pack(len(content)) + content,
        )

    async def _get(
        self,
        path: str,
        params: dict[str, Any],
        wait_ms: int,
        on_arriving: Callable[[], None] | None,
    ) -> _Answer:
        return await self._call(
            'GET', path, params, wait_ms, on_arriving=on_arriving
        )

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, Any],
        wait_ms: int,
        body: bytes | None = None,
        on_arriving: Callable[[], None] | None = None,
    ) -> _Answer:
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S + wait_ms / 1000,
            sock_read=SILENCE_TIMEOUT_S + wait_ms / 1000,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=bounded.BoundedConnector(),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=params,
                data=body,
                timeout=timeout,
                headers={'Content-Type': 'application/octet-stream'},
            ) as response:
                parts = []
                size = 0
                async for part in response.content.iter_any():
                    parts.append(part)
                    size += len(part)
                    if size > MAX_ANSWER_BYTES:
                        response.close()
                        raise StoreError(f'{path}: the answer is too large')
                    if on_arriving is not None and response.status == 200:
                        on_arriving()
                data = b''.join(parts)
                status = response.status
                era = _parse_era(response.headers.get(ERA_HEADER))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            await self.reset_connections()
            raise StoreError(f'{path} failed: {error!r}') from error
        if status == 410:
            raise HistoryGoneError(
                f'{path}: the requested records were deleted'
            )
        if status != 200:
            raise StoreError(f'{path} returned status {status}')
        if era < self._era:
            raise StoreError(
                f'{path}: answer from before the store was restored'
            )
        self._era = era
        return _Answer(data, era)


def _parse_era(text: str | None) -> int:
    """Return the era in an answer's header; 0 for a store without eras."""
    if text is None:
        return 0
    try:
        return int(text)
    except ValueError as error:
        raise StoreError(f'invalid {ERA_HEADER} header: {text!r}') from error


def _decode_page(data: bytes) -> _Page:
    """Return a page of the newest records. Raises StoreError."""
    try:
        body = json.loads(data)
        page = _Page(
            tuple(
                Record(str(entry['key']), base64.b64decode(entry['value']))
                for entry in body['entries']
            ),
            int(body['end_offset']),
            bool(body.get('has_more')),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise StoreError(f'undecodable records: {error!r}') from error
    if page.has_more and not page.items:
        raise StoreError('a page without records is not the last')
    return page


def _decode_records(data: bytes) -> tuple[Record, ...]:
    """Return the records of an answer, which begins with two offsets."""
    items = []
    position = _OFFSETS.size
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + length]
        if len(content) < length:
            break
        position += length
        items.append(_decode_record(content))
    return tuple(items)


def _decode_record(content: bytes) -> Record:
    if not content:
        return Record('', b'')
    end = 1 + content[0]
    key = content[1:end].decode(errors='replace')
    return Record(key, content[end:])
