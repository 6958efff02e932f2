"""The fold of a lease stream: who holds which engine, and since when."""

import attrs

from sycamorebeam import lease_records
from sycamorebeam import leases

DROP_AFTER_MS = 2 * leases.LEASE_MS


@attrs.define
class LeaseFold:
    """The newest lease of each engine that has one.

    Leases that ended long ago are dropped: an engine without a lease is
    free, and fencing numbers grow without them, as they are log offsets.
    """

    _states: dict[str, leases.LeaseState] = attrs.field(factory=dict)

    @property
    def size(self) -> int:
        """How many leases are kept."""
        return len(self._states)

    def state(self, engine: str) -> leases.LeaseState | None:
        """Return the newest lease of an engine, None if none is known."""
        return self._states.get(engine)

    def apply(
        self, record: lease_records.LeaseRecord, offset: int, time_ms: int
    ) -> None:
        """Apply one record; call it in the order of the stream."""
        match record:
            case lease_records.Lease(engine=engine, holder=holder):
                self._states[engine] = leases.LeaseState(
                    holder=holder, fence=offset, time_ms=time_ms
                )
            case lease_records.Renew():
                self._renew(record, time_ms)
            case lease_records.Release(engine=engine, fence=fence):
                known = self._states.get(engine)
                if known is not None and known.fence == fence:
                    self._states[engine] = attrs.evolve(known, released=True)

    def drop_expired(self, now_ms: int) -> None:
        """Drop leases without a record for ``DROP_AFTER_MS`` at ``now_ms``.

        ``now_ms`` is the log's time.
        """
        self._states = {
            engine: state
            for engine, state in self._states.items()
            if state.time_ms + DROP_AFTER_MS > now_ms
        }

    def _renew(self, record: lease_records.Renew, time_ms: int) -> None:
        known = self._states.get(record.engine)
        if known is None:
            self._states[record.engine] = leases.LeaseState(
                holder=record.holder,
                fence=record.fence,
                time_ms=time_ms,
                from_renewal=True,
            )
            return
        if known.fence == record.fence:
            renewed = attrs.evolve(known, time_ms=time_ms)
            self._states[record.engine] = renewed
