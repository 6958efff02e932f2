"""A replica of a stage service, as the owner of the queue knows it."""

import attrs


@attrs.define
class Replica:
    """What the owner of the queue knows of one replica."""

    target_id: str
    zone: str
    calls_in_flight: int = 0
    slowness: float = 1.0
    held_bytes: float = 0.0
    paused_until_ms: int = 0
    busy_until_ms: int = 0
    lead_ms: int = 0
    last_call_ended_ms: int = 0

    def pause(self, pause_ms: float, now_ms: int) -> None:
        """Send no call for a time; never shortens a pause."""
        until_ms = now_ms + int(pause_ms)
        self.paused_until_ms = max(self.paused_until_ms, until_ms)

    def is_free(self, slots: int, now_ms: int) -> bool:
        """Whether the replica should get a call now.

        A call takes ``lead_ms`` to arrive, so the next one is sent that much
        before the replica is expected to end the one before.
        """
        if now_ms < self.paused_until_ms:
            return False
        if self.calls_in_flight < slots or not self.lead_ms:
            return self.calls_in_flight < slots
        left_ms = self.busy_until_ms - now_ms
        return self.calls_in_flight == slots and left_ms <= self.lead_ms

    def free_in_ms(self, now_ms: int) -> int:
        """Return how long until the replica can take a call, as stated."""
        until_ms = max(self.busy_until_ms, self.paused_until_ms)
        return max(0, until_ms - now_ms)
