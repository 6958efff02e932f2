"""Applies the shares of targets that may be cold to choices and sends."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding.cold_targets import cold_states
from sycamorebeam.forwarding.cold_targets import listed_ranks
from sycamorebeam.forwarding.cold_targets import rate_shares

# Suggested to callers if this instance has no share of any target: the placer
# or another instance may be reached by then.
NO_SHARE_RETRY_MS = 1_000.0
LOG_INTERVAL_MS = 1_000  # between log lines of one service
MAX_WINDOWS_KEPT = 4_096


class SendsUsedUpError(Exception):
    """A request was not sent: its target's share is used up."""


class ColdTargets:
    """Counts the requests that this instance sends or places."""

    def __init__(
        self,
        clock: clocks.Clock,
        instances: membership.Membership,
        service_of: Callable[[str], model.Service | None],
        region_of_zone: dict[str, str],
        bounds: rate_shares.Bounds | None,
        metrics: prometheus_metrics.Metrics,
    ) -> None:
        self._clock = clock
        self._service_of = service_of
        self._region_of_zone = region_of_zone
        self._bounds = bounds
        self._metrics = metrics
        self._ranks = listed_ranks.ListedRanks(instances, clock.monotonic_ms())
        self._states = cold_states.ColdStates()
        # By target id alone: a restarted target keeps its window.
        self._windows: dict[str, rate_shares.SendWindow] = {}
        self._logged_ms: dict[str, int] = {}

    def applies_to(self, service_name: str) -> bool:
        """Whether the requests to a service's targets are counted."""
        service = self._service_of(service_name)
        return (
            self._bounds is not None
            and service is not None
            and service.cold_per_s > 0
        )

    def known_cold_count(self) -> int:
        """Return how many targets are known to be cold."""
        return self._states.cold_count(self._clock.monotonic_ms())

    def preferred(self, targets: Iterable[model.Target]) -> list[model.Target]:
        """Return the targets with a share left: warm ones if there are any."""
        listed = list(targets)
        if not listed or not self.applies_to(listed[0].service):
            return listed
        now_ms = self._clock.monotonic_ms()
        permitted = [
            target
            for target in listed
            if self._window(target).has_left(
                self._quota(target, now_ms), now_ms
            )
        ]
        warm = [
            target
            for target in permitted
            if not self._states.is_cold(target, now_ms)
        ]
        return warm or permitted

    def not_preferred(
        self, targets: Collection[model.Target], excluded: Collection[str]
    ) -> set[str]:
        """Return the ids of targets that a request should not be sent to.

        ``excluded`` has the ids of those that it can't be sent to anyway.
        """
        if not targets or not self.applies_to(next(iter(targets)).service):
            return set()
        preferred = self.preferred(
            target for target in targets if target.target_id not in excluded
        )
        return {target.target_id for target in targets} - {
            target.target_id for target in preferred
        }

    def take(self, target: model.Target) -> bool:
        """Count a request to a target; return False if none is left.

        The request has to be sent within SEND_WITHIN_MS.
        """
        if not self.applies_to(target.service):
            return True
        now_ms = self._clock.monotonic_ms()
        quota = self._quota(target, now_ms)
        return self._window(target).take(quota, now_ms)

    def take_direct(self, target: model.Target) -> bool:
        """Count a request as by ``take``, unless a placer has counted it."""
        return self._has_engine(target) or self.take(target)

    def check_send(self, target: model.Target, counted_ms: int) -> None:
        """Check that a request counted at ``counted_ms`` may be sent now.

        Raises SendsUsedUpError if that is too long ago and no other is left.
        """
        if not self.applies_to(target.service):
            return
        age_ms = self._clock.monotonic_ms() - counted_ms
        if age_ms > rate_shares.SEND_WITHIN_MS and not self.take(target):
            raise SendsUsedUpError(
                f'{target.target_id} was chosen {age_ms} ms ago'
            )

    def wait_ms(self, targets: Iterable[model.Target]) -> float:
        """Return the time until a request to one of the targets is left."""
        listed = list(targets)
        if not listed or not self.applies_to(listed[0].service):
            return 0.0
        now_ms = self._clock.monotonic_ms()
        wait_ms = min(
            self._window(target).wait_ms(self._quota(target, now_ms), now_ms)
            for target in listed
        )
        return NO_SHARE_RETRY_MS if math.isinf(wait_ms) else wait_ms

    def direct_wait_ms(self, target: model.Target) -> float:
        """Return the time until a request is left, 0 for an engine.

        A placer may have requests left for an engine.
        """
        return 0.0 if self._has_engine(target) else self.wait_ms([target])

    def refusal_wait_ms(
        self,
        service: str,
        targets: Iterable[model.Target],
        excluded: Collection[str],
    ) -> float:
        """Return when to retry a request that got no target, and log it.

        That is 0 if the shares of targets are not the reason, since all
        targets are excluded.
        """
        remaining = [
            target for target in targets if target.target_id not in excluded
        ]
        if not remaining or not self.applies_to(service):
            return 0.0
        wait_ms = self.wait_ms(remaining)
        self.record_refusal(service, wait_ms)
        return max(wait_ms, 1.0)

    def record_refusal(self, service: str, wait_ms: float) -> None:
        """Count a request that was refused, and log one now and then."""
        self._metrics.cold_refusals.labels(service).inc()
        now_ms = self._clock.monotonic_ms()
        logged_ms = self._logged_ms.get(service)
        if logged_ms is None or now_ms - logged_ms >= LOG_INTERVAL_MS:
            self._logged_ms[service] = now_ms
            telemetry.log_event(
                'cold_share_used_up', service=service, wait_ms=round(wait_ms)
            )

    def record_answer(self, target: model.Target, cold_ms: float) -> None:
        """Record for how long a target is cold, by one of its answers."""
        now_ms = self._clock.monotonic_ms()
        if self._states.record_answer(target, cold_ms, now_ms):
            telemetry.log_event(
                'target_cold', target=target.target_id, cold_ms=cold_ms
            )

    def placing_region(
        self, region: str, service: str, targets: Iterable[model.Target]
    ) -> str:
        """Return the region whose placers have shares of the targets.

        That is ``region`` unless all targets are in others.
        """
        if not self.applies_to(service):
            return region
        regions = {
            self._region_of_zone.get(target.availability_zone, region)
            for target in targets
        }
        return region if region in regions or not regions else min(regions)

    def _has_engine(self, target: model.Target) -> bool:
        service = self._service_of(target.service)
        return service is not None and service.has_engine

    def _quota(self, target: model.Target, now_ms: int) -> int:
        service = self._service_of(target.service)
        if service is None or self._bounds is None:
            return 0
        if not self._ranks.may_send(now_ms):
            return 0
        shares = rate_shares.divide(
            self._bounds.max_requests(service.cold_per_s),
            has_placers=service.has_engine or service.batching is not None,
        )
        region = self._region_of_zone.get(target.availability_zone, '')
        placer_rank, common_rank = self._ranks.ranks(
            service, target.target_id, region
        )
        return shares.quota(
            placer_rank, common_rank, self._ranks.instance_count
        )

    def _window(self, target: model.Target) -> rate_shares.SendWindow:
        window = self._windows.get(target.target_id)
        if window is None:
            window = rate_shares.SendWindow()
            self._windows[target.target_id] = window
            if len(self._windows) > MAX_WINDOWS_KEPT:
                del self._windows[next(iter(self._windows))]
        return window
