"""Parses callers' HTTP requests and enforces limits on size and time."""

import asyncio
import json
from typing import Any
import uuid

from aiohttp import web
import attrs

from sycamorebeam import answers
from sycamorebeam import settings
from sycamorebeam.filters import chain

SINGLE_HEADERS = (
    'Authorization',
    'Content-Type',
    'Deadline-Ms',
    'First-Attempt',
    'Idempotency-Key',
    'Request-Id',
)
MAX_REQUEST_ID_CHARS = 100
EVENT_STREAM = 'text/event-stream'


@attrs.frozen
class Unreadable:
    """Why a request cannot be parsed; nothing of it ran."""

    kind: answers.ProblemKind
    detail: str
    remedy: str


def request_id_of(http: web.Request) -> str:
    """Return the caller's request id, or a new one if it is not usable."""
    request_id = http.headers.get('Request-Id', '')
    usable = request_id.isascii() and request_id.isprintable()
    if request_id and usable and len(request_id) <= MAX_REQUEST_ID_CHARS:
        return request_id
    return uuid.uuid4().hex


async def read_request(
    http: web.Request, request_id: str, bounds: settings.Bounds
) -> chain.Request | Unreadable:
    """Return the request for the filters, or why it cannot be parsed."""
    doubled = [
        name
        for name in SINGLE_HEADERS
        if len(http.headers.getall(name, ())) > 1
    ]
    if doubled:
        return _malformed(f'header {doubled[0]} is there more than once')
    deadline_ms = _deadline_ms(http, bounds)
    if isinstance(deadline_ms, Unreadable):
        return deadline_ms
    body = await _read_body(http, bounds)
    if isinstance(body, Unreadable):
        return body
    return chain.Request(
        request_id=request_id,
        pipeline_name=http.match_info['pipeline'],
        body=body,
        deadline_ms=deadline_ms,
        token=_bearer_token(http),
        idempotency_key=http.headers.get('Idempotency-Key'),
        first_attempt=http.headers.get('First-Attempt') == '1',
    )


def refused_outcome(http: web.Request) -> answers.Outcome:
    """Return the outcome that is certain if a request is refused unread."""
    if http.headers.get('First-Attempt') == '1':
        return answers.Outcome.NOT_RUN
    if 'Idempotency-Key' in http.headers:
        return answers.Outcome.ATTEMPT_NOT_RUN
    return answers.Outcome.NOT_RUN


def wants_stream(http: web.Request) -> bool:
    """Return whether the caller accepts server-sent events."""
    return EVENT_STREAM in http.headers.get('Accept', '')


def _bearer_token(http: web.Request) -> str | None:
    scheme, _, token = http.headers.get('Authorization', '').partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else None


def _deadline_ms(
    http: web.Request, bounds: settings.Bounds
) -> int | Unreadable | None:
    text = http.headers.get('Deadline-Ms')
    if text is None:
        return None
    try:
        asked_ms = int(text)
    except ValueError:
        return _malformed(f'Deadline-Ms {text!r} is not a whole number')
    return min(asked_ms, bounds.max_deadline_ms)


async def _read_body(
    http: web.Request, bounds: settings.Bounds
) -> dict[str, Any] | Unreadable:
    if http.content_type != 'application/json':
        return _malformed(f'content type {http.content_type!r} is not JSON')
    try:
        async with asyncio.timeout(bounds.body_timeout_ms / 1000):
            data = await http.read()
    except web.HTTPRequestEntityTooLarge:
        return _too_large(bounds)
    except TimeoutError:
        return _too_slow(bounds)
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        return _malformed(f'the body is not JSON: {error}')
    if not isinstance(body, dict):
        return _malformed('the body is not a JSON object')
    return body


def _malformed(detail: str) -> Unreadable:
    return Unreadable(
        answers.ProblemKind.BAD_REQUEST,
        detail,
        'send a JSON object and each header once, see docs/CALLERS.md',
    )


def _too_large(bounds: settings.Bounds) -> Unreadable:
    return Unreadable(
        answers.ProblemKind.TOO_LARGE,
        f'the body has more than {bounds.body_bytes} bytes',
        'send a smaller body',
    )


def _too_slow(bounds: settings.Bounds) -> Unreadable:
    return Unreadable(
        answers.ProblemKind.TOO_SLOW,
        f'the body took more than {bounds.body_timeout_ms} ms',
        'send the request again over a better connection',
    )
