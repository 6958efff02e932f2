"""Keeps the background tasks of an instance running."""

from collections.abc import Awaitable
from collections.abc import Callable

from sycamorebeam import clocks
from sycamorebeam import telemetry

RESTART_PAUSE_MS = 1_000

Work = Callable[[], Awaitable[None]]


async def keep_running(name: str, work: Work, clock: clocks.Clock) -> None:
    """Run ``work``, and again after a pause when it ends by an error.

    An unexpected error in one background task must neither end it for
    good, which nobody would notice, nor end the instance.
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
