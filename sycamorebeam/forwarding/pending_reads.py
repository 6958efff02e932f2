"""Questions for reads of the store that wait at an instance.

Instances may disagree on who reads. They never wait for each other in a
circle: an instance that asks another holds only the questions of those that
come before it in an order which does not depend on any view, so that all
waits for an asking instance go upwards in that order.
"""

import attrs

from sycamorebeam.forwarding import peer_links
from sycamorebeam.peering import messages


@attrs.frozen
class ReadRequest:
    """What another instance asks for.

    One that ``is_deadlock_free`` cannot be part of a circle; one that is not
    waiting for news is answered by a recent read without any.
    """

    served: peer_links.InboundLink
    call_id: int
    position: int
    received_ms: int
    is_deadlock_free: bool
    is_waiting: bool = True

    def report_arriving(self) -> None:
        """Tell the asker that its answer is arriving at this instance."""
        self.served.stream.send(messages.ReadArriving(self.call_id))

    def refuse(self, redirect_id: str = '') -> None:
        """Tell the asker that there is no read to share, and whom to ask."""
        self.served.stream.send(
            messages.NoSharedRead(self.call_id, redirect_id)
        )


class PendingReads:
    """The questions for one part of the store."""

    def __init__(self) -> None:
        self._waiting: list[ReadRequest] = []
        self._asked_id: str | None = None
        self._is_arriving = False

    def hold(self, request: ReadRequest) -> None:
        """Keep a request for the next read, or refuse it at once."""
        if self._asked_id is None or request.is_deadlock_free:
            self._waiting.append(request)
            if self._is_arriving:
                request.report_arriving()
        else:
            request.refuse(self._asked_id)

    def report_arriving(self) -> None:
        """Tell all who wait that the read they wait for is arriving."""
        self._is_arriving = True
        for request in self._waiting:
            request.report_arriving()

    def begin_asking(self, instance_id: str) -> None:
        """Note whom this instance asks for its own next read.

        Who has waited for a read of this instance would wait longer than
        for one read if its request were passed on now.
        """
        is_first = self._asked_id is None
        self._asked_id = instance_id
        if is_first:
            for request in self.pop_all():
                request.refuse(instance_id)

    def end_asking(self) -> None:
        """Note that this instance has its read, or reads by itself."""
        self._asked_id = None

    def pop_all(self) -> list[ReadRequest]:
        """Return the questions that wait, which are answered now."""
        self._is_arriving = False
        waiting, self._waiting = self._waiting, []
        return waiting
