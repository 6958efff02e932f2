"""Client of the platform's log service, see ``docs/protocols/log.md``.

An append is exactly one HTTP request: aiohttp does not retry POST on a
broken connection, and redirects, which would repeat it, are not followed.
An append that is neither accepted nor refused for certain is unknown.
"""

import http

import aiohttp
import attrs
import msgpack

from sycamorebeam.clients import bounded
from sycamorebeam.clients import results

MAX_RECORD_BYTES = 1_048_576
MAX_APPEND_CONNECTIONS = 16
MAX_READ_CONNECTIONS = 256
KEEP_ALIVE_S = 15.0

_REFUSALS = (
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
_MALFORMED = (
    KeyError,
    TypeError,
    ValueError,
    msgpack.UnpackException,
)
_FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


@attrs.define
class LogClient:
    """Implements ``ports.Log`` over HTTP."""

    _appends: aiohttp.ClientSession
    _reads: aiohttp.ClientSession
    _base_url: str
    _timeout_ms: int

    async def append(self, stream: str, data: bytes) -> results.AppendResult:
        """Append one record with a single request, without retries."""
        if len(data) > MAX_RECORD_BYTES:
            return results.AppendRefused(
                f'the record has {len(data)} bytes, the log takes '
                f'{MAX_RECORD_BYTES}'
            )
        try:
            async with self._appends.post(
                f'{self._base_url}/v1/streams/{stream}/records',
                data=data,
                headers={'Content-Type': 'application/msgpack'},
                allow_redirects=False,
                timeout=self._timeout(),
            ) as response:
                return _append_result(response, await response.read())
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return results.AppendRefused(
                f'no connection: {_describe_error(error)}'
            )
        except _FAILURES as error:
            return results.AppendUnknown(
                f'no answer: {_describe_error(error)}'
            )

    async def read(
        self, stream: str, start: int, limit: int = 100, wait_ms: int = 0
    ) -> results.ReadResult:
        """Read records from offset ``start`` on.

        Waits up to ``wait_ms`` if there is no record at ``start`` yet.
        """
        query = {'from': start, 'limit': limit, 'wait_ms': wait_ms}
        try:
            async with self._reads.get(
                f'{self._base_url}/v1/streams/{stream}/records',
                params=query,
                timeout=self._timeout(wait_ms),
            ) as response:
                return _read_result(response.status, await response.read())
        except _FAILURES as error:
            return results.LogUnavailable(
                f'no answer: {_describe_error(error)}'
            )

    async def bounds(
        self, stream: str
    ) -> results.LogPage | results.LogUnavailable:
        """Return the bounds of a stream, without records."""
        try:
            async with self._reads.get(
                f'{self._base_url}/v1/streams/{stream}',
                timeout=self._timeout(),
            ) as response:
                return _bounds_result(response.status, await response.read())
        except _FAILURES as error:
            return results.LogUnavailable(
                f'no answer: {_describe_error(error)}'
            )

    async def close(self) -> None:
        """Close all connections."""
        await self._appends.close()
        await self._reads.close()

    def _timeout(self, wait_ms: int = 0) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=(self._timeout_ms + wait_ms) / 1000,
            sock_connect=self._timeout_ms / 1000,
        )


def new_log_client(address: str, timeout_ms: int) -> LogClient:
    """Return a client of the log at ``address`` (IP number and port).

    Must be called on a running event loop.
    """
    # Appends have their own session, as long polls occupy connections.
    return LogClient(
        _new_session(MAX_APPEND_CONNECTIONS),
        _new_session(MAX_READ_CONNECTIONS),
        f'http://{address}',
        timeout_ms,
    )


def _new_session(connections: int) -> aiohttp.ClientSession:
    connector = bounded.BoundedConnector(
        limit=connections, keepalive_timeout=KEEP_ALIVE_S
    )
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )


def _describe_error(error: BaseException) -> str:
    return str(error) or type(error).__name__


def _append_result(
    response: aiohttp.ClientResponse, body: bytes
) -> results.AppendResult:
    status = response.status
    if status == http.HTTPStatus.OK:
        return _appended(body)
    refused = response.headers.get('Log-Refused') == '1'
    if refused and status in _REFUSALS:
        return results.AppendRefused(
            f'the log refused with status {status}',
            _parse_retry_after_ms(response.headers.get('Retry-After-Ms')),
        )
    return results.AppendUnknown(f'the log answered with {status}')


def _appended(body: bytes) -> results.AppendResult:
    try:
        return results.Appended(int(msgpack.unpackb(body)['offset']))
    except _MALFORMED:
        return results.AppendUnknown('the answer of the log is malformed')


def _parse_retry_after_ms(text: str | None) -> int:
    return int(text) if text and text.isdecimal() else 0


def _read_result(status: int, body: bytes) -> results.ReadResult:
    try:
        match status:
            case http.HTTPStatus.OK:
                return _page(msgpack.unpackb(body))
            case http.HTTPStatus.GONE:
                answer = msgpack.unpackb(body)
                return results.LogGap(answer['oldest'], answer['next'])
            case _:
                return results.LogUnavailable(
                    f'the log answered with {status}'
                )
    except _MALFORMED:
        return results.LogUnavailable('the answer of the log is malformed')


def _bounds_result(
    status: int, body: bytes
) -> results.LogPage | results.LogUnavailable:
    if status != http.HTTPStatus.OK:
        return results.LogUnavailable(f'the log answered with {status}')
    try:
        answer = msgpack.unpackb(body)
        return results.LogPage(answer['oldest'], answer['next'], ())
    except _MALFORMED:
        return results.LogUnavailable('the answer of the log is malformed')


def _page(answer: dict[str, object]) -> results.LogPage:
    rows = answer['records']
    if not isinstance(rows, list):
        raise TypeError('records is not a list')
    records = tuple(results.LogRecord(*row) for row in rows)
    return results.LogPage(
        int(str(answer['oldest'])), int(str(answer['next'])), records
    )
