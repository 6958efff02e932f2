"""Types of leases: the right to send orders to one engine.

The offset of a lease record is its fencing number. Only a later lease on
the log ends a lease; time decides only when another instance may try to
acquire it, and when a holder stops sending orders by itself.
"""

import attrs

LEASE_MS = 30_000
RENEW_MS = 10_000
# A holder stops sending orders this long before others may acquire its lease.
SAFETY_MARGIN_MS = 5_000


@attrs.frozen(kw_only=True)
class LeaseState:
    """The newest lease of an engine.

    ``time_ms`` is the append time of its last record. ``from_renewal`` is
    true if only a renewal was read, so a newer lease may have been missed.
    """

    holder: str
    fence: int
    time_ms: int
    released: bool = False
    from_renewal: bool = False

    def is_available_to(self, holder: str, now_ms: int) -> bool:
        """Return whether ``holder`` may acquire it at the log's time."""
        if self.released or self.holder == holder:
            return True
        return now_ms >= self.time_ms + LEASE_MS


@attrs.frozen
class Held:
    """The lease is held by this process; ``fence`` is its number."""

    fence: int


@attrs.frozen
class NotHeld:
    """The lease is not held, so this process must not send orders."""

    reason: str


Holding = Held | NotHeld
