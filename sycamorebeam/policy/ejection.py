"""Takes replicas that fail or lag out of routing, for growing periods."""

import attrs

FAILURES_TO_EJECT = 3
FIRST_PERIOD_MS = 1_000
LONGEST_PERIOD_MS = 30_000
# At least this share of a subset stays in use, however bad it looks.
MIN_USED_SHARE = 0.5


@attrs.define
class Health:
    """Recent results of one replica as one instance saw them."""

    failures: int = 0
    period_ms: int = 0
    ejected_until_ms: int = 0
    has_abandoned_call: bool = False

    @property
    def is_suspect(self) -> bool:
        """Whether the replica failed and has not answered since."""
        return (
            self.has_abandoned_call or self.failures > 0 or self.period_ms > 0
        )

    def record_abandoned_call(self) -> None:
        """Note that a call was given up before it ended.

        That is no failure: the call may just have been slow.
        """
        self.has_abandoned_call = True

    def record_success(self) -> None:
        """Count a whole answer."""
        self.has_abandoned_call = False
        self.failures = 0
        self.period_ms = 0

    def record_failure(self, now_ms: int) -> None:
        """Count a failure, and eject after several in a row.

        A replica that comes back from an ejection is ejected again by its
        next failure.
        """
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT:
            return
        self.failures = FAILURES_TO_EJECT - 1
        doubled_ms = self.period_ms * 2 or FIRST_PERIOD_MS
        self.period_ms = min(doubled_ms, LONGEST_PERIOD_MS)
        self.ejected_until_ms = now_ms + self.period_ms


def usable(healths: dict[str, Health], now_ms: int) -> list[str]:
    """Return the replicas in use, ejected ones only to keep the floor."""
    by_return = sorted(
        healths, key=lambda item: healths[item].ejected_until_ms
    )
    least = int(len(by_return) * MIN_USED_SHARE + 0.999)
    return [
        name
        for position, name in enumerate(by_return)
        if position < least or healths[name].ejected_until_ms <= now_ms
    ]
