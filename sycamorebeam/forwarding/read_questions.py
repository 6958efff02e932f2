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
class Question:
    """What another instance asks for.

    One that ``may_always_wait`` cannot be part of a circle; one that is not
    waiting for news is answered by a recent read without any.
    """

    served: peer_links.InboundLink
    call_id: int
    position: int
    received_ms: int
    may_always_wait: bool
    is_waiting: bool = True

    def promise(self) -> None:
        """Tell the asker that its answer is arriving at this instance."""
        self.served.stream.send(messages.ReadArriving(self.call_id))

    def refuse(self, asked_instead: str = '') -> None:
        """Tell the asker that there is no read to share, and whom to ask."""
        self.served.stream.send(
            messages.NoSharedRead(self.call_id, asked_instead)
        )


class ReadQuestions:
    """The questions for one part of the store."""

    def __init__(self) -> None:
        self._waiting: list[Question] = []
        self._asked_instead: str | None = None
        self._is_arriving = False

    def hold(self, question: Question) -> None:
        """Keep a question for the next read, or refuse it at once."""
        if self._asked_instead is None or question.may_always_wait:
            self._waiting.append(question)
            if self._is_arriving:
                question.promise()
        else:
            question.refuse(self._asked_instead)

    def promise(self) -> None:
        """Tell all who wait that the read they wait for is arriving."""
        self._is_arriving = True
        for question in self._waiting:
            question.promise()

    def begin_asking(self, instance_id: str) -> None:
        """Note whom this instance asks for its own next read.

        Who has waited for a read of this instance would wait longer than
        for one read if its question were passed on now.
        """
        is_first = self._asked_instead is None
        self._asked_instead = instance_id
        if is_first:
            for question in self.take():
                question.refuse(instance_id)

    def end_asking(self) -> None:
        """Note that this instance has its read, or reads by itself."""
        self._asked_instead = None

    def take(self) -> list[Question]:
        """Return the questions that wait, which are answered now."""
        self._is_arriving = False
        waiting, self._waiting = self._waiting, []
        return waiting
