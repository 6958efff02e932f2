"""The link between regions: what it may carry, and what it costs.

The catalogue's limit on the resource ``region_link`` bounds the bytes a
second of all traffic; each instance keeps to its share of it.
"""

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam.controllers import catalogue_view
from sycamorebeam.policy import bucket

RESOURCE = 'region_link'
# How many seconds of the rate may be used at once.
BURST_S = 2.0


class RegionLink:
    """Reads the limit once for each catalogue and counts against it.

    A catalogue may hold tens of thousands of entries, so a request must
    not search it.
    """

    def __init__(
        self,
        view: catalogue_view.CatalogueView,
        clock: clocks.Clock,
        share: float,
    ) -> None:
        self._view = view
        self._clock = clock
        self._share = share
        self._searched: catalogue.Catalogue | None = None
        self._limit: catalogue.SharedLimit | None = None
        self._bucket: bucket.Bucket | None = None

    @property
    def weighting(self) -> catalogue.Weighting:
        """What routing weighs more under the catalogue in force."""
        self._refresh()
        if self._limit is None:
            return catalogue.Weighting.ATTAINMENT
        return self._limit.weighting

    @property
    def has_room(self) -> bool:
        """Whether this instance has some of its share left."""
        self._refresh()
        if self._bucket is None:
            return True
        return self._bucket.has_room(self._clock.monotonic_ms())

    def charge(self, size_bytes: int) -> None:
        """Count bytes that crossed the link.

        The size of an answer is known only afterwards, so the share may
        be overdrawn; it has no room again until that is made up for.
        """
        self._refresh()
        if self._bucket is not None:
            self._bucket.charge(self._clock.monotonic_ms(), size_bytes)

    def _refresh(self) -> None:
        current = self._view.catalogue
        if current is self._searched:
            return
        self._searched = current
        found = _search(current)
        if found == self._limit:
            return
        self._limit = found
        rate = found.limits.bytes_per_s if found else None
        self._bucket = None
        if rate is not None:
            share = rate * self._share
            self._bucket = bucket.Bucket(share, share * BURST_S)


def _search(entries: catalogue.Catalogue) -> catalogue.SharedLimit | None:
    for limit in entries.of_kind('limit').values():
        if not isinstance(limit, catalogue.SharedLimit):
            continue
        if limit.resource == RESOURCE:
            return limit
    return None
