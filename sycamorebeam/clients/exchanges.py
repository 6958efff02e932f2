"""One request to a target and what comes of it, as values."""

import asyncio
import enum
import json
from typing import Any

import aiohttp
import attrs

from sycamorebeam import clocks
from sycamorebeam.clients import ports
from sycamorebeam.clients import reasons


class ConnectionKind(enum.Enum):
    """Which connection an exchange takes."""

    POOLED = 'pooled'
    FRESH = 'fresh'


@attrs.define(kw_only=True)
class Exchange:
    """One request, and what became of it on the wire.

    ``connected`` turns true right before the first byte is sent: an
    exchange that fails with it false sent nothing. ``sent_bytes`` and
    ``received_bytes`` count headers and bodies. Without ``silence_ms`` the
    answer may take until the deadline. ``before_send`` runs when the
    connection stands; when it raises, nothing is sent.
    """

    method: str
    address: str
    path: str
    deadline: clocks.Deadline
    body: bytes | None = None
    connection_kind: ConnectionKind = ConnectionKind.POOLED
    silence_ms: int | None = None
    before_send: ports.BeforeSend | None = None
    connected: bool = False
    silent: bool = False
    sent_bytes: int = 0
    received_bytes: int = 0
    transport: asyncio.BaseTransport | None = None

    def close_connection(self) -> None:
        """Close the connection, whose answers can't be trusted."""
        if self.transport is not None:
            self.transport.close()


@attrs.frozen
class HttpReply:
    """A whole answer."""

    status: int
    body: bytes
    not_run: bool
    draining: bool
    request_id: str | None


@attrs.frozen
class HttpFailure:
    """No whole answer; ``sent`` says whether anything may have arrived."""

    reason: reasons.Reason
    sent: bool
    request_id: str | None = None


class AnswerTooLargeError(aiohttp.ClientError):
    """The answer has more bytes than the limit."""


FAILURES = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


def reply_of(response: aiohttp.ClientResponse, body: bytes) -> HttpReply:
    """Return the reply with this head and body."""
    headers = response.headers
    return HttpReply(
        status=response.status,
        body=body,
        not_run=headers.get('Not-Run') == '1',
        draining=is_draining(response),
        request_id=headers.get('Request-Id'),
    )


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``, an empty one if there is none."""
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def is_draining(response: aiohttp.ClientResponse) -> bool:
    """Return whether the target says that it is leaving."""
    return response.headers.get('Draining') == '1'


def reason_of(exchange: Exchange, error: BaseException) -> reasons.Reason:
    """Return why ``exchange`` failed with ``error``."""
    if exchange.silent:
        return reasons.Reason.SILENT
    match error:
        case AnswerTooLargeError():
            return reasons.Reason.TOO_LARGE
        case aiohttp.SocketTimeoutError():
            return reasons.Reason.SILENT
        case aiohttp.ConnectionTimeoutError():
            return reasons.Reason.NO_CONNECTION_IN_TIME
        case aiohttp.ClientConnectorError():
            return reasons.Reason.UNREACHABLE
        case aiohttp.ClientPayloadError():
            return reasons.Reason.ENDED_EARLY
        case TimeoutError():
            return reasons.Reason.DEADLINE
        case OSError() | aiohttp.ClientConnectionError():
            return reasons.Reason.CLOSED
        case _:
            return reasons.Reason.MALFORMED
