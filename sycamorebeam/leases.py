"""Vocabulary of leases: the right to give orders to one engine.

The offset of a lease record is its fencing number. A lease is lost by a
later one on the log and by nothing else; time decides only when another
instance may try, and when a holder stops by itself.
"""

import attrs

LEASE_MS = 30_000
RENEW_MS = 10_000
# A holder stops ordering this long before others may take its lease.
SAFETY_MARGIN_MS = 5_000


@attrs.frozen(kw_only=True)
class LeaseState:
    """The newest lease of an engine.

    ``time_ms`` is the log's time of its last record. ``from_renewal`` says
    that only a renewal was read, so that a newer lease may have been missed.
    """

    holder: str
    fence: int
    time_ms: int
    released: bool = False
    from_renewal: bool = False

    def is_available_to(self, holder: str, now_ms: int) -> bool:
        """Return whether ``holder`` may try at ``now_ms`` of the log."""
        if self.released or self.holder == holder:
            return True
        return now_ms >= self.time_ms + LEASE_MS


@attrs.frozen
class Held:
    """The lease ``fence`` is held by this process."""

    fence: int


@attrs.frozen
class NotHeld:
    """No order may be given by this process."""

    reason: str


Holding = Held | NotHeld
