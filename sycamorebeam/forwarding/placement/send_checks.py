"""Checks that a request may be sent, once its connection is open."""

from collections.abc import Callable

from sycamorebeam import clocks
from sycamorebeam.forwarding import calls
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_feedback
from sycamorebeam.forwarding import upstream
from sycamorebeam.forwarding.cold_targets import cold_targets


class SendChecks:
    """Makes the checks of requests, and records their sends."""

    def __init__(
        self,
        clock: clocks.Clock,
        lease: freshness.FreshnessLease,
        directory: target_directory.TargetDirectory,
        feedback_handler: target_feedback.FeedbackHandler,
        cold: cold_targets.ColdTargets,
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._directory = directory
        self._feedback_handler = feedback_handler
        self._cold = cold

    def new(
        self, call: calls.Call, target: model.Target
    ) -> Callable[[], None]:
        """Return a check to run once the connection is open.

        The process may have been suspended since the request was admitted.
        """

        def check() -> None:
            if call.team is not None and not self._lease.is_valid(
                self._clock.boottime_ms()
            ):
                raise upstream.NotSentError('the desired state is too old')
            # The target's entry may have been removed meanwhile.
            if self._directory.is_zone_evacuated(target.availability_zone):
                raise upstream.NotSentError(
                    f'the zone of {target.target_id} is evacuated'
                )
            self._cold.check_send(target, call.chosen_ms)
            call.sends += 1
            call.sent_ms = self._clock.monotonic_ms()
            self._feedback_handler.record_send(target, 'request')

        return check
