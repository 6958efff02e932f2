"""Keeps the desired state, targets and instances as in the store."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import attrs

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import store_outage
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.evacuation import evacuations
from sycamorebeam.forwarding.evacuation import zone_records

# Each read of the desired state renews the freshness lease. Several reads fit
# into the shortest lease; more would cost more, as each call is billed.
STATE_WAIT_MS = 1_500
# Time within which the operator and the targets write again the records that
# a restored copy of the store lacks (protocol, on entries after an outage).
COPY_REWRITE_MS = 2_000
# Time within which instances write their entries again: they do so when they
# notice by their next read that the store was restored from a copy.
ENTRIES_REWRITE_MS = 2 * STATE_WAIT_MS + COPY_REWRITE_MS
# If a change arrives after a longer wait than this, the next read does not
# wait. Changes in quick succession cost no such extra calls.
LONG_WAIT_MS = 500
# The interval between reads of targets, as a share of the drain timeout. A
# leaving target must get no calls after that timeout, so a failed read and its
# repetition by another instance must both fit into it.
TARGETS_INTERVAL_SHARE = 0.3
INSTANCES_INTERVAL_MS = 4_000
# If all instances start at once, the first listing shows their previous
# processes. The interval between listings starts short and doubles.
FIRST_INSTANCES_INTERVAL_MS = 500


OnArriving = Callable[[], None]


class ReadError(Exception):
    """The store could not be read."""


class HistoryGoneError(ReadError):
    """The store no longer has all changes; a full read is needed."""


@attrs.frozen
class StateRead:
    """A read of the desired state; ``state`` is None if nothing is new.

    ``record`` is the state in the platform's encoding. ``as_of_ms`` is set if
    the read shows the state as of another time than the start of its call.
    ``evacuations`` are the operator's records of zones in the read.
    """

    state: model.DesiredState | None
    position: int
    record: bytes = b''
    as_of_ms: int | None = None
    evacuations: zone_records.ZoneChanges = attrs.field(
        factory=zone_records.ZoneChanges
    )

    @property
    def has_records(self) -> bool:
        """Whether the read has a state or records of zones."""
        return self.state is not None or bool(self.evacuations.has_record)


@attrs.frozen
class TargetsRead:
    """A read of targets' entries: changes, or all if ``is_whole``.

    After a read that ``is_paced`` the next one begins at once, since it
    waits for the interval between reads itself.
    """

    entries: tuple[target_directory.TargetEntry, ...]
    position: int
    is_whole: bool = False
    is_paced: bool = False


class Platform(Protocol):
    """The platform's store, with its records as this package's types.

    ``era`` is how often the store was restored from a copy that may lack its
    last records, as of the newest answer.
    """

    @property
    def era(self) -> int:
        """The era of the store."""
        ...

    async def read_state(self) -> StateRead:
        """Return the newest desired state."""
        ...

    async def wait_state(self, position: int, wait_ms: int) -> StateRead:
        """Return a state after a position, waiting up to ``wait_ms``."""
        ...

    async def read_targets(self) -> TargetsRead:
        """Return all targets' entries."""
        ...

    async def read_target_changes(self, position: int) -> TargetsRead:
        """Return the entries that changed after a position."""
        ...

    async def read_instances(
        self,
    ) -> Iterable[membership.InstanceEntry]:
        """Return the entries of the system's instances."""
        ...

    async def renew_instance(self, entry: membership.InstanceEntry) -> None:
        """Write this instance's entry."""
        ...

    async def remove_instance(self, instance_id: str) -> None:
        """Remove this instance's entry."""
        ...


class StateFollower:
    """Follows the desired state and renews the freshness lease."""

    def __init__(
        self,
        platform: Platform,
        clock: clocks.Clock,
        state: active_state.ActiveState,
        lease: freshness.FreshnessLease,
        store_recovery: store_outage.StoreRecovery,
        zone_evacuations: evacuations.Evacuations,
    ) -> None:
        self._evacuations = zone_evacuations
        self._platform = platform
        self._clock = clock
        self._state = state
        self._lease = lease
        self._store_recovery = store_recovery

    async def follow(self) -> None:
        """Follow until cancelled."""
        outage = store_outage.OutageTracker(
            self._clock, self._store_recovery, 'desired_state'
        )
        position: int | None = None
        # A read with a change shows the state only as of its start, and a
        # failed read shows nothing: the next read does not wait.
        is_due = False
        era: int | None = None
        # Reads of a restored copy don't renew the lease before this time,
        # since it may lack a newer state.
        trusted_from_ms = 0
        is_outdated = False
        while True:
            began_ms = self._clock.boottime_ms()
            self._evacuations.expire(began_ms)
            try:
                if position is None:
                    read = await self._platform.read_state()
                else:
                    read = await self._platform.wait_state(
                        position, 0 if is_due else STATE_WAIT_MS
                    )
            except HistoryGoneError:
                position = None
            except ReadError as error:
                is_due = True
                await outage.record_failure(error)
            else:
                outage.record_success()
                position = read.position
                now_ms = self._clock.boottime_ms()
                is_due = read.has_records and now_ms - began_ms > LONG_WAIT_MS
                # Before the state, so that the instance is not ready until it
                # knows the evacuated zones.
                self._evacuations.apply(read.evacuations, position, now_ms)
                if era is not None and self._platform.era > era:
                    trusted_from_ms = began_ms + COPY_REWRITE_MS
                    self._report_copy(read)
                era = self._platform.era
                if read.state is not None:
                    is_outdated = self._is_older(read.state)
                self._apply(read.state)
                if read.as_of_ms is not None:
                    began_ms = read.as_of_ms
                if (
                    self._state.desired is not None
                    and not is_outdated
                    and began_ms >= trusted_from_ms
                ):
                    self._lease.renew(began_ms)

    def _is_older(self, desired: model.DesiredState) -> bool:
        known = self._state.desired
        return known is not None and desired.version < known.version

    def _report_copy(self, read: StateRead) -> None:
        telemetry.log_event(
            'store_back_from_copy',
            'WARNING',
            era=self._platform.era,
            version=None if read.state is None else read.state.version,
            known_version=(
                None
                if self._state.desired is None
                else self._state.desired.version
            ),
        )
        self._store_recovery.notify()

    def _apply(self, desired: model.DesiredState | None) -> None:
        if desired is None or not self._state.replace_if_newer(desired):
            return
        telemetry.log_event(
            'state_in_force',
            version=desired.version,
            routes=len(desired.routes),
            services=len(desired.services),
            keys=len(desired.team_of_key),
        )


class TargetsFollower:
    """Follows the targets' entries in the store."""

    def __init__(
        self,
        platform: Platform,
        clock: clocks.Clock,
        directory: target_directory.TargetDirectory,
        chooser: target_choice.TargetChooser,
        interval_ms: float,
        store_recovery: store_outage.StoreRecovery,
    ) -> None:
        self._store_recovery = store_recovery
        self._platform = platform
        self._clock = clock
        self._directory = directory
        self._chooser = chooser
        self._interval_ms = interval_ms

    async def follow(self) -> None:
        """Follow until cancelled."""
        outage = store_outage.OutageTracker(
            self._clock, self._store_recovery, 'targets'
        )
        position: int | None = None
        era: int | None = None
        while True:
            try:
                if position is None:
                    read = await self._platform.read_targets()
                else:
                    read = await self._platform.read_target_changes(position)
            except HistoryGoneError:
                position = None
                continue
            except ReadError as error:
                await outage.record_failure(error)
                continue
            now_ms = self._clock.monotonic_ms()
            if outage.record_success():
                self._directory.record_store_recovery(now_ms)
            is_copy = era is not None and self._platform.era > era
            if read.is_whole and is_copy:
                changes = self._directory.replace_from_copy(
                    read.entries, now_ms
                )
            elif read.is_whole:
                changes = self._directory.replace(read.entries, now_ms)
            else:
                changes = self._directory.update(read.entries, now_ms)
            changes.extend(self._directory.expire(now_ms))
            position = read.position
            if read.is_whole:
                era = self._platform.era
            self._chooser.keep_only(self._directory.targets.values(), now_ms)
            if changes:
                telemetry.log_event(
                    'targets_changed', changes=' '.join(changes)
                )
            if not read.is_paced:
                await self._clock.sleep_ms(self._interval_ms)


class InstancesFollower:
    """Follows the instances' entries and renews this instance's own."""

    def __init__(
        self,
        platform: Platform,
        clock: clocks.Clock,
        instances: membership.Membership,
        store_recovery: store_outage.StoreRecovery,
        *,
        lists_before_renewal: bool = False,
    ) -> None:
        self._store_recovery = store_recovery
        self._platform = platform
        self._clock = clock
        self._instances = instances
        self._lists_before_renewal = lists_before_renewal
        self._is_leaving = False

    async def follow(self) -> None:
        """Follow until cancelled."""
        outage = store_outage.OutageTracker(
            self._clock, self._store_recovery, 'instances'
        )
        renewed_ms: int | None = None
        interval_ms = FIRST_INSTANCES_INTERVAL_MS
        era: int | None = None
        kept_until_ms = 0
        if self._lists_before_renewal:
            await self._find_previous_entry()
        while True:
            now_ms = self._clock.monotonic_ms()
            if era is not None and self._platform.era > era:
                era = self._platform.era
                kept_until_ms = now_ms + ENTRIES_REWRITE_MS
                renewed_ms = None
            try:
                if not self._is_leaving and (
                    renewed_ms is None
                    or now_ms - renewed_ms >= membership.RENEWAL_INTERVAL_MS
                ):
                    await self._renew(now_ms)
                    renewed_ms = now_ms
                entries = await self._platform.read_instances()
            except ReadError as error:
                self._instances.renew_all()
                await outage.record_failure(error)
                continue
            outage.record_success()
            if era is None:
                era = self._platform.era
            if now_ms < kept_until_ms:
                changes = self._instances.merge(entries)
            else:
                changes = self._instances.replace(entries)
            changes.extend(self._instances.expire())
            if changes:
                telemetry.log_event(
                    'instances_changed', changes=' '.join(changes)
                )
            await self._pause(interval_ms, renewed_ms)
            interval_ms = min(2 * interval_ms, INSTANCES_INTERVAL_MS)

    async def _find_previous_entry(self) -> None:
        """Read the listing before this process replaces the own entry in it.

        A restarted instance has the shares of its previous process, while a
        new one has to wait until all others know of it.
        """
        try:
            self._instances.merge(await self._platform.read_instances())
        except ReadError as error:
            telemetry.log_event('previous_entry_unknown', error=str(error))

    async def leave(self) -> None:
        """Remove this instance's entry, and stop renewing it."""
        self._is_leaving = True
        own = self._instances.own_entry
        try:
            await self._platform.remove_instance(own.instance_id)
        except ReadError as error:
            # The entry expires by itself.
            telemetry.log_event('entry_not_removed', error=str(error))

    async def _pause(self, interval_ms: int, renewed_ms: int | None) -> None:
        """Wait until the next listing or renewal is due."""
        if renewed_ms is not None and not self._is_leaving:
            due_ms = renewed_ms + membership.RENEWAL_INTERVAL_MS
            left_ms = due_ms - self._clock.monotonic_ms()
            interval_ms = max(0, min(interval_ms, left_ms))
        # Wake early to write an entry that a restored copy of the store lacks.
        await self._store_recovery.wait(interval_ms)

    async def _renew(self, now_ms: int) -> None:
        own = self._instances.own_entry
        await self._platform.renew_instance(attrs.evolve(own, renewal=now_ms))
