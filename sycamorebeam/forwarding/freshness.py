"""How long this instance may rely on the desired state that it knows."""

import attrs

# Left for the way from the check to the target's socket.
SEND_MARGIN_MS = 400


# The store's timer may end a wait somewhat early.
TIMER_TOLERANCE_MS = 50


def confirmed_as_of_ms(began_ms: int, waited_ms: int, ended_ms: int) -> int:
    """Return as of when a read shows that nothing is new.

    The store answers a waiting read as soon as there is a record, so that
    one which ends without any, after its whole wait, shows that there was
    none until then. ``waited_ms`` is the wait that was asked for.
    """
    if ended_ms - began_ms < waited_ms:
        return began_ms
    return began_ms + max(0, waited_ms - TIMER_TOLERANCE_MS)


@attrs.define
class FreshnessLease:
    """Says whether keys may still be relied on.

    A successful read shows the desired state as of some moment after the
    read began, so the lease runs from that beginning. Its clock counts
    suspension: a process that wakes up must not rely on an old state.
    """

    revocation_ms: int
    is_strict: bool
    _read_began_ms: int | None = attrs.field(init=False, default=None)

    @property
    def duration_ms(self) -> int:
        """How long a read is relied on."""
        return self.revocation_ms - SEND_MARGIN_MS

    def renew(self, began_ms: int) -> None:
        """Note a successful read that began at ``began_ms``."""
        if self._read_began_ms is None or began_ms > self._read_began_ms:
            self._read_began_ms = began_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the last read, None before the first."""
        if self._read_began_ms is None:
            return None
        return now_ms - self._read_began_ms

    def is_valid(self, now_ms: int) -> bool:
        """Whether the desired state may be relied on for keys."""
        if not self.is_strict:
            return True
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms < self.duration_ms
