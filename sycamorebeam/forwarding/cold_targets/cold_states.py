"""Keeps which targets are known to be cold, by entries and answers.

It is designed for targets that turn cold at any moment. Both sources are late
by up to seconds, so they only decide which target is preferred; the shares of
the requests hold whether or not a target is known to be cold. It does no I/O.
"""

import attrs

from sycamorebeam.forwarding import model

MAX_STATES_KEPT = 4_096


@attrs.define
class _ColdState:
    """The entry seen last, and until when the target is cold."""

    entry: model.Target | None = None
    until_ms: float = 0.0


class ColdStates:
    """Until when targets are cold."""

    def __init__(self) -> None:
        self._states: dict[tuple[str, int], _ColdState] = {}

    def is_cold(self, target: model.Target, now_ms: int) -> bool:
        """Whether a target is known to be cold.

        The time in an entry counts from when the entry is first seen here.
        """
        state = self._state(target.target_id, target.incarnation)
        if state.entry is not target:
            if state.entry != target:
                until_ms = now_ms + target.cold_remaining_ms
                state.until_ms = max(state.until_ms, until_ms)
            state.entry = target
        return state.until_ms > now_ms

    def record_answer(
        self, target: model.Target, cold_ms: float, now_ms: int
    ) -> bool:
        """Record the time in an answer; return whether this turns it cold."""
        was_cold = self.is_cold(target, now_ms)
        state = self._state(target.target_id, target.incarnation)
        state.until_ms = now_ms + cold_ms
        return cold_ms > 0 and not was_cold

    def cold_count(self, now_ms: int) -> int:
        """Return how many targets are known to be cold."""
        return sum(state.until_ms > now_ms for state in self._states.values())

    def _state(self, target_id: str, incarnation: int) -> _ColdState:
        key = target_id, incarnation
        state = self._states.get(key)
        if state is None:
            state = self._states[key] = _ColdState()
            if len(self._states) > MAX_STATES_KEPT:
                del self._states[next(iter(self._states))]
        return state
