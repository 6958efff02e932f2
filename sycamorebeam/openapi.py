"""The OpenAPI document of the callers' interface."""

from typing import Any

import sycamorebeam
from sycamorebeam import answers

REQUESTS_PATH = '/v1/pipelines/{pipeline}/requests'


def document() -> dict[str, Any]:
    """Return the OpenAPI 3.1 document."""
    return {
        'openapi': '3.1.0',
        'info': {
            'title': 'sycamorebeam',
            'version': sycamorebeam.__version__,
        },
        'paths': {
            REQUESTS_PATH: {'post': _post_request()},
            '/livez': {'get': _probe('Whether the process is alive')},
            '/readyz': {'get': _probe('Whether the instance may serve')},
            '/openapi.json': {'get': _probe('The OpenAPI document')},
        },
        'components': {
            'schemas': {
                'Request': _request_schema(),
                'Result': _result_schema(),
                'Problem': _problem_schema(),
            },
            'securitySchemes': {'team': {'type': 'http', 'scheme': 'bearer'}},
        },
    }


def _post_request() -> dict[str, Any]:
    result = {'$ref': '#/components/schemas/Result'}
    return {
        'summary': 'Run a pipeline and answer when it is complete',
        'security': [{'team': []}],
        'parameters': [
            _parameter('pipeline', 'path', 'string', 'The pipeline'),
            _parameter('Deadline-Ms', 'header', 'integer', 'Time left in ms'),
            _parameter(
                'Idempotency-Key', 'header', 'string', 'Identifies the action'
            ),
            _parameter(
                'First-Attempt', 'header', 'string', '1: the key is new'
            ),
            _parameter('Request-Id', 'header', 'string', 'Appears in logs'),
        ],
        'requestBody': {
            'required': True,
            'content': {
                'application/json': {
                    'schema': {'$ref': '#/components/schemas/Request'}
                }
            },
        },
        'responses': {
            '200': {
                'description': 'The whole answer, plain or as events '
                '`token`, `result` and `error`',
                'content': {
                    'application/json': {'schema': result},
                    'text/event-stream': {'schema': {'type': 'string'}},
                },
            },
            **_problem_responses(),
        },
    }


def _problem_responses() -> dict[str, Any]:
    schema = {'$ref': '#/components/schemas/Problem'}
    titles: dict[str, list[str]] = {}
    for kind in answers.ProblemKind:
        titles.setdefault(str(kind.status), []).append(kind.title)
    return {
        status: {
            'description': '; '.join(titles[status]),
            'content': {'application/problem+json': {'schema': schema}},
        }
        for status in sorted(titles)
    }


def _parameter(
    name: str, place: str, kind: str, description: str
) -> dict[str, Any]:
    return {
        'name': name,
        'in': place,
        'required': place == 'path',
        'description': description,
        'schema': {'type': kind},
    }


def _probe(summary: str) -> dict[str, Any]:
    return {'summary': summary, 'responses': {'200': {'description': 'Yes'}}}


def _request_schema() -> dict[str, Any]:
    return {
        'type': 'object',
        'required': ['input'],
        'additionalProperties': False,
        'properties': {'input': {'type': 'object'}},
    }


def _result_schema() -> dict[str, Any]:
    return {
        'type': 'object',
        'required': ['request_id', 'output', 'replayed', 'usage'],
        'properties': {
            'request_id': {'type': 'string'},
            'output': {'type': 'object'},
            'replayed': {'type': 'boolean'},
            'usage': {'type': 'object'},
        },
    }


def _problem_schema() -> dict[str, Any]:
    outcomes = [outcome.value for outcome in answers.Outcome]
    return {
        'type': 'object',
        'required': [
            'type',
            'title',
            'status',
            'detail',
            'remedy',
            'outcome',
            'request_id',
        ],
        'properties': {
            'type': {'type': 'string'},
            'title': {'type': 'string'},
            'status': {'type': 'integer'},
            'detail': {'type': 'string'},
            'remedy': {'type': 'string'},
            'outcome': {'enum': outcomes},
            'request_id': {'type': 'string'},
            'retry_after_ms': {'type': 'integer'},
            'target_request_id': {'type': 'string'},
        },
    }
