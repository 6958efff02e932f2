"""An in-memory implementation of ``ports.TargetClient``."""

import asyncio

from sycamorebeam.clients import ports
from sycamorebeam.clients import results


class FakeTargets:
    """Answers attempts from a script and records which ones ran.

    ``script`` maps an operation to a list of steps for its next attempts,
    each a result, a number (answer after that many ms) or a callable;
    afterwards every attempt is answered at once. ``runs`` holds the ids
    that ran, by operation. Replicas in ``silent`` report no load.
    ``on_bytes`` is called with the byte counts of each answer.
    """

    def __init__(self, script=None, on_bytes=None, silent=()):
        self.script = script or {}
        self._on_bytes = on_bytes
        self._silent = set(silent)
        self.attempts = []
        self.cancelled = []
        self.runs = {}

    def silence(self, replica_id):
        """Make a replica report no load from now on."""
        self._silent.add(replica_id)

    async def call(self, kind, replica, attempt):
        self.attempts.append((replica.id, attempt))
        steps = self.script.get(attempt.operation)
        step = steps.pop(0) if steps else None
        if isinstance(step, results.TargetNotRun):
            return step
        if attempt.before_send is not None:
            attempt.before_send()
        self.runs.setdefault(attempt.operation, []).append(attempt.id)
        try:
            return await self._answer(step, replica, attempt)
        except asyncio.CancelledError:
            self.cancelled.append(attempt.id)
            raise

    async def load(self, replica):
        if replica.id in self._silent:
            return None
        return ports.LoadReport(
            running=0, waiting=0, capacity=4, draining=False, age_ms=0
        )

    async def _answer(self, step, replica, attempt):
        if callable(step):
            return await step(replica, attempt)
        if isinstance(step, int | float):
            await asyncio.sleep(step / 1000)
        elif step is not None:
            return step
        if attempt.on_tokens is not None:
            await attempt.on_tokens([(0, 'whole')])
        if self._on_bytes is not None:
            self._on_bytes(replica.address, 100, 200)
        return results.TargetAnswer(
            {'operation': attempt.operation, 'of': attempt.id.split('.')[0]},
            sent_bytes=100,
            received_bytes=200,
            tokens=1,
        )
