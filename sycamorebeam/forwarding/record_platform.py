"""The interface of the store for an instance that reads for others."""

from typing import Protocol

from sycamorebeam.forwarding import blocked_parts
from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import model


class RecordPlatform(followers.Platform, blocked_parts.BlockStore, Protocol):
    """The platform's store, with states as records that can be passed on.

    ``on_arriving`` is called as parts of an answer arrive.
    """

    async def read_state(
        self, on_arriving: followers.OnArriving | None = None
    ) -> followers.StateRead:
        """Return the newest desired state."""
        ...

    async def wait_state(
        self,
        position: int,
        wait_ms: int,
        on_arriving: followers.OnArriving | None = None,
    ) -> followers.StateRead:
        """Return a state after a position, waiting up to ``wait_ms``."""
        ...

    def decode_state(self, record: bytes) -> model.DesiredState | None:
        """Return the desired state in a record, None if it is invalid."""
        ...
