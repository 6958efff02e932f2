"""The desired state in force at this instance."""

import attrs

from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import routing


@attrs.define
class ActiveState:
    """Holds the desired state in force and its routes."""

    desired: model.DesiredState | None = None
    routes: routing.RouteTable | None = None

    def replace_if_newer(self, desired: model.DesiredState) -> bool:
        """Put a version in force if it is newer; return whether it was."""
        if self.desired is not None and (
            desired.version <= self.desired.version
        ):
            return False
        self.desired = desired
        self.routes = routing.RouteTable(desired)
        return True

    def service(self, name: str) -> model.Service | None:
        """Return a service of the desired state, None if it is unknown."""
        return (
            None if self.desired is None else self.desired.services.get(name)
        )

    def has_engine(self, name: str) -> bool:
        """Whether a service is known and its targets are engines."""
        service = self.service(name)
        return service is not None and service.has_engine
