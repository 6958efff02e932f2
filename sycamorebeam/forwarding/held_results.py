"""The results that replicas of one stage service hold in memory."""

from collections.abc import Collection
from collections.abc import Iterable

import attrs

from sycamorebeam.forwarding import stage_replica


@attrs.frozen
class _HeldResult:
    replica: stage_replica.Replica
    result_bytes: float
    held_since_ms: int
    expires_ms: int


class HeldResults:
    """Counts results against the memory of their replica until freed there.

    A replica drops a result by itself when its time to live has passed.
    """

    def __init__(self) -> None:
        self._held: dict[str, _HeldResult] = {}
        self._unneeded: dict[str, list[str]] = {}

    def add(
        self,
        result: str,
        replica: stage_replica.Replica,
        result_bytes: float,
        now_ms: int,
        ttl_ms: int,
    ) -> None:
        """Add a result whose memory is already counted at its replica."""
        self._held[result] = _HeldResult(
            replica, result_bytes, now_ms, now_ms + ttl_ms
        )

    def mark_unneeded(self, result: str, address: str) -> None:
        """Mark a result for the next call that frees results at an address."""
        self._unneeded.setdefault(address, []).append(result)

    def pop_due(
        self, min_held_bytes: float, excluded_addresses: Collection[str]
    ) -> dict[str, list[str]]:
        """Remove and return unneeded results by their replica's address.

        Only replicas that hold more than ``min_held_bytes`` count; 0 selects
        all of them.
        """
        due = {
            address: results
            for address, results in self._unneeded.items()
            if address not in excluded_addresses
            and (
                min_held_bytes <= 0
                or self._replica_held_bytes(results) > min_held_bytes
            )
        }
        for address in due:
            del self._unneeded[address]
        return due

    def drop_expired(self, addresses: Iterable[str]) -> None:
        """Drop unneeded results that their replicas have dropped already."""
        for address in addresses:
            if address in self._unneeded:
                self._unneeded[address] = [
                    result
                    for result in self._unneeded[address]
                    if result in self._held
                ]
                if not self._unneeded[address]:
                    del self._unneeded[address]

    def remove(self, result: str, now_ms: int) -> int | None:
        """Stop counting a freed result; return how long it was held, in ms.

        Return None for a result that is not held, such as an expired one.
        """
        held = self._held.pop(result, None)
        if held is None:
            return None
        _release_memory(held)
        return now_ms - held.held_since_ms

    def expire(self, now_ms: int) -> None:
        """Stop counting results that their replica has dropped by itself."""
        while self._held:
            result, held = next(iter(self._held.items()))
            if held.expires_ms > now_ms:
                return
            del self._held[result]
            _release_memory(held)

    def _replica_held_bytes(self, results: list[str]) -> float:
        """Return the bytes in use at the replica that holds the results."""
        held = self._held.get(results[0])
        return 0.0 if held is None else held.replica.held_bytes


def _release_memory(held: _HeldResult) -> None:
    left_bytes = held.replica.held_bytes - held.result_bytes
    held.replica.held_bytes = max(0.0, left_bytes)
