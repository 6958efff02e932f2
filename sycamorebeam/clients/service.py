"""Calls to plain services, which remember no earlier calls."""

from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.clients import unary


class ServiceClient:
    """Calls operations of services, each once."""

    def __init__(self, calls: unary.UnaryClient) -> None:
        self._calls = calls

    async def call(
        self, replica: results.Replica, attempt: ports.Attempt
    ) -> results.TargetResult:
        """Send ``attempt`` once."""
        body = {
            'id': attempt.id,
            'operation': attempt.operation,
            'input': attempt.input,
        }
        return await self._calls.call(replica, attempt, '/v1/calls', body)
