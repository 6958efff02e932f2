"""Finds the route of a request and the service that runs it."""

from collections import defaultdict

import xxhash

from sycamorebeam.forwarding import model


class RouteTable:
    """The routes of one desired state, by host and longest prefix."""

    def __init__(self, state: model.DesiredState) -> None:
        self._routes: dict[str, list[model.Route]] = defaultdict(list)
        for route in state.routes:
            self._routes[route.host].append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route of a request, None where there is none."""
        plain_path = path.partition('?')[0]
        for route in self._routes.get(host.lower(), ()):
            if plain_path.startswith(route.path_prefix):
                return route
        return None


def pick_service(route: model.Route, attempt_id: str) -> str:
    """Return the service of a request, by the weights of its route."""
    if len(route.split) == 1:
        return route.split[0].service
    total = sum(weighted.weight for weighted in route.split)
    draw = xxhash.xxh3_64_intdigest(attempt_id.encode()) / 2**64 * total
    for weighted in route.split:
        draw -= weighted.weight
        if draw < 0:
            return weighted.service
    return route.split[-1].service
