"""Whether this instance may serve requests, and if not, the reason."""

from collections.abc import Callable

import attrs


@attrs.frozen
class Ready:
    """The instance may serve."""


@attrs.frozen
class NotReady:
    """The instance must not serve, for ``reason``."""

    reason: str


State = Ready | NotReady
Check = Callable[[], State]


class Readiness:
    """Combines the checks of all controllers into one state."""

    def __init__(self, checks: list[Check]) -> None:
        self._checks = checks

    @property
    def state(self) -> State:
        """The first check's state that is not ready, or ``Ready``."""
        for check in self._checks:
            state = check()
            if isinstance(state, NotReady):
                return state
        return Ready()
