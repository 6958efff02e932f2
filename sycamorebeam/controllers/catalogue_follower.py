"""Keeps the catalogue in force on this instance up to date.

It follows the log with long polls. Cut off from the log, it takes higher
offsets from peers after verifying their digest. It never moves to a lower
offset. When neither the log nor a peer can be reached for a bounded time,
or the log holds what this program cannot use, the instance turns not ready
and says why, still under the last accepted catalogue.
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
        """The offset in force there."""
        ...

    @property
    def digest(self) -> bytes:
        """The digest of the state at that offset."""
        ...


class PeerState(Protocol):
    """What a peer sent of its catalogue."""

    @property
    def state(self) -> bytes:
        """The bytes that ``CatalogueFollower.pack_state`` returned there."""
        ...


class CataloguePeers(Protocol):
    """The other instances, as far as the catalogue is concerned."""

    def highest_offset(self) -> PeerOffset | None:
        """Return the highest offset of a reachable peer, if any is."""
        ...

    async def fetch_state(self, peer_id: str, above: int) -> PeerState | None:
        """Return what a peer has above an offset, None if it gave none."""
        ...


class CatalogueFollower:
    """Owns the fold of the catalogue and says what is in force."""

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
        self._confirmed_ms: int | None = None
        self._obstacle: errors.SycamoreError | None = None
        self._obstacle_since_ms = 0
        self._alarm: errors.SycamoreError | None = None
        self._cut_off_reason = ''
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
        """The offset in force, -1 before any."""
        return self._in_force[0]

    @property
    def lag_ms(self) -> int:
        """The time since the offset was last known to be the highest."""
        if self._confirmed_ms is None:
            return 0
        return self._clock.monotonic_ms() - self._confirmed_ms

    @property
    def alarm(self) -> errors.SycamoreError | None:
        """The last digest or log alarm, None when there was none."""
        return self._alarm

    @property
    def obstacle(self) -> errors.SycamoreError | None:
        """What keeps the follower from going on, if anything does."""
        return self._obstacle

    @property
    def audit(self) -> tuple[catalogue_fold.Decision, ...]:
        """The latest decisions on changes, oldest first."""
        return self._fold.audit

    @property
    def readiness(self) -> readiness.State:
        """Whether the instance may serve under this catalogue."""
        if not self._loaded:
            return readiness.NotReady(self._why_not_loaded())
        now_ms = self._clock.monotonic_ms()
        if (
            self._obstacle is not None
            and now_ms - self._obstacle_since_ms > self._stale_after_ms
        ):
            return readiness.NotReady(f'the catalogue stops: {self._obstacle}')
        if self.lag_ms > self._stale_after_ms:
            return readiness.NotReady(
                f'cut off from the log and from peers for {self.lag_ms} ms '
                f'({self._cut_off_reason}); the catalogue may be old'
            )
        return readiness.Ready()

    def offset_and_digest(self) -> tuple[int, bytes]:
        """Return the offset in force and the digest of its state."""
        return self._in_force

    def pack_state(self, above: int = -1) -> bytes:
        """Return what a peer at offset ``above`` lacks."""
        return catalogue_exchange.pack(self._fold, self._recent, above)

    def team_by_digest(self, token_sha256: str) -> str | None:
        """Return the name of the team that has the token, if any."""
        token = catalogue_store.token_number(token_sha256)
        key = self._fold.store.owner_of(token)
        return key.removeprefix(catalogue_store.TEAM_PREFIX) if key else None

    def subscribe(self, callback: OnCatalogue) -> None:
        """Call ``callback`` with each catalogue that comes into force."""
        self._subscribers.append(callback)

    def raise_alarm(self, error: errors.SycamoreError) -> None:
        """Report a digest or log alarm; the catalogue stays as it is."""
        self._alarm = error
        telemetry.log_event('catalogue_alarm', 'ERROR', detail=str(error))
        if self._on_alarm is not None:
            self._on_alarm(error)

    def start(self) -> None:
        """Begin to follow the log."""
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
        """Move up to the newest snapshot; without one read from the start."""
        found = await snapshot_reader.load_newest(self._log, self._fold.offset)
        match found:
            case results.LogUnavailable(reason=reason):
                await self._cut_off(reason)
                return
            case snapshot_reader.Loaded(fold=fold, alarms=alarms):
                self._adopt(fold)
            case snapshot_reader.NoSnapshot(alarms=alarms):
                pass
        self._snapshot_read = True
        for alarm in alarms:
            self.raise_alarm(alarm)

    async def _read_page(self) -> None:
        waits = self._loaded and not self._cut_off_reason
        wait_ms = POLL_WAIT_MS if waits else 0
        step = await catalogue_reader.advance(self._log, self._fold, wait_ms)
        match step:
            case results.LogUnavailable(reason=reason):
                await self._cut_off(reason)
            case catalogue_reader.Stopped(error=error, records=records):
                self._keep(records)
                self._publish()
                await self._stopped(error)
            case catalogue_reader.Advanced(records=records, next=next_):
                self._keep(records)
                self._publish()
                self._cut_off_reason = ''
                self._obstacle = None
                if next_ == self._fold.offset + 1:
                    self._confirm()

    async def _stopped(self, error: errors.SycamoreError) -> None:
        """Meet what the log holds or lacks, and look for a way past it."""
        if type(self._obstacle) is not type(error):
            self._obstacle_since_ms = self._clock.monotonic_ms()
            telemetry.log_event('catalogue_stops', 'ERROR', detail=str(error))
            if isinstance(error, errors.PlatformError):
                self.raise_alarm(error)
        self._obstacle = error
        if isinstance(error, errors.VersionError):
            return
        self._snapshot_read = False
        await self._ask_peers()
        await self._pause()

    async def _cut_off(self, reason: str) -> None:
        """Do without the log: ask the peers, then try the log again."""
        if not self._cut_off_reason:
            telemetry.log_event('catalogue_cut_off', 'WARNING', reason=reason)
        self._cut_off_reason = reason
        await self._ask_peers()
        await self._pause()

    async def _pause(self) -> None:
        spread = self._random.uniform(0.5, 1.5)
        await self._clock.sleep_ms(RETRY_MS * spread)

    async def _ask_peers(self) -> None:
        best = self._peers.highest_offset()
        if best is None or best.offset < 0:
            return
        if best.offset <= self._fold.offset:
            known = self._fold.digest_at(best.offset)
            if known is not None and known != best.digest:
                self.raise_alarm(_differs(best))
            elif self._loaded:
                self._confirm()
            return
        answer = await self._peers.fetch_state(best.peer_id, self._fold.offset)
        if answer is not None:
            await self._take_state(best, answer.state)

    async def _take_state(self, best: PeerOffset, state: bytes) -> None:
        try:
            fold = await catalogue_exchange.unpack(self._fold, state)
        except errors.SycamoreError as error:
            self.raise_alarm(error)
            return
        known = fold.digest_at(best.offset)
        if known is not None and known != best.digest:
            self.raise_alarm(_differs(best))
            return
        if fold.offset >= best.offset:
            self._adopt(fold)
            self._confirm()

    def _adopt(self, fold: catalogue_fold.Fold) -> None:
        """Go on from a verified fold, if its offset is higher."""
        if fold.offset <= self._fold.offset:
            return
        self._fold = fold
        self._recent.clear()
        self._recent_bytes = 0
        if isinstance(self._obstacle, errors.GapError):
            self._obstacle = None
        self._publish()

    def _keep(self, taken: tuple[results.LogRecord, ...]) -> None:
        """Remember the last records, for peers that cannot read the log."""
        for record in taken:
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

    def _confirm(self) -> None:
        self._loaded = True
        self._confirmed_ms = self._clock.monotonic_ms()

    def _why_not_loaded(self) -> str:
        cause = self._obstacle or self._cut_off_reason or 'still reading'
        return f'no catalogue has been read yet ({cause})'


def _differs(best: PeerOffset) -> errors.DigestError:
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
    """Return a follower; ``start`` it on a running event loop."""
    return CatalogueFollower(
        log,
        clock,
        peers,
        stale_after_ms,
        generator or random.Random(),
        on_alarm,
    )
