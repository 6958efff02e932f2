"""Ejects replicas that fail or lag from routing, for increasing periods."""

import attrs

FAILURES_TO_EJECT = 3
FIRST_PERIOD_MS = 1_000
LONGEST_PERIOD_MS = 30_000
# At least this share of the replicas stays in use, whatever their health.
MIN_USED_SHARE = 0.5


@attrs.define
class Health:
    """Recent failures of one replica, as counted by this instance."""

    failures: int = 0
    period_ms: int = 0
    ejected_until_ms: int = 0
    has_abandoned_call: bool = False

    @property
    def is_suspect(self) -> bool:
        """Whether a call failed or was abandoned since the last answer."""
        return (
            self.has_abandoned_call or self.failures > 0 or self.period_ms > 0
        )

    def record_abandoned_call(self) -> None:
        """Record that a call was abandoned before it ended.

        This doesn't count as a failure, since it may just have been slow.
        """
        self.has_abandoned_call = True

    def record_success(self) -> None:
        """Record a complete answer, and reset the ejection period."""
        self.has_abandoned_call = False
        self.failures = 0
        self.period_ms = 0

    def record_failure(self, now_ms: int) -> None:
        """Record a failure, and eject the replica after several in a row.

        After an ejection, a single failure ejects the replica again.
        """
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT:
            return
        self.failures = FAILURES_TO_EJECT - 1
        doubled_ms = self.period_ms * 2 or FIRST_PERIOD_MS
        self.period_ms = min(doubled_ms, LONGEST_PERIOD_MS)
        self.ejected_until_ms = now_ms + self.period_ms


def usable(healths: dict[str, Health], now_ms: int) -> list[str]:
    """Return the replicas in use, with ejected ones only up to the minimum."""
    by_return = sorted(
        healths, key=lambda name: healths[name].ejected_until_ms
    )
    minimum = int(len(by_return) * MIN_USED_SHARE + 0.999)
    return [
        name
        for position, name in enumerate(by_return)
        if position < minimum or healths[name].ejected_until_ms <= now_ms
    ]
