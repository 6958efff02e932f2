"""What routing weighs more under the catalogue in force."""

from sycamorebeam import catalogue
from sycamorebeam.controllers import view


class CurrentWeighting:
    """Reads the weighting from the limits once for each catalogue.

    A catalogue may hold tens of thousands of entries, so a request must
    not search it.
    """

    def __init__(self, catalogue_view: view.CatalogueView) -> None:
        self._view = catalogue_view
        self._searched: catalogue.Catalogue | None = None
        self._found = catalogue.Weighting.ATTAINMENT

    def get(self) -> catalogue.Weighting:
        """Return the weighting of the catalogue in force."""
        current = self._view.catalogue
        if current is not self._searched:
            self._found = _search(current)
            self._searched = current
        return self._found


def _search(entries: catalogue.Catalogue) -> catalogue.Weighting:
    for limit in entries.of_kind('limit').values():
        if isinstance(limit, catalogue.SharedLimit):
            return limit.weighting
    return catalogue.Weighting.ATTAINMENT
