"""The stand-in of a stateless service."""

from typing import Any

from aiohttp import web

from sycamorebeam.standins import replica
from sycamorebeam.standins import unary


class Service(replica.Replica):
    """A service replica that accepts any operation."""

    def __init__(self, group: str, options: replica.TargetOptions) -> None:
        super().__init__(group, options)
        self._calls = unary.UnaryCalls(self, compute)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of a service."""
        super().add_routes(router)
        self._calls.add_routes(router)
        router.add_post('/v1/calls', self._calls.answer)

    def load(self) -> tuple[int, int]:
        """Return the numbers of running and of waiting calls."""
        return self._calls.load()


def compute(operation: str, inputs: dict[str, Any]) -> dict[str, Any]:
    """Return the output of ``operation`` on ``inputs``."""
    return {'operation': operation, 'done': True, 'input': inputs}
