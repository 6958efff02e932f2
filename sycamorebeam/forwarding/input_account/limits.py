"""The limits on callers that are in force."""

import attrs

from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import model

DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 4_194_304
DEFAULT_HEADER_TIMEOUT_MS = 3_000
DEFAULT_IDLE_TIMEOUT_MS = 15_000


@attrs.frozen(kw_only=True)
class Limits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_ms: int = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS


@attrs.define
class LimitsInForce:
    """The limits of the desired state, or else those of the settings."""

    _state: active_state.ActiveState
    _defaults: Limits
    _source: model.DesiredState | None = None
    _limits: Limits | None = None

    def __call__(self) -> Limits:
        """Return the limits of the configuration in force."""
        desired = self._state.desired
        if self._limits is None or desired is not self._source:
            self._source = desired
            self._limits = (
                self._defaults
                if desired is None
                else merge(desired.caller_limits, self._defaults)
            )
        return self._limits


def merge(configured: model.CallerLimits, defaults: Limits) -> Limits:
    """Return the configured limits; those that are absent are defaults."""
    return Limits(
        header_bytes=configured.max_header_bytes or defaults.header_bytes,
        body_bytes=configured.max_body_bytes or defaults.body_bytes,
        header_timeout_ms=configured.header_timeout_ms
        or defaults.header_timeout_ms,
        idle_timeout_ms=configured.idle_timeout_ms or defaults.idle_timeout_ms,
    )
