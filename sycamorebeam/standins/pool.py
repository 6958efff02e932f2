"""The stand-in of a stage pool: encoders, retrievers and rerankers."""

from typing import Any

from aiohttp import web

from sycamorebeam import hashing
from sycamorebeam.standins import replica
from sycamorebeam.standins import unary

OPERATIONS = ('encode', 'retrieve', 'rerank')
VECTOR_SIZE = 8
PASSAGES = 3


class Pool(replica.Replica):
    """A pool replica whose output depends on the input only."""

    def __init__(self, group: str, options: replica.TargetOptions) -> None:
        super().__init__(group, options)
        self._calls = unary.UnaryCalls(self, compute)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of a pool."""
        super().add_routes(router)
        self._calls.add_routes(router)
        for operation in OPERATIONS:
            router.add_post(f'/v1/{operation}', self._answer)

    def load(self) -> tuple[int, int]:
        """Return the numbers of running and of waiting calls."""
        return self._calls.load()

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        return await self._calls.answer(request, request.path.split('/')[-1])


def compute(operation: str, inputs: dict[str, Any]) -> dict[str, Any]:
    """Return the output of ``operation`` on ``inputs``."""
    digest = hashing.digest_value(inputs)
    match operation:
        case 'encode':
            vector = [byte / 255 for byte in digest[:VECTOR_SIZE]]
            return {'vector': vector}
        case 'retrieve':
            passage_ids = [f'passage-{byte}' for byte in digest[:PASSAGES]]
            return {
                'passages': [
                    {'id': passage_id, 'text': passage_id}
                    for passage_id in passage_ids
                ]
            }
        case _:
            return {'passages': _rank(inputs.get('passages'))}


def _rank(passages: object) -> list[object]:
    if not isinstance(passages, list):
        return []
    return sorted(passages, key=hashing.digest_value)
