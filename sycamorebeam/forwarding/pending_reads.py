"""Requests of other instances that wait for this one's next read.

Instances may disagree on which of them reads the store. To keep them from
waiting for each other in a cycle, an instance that asks another one holds
only the requests of instances with a lower read precedence, which is the
same on all instances. Every wait for an asking instance then goes to a higher
precedence.
"""

import attrs

from sycamorebeam.forwarding import peer_links
from sycamorebeam.peering import messages


@attrs.frozen
class ReadRequest:
    """Another instance's request for a read of one part of the store.

    A request that ``is_deadlock_free`` cannot close a cycle of waits. One
    that is not waiting for changes is answered from a recent read even if
    nothing changed.
    """

    link: peer_links.InboundLink
    call_id: int
    position: int
    received_ms: int
    is_deadlock_free: bool
    is_waiting: bool = True

    def report_arriving(self) -> None:
        """Report that the answer is arriving from the store."""
        self.link.stream.send(messages.ReadArriving(self.call_id))

    def refuse(self, redirect_id: str = '') -> None:
        """Refuse the request, or redirect it to another instance."""
        self.link.stream.send(messages.NoSharedRead(self.call_id, redirect_id))


class PendingReads:
    """The held requests for one part of the store."""

    def __init__(self) -> None:
        self._waiting: list[ReadRequest] = []
        self._asked_id: str | None = None
        self._is_arriving = False

    def hold(self, request: ReadRequest) -> None:
        """Hold a request until the next read, or redirect it at once."""
        if self._asked_id is None or request.is_deadlock_free:
            self._waiting.append(request)
            if self._is_arriving:
                request.report_arriving()
        else:
            request.refuse(self._asked_id)

    def report_arriving(self) -> None:
        """Report to all held requests that their answer is arriving."""
        self._is_arriving = True
        for request in self._waiting:
            request.report_arriving()

    def begin_asking(self, instance_id: str) -> None:
        """Set the instance that this one asks for its own next read.

        Redirects the held requests to it: an answer by way of this instance
        would take them longer than one read.
        """
        is_first = self._asked_id is None
        self._asked_id = instance_id
        if is_first:
            for request in self.pop_all():
                request.refuse(instance_id)

    def end_asking(self) -> None:
        """Accept all requests again: no other instance is being asked."""
        self._asked_id = None

    def pop_all(self) -> list[ReadRequest]:
        """Remove and return all held requests."""
        self._is_arriving = False
        waiting, self._waiting = self._waiting, []
        return waiting
