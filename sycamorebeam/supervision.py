"""Restarts background tasks that fail."""

from collections.abc import Awaitable
from collections.abc import Callable

from sycamorebeam import clocks
from sycamorebeam import telemetry

RESTART_PAUSE_MS = 1_000

Work = Callable[[], Awaitable[None]]


async def keep_running(name: str, work: Work, clock: clocks.Clock) -> None:
    """Run ``work``, and run it again after a pause if it raises an error.

    An unexpected error in one background task must neither stop it for
    good, which would go unnoticed, nor stop the instance.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            telemetry.log_event(
                'task_failed', 'ERROR', task=name, error=repr(error)
            )
        await clock.sleep_ms(RESTART_PAUSE_MS)
