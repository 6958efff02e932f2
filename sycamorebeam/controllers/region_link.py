"""The byte budget of the link between regions, and its routing weight.

The catalogue's limit on the resource ``region_link`` bounds the bytes per
second of all instances together; each instance uses at most its share.
"""

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam.controllers import catalogue_view
from sycamorebeam.policy import bucket

RESOURCE = 'region_link'
# The bucket holds this many seconds of the rate.
BURST_S = 2.0


class RegionLink:
    """Holds the link's limit and this instance's remaining budget.

    The limit is looked up once per catalogue: a catalogue may hold tens of
    thousands of entries, too many to search for each request.
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
        self._searched_catalogue: catalogue.Catalogue | None = None
        self._limit: catalogue.SharedLimit | None = None
        self._bucket: bucket.Bucket | None = None

    @property
    def weighting(self) -> catalogue.Weighting:
        """Whether routing favours attainment or cost."""
        self._refresh()
        if self._limit is None:
            return catalogue.Weighting.ATTAINMENT
        return self._limit.weighting

    @property
    def has_room(self) -> bool:
        """Whether this instance has budget left."""
        self._refresh()
        if self._bucket is None:
            return True
        return self._bucket.has_room(self._clock.monotonic_ms())

    def charge(self, size_bytes: int) -> None:
        """Charge bytes that crossed the link to the budget.

        The size of an answer is known only afterwards, so the budget may
        become negative; ``has_room`` is false until it is refilled.
        """
        self._refresh()
        if self._bucket is not None:
            self._bucket.charge(self._clock.monotonic_ms(), size_bytes)

    def _refresh(self) -> None:
        current = self._view.catalogue
        if current is self._searched_catalogue:
            return
        self._searched_catalogue = current
        limit = _find_limit(current)
        if limit == self._limit:
            return
        self._limit = limit
        rate = limit.limits.bytes_per_s if limit else None
        self._bucket = None
        if rate is not None:
            share = rate * self._share
            self._bucket = bucket.Bucket(share, share * BURST_S)


def _find_limit(entries: catalogue.Catalogue) -> catalogue.SharedLimit | None:
    for limit in entries.of_kind('limit').values():
        if not isinstance(limit, catalogue.SharedLimit):
            continue
        if limit.resource == RESOURCE:
            return limit
    return None
