"""Keeps the catalogue in force on this instance up to date.

The follower reads the log with long polls. While the log is unavailable, it
adopts higher offsets from peers after verifying their digest. It never moves
to a lower offset. When neither the log nor a peer can be reached for a
bounded time, or the log holds a record that this program cannot use, the
instance becomes not ready with a reason and keeps the last accepted
catalogue.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import random
from typing import Protocol

from sycamorebeam import catalogue
from sycamorebeam import catalogue_exchange
from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_reader
from sycamorebeam import catalogue_store
from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam import snapshot_reader
from sycamorebeam import telemetry
from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.controllers import readiness

POLL_WAIT_MS = 4_000
RETRY_MS = 500
RECENT_RECORDS = 256
RECENT_BYTES = 524_288

OnCatalogue = Callable[[catalogue.Catalogue], None]
OnAlarm = Callable[[errors.SycamoreError], None]


class PeerOffset(Protocol):
    """The catalogue that a peer has in force."""

    @property
    def peer_id(self) -> str:
        """The peer's instance id."""
        ...

    @property
    def offset(self) -> int:
        """The offset that the peer has in force."""
        ...

    @property
    def digest(self) -> bytes:
        """The digest of the state at that offset."""
        ...


class PeerState(Protocol):
    """The catalogue state received from a peer."""

    @property
    def state(self) -> bytes:
        """The result of the peer's ``CatalogueFollower.pack_state``."""
        ...


class CataloguePeers(Protocol):
    """Access to the catalogues of the other instances."""

    def highest_offset(self) -> PeerOffset | None:
        """Return the highest offset in force on a reachable peer, if any."""
        ...

    async def fetch_state(self, peer_id: str, above: int) -> PeerState | None:
        """Return a peer's state after ``above``, None if it sent none."""
        ...


class CatalogueFollower:
    """Folds the catalogue log and publishes the catalogue in force."""

    def __init__(
        self,
        log: ports.Log,
        clock: clocks.Clock,
        peers: CataloguePeers,
        stale_after_ms: int,
        generator: random.Random,
        on_alarm: OnAlarm | None = None,
    ) -> None:
        self._log = log
        self._clock = clock
        self._peers = peers
        self._stale_after_ms = stale_after_ms
        self._random = generator
        self._on_alarm = on_alarm
        self._fold = catalogue_fold.Fold()
        self._catalogue = catalogue.Catalogue()
        self._in_force = (-1, self._fold.digest)
        self._recent: collections.deque[results.LogRecord] = (
            collections.deque()
        )
        self._recent_bytes = 0
        self._subscribers: list[OnCatalogue] = []
        self._loaded = False
        self._snapshot_read = False
        self._current_at_ms: int | None = None
        self._obstacle: errors.SycamoreError | None = None
        self._obstacle_since_ms = 0
        self._alarm: errors.SycamoreError | None = None
        self._log_outage_reason = ''
        self._task: asyncio.Task[None] | None = None

    @property
    def catalogue(self) -> catalogue.Catalogue:
        """The accepted entries now in force on this instance."""
        return self._catalogue

    @property
    def fold(self) -> catalogue_fold.Fold:
        """The fold at the last offset read."""
        return self._fold

    @property
    def offset(self) -> int:
        """The offset in force, -1 before the first record."""
        return self._in_force[0]

    @property
    def lag_ms(self) -> int:
        """The time since the offset was last confirmed to be the highest."""
        if self._current_at_ms is None:
            return 0
        return self._clock.monotonic_ms() - self._current_at_ms

    @property
    def alarm(self) -> errors.SycamoreError | None:
        """The last digest or log alarm, None if there was none."""
        return self._alarm

    @property
    def obstacle(self) -> errors.SycamoreError | None:
        """The error that prevents further updates, if any."""
        return self._obstacle

    @property
    def audit(self) -> tuple[catalogue_fold.Decision, ...]:
        """The latest decisions on changes, oldest first."""
        return self._fold.audit

    @property
    def readiness(self) -> readiness.State:
        """Whether the instance may serve under this catalogue."""
        if not self._loaded:
            return readiness.NotReady(self._not_loaded_reason())
        now_ms = self._clock.monotonic_ms()
        if (
            self._obstacle is not None
            and now_ms - self._obstacle_since_ms > self._stale_after_ms
        ):
            return readiness.NotReady(f'the catalogue stops: {self._obstacle}')
        if self.lag_ms > self._stale_after_ms:
            return readiness.NotReady(
                f'cut off from the log and from peers for {self.lag_ms} ms '
                f'({self._log_outage_reason}); the catalogue may be old'
            )
        return readiness.Ready()

    def offset_and_digest(self) -> tuple[int, bytes]:
        """Return the offset in force and the digest of its state."""
        return self._in_force

    def pack_state(self, above: int = -1) -> bytes:
        """Return the state that a peer at offset ``above`` lacks."""
        return catalogue_exchange.pack(self._fold, self._recent, above)

    def team_by_digest(self, token_sha256: str) -> str | None:
        """Return the name of the team that has the token, if any."""
        token = catalogue_store.token_index_key(token_sha256)
        key = self._fold.store.team_of_token(token)
        return key.removeprefix(catalogue_store.TEAM_PREFIX) if key else None

    def subscribe(self, callback: OnCatalogue) -> None:
        """Call ``callback`` with each new catalogue in force."""
        self._subscribers.append(callback)

    def raise_alarm(self, error: errors.SycamoreError) -> None:
        """Report a digest or log alarm; the catalogue in force stays."""
        self._alarm = error
        telemetry.log_event('catalogue_alarm', 'ERROR', detail=str(error))
        if self._on_alarm is not None:
            self._on_alarm(error)

    def start(self) -> None:
        """Start following the log."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop following; the catalogue stays in force."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._task = None

    async def _follow(self) -> None:
        try:
            await self._follow_log()
        except Exception as error:
            telemetry.log_event('catalogue_failed', 'ERROR', error=repr(error))
            self._obstacle_since_ms = self._clock.monotonic_ms()
            self._obstacle = errors.SycamoreError(
                f'following the catalogue failed ({error!r})',
                'restart the instance and report this',
            )

    async def _follow_log(self) -> None:
        while not isinstance(self._obstacle, errors.VersionError):
            if not self._snapshot_read:
                await self._read_snapshot()
            if self._snapshot_read:
                await self._read_page()

    async def _read_snapshot(self) -> None:
        """Load the newest snapshot, if it is ahead of the fold."""
        loaded = await snapshot_reader.load_newest(
            self._log, self._fold.offset
        )
        match loaded:
            case results.LogUnavailable(reason=reason):
                await self._handle_log_outage(reason)
                return
            case snapshot_reader.Loaded(fold=fold, alarms=alarms):
                self._replace_fold(fold)
            case snapshot_reader.NoSnapshot(alarms=alarms):
                pass
        self._snapshot_read = True
        for alarm in alarms:
            self.raise_alarm(alarm)

    async def _read_page(self) -> None:
        may_wait = self._loaded and not self._log_outage_reason
        wait_ms = POLL_WAIT_MS if may_wait else 0
        step = await catalogue_reader.advance(self._log, self._fold, wait_ms)
        match step:
            case results.LogUnavailable(reason=reason):
                await self._handle_log_outage(reason)
            case catalogue_reader.Stopped(error=error, records=records):
                self._keep_recent(records)
                self._publish()
                await self._handle_obstacle(error)
            case catalogue_reader.Advanced(records=records, next=next_offset):
                self._keep_recent(records)
                self._publish()
                self._log_outage_reason = ''
                self._obstacle = None
                if next_offset == self._fold.offset + 1:
                    self._mark_current()

    async def _handle_obstacle(self, error: errors.SycamoreError) -> None:
        """Record why reading stopped, then try the peers and a snapshot."""
        if type(self._obstacle) is not type(error):
            self._obstacle_since_ms = self._clock.monotonic_ms()
            telemetry.log_event('catalogue_stops', 'ERROR', detail=str(error))
            if isinstance(error, errors.PlatformError):
                self.raise_alarm(error)
        self._obstacle = error
        if isinstance(error, errors.VersionError):
            return
        self._snapshot_read = False
        await self._catch_up_from_peers()
        await self._pause()

    async def _handle_log_outage(self, reason: str) -> None:
        """Catch up from a peer while the log is unavailable, then pause."""
        if not self._log_outage_reason:
            telemetry.log_event('catalogue_cut_off', 'WARNING', reason=reason)
        self._log_outage_reason = reason
        await self._catch_up_from_peers()
        await self._pause()

    async def _pause(self) -> None:
        spread = self._random.uniform(0.5, 1.5)
        await self._clock.sleep_ms(RETRY_MS * spread)

    async def _catch_up_from_peers(self) -> None:
        best = self._peers.highest_offset()
        if best is None or best.offset < 0:
            return
        if best.offset <= self._fold.offset:
            own_digest = self._fold.digest_at(best.offset)
            if own_digest is not None and own_digest != best.digest:
                self.raise_alarm(_digest_mismatch(best))
            elif self._loaded:
                self._mark_current()
            return
        answer = await self._peers.fetch_state(best.peer_id, self._fold.offset)
        if answer is not None:
            await self._apply_peer_state(best, answer.state)

    async def _apply_peer_state(self, best: PeerOffset, state: bytes) -> None:
        try:
            fold = await catalogue_exchange.unpack(self._fold, state)
        except errors.SycamoreError as error:
            self.raise_alarm(error)
            return
        digest = fold.digest_at(best.offset)
        if digest is not None and digest != best.digest:
            self.raise_alarm(_digest_mismatch(best))
            return
        if fold.offset >= best.offset:
            self._replace_fold(fold)
            self._mark_current()

    def _replace_fold(self, fold: catalogue_fold.Fold) -> None:
        """Continue from a verified fold, if its offset is higher."""
        if fold.offset <= self._fold.offset:
            return
        self._fold = fold
        self._recent.clear()
        self._recent_bytes = 0
        if isinstance(self._obstacle, errors.GapError):
            self._obstacle = None
        self._publish()

    def _keep_recent(self, records: tuple[results.LogRecord, ...]) -> None:
        """Keep the latest records for peers that cannot read the log."""
        for record in records:
            self._recent.append(record)
            self._recent_bytes += len(record.data)
        while self._recent and (
            len(self._recent) > RECENT_RECORDS
            or self._recent_bytes > RECENT_BYTES
        ):
            self._recent_bytes -= len(self._recent.popleft().data)

    def _publish(self) -> None:
        """Put the fold's catalogue in force."""
        if self._fold.offset <= self.offset:
            return
        self._in_force = (self._fold.offset, self._fold.digest)
        self._catalogue = self._fold.catalogue()
        for callback in self._subscribers:
            try:
                callback(self._catalogue)
            except Exception as error:
                telemetry.log_event(
                    'subscriber_failed', 'ERROR', error=repr(error)
                )

    def _mark_current(self) -> None:
        self._loaded = True
        self._current_at_ms = self._clock.monotonic_ms()

    def _not_loaded_reason(self) -> str:
        cause = self._obstacle or self._log_outage_reason or 'still reading'
        return f'no catalogue has been read yet ({cause})'


def _digest_mismatch(best: PeerOffset) -> errors.DigestError:
    return errors.DigestError(
        f'{best.peer_id} has another state at offset {best.offset}',
        'see the page on digest alarms',
    )


def new_catalogue_follower(
    log: ports.Log,
    clock: clocks.Clock,
    peers: CataloguePeers,
    stale_after_ms: int,
    generator: random.Random | None = None,
    on_alarm: OnAlarm | None = None,
) -> CatalogueFollower:
    """Return a follower; call ``start`` on a running event loop."""
    return CatalogueFollower(
        log,
        clock,
        peers,
        stale_after_ms,
        generator or random.Random(),
        on_alarm,
    )
