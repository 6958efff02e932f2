"""Shares reads of the store among the instances of a region.

Many instances follow the same records. Calls to the store are billed and
limited, and a large desired state that each instance fetches by itself fills
the link between regions. So one instance of a region, its reader, reads, and
the others ask it. This is an optimisation only: an instance that gets no
answer reads the store itself.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib

import attrs

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import peer_link
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import positions
from sycamorebeam.forwarding import read_cache
from sycamorebeam.forwarding import read_server
from sycamorebeam.forwarding import reader_choice
from sycamorebeam.forwarding import record_platform
from sycamorebeam.forwarding import shared_rows
from sycamorebeam.forwarding.evacuation import zone_records
from sycamorebeam.peering import messages

# Time for an answer beyond the reader's own wait: a read of the store and a
# round trip between zones.
ANSWER_SLACK_MS = 400
# After a start of all instances, all of them ask for a full read at once. If
# each read the store itself, they would fill the link between regions for
# longer than this.
FULL_READ_TIMEOUT_MS = 2_000
# While an answer is arriving at the reader, the reader reports this at the
# interval below, and each report extends the wait by this timeout.
ARRIVING_TIMEOUT_MS = 1_500
ARRIVING_INTERVAL_MS = 300
# The listing of instances is small, and names the instances to ask for the
# other parts.
FIRST_LISTING_TIMEOUT_MS = 1_000
# Time until a reader that gave no answer is asked again.
READER_BACKOFF_MS = 3_000
NO_POSITION = -1  # asks for all rows
NO_ZONES_REASON = 'its version shares no evacuated zones'


class SharedReads:
    """Reads the store directly or through the reader of this region.

    Each answer of a reader says how long before the request its read began,
    so a shared read is as good a proof of freshness as a direct one.
    """

    def __init__(
        self,
        platform: record_platform.RecordPlatform,
        clock: clocks.Clock,
        instances: membership.Membership,
        links: peer_links.PeerLinks,
        targets_interval_ms: float,
    ) -> None:
        self._targets_interval_ms = targets_interval_ms
        self._platform = platform
        self._clock = clock
        self._instances = instances
        self._links = links
        self._server = read_server.ReadServer(
            clock, instances.own_entry, links
        )
        self._backoff_until_ms: dict[tuple[read_server.Topic, str], int] = {}
        self._has_listing = asyncio.Event()
        self._arriving_ms = -ARRIVING_INTERVAL_MS
        self._era = 0
        self._newest_version = -1
        self._newest_state: read_cache.Row | None = None
        self._zone_records = zone_records.ZoneRecords()

    @property
    def era(self) -> int:
        """How often the store was restored from a copy, as any reader saw."""
        return max(self._era, self._platform.era)

    async def read_state(self) -> followers.StateRead:
        """Return the newest desired state."""
        answer = await self._request_read(
            read_server.Topic.STATE, NO_POSITION, FULL_READ_TIMEOUT_MS
        )
        if answer is not None and answer.rows:
            zones = zone_records.whole(self._zone_records.zones)
            return attrs.evolve(self._state_read(answer), evacuations=zones)
        with self._reading(read_server.Topic.STATE) as began_ms:
            read = await self._platform.read_state(self._report_arriving)
        zones = zone_records.whole(read.evacuations.zones)
        read = attrs.evolve(read, evacuations=zones)
        self._publish_state(read, began_ms)
        return read

    async def wait_state(
        self, position: int, wait_ms: int
    ) -> followers.StateRead:
        """Return a state after a position, waiting up to ``wait_ms``."""
        # The reader may be in a waiting read even if this read must not wait.
        timeout_ms = (wait_ms or followers.STATE_WAIT_MS) + ANSWER_SLACK_MS
        asked_ms = self._clock.boottime_ms()
        answer = await self._request_read(
            read_server.Topic.STATE,
            position,
            timeout_ms,
            is_waiting=wait_ms > 0,
        )
        if answer is not None:
            return self._state_read(answer)
        with self._reading(read_server.Topic.STATE) as began_ms:
            # The time spent on asking counts as waiting, since the freshness
            # lease runs out meanwhile.
            left_ms = max(0, wait_ms - (began_ms - asked_ms))
            read = await self._platform.wait_state(
                position, left_ms, self._report_arriving
            )
        if not read.has_records:
            began_ms = freshness.confirmed_as_of_ms(
                began_ms, left_ms, self._clock.boottime_ms()
            )
        self._publish_state(read, began_ms)
        return attrs.evolve(read, as_of_ms=began_ms)

    async def read_targets(self) -> followers.TargetsRead:
        """Return all targets' entries."""
        answer = await self._request_read(
            read_server.Topic.TARGETS, NO_POSITION, FULL_READ_TIMEOUT_MS
        )
        if answer is not None and answer.is_whole:
            return shared_rows.targets_read(answer)
        with self._reading(read_server.Topic.TARGETS) as began_ms:
            read = await self._platform.read_targets()
        self._publish_targets(read, began_ms)
        return read

    async def read_target_changes(
        self, position: int
    ) -> followers.TargetsRead:
        """Return the entries that changed after a position.

        Another instance answers when it next reads them.
        """
        timeout_ms = self._targets_interval_ms + ANSWER_SLACK_MS
        answer = await self._request_read(
            read_server.Topic.TARGETS, position, timeout_ms
        )
        if answer is not None:
            return shared_rows.targets_read(answer)
        with self._reading(read_server.Topic.TARGETS) as began_ms:
            read = await self._platform.read_target_changes(position)
        self._publish_targets(read, began_ms)
        return read

    async def read_instances(
        self,
    ) -> Iterable[membership.InstanceEntry]:
        """Return the entries of the system's instances.

        Another instance answers when it next reads them.
        """
        timeout_ms = followers.INSTANCES_INTERVAL_MS + ANSWER_SLACK_MS
        answer = await self._request_read(
            read_server.Topic.INSTANCES, NO_POSITION, timeout_ms
        )
        if answer is not None and answer.rows:
            return shared_rows.instance_entries(answer.rows)
        try:
            with self._reading(read_server.Topic.INSTANCES) as began_ms:
                entries = list(await self._platform.read_instances())
        finally:
            self._has_listing.set()
        rows = shared_rows.instance_rows(entries)
        self._server.publish(
            read_server.Topic.INSTANCES, rows, 0, True, began_ms
        )
        return entries

    async def renew_instance(self, entry: membership.InstanceEntry) -> None:
        """Write this instance's entry."""
        await self._platform.renew_instance(entry)

    async def remove_instance(self, instance_id: str) -> None:
        """Remove this instance's entry."""
        await self._platform.remove_instance(instance_id)

    @contextlib.contextmanager
    def _reading(self, topic: read_server.Topic) -> Iterator[int]:
        """Yield a read's start time; refuse held requests if it fails."""
        try:
            yield self._clock.boottime_ms()
        except followers.HistoryGoneError:
            raise
        except followers.ReadError:
            self._server.fail_pending(topic)
            raise

    async def _request_read(
        self,
        topic: read_server.Topic,
        position: int,
        timeout_ms: float,
        *,
        is_waiting: bool = True,
    ) -> shared_rows.Answer | None:
        """Ask the readers of this region; return None if none answers.

        A reader that has lost the store refuses, and the next one is asked;
        a reader that asks another one redirects to it. All waits together
        end after ``timeout_ms``, unless an answer is arriving at the reader.
        """
        if topic is not read_server.Topic.INSTANCES:
            await self._wait_for_listing()
        is_lost = self._server.is_store_lost(topic)
        until_ms = self._clock.monotonic_ms() + timeout_ms
        readers = reader_choice.ReaderChoice(
            self._instances.own_entry.instance_id,
            self._instances.readers(is_store_lost=is_lost),
        )
        try:
            while (instance_id := readers.next()) is not None:
                left_ms = until_ms - self._clock.monotonic_ms()
                if left_ms <= 0:
                    break
                if self._is_skipped(topic, instance_id):
                    continue
                asked_ms = self._clock.boottime_ms()
                try:
                    answer = await self._exchange(
                        instance_id, topic, position, left_ms, is_waiting
                    )
                except peer_link.LinkLostError as error:
                    self._back_off(topic, instance_id, str(error))
                    continue
                match answer:
                    case messages.SharedRead(evacuated_zones=None) if (
                        topic is read_server.Topic.STATE
                    ):
                        self._back_off(topic, instance_id, NO_ZONES_REASON)
                    case messages.SharedRead():
                        return self._accept_answer(
                            topic, answer, position, asked_ms
                        )
                    case messages.NoSharedRead(_, ''):
                        self._back_off(topic, instance_id, 'no read to share')
                    case messages.NoSharedRead(_, redirect_id):
                        readers.redirect(instance_id, redirect_id)
        finally:
            self._server.pending(topic).end_asking()
        return None

    def _report_arriving(self) -> None:
        """Report to waiting instances that more of the state has arrived."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._arriving_ms >= ARRIVING_INTERVAL_MS:
            self._arriving_ms = now_ms
            self._server.pending(read_server.Topic.STATE).report_arriving()

    async def _wait_for_listing(self) -> None:
        """Wait, after a start, until the instances have been listed."""
        if self._instances.is_listed:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LISTING_TIMEOUT_MS / 1000):
                await self._has_listing.wait()

    def _is_skipped(self, topic: read_server.Topic, instance_id: str) -> bool:
        until_ms = self._backoff_until_ms.get((topic, instance_id), 0)
        return (
            self._clock.monotonic_ms() < until_ms
            or self._links.is_stopping(instance_id)
        )

    def _accept_answer(
        self,
        topic: read_server.Topic,
        answer: messages.SharedRead,
        position: int,
        asked_ms: int,
    ) -> shared_rows.Answer:
        """Convert an answer, and cache its rows for other instances."""
        rows = tuple(
            read_cache.Row(key, record) for key, record in answer.rows
        )
        reached = max(position, answer.position)
        self._era = max(self._era, positions.era_of(reached))
        began_ms = asked_ms - answer.age_ms
        zones = zone_records.ZoneChanges()
        cached = rows
        if answer.evacuated_zones is not None:
            zones = self._zone_records.apply(
                zone_records.whole(answer.evacuated_zones), answer.position
            )
            cached = (*rows, shared_rows.zones_row(self._zone_records.zones))
        self._server.publish(topic, cached, reached, answer.is_whole, began_ms)
        return shared_rows.Answer(
            rows, reached, answer.is_whole, began_ms, zones
        )

    async def _exchange(
        self,
        instance_id: str,
        topic: read_server.Topic,
        position: int,
        timeout_ms: float,
        is_waiting: bool,
    ) -> messages.Message:
        link = await self._links.connect_or_raise(instance_id)
        self._server.pending(topic).begin_asking(instance_id)
        with link.exchange() as exchange:
            link.send(
                messages.RequestSharedRead(
                    exchange.call_id,
                    topic.value,
                    position,
                    self._instances.own_entry.is_strong,
                    self._server.is_store_lost(topic),
                    is_waiting,
                )
            )
            answer = await exchange.next(timeout_ms)
            while isinstance(answer, messages.ReadArriving):
                answer = await exchange.next(ARRIVING_TIMEOUT_MS)
            return answer

    def _back_off(
        self, topic: read_server.Topic, instance_id: str, reason: str
    ) -> None:
        until_ms = self._clock.monotonic_ms() + READER_BACKOFF_MS
        self._backoff_until_ms[(topic, instance_id)] = until_ms
        telemetry.log_event(
            'reader_passed_over',
            'WARNING',
            part=topic.value,
            peer=instance_id,
            reason=reason,
        )

    def _publish_state(self, read: followers.StateRead, began_ms: int) -> None:
        rows = []
        if read.state is not None:
            row = shared_rows.state_row(read.record)
            rows = [self._keep_newest(read.state.version, row)]
        self._zone_records.apply(read.evacuations, read.position)
        if self._zone_records.position is not None:
            rows.append(shared_rows.zones_row(self._zone_records.zones))
        self._server.publish(
            read_server.Topic.STATE, rows, read.position, False, began_ms
        )

    def _state_read(self, answer: shared_rows.Answer) -> followers.StateRead:
        read = shared_rows.state_read(answer, self._platform.decode_state)
        if read.state is not None:
            self._keep_newest(read.state.version, answer.rows[-1])
        return read

    def _keep_newest(
        self, version: int, row: read_cache.Row
    ) -> read_cache.Row:
        """Return the newest state seen so far, this one included.

        A store that was restored from a copy may hold an older state, which
        must not be shared.
        """
        if self._newest_state is None or version >= self._newest_version:
            self._newest_version, self._newest_state = version, row
        return self._newest_state

    def _publish_targets(
        self, read: followers.TargetsRead, began_ms: int
    ) -> None:
        rows = shared_rows.target_rows(read.entries)
        self._server.publish(
            read_server.Topic.TARGETS,
            rows,
            read.position,
            read.is_whole,
            began_ms,
        )
