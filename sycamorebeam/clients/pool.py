"""Client of stage pools."""

from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.clients import unary


class PoolClient:
    """Calls the operations of pools: encode, retrieve and rerank."""

    def __init__(self, unary_client: unary.UnaryClient) -> None:
        self._unary_client = unary_client

    async def call(
        self, replica: results.Replica, attempt: ports.Attempt
    ) -> results.TargetResult:
        """Send ``attempt`` to the path of its operation."""
        body = {'id': attempt.id, 'input': attempt.input}
        path = f'/v1/{attempt.operation}'
        return await self._unary_client.call(replica, attempt, path, body)
