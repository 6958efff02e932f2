"""Asks for permits before requests to targets that limit their rate.

It is designed for targets that limit the requests of all instances together.
Only one instance that sees all requests to a target can keep such a limit
and use it up, whichever instances the requests come from.
"""

from collections.abc import Iterable

from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import peer_link
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import permit_issuer
from sycamorebeam.forwarding import target_limits
from sycamorebeam.peering import messages

# A second issuer serves the instances that do not reach the first one. With
# more, issuers together could exceed a limit.
MAX_ISSUERS = 2
# Allows for a few round trips between regions.
ANSWER_TIMEOUT_MS = 150
NO_ISSUER_WAIT_MS = 500.0  # until a lost instance may be reached again


class SendPermits:
    """Gets permits from the issuers of targets, and issues them."""

    def __init__(
        self,
        clock: clocks.Clock,
        instances: membership.Membership,
        links: peer_links.PeerLinks,
        limits: target_limits.TargetLimits,
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._links = links
        self._limits = limits
        self._issuer = permit_issuer.PermitIssuer()
        links.add_handler(self._on_message)

    @property
    def are_needed(self) -> bool:
        """Whether permits are needed for any targets."""
        return self._limits.has_limits

    def refusing(self, targets: Iterable[model.Target]) -> set[str]:
        """Return the ids of limited targets for which there is no permit."""
        if not self.are_needed:
            return set()
        return {
            target.target_id for target in targets if self.wait_ms(target) > 0
        }

    async def acquire(self, target: model.Target) -> bool:
        """Return whether a request may be sent to a target now.

        Until the issuer's next permit, a target without one is refused
        without asking.
        """
        limit = self._limits.get(target)
        if limit is None:
            return True
        now_ms = self._clock.monotonic_ms()
        if limit.refused_until_ms > now_ms:
            return False
        issuer_id, wait_ms = await self._request_permit(target, limit)
        if wait_ms <= 0:
            return True
        limit.refused_until_ms = self._clock.monotonic_ms() + wait_ms
        telemetry.log_event(
            'permit_refused',
            target=target.target_id,
            issuer=issuer_id,
            requests_per_s=limit.requests_per_s,
            wait_ms=round(wait_ms),
        )
        return False

    def wait_ms(self, target: model.Target) -> float:
        """Return the time until a permit for a target may be available."""
        limit = self._limits.get(target)
        if limit is None:
            return 0.0
        return max(0.0, limit.refused_until_ms - self._clock.monotonic_ms())

    def interval_ms(self, target: model.Target) -> float:
        """Return the mean time between permits, 0 without a limit."""
        limit = self._limits.get(target)
        if limit is None:
            return 0.0
        return 1 / permit_issuer.issued_per_ms(limit.requests_per_s)

    async def _request_permit(
        self, target: model.Target, limit: target_limits.TargetLimit
    ) -> tuple[str, float]:
        """Return the issuer that answered, and 0 or when to ask again.

        The wait is 0 if a permit was issued. Without an answer the issuer's
        id is empty. An isolated instance gets no permit: if each took itself
        for the only issuer left, all together would exceed the limit.
        """
        if self._links.is_isolated:
            return '', NO_ISSUER_WAIT_MS
        key = target.target_id, target.incarnation
        own_id = self._instances.own_entry.instance_id
        for issuer_id in self._issuers(target.target_id):
            if issuer_id == own_id:
                return own_id, self._issue(key, limit.requests_per_s, own_id)
            if self._instances.is_unreachable(issuer_id):
                continue
            wait_ms = await self._ask(issuer_id, key, limit)
            if wait_ms is not None:
                return issuer_id, wait_ms
        return '', NO_ISSUER_WAIT_MS

    def _issuers(self, target_id: str) -> list[str]:
        """Return the issuers of a target, the one to ask first in front."""
        ranked = self._instances.ranked_instances(target_id)
        staying = [
            instance_id
            for instance_id in ranked
            if not self._links.is_stopping(instance_id)
        ]
        return staying[:MAX_ISSUERS]

    async def _ask(
        self,
        issuer_id: str,
        key: target_limits.Key,
        limit: target_limits.TargetLimit,
    ) -> float | None:
        """Return the issuer's answer, None if there is none."""
        link = await self._links.connect(issuer_id)
        if link is None:
            return None
        with link.exchange() as exchange:
            age_ms = self._clock.monotonic_ms() - limit.reported_ms
            link.send(
                messages.RequestPermit(
                    exchange.call_id, *key, limit.requests_per_s, age_ms
                )
            )
            try:
                answer = await exchange.next(ANSWER_TIMEOUT_MS)
            except peer_link.LinkLostError:
                return None
        if isinstance(answer, messages.PermitAnswer):
            return answer.wait_ms
        return None

    def _issue(
        self, key: target_limits.Key, requests_per_s: float, instance_id: str
    ) -> float:
        now_ms = self._clock.monotonic_ms()
        return self._issuer.take(
            key,
            requests_per_s,
            instance_id,
            now_ms,
            is_first=self._instances.is_first_issuer(key[0]),
        )

    def _on_message(
        self, inbound: peer_links.InboundLink, message: messages.Message
    ) -> None:
        match message:
            case messages.RequestPermit(call_id, target_id, incarnation):
                key = target_id, incarnation
                reported_ms = self._clock.monotonic_ms() - message.age_ms
                self._limits.record(key, message.requests_per_s, reported_ms)
                requests_per_s = self._limits.requests_per_s(key)
                wait_ms = 0.0
                if requests_per_s != model.UNLIMITED:
                    wait_ms = self._issue(
                        key, requests_per_s, inbound.instance_id
                    )
                inbound.stream.send(messages.PermitAnswer(call_id, wait_ms))
