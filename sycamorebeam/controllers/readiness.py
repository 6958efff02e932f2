"""Whether this instance may answer for outcomes, and why not."""

from collections.abc import Callable

import attrs


@attrs.frozen
class Ready:
    """The instance may serve."""


@attrs.frozen
class NotReady:
    """The instance must not serve; ``reason`` says why."""

    reason: str


State = Ready | NotReady
Check = Callable[[], State]


class Readiness:
    """Joins the checks of all controllers; the first obstacle counts."""

    def __init__(self, checks: list[Check]) -> None:
        self._checks = checks

    @property
    def state(self) -> State:
        """Whether the instance is ready now."""
        for check in self._checks:
            state = check()
            if isinstance(state, NotReady):
                return state
        return Ready()
