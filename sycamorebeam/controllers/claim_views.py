"""The views of claim streams at an instance, limited in number."""

import random

import attrs
from loguru import logger

from sycamorebeam import claim_records
from sycamorebeam import clocks
from sycamorebeam import log_health
from sycamorebeam.clients import ports
from sycamorebeam.controllers import claim_view

IDLE_VIEW_MS = 600_000
MAX_VIEWS = 16
IDLE_CHECK_INTERVAL_MS = 60_000


@attrs.define(eq=False)
class ClaimViews:
    """Starts a view on the first claim of a partition, drops idle views."""

    _log: ports.Log
    _clock: clocks.Clock
    _random: random.Random
    _window_ms: int
    _max_keys: int
    _health: log_health.LogHealth = attrs.field(init=False)
    _views: dict[int, claim_view.PartitionView] = attrs.field(
        init=False, factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self._health = log_health.LogHealth(
            self._clock, self._fail_all_waiters
        )

    def __len__(self) -> int:
        return len(self._views)

    @property
    def health(self) -> log_health.LogHealth:
        """The health of the log as all views see it."""
        return self._health

    def get(self, partition: int) -> claim_view.PartitionView:
        """Return the view of a partition; start it if there is none."""
        view = self._views.get(partition)
        if view is None:
            self._drop_least_recently_used()
            view = claim_view.new_partition_view(
                claim_records.stream_of(partition),
                self._log,
                self._clock,
                self._health,
                self._random,
                self._window_ms,
                self._max_keys,
            )
            self._views[partition] = view
            view.start()
        view.last_used_ms = self._clock.monotonic_ms()
        return view

    async def drop_idle_forever(self) -> None:
        """Drop views without a claim for IDLE_VIEW_MS, at intervals."""
        while True:
            await self._clock.sleep_ms(IDLE_CHECK_INTERVAL_MS)
            oldest_ms = self._clock.monotonic_ms() - IDLE_VIEW_MS
            for partition, view in list(self._views.items()):
                if view.is_idle and view.last_used_ms < oldest_ms:
                    self._views.pop(partition).cancel()

    async def stop(self) -> None:
        """Stop all views."""
        for view in self._views.values():
            await view.stop()
        self._views.clear()

    def _drop_least_recently_used(self) -> None:
        """Drop the idle view that was used least recently, if at the limit.

        The number of views is limited because the long poll of each takes a
        connection to the log.
        """
        idle = [
            (view.last_used_ms, partition)
            for partition, view in self._views.items()
            if view.is_idle
        ]
        if len(self._views) >= MAX_VIEWS and idle:
            _, partition = min(idle)
            self._views.pop(partition).cancel()

    def _fail_all_waiters(self, reason: str) -> None:
        logger.warning('event=claims_cut reason="{}"', reason)
        for view in self._views.values():
            view.fail_waiters(reason)
