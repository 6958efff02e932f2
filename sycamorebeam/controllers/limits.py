"""Limits of teams and of this instance.

A team's limits are divided evenly between the live instances, so that
their sum stays at the limit whichever instance the balancer picks.
"""

import attrs

from sycamorebeam import catalogue
from sycamorebeam import clock as clocks
from sycamorebeam.policy import bucket

# The part of the instance's capacity that a class may fill with others.
CLASS_CEILING = {
    catalogue.ServiceClass.URGENT: 1.0,
    catalogue.ServiceClass.NORMAL: 0.85,
    catalogue.ServiceClass.BULK: 0.6,
}
# The part of the capacity that each class can always use.
CLASS_FLOOR = 0.05
# How much of a second's rate may come at once.
BURST_S = 1.0
MAX_TEAMS_KEPT = 4_096
SHED_RETRY_MS = 500


@attrs.frozen
class Admitted:
    """The request may run; ``release`` its slot afterwards."""


@attrs.frozen
class OverTeamLimit:
    """The team is over one of its limits."""

    limit: str
    retry_after_ms: int


@attrs.frozen
class Overloaded:
    """The instance is too busy for the request's class."""

    retry_after_ms: int


AdmitResult = Admitted | OverTeamLimit | Overloaded


@attrs.define
class _TeamState:
    requests: bucket.Bucket | None
    shares: int
    rate_per_s: float | None
    in_flight: int = 0


class LimitsController:
    """Counts what runs, per team, class and in all."""

    def __init__(self, clock: clocks.Clock, capacity: int) -> None:
        self._clock = clock
        self._capacity = capacity
        self._teams: dict[str, _TeamState] = {}
        self._by_class = dict.fromkeys(catalogue.ServiceClass, 0)

    @property
    def in_flight(self) -> int:
        """How many admitted requests are in progress."""
        return sum(self._by_class.values())

    @property
    def teams_kept(self) -> int:
        """How many teams have a state in memory."""
        return len(self._teams)

    def in_flight_by_team(self) -> dict[str, int]:
        """Return how many requests each busy team has in progress."""
        return {
            name: state.in_flight
            for name, state in self._teams.items()
            if state.in_flight
        }

    def admit(
        self,
        team_name: str,
        limits: catalogue.Limits,
        service_class: catalogue.ServiceClass,
        live_instances: int,
    ) -> AdmitResult:
        """Take a slot for one request, or say why there is none."""
        if not self._has_room(service_class):
            return Overloaded(SHED_RETRY_MS)
        state = self._team(team_name, limits, live_instances)
        most = _share(limits.concurrency, live_instances)
        if most is not None and state.in_flight >= max(1, int(most)):
            return OverTeamLimit('concurrency', SHED_RETRY_MS)
        now_ms = self._clock.monotonic_ms()
        if state.requests and not state.requests.take(now_ms):
            wait_ms = state.requests.wait_ms(now_ms)
            return OverTeamLimit('requests_per_s', wait_ms)
        state.in_flight += 1
        self._by_class[service_class] += 1
        return Admitted()

    def release(
        self, team_name: str, service_class: catalogue.ServiceClass
    ) -> None:
        """Give back the slot of a request that ended."""
        self._teams[team_name].in_flight -= 1
        self._by_class[service_class] -= 1

    def _has_room(self, service_class: catalogue.ServiceClass) -> bool:
        floor = max(1, int(self._capacity * CLASS_FLOOR))
        if self._by_class[service_class] < floor:
            return True
        ceiling = int(self._capacity * CLASS_CEILING[service_class])
        return self.in_flight < ceiling

    def _team(
        self, name: str, limits: catalogue.Limits, shares: int
    ) -> _TeamState:
        state = self._teams.get(name)
        rate = limits.requests_per_s
        if state and (state.shares, state.rate_per_s) == (shares, rate):
            return state
        in_flight = state.in_flight if state else 0
        self._forget_idle_teams()
        state = _TeamState(_bucket(rate, shares), shares, rate, in_flight)
        self._teams[name] = state
        return state

    def _forget_idle_teams(self) -> None:
        if len(self._teams) < MAX_TEAMS_KEPT:
            return
        self._teams = {
            name: state
            for name, state in self._teams.items()
            if state.in_flight
        }


def _share(limit: float | None, shares: int) -> float | None:
    return None if limit is None else limit / shares


def _bucket(rate_per_s: float | None, shares: int) -> bucket.Bucket | None:
    if rate_per_s is None:
        return None
    share = rate_per_s / shares
    return bucket.Bucket(share, max(1.0, share * BURST_S))
