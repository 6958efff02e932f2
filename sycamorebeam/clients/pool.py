"""Calls to stage pools."""

from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.clients import unary


class PoolClient:
    """Encodes, retrieves and reranks at pool replicas."""

    def __init__(self, calls: unary.UnaryClient) -> None:
        self._calls = calls

    async def call(
        self, replica: results.Replica, attempt: ports.Attempt
    ) -> results.TargetResult:
        """Send ``attempt`` to the call named by its operation."""
        body = {'id': attempt.id, 'input': attempt.input}
        path = f'/v1/{attempt.operation}'
        return await self._calls.call(replica, attempt, path, body)
