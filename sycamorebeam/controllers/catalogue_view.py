"""The interface through which requests read the catalogue in force."""

from typing import Protocol

from sycamorebeam import catalogue


class CatalogueView(Protocol):
    """The catalogue in force and the index of its team tokens."""

    @property
    def catalogue(self) -> catalogue.Catalogue:
        """The accepted entries now in force on this instance."""
        ...

    def team_by_digest(self, token_sha256: str) -> str | None:
        """Return the name of the team that has the token, if any."""
        ...
