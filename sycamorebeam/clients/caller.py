"""A caller's client: sends one request and reads the complete answer."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import json
import secrets
from typing import Any
import uuid

import aiohttp
import attrs

from sycamorebeam import errors
from sycamorebeam.clients import bounded
from sycamorebeam.clients import sse

ANSWER_GRACE_MS = 5_000
EVENT_STREAM = 'text/event-stream'
PROBLEM = 'application/problem+json'

UUID_RANDOM_BITS = 80
UUID_VERSION_MASK = 0xF << 76
UUID_VERSION_7 = 0x7 << 76
UUID_VARIANT_MASK = 0x3 << 62
UUID_VARIANT = 0x2 << 62

OnToken = Callable[[str], None]


@attrs.frozen(kw_only=True)
class Call:
    """One request of a caller.

    ``first_attempt`` asserts that ``key`` was never sent before.
    ``answer_timeout_ms`` bounds the wait for the answer if there is no
    ``deadline_ms``.
    """

    address: str
    pipeline: str
    input: dict[str, Any]
    token: str
    key: str | None = None
    first_attempt: bool = False
    deadline_ms: int | None = None
    answer_timeout_ms: int = 600_000


@attrs.frozen
class CallAnswered:
    """The complete answer, as ``docs/CALLERS.md`` describes it."""

    document: dict[str, Any]


@attrs.frozen
class CallRefused:
    """A problem document; ``outcome`` in it says whether the request ran."""

    document: dict[str, Any]


@attrs.frozen
class CallLost:
    """No complete answer arrived; ``sent`` is false if nothing was sent."""

    reason: str
    sent: bool


CallResult = CallAnswered | CallRefused | CallLost


def new_key(now_ms: int) -> str:
    """Return a new idempotency key: a UUID of version 7 for a Unix time.

    From that time an instance derives the maximum age of the key.
    """
    value = now_ms << UUID_RANDOM_BITS | secrets.randbits(UUID_RANDOM_BITS)
    value = value & ~UUID_VERSION_MASK | UUID_VERSION_7
    value = value & ~UUID_VARIANT_MASK | UUID_VARIANT
    return str(uuid.UUID(int=value))


async def send(call: Call, on_token: OnToken | None = None) -> CallResult:
    """Send a request once, without retries, and return its result.

    With ``on_token`` the answer is streamed; it is called for each token.
    """
    timeout = aiohttp.ClientTimeout(total=_timeout_ms(call) / 1000)
    try:
        async with (
            aiohttp.ClientSession(
                connector=bounded.BoundedConnector(), timeout=timeout
            ) as session,
            session.post(
                f'http://{call.address}/v1/pipelines/{call.pipeline}/requests',
                json={'input': call.input},
                headers=_headers(call, streaming=on_token is not None),
                allow_redirects=False,
            ) as response,
        ):
            return await _read(response, on_token)
    except aiohttp.ClientConnectorError as error:
        return CallLost(str(error), sent=False)
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        return CallLost(str(error) or type(error).__name__, sent=True)
    except errors.PlatformError as error:
        return CallLost(str(error), sent=True)


def _timeout_ms(call: Call) -> int:
    if call.deadline_ms is None:
        return call.answer_timeout_ms
    return call.deadline_ms + ANSWER_GRACE_MS


def _headers(call: Call, *, streaming: bool) -> dict[str, str]:
    headers = {'Authorization': f'Bearer {call.token}'}
    if streaming:
        headers['Accept'] = EVENT_STREAM
    if call.key is not None:
        headers['Idempotency-Key'] = call.key
    if call.first_attempt:
        headers['First-Attempt'] = '1'
    if call.deadline_ms is not None:
        headers['Deadline-Ms'] = str(call.deadline_ms)
    return headers


async def _read(
    response: aiohttp.ClientResponse, on_token: OnToken | None
) -> CallResult:
    if on_token is not None and response.content_type == EVENT_STREAM:
        return await _read_stream(response, on_token)
    document = json.loads(await response.read())
    if response.content_type == PROBLEM:
        return CallRefused(document)
    if response.status == 200 and 'output' in document:
        return CallAnswered(document)
    return CallLost(f'status {response.status} without an answer', sent=True)


async def _read_stream(
    response: aiohttp.ClientResponse, on_token: OnToken
) -> CallResult:
    async for event in _events(response):
        document = json.loads(event.data)
        match event.name:
            case 'token':
                on_token(document['text'])
            case 'result':
                return CallAnswered(document)
            case 'error':
                return CallRefused(document)
    return CallLost('the stream ended without a result', sent=True)


async def _events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[sse.Event]:
    parser = sse.EventParser()
    async for data in response.content.iter_any():
        for event in parser.feed(data):
            yield event
