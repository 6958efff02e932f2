"""One HTTP request to a target, and its reply or failure."""

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
    """Whether an exchange may use a kept-alive connection."""

    POOLED = 'pooled'
    FRESH = 'fresh'


@attrs.define(kw_only=True)
class Exchange:
    """One request, and its state on the wire.

    ``connected`` is set right before the first byte is sent: an exchange
    that fails while it is false has sent nothing. ``sent_bytes`` and
    ``received_bytes`` count headers and bodies. ``silence_ms`` bounds the
    time without received bytes; without it only the deadline applies.
    ``before_send`` runs once the connection is established; if it raises,
    nothing is sent.
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
        """Close the connection, as its next answers can't be trusted."""
        if self.transport is not None:
            self.transport.close()


@attrs.frozen
class HttpReply:
    """A complete answer."""

    status: int
    body: bytes
    not_run: bool
    draining: bool
    request_id: str | None


@attrs.frozen
class HttpFailure:
    """No complete answer; ``sent`` is false if nothing was sent."""

    reason: reasons.Reason
    sent: bool
    request_id: str | None = None


class AnswerTooLargeError(aiohttp.ClientError):
    """The answer exceeds ``HttpLimits.answer_bytes``."""


FAILURES = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


def reply_of(response: aiohttp.ClientResponse, body: bytes) -> HttpReply:
    """Return the reply made of the head of ``response`` and ``body``."""
    headers = response.headers
    return HttpReply(
        status=response.status,
        body=body,
        not_run=headers.get('Not-Run') == '1',
        draining=is_draining(response),
        request_id=headers.get('Request-Id'),
    )


def parse_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``, or an empty one if it has none."""
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def is_draining(response: aiohttp.ClientResponse) -> bool:
    """Return whether the answer marks the target as draining."""
    return response.headers.get('Draining') == '1'


def reason_of(exchange: Exchange, error: BaseException) -> reasons.Reason:
    """Return the reason of an exchange that failed with ``error``."""
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
