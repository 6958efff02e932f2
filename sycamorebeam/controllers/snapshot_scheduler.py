"""Writes catalogue snapshots before the log's retention drops old records.

Rendezvous hashing picks the one instance that writes. When no snapshot has
come from it for twice the interval, any instance writes. The choice only
avoids duplicate work: two snapshots of one offset are equal.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random

import attrs

from sycamorebeam import batching
from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam import hashing
from sycamorebeam import snapshot_reader
from sycamorebeam import snapshot_writer
from sycamorebeam import snapshots
from sycamorebeam import telemetry
from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.controllers import catalogue_follower

MAX_RECORDS_BEHIND = 1_000
MAX_AGE_MS = 3_600_000
CHECK_MS = 30_000
OVERDUE_FACTOR = 2
TAKE_OVER_MS = 120_000
WRITER_KEY = 'catalogue.snapshots'


@attrs.define(eq=False)
class SnapshotScheduler:
    """Checks the newest snapshot periodically and writes the next when due."""

    _instance_id: str
    _log: ports.Log
    _appender: batching.Appender
    _clock: clocks.Clock
    _follower: catalogue_follower.CatalogueFollower
    _members: Callable[[], Iterable[str]]
    _random: random.Random
    _missing_since_ms: int | None = None
    _located_bounds: tuple[int, int] | None = None
    _located: snapshot_reader.LocatedManifest | None = None

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            spread = self._random.uniform(0.5, 1.5)
            await self._clock.sleep_ms(CHECK_MS * spread)
            await self.check()

    async def check(self) -> snapshot_writer.WriteResult | None:
        """Verify the newest snapshot's digest and write one when it is due.

        Return None when none was written.
        """
        located = await self._locate()
        if isinstance(located, results.LogUnavailable):
            return None
        newest = (
            located.manifest if located and not located.is_truncated else None
        )
        if newest is not None:
            self._check_digest(newest)
        if not self._is_due(newest):
            return None
        frozen = snapshots.freeze(self._follower.fold)
        result = await snapshot_writer.write(
            self._appender, self._clock, frozen
        )
        telemetry.log_event(
            'snapshot', offset=frozen.offset, result=repr(result)
        )
        return result

    async def _locate(
        self,
    ) -> snapshot_reader.LocatedManifest | results.LogUnavailable | None:
        """Return the newest manifest; read it only when the stream changed.

        A manifest holds the audit trail, which is too large to read at each
        check.
        """
        bounds = await self._log.bounds(snapshots.STREAM)
        if isinstance(bounds, results.LogUnavailable):
            return bounds
        stream_bounds = (bounds.oldest, bounds.next)
        if stream_bounds == self._located_bounds:
            return self._located
        located = await snapshot_reader.locate_newest(self._log)
        if not isinstance(located, results.LogUnavailable):
            self._located_bounds = stream_bounds
            self._located = located
        return located

    def _check_digest(self, newest: snapshots.Manifest) -> None:
        digest = self._follower.fold.digest_at(newest.offset)
        if digest is None or digest == newest.digest:
            return
        self._follower.raise_alarm(
            errors.DigestError(
                f'the snapshot of offset {newest.offset} has another digest '
                f'than this instance had there',
                'see the page on digest alarms',
            )
        )

    def _is_due(self, newest: snapshots.Manifest | None) -> bool:
        offset = self._follower.fold.offset
        if offset < 0 or (newest is not None and offset < newest.offset):
            return False
        writer_id = hashing.pick(
            WRITER_KEY, {*self._members(), self._instance_id}
        )
        factor = 1 if writer_id == self._instance_id else OVERDUE_FACTOR
        if newest is None:
            return factor == 1 or self._missing_ms() >= TAKE_OVER_MS
        self._missing_since_ms = None
        age_ms = self._clock.wall_ms() - newest.time_ms
        return (
            offset - newest.offset >= MAX_RECORDS_BEHIND * factor
            or age_ms >= MAX_AGE_MS * factor
        )

    def _missing_ms(self) -> int:
        """Return for how long this instance has found no snapshot."""
        now_ms = self._clock.monotonic_ms()
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        return now_ms - self._missing_since_ms


def new_snapshot_scheduler(
    instance_id: str,
    log: ports.Log,
    appender: batching.Appender,
    clock: clocks.Clock,
    follower: catalogue_follower.CatalogueFollower,
    members: Callable[[], Iterable[str]],
    generator: random.Random | None = None,
) -> SnapshotScheduler:
    """Return a scheduler; ``members`` returns the ids of the instances."""
    return SnapshotScheduler(
        instance_id,
        log,
        appender,
        clock,
        follower,
        members,
        generator or random.Random(),
    )
