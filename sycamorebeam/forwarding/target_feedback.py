"""What targets say of themselves beside their answers.

The load answered here is a target that leaves or is full while all
instances still send to it. A target that leaves may be heard of in an answer
long before the store lists it, or while the store is away.
"""

from sycamorebeam import telemetry
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import target_directory
from sycamorebeam.peering import messages

# Callers wait seconds; a target that asks for more is not believed.
MAX_BACKOFF_MS = 60_000.0


class FeedbackHandler:
    """Takes notices, and tells the other instances who leaves."""

    def __init__(
        self,
        directory: target_directory.TargetDirectory,
        links: peer_links.PeerLinks,
    ) -> None:
        self._directory = directory
        self._links = links
        links.add_broadcast_handler(self._on_message)

    def handle(self, target: model.Target, feedback: model.Feedback) -> float:
        """Take a notice; return how long the target is to be left alone."""
        if feedback.is_leaving:
            self._mark_leaving(target.target_id, target.incarnation, 'answer')
        if feedback.backoff_ms <= 0:
            return 0.0
        rest_ms = min(feedback.backoff_ms, MAX_BACKOFF_MS)
        telemetry.log_event(
            'target_rests',
            target=target.target_id,
            asked_ms=feedback.backoff_ms,
            rest_ms=rest_ms,
        )
        return rest_ms

    def _on_message(self, message: messages.Message) -> None:
        match message:
            case messages.TargetLeaving(target_id, incarnation):
                self._mark_leaving(target_id, incarnation, 'instance')

    def _mark_leaving(
        self, target_id: str, incarnation: int, source: str
    ) -> None:
        """Note that a target leaves; pass it on where that is news."""
        if not self._directory.mark_leaving(target_id, incarnation):
            return
        telemetry.log_event(
            'target_leaving',
            target=target_id,
            incarnation=incarnation,
            source=source,
        )
        self._links.broadcast(messages.TargetLeaving(target_id, incarnation))
