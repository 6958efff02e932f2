"""Handles the state that targets report along with their answers.

It is designed for targets that leave or are full while all instances still
send to them. An answer may report that a target is leaving long before the
store does, or while the store is unavailable.
"""

from sycamorebeam import telemetry
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import target_directory
from sycamorebeam.peering import messages

# Callers wait for seconds, so longer back-offs of a target are capped.
MAX_BACKOFF_MS = 60_000.0


class FeedbackHandler:
    """Handles feedback, and shares leaving targets with other instances."""

    def __init__(
        self,
        directory: target_directory.TargetDirectory,
        links: peer_links.PeerLinks,
    ) -> None:
        self._directory = directory
        self._links = links
        links.add_broadcast_handler(self._on_message)

    def handle(self, target: model.Target, feedback: model.Feedback) -> float:
        """Handle feedback; return how long to send nothing to the target."""
        if feedback.is_leaving:
            self._mark_leaving(target.target_id, target.incarnation, 'answer')
        if feedback.backoff_ms <= 0:
            return 0.0
        backoff_ms = min(feedback.backoff_ms, MAX_BACKOFF_MS)
        telemetry.log_event(
            'target_rests',
            target=target.target_id,
            asked_ms=feedback.backoff_ms,
            rest_ms=backoff_ms,
        )
        return backoff_ms

    def _on_message(self, message: messages.Message) -> None:
        match message:
            case messages.TargetLeaving(target_id, incarnation):
                self._mark_leaving(target_id, incarnation, 'instance')

    def _mark_leaving(
        self, target_id: str, incarnation: int, source: str
    ) -> None:
        """Mark a target as leaving, and tell the other instances if new."""
        if not self._directory.mark_leaving(target_id, incarnation):
            return
        telemetry.log_event(
            'target_leaving',
            target=target_id,
            incarnation=incarnation,
            source=source,
        )
        self._links.broadcast(messages.TargetLeaving(target_id, incarnation))
