"""Client of plain services, which don't recognize repeated calls."""

from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.clients import unary


class ServiceClient:
    """Calls operations of services, without retries."""

    def __init__(self, unary_client: unary.UnaryClient) -> None:
        self._unary_client = unary_client

    async def call(
        self, replica: results.Replica, attempt: ports.Attempt
    ) -> results.TargetResult:
        """Send ``attempt`` once and return its result."""
        body = {
            'id': attempt.id,
            'operation': attempt.operation,
            'input': attempt.input,
        }
        return await self._unary_client.call(
            replica, attempt, '/v1/calls', body
        )
