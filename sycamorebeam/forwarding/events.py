"""Splits a stream of server-sent events into whole events."""

import attrs

_END = b'\n\n'
_ID = b'id:'
# About a hundred times an engine's events; anything larger is malformed.
MAX_EVENT_BYTES = 256 * 1024


class TooLargeError(ValueError):
    """A stream sends MAX_EVENT_BYTES or more without ending an event."""


@attrs.define
class EventSplitter:
    """Returns whole events only and keeps the id of the last one."""

    last_event_id: str | None = None
    _incomplete: bytearray = attrs.field(factory=bytearray)

    @property
    def incomplete_bytes(self) -> int:
        """The size of the event that has not ended yet."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes.

        Raises TooLargeError when the event after them is too large.
        """
        # The separator may begin with the last byte of the earlier data.
        searched = max(0, len(self._incomplete) - 1)
        self._incomplete += data
        end = self._incomplete.rfind(_END, searched)
        events = b''
        if end >= 0:
            end += len(_END)
            events = bytes(self._incomplete[:end])
            del self._incomplete[:end]
            self._update_last_event_id(events)
        if len(self._incomplete) >= MAX_EVENT_BYTES:
            raise TooLargeError(
                f'an event of {len(self._incomplete)} bytes or more'
            )
        return events

    def drop_rest(self) -> bytes:
        """Return and discard the bytes after the last whole event."""
        rest = bytes(self._incomplete)
        self._incomplete.clear()
        return rest

    def _update_last_event_id(self, events: bytes) -> None:
        start = events.rfind(b'\n' + _ID)
        if start < 0 and not events.startswith(_ID):
            return
        start += 1
        end = events.index(b'\n', start)
        value = events[start + len(_ID) : end].strip()
        self.last_event_id = value.decode('latin-1')
