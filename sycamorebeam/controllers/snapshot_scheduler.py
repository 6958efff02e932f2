"""Writes snapshots before the log's retention cuts the catalogue's tail.

One instance writes at a time, the one that rendezvous hashing picks. When
no snapshot comes from it for twice the time, any instance writes. The pick
only saves work: two snapshots of one offset are equal.
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
    """Looks at the newest snapshot now and then, and writes the next."""

    _instance_id: str
    _log: ports.Log
    _appender: batching.Appender
    _clock: clocks.Clock
    _follower: catalogue_follower.CatalogueFollower
    _members: Callable[[], Iterable[str]]
    _random: random.Random
    _missing_since_ms: int | None = None
    _seen: tuple[int, int] | None = None
    _located: snapshot_reader.Located | None = None

    async def run(self) -> None:
        """Check and write for ever."""
        while True:
            spread = self._random.uniform(0.5, 1.5)
            await self._clock.sleep_ms(CHECK_MS * spread)
            await self.check()

    async def check(self) -> snapshot_writer.WriteResult | None:
        """Compare the newest snapshot and write one when it is due."""
        located = await self._locate()
        if isinstance(located, results.LogUnavailable):
            return None
        newest = located.manifest if located and not located.cut else None
        if newest is not None:
            self._compare(newest)
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
    ) -> snapshot_reader.Located | results.LogUnavailable | None:
        """Return the newest manifest; read it only when the stream changed.

        A manifest carries the audit trail, too much to read at each look.
        """
        bounds = await self._log.bounds(snapshots.STREAM)
        if isinstance(bounds, results.LogUnavailable):
            return bounds
        seen = (bounds.oldest, bounds.next)
        if seen == self._seen:
            return self._located
        located = await snapshot_reader.locate_newest(self._log)
        if not isinstance(located, results.LogUnavailable):
            self._seen = seen
            self._located = located
        return located

    def _compare(self, newest: snapshots.Manifest) -> None:
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
        picked = hashing.pick(
            WRITER_KEY, {*self._members(), self._instance_id}
        )
        patience = 1 if picked == self._instance_id else OVERDUE_FACTOR
        if newest is None:
            return patience == 1 or self._missing_ms() >= TAKE_OVER_MS
        self._missing_since_ms = None
        age_ms = self._clock.wall_ms() - newest.time_ms
        return (
            offset - newest.offset >= MAX_RECORDS_BEHIND * patience
            or age_ms >= MAX_AGE_MS * patience
        )

    def _missing_ms(self) -> int:
        """Return for how long no snapshot has been seen."""
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
    """Return the duty of one instance; ``members`` are the live ones."""
    return SnapshotScheduler(
        instance_id,
        log,
        appender,
        clock,
        follower,
        members,
        generator or random.Random(),
    )
