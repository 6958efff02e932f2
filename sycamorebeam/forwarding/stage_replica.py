"""State that the owner of a queue keeps of a replica of the service."""

import attrs


@attrs.define
class Replica:
    """The calls, memory and pauses of one replica.

    ``slowness`` is the duration of its calls as a multiple of the configured
    one; ``lead_ms`` is how long before the end of a call the next one is sent.
    ``min_interval_ms`` is the time between calls that its rate limit allows.
    """

    target_id: str
    zone: str
    calls_in_flight: int = 0
    slowness: float = 1.0
    held_bytes: float = 0.0
    paused_until_ms: int = 0
    busy_until_ms: int = 0
    lead_ms: int = 0
    last_call_ended_ms: int = 0
    min_interval_ms: float = 0.0

    def pause(self, pause_ms: float, now_ms: int) -> None:
        """Send no calls for a time; never shorten a pause."""
        until_ms = now_ms + int(pause_ms)
        self.paused_until_ms = max(self.paused_until_ms, until_ms)

    def is_free(self, slots: int, now_ms: int) -> bool:
        """Whether the replica should get a call now.

        A call takes ``lead_ms`` to arrive, so the next one is sent that long
        before the current one is expected to end.
        """
        if now_ms < self.paused_until_ms:
            return False
        if self.calls_in_flight < slots or not self.lead_ms:
            return self.calls_in_flight < slots
        left_ms = self.busy_until_ms - now_ms
        return self.calls_in_flight == slots and left_ms <= self.lead_ms

    def pace(self, full_call_ms: float) -> float:
        """Return its throughput as a share of the configured one."""
        return 1 / max(self.slowness, self.min_interval_ms / full_call_ms)

    def free_in_ms(self, now_ms: int) -> int:
        """Return the time until the replica is expected to take a call."""
        until_ms = max(self.busy_until_ms, self.paused_until_ms)
        return max(0, until_ms - now_ms)
