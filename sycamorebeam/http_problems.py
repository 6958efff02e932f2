"""Problem documents (RFC 9457) of the callers' interface."""

import json
import math
from typing import Any

from aiohttp import web

from sycamorebeam import answers

TYPE_PREFIX = 'urn:sycamorebeam:problem:'
CONTENT_TYPE = 'application/problem+json'


def document(problem: answers.Problem, request_id: str) -> dict[str, Any]:
    """Return the problem document of ``problem``."""
    fields = {
        'type': TYPE_PREFIX + problem.kind.slug,
        'title': problem.kind.title,
        'status': problem.kind.status,
        'detail': problem.detail,
        'remedy': problem.remedy,
        'outcome': problem.outcome.value,
        'request_id': request_id,
        'retry_after_ms': problem.retry_after_ms,
        'target_request_id': problem.target_request_id,
    }
    return {name: fields[name] for name in fields if fields[name] is not None}


def response(problem: answers.Problem, request_id: str) -> web.Response:
    """Return the HTTP response that carries ``problem``."""
    headers = {'Request-Id': request_id}
    if problem.retry_after_ms is not None:
        headers['Retry-After'] = str(math.ceil(problem.retry_after_ms / 1000))
    return web.Response(
        status=problem.kind.status,
        headers=headers,
        body=json.dumps(document(problem, request_id)).encode(),
        content_type=CONTENT_TYPE,
    )
