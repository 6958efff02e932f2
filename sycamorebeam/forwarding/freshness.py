"""Bounds how long an instance relies on the desired state it last read."""

import attrs

# Covers the time from the check to the write to the target's socket.
SEND_MARGIN_MS = 400
# The store's timer may end a wait slightly early.
TIMER_TOLERANCE_MS = 50


def confirmed_as_of_ms(began_ms: int, waited_ms: int, ended_ms: int) -> int:
    """Return the time until which a read without records rules out changes.

    The store answers a waiting read as soon as there is a record, so a read
    that ends without one after its whole wait confirms that there was none
    until then. ``waited_ms`` is the wait that was requested.
    """
    if ended_ms - began_ms < waited_ms:
        return began_ms
    return began_ms + max(0, waited_ms - TIMER_TOLERANCE_MS)


@attrs.define
class FreshnessLease:
    """Decides whether the desired state is recent enough to check API keys.

    A successful read shows the desired state as of some moment after the
    read began, so the lease starts at that beginning. Its clock includes
    suspension: a process that wakes up must not rely on an old state.
    """

    revocation_ms: int
    is_strict: bool
    _read_began_ms: int | None = attrs.field(init=False, default=None)

    @property
    def duration_ms(self) -> int:
        """How long after its beginning a read is relied on."""
        return self.revocation_ms - SEND_MARGIN_MS

    def renew(self, began_ms: int) -> None:
        """Renew the lease from the start ``began_ms`` of a successful read."""
        if self._read_began_ms is None or began_ms > self._read_began_ms:
            self._read_began_ms = began_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since the last read began, None before the first."""
        if self._read_began_ms is None:
            return None
        return now_ms - self._read_began_ms

    def is_valid(self, now_ms: int) -> bool:
        """Whether the desired state is recent enough to check API keys."""
        if not self.is_strict:
            return True
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms < self.duration_ms
