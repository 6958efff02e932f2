"""Serves this instance's reads of the store to other instances."""

from collections.abc import Iterable
import enum

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import pending_reads
from sycamorebeam.forwarding import read_cache
from sycamorebeam.forwarding import shared_rows
from sycamorebeam.peering import messages

# Older listings are not shared: instances with listings of different times
# disagree on who owns a queue. Instances that list at the same interval ask
# within this time of each other.
MAX_LISTING_AGE_MS = 300
# A request that does not wait for changes, such as after a failed read, is
# answered at once from a read that began this recently.
RECENT_READ_MS = followers.STATE_WAIT_MS


class Topic(enum.Enum):
    """A part of the store."""

    STATE = 'state'
    TARGETS = 'targets'
    INSTANCES = 'instances'


class ReadServer:
    """Caches the last reads, and answers or holds requests for them."""

    def __init__(
        self,
        clock: clocks.Clock,
        own: membership.InstanceEntry,
        links: peer_links.PeerLinks,
    ) -> None:
        self._clock = clock
        self._precedence = membership.read_precedence(
            own.instance_id, is_strong=own.is_strong
        )
        self._caches = {topic: read_cache.ReadCache() for topic in Topic}
        self._pending = {
            topic: pending_reads.PendingReads() for topic in Topic
        }
        self._is_store_lost = dict.fromkeys(Topic, False)
        links.add_handler(self._serve)

    def is_store_lost(self, topic: Topic) -> bool:
        """Whether this instance's last read of the store failed."""
        return self._is_store_lost[topic]

    def pending(self, topic: Topic) -> pending_reads.PendingReads:
        """Return the held requests for a part of the store."""
        return self._pending[topic]

    def publish(
        self,
        topic: Topic,
        rows: Iterable[read_cache.Row],
        position: int,
        is_whole: bool,
        began_ms: int,
    ) -> None:
        """Cache a read and answer all held requests with it."""
        self._is_store_lost[topic] = False
        self._caches[topic].put(rows, position, is_whole, began_ms)
        for request in self._pending[topic].pop_all():
            self._answer(topic, request)

    def fail_pending(self, topic: Topic) -> None:
        """Record a failed read and refuse all held requests."""
        self._is_store_lost[topic] = True
        for request in self._pending[topic].pop_all():
            request.refuse()

    def _serve(
        self, link: peer_links.InboundLink, message: messages.Message
    ) -> None:
        match message:
            case messages.RequestSharedRead(call_id, name, position):
                request = pending_reads.ReadRequest(
                    link,
                    call_id,
                    position,
                    self._clock.boottime_ms(),
                    self._is_deadlock_free(link.instance_id, message),
                    message.is_waiting,
                )
                try:
                    topic = Topic(name)
                except ValueError:
                    telemetry.log_event(
                        'read_refused', 'WARNING', part=name, reason='unknown'
                    )
                    request.refuse()
                else:
                    self._serve_request(topic, request)

    def _is_deadlock_free(
        self, instance_id: str, request: messages.RequestSharedRead
    ) -> bool:
        """Whether a request cannot close a cycle of waits."""
        precedence = membership.read_precedence(
            instance_id, is_strong=request.is_strong
        )
        return request.refuses_all or precedence < self._precedence

    def _serve_request(
        self, topic: Topic, request: pending_reads.ReadRequest
    ) -> None:
        if self._is_store_lost[topic]:
            request.refuse()
        elif self._can_answer(topic, request):
            self._answer(topic, request)
        else:
            self._pending[topic].hold(request)

    def _can_answer(
        self, topic: Topic, request: pending_reads.ReadRequest
    ) -> bool:
        cache = self._caches[topic]
        if cache.began_ms is None:
            return False
        age_ms = request.received_ms - cache.began_ms
        if topic is Topic.INSTANCES:
            return age_ms <= MAX_LISTING_AGE_MS
        if not request.is_waiting and age_ms <= RECENT_READ_MS:
            return True
        return cache.has_changes(request.position)

    def _answer(
        self, topic: Topic, request: pending_reads.ReadRequest
    ) -> None:
        cache = self._caches[topic]
        assert cache.began_ms is not None
        changes = cache.changes_since(request.position)
        request.link.stream.send(
            messages.SharedRead(
                request.call_id,
                changes.position,
                changes.is_whole,
                [
                    [row.key, row.record]
                    for row in changes.rows
                    if row.key != shared_rows.ZONES_KEY
                ],
                request.received_ms - cache.began_ms,
                shared_rows.decode_zones(cache.record(shared_rows.ZONES_KEY)),
            )
        )
