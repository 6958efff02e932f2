"""Handles the state that targets report along with their answers.

It is designed for targets that leave or are full while all instances still
send to them. An answer may report that a target is leaving long before the
store does, or while the store is unavailable.
"""

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_limits
from sycamorebeam.forwarding.cold_targets import cold_targets
from sycamorebeam.peering import messages

# Callers wait for seconds, so longer back-offs of a target are capped.
MAX_BACKOFF_MS = 60_000.0


class FeedbackHandler:
    """Handles feedback, and shares leaving targets with other instances."""

    def __init__(
        self,
        clock: clocks.Clock,
        directory: target_directory.TargetDirectory,
        limits: target_limits.TargetLimits,
        links: peer_links.PeerLinks,
        cold: cold_targets.ColdTargets,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._limits = limits
        self._links = links
        self._cold = cold
        links.add_broadcast_handler(self._on_message)

    def handle(self, target: model.Target, feedback: model.Feedback) -> float:
        """Handle feedback; return how long to send nothing to the target."""
        if feedback.is_leaving:
            self._mark_leaving(target.target_id, target.incarnation, 'answer')
        if feedback.requests_per_s is not None:
            self._handle_limit(target, feedback.requests_per_s)
        if feedback.cold_ms is not None:
            self._cold.record_answer(target, feedback.cold_ms)
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

    def record_send(self, target: model.Target, path: str) -> None:
        """Log a request to a target with a limit; ``path`` names its kind."""
        limit = self._limits.get(target)
        if limit is None:
            return
        now_ms = self._clock.monotonic_ms()
        limit.record_send(now_ms)
        telemetry.log_event(
            'limited_target_used',
            target=target.target_id,
            path=path,
            requests_per_s=limit.requests_per_s,
            recent_sends=limit.recent_send_count(now_ms),
        )

    def _handle_limit(
        self, target: model.Target, requests_per_s: float
    ) -> None:
        """Record a target's limit, and tell the others if it has changed.

        Only the instance that the target told does so: instances that passed
        changes on could do so in a circle.
        """
        key = target.target_id, target.incarnation
        if self._record_limit(key, requests_per_s, 'answer'):
            self._links.broadcast(
                messages.TargetLimitChanged(*key, requests_per_s)
            )

    def _record_limit(
        self, key: target_limits.Key, requests_per_s: float, source: str
    ) -> bool:
        """Record a limit reported now; return whether it has changed."""
        now_ms = self._clock.monotonic_ms()
        if not self._limits.record(key, requests_per_s, now_ms):
            return False
        target_id, incarnation = key
        telemetry.log_event(
            'target_limit_changed',
            target=target_id,
            incarnation=incarnation,
            requests_per_s=requests_per_s,
            source=source,
        )
        return True

    def _on_message(self, message: messages.Message) -> None:
        match message:
            case messages.TargetLeaving(target_id, incarnation):
                self._mark_leaving(target_id, incarnation, 'instance')
            case messages.TargetLimitChanged(target_id, incarnation, limit):
                self._record_limit((target_id, incarnation), limit, 'instance')

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
