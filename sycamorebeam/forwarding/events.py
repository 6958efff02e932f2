"""Splits a stream of server-sent events where an event ends."""

import attrs

_END = b'\n\n'
_ID = b'id:'
# Some hundred times the events of engines; what is larger is no event.
MAX_EVENT_BYTES = 256 * 1024


class TooLargeError(ValueError):
    """A stream goes on and on without the end of an event."""


@attrs.define
class EventSplitter:
    """Passes on whole events only, and remembers the last one's id."""

    last_event_id: str | None = None
    _incomplete: bytearray = attrs.field(factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes.

        Raises TooLargeError when the event after them is too large.
        """
        # An end may begin with the last byte that was there before.
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
        """Return and forget the bytes after the last whole event."""
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
