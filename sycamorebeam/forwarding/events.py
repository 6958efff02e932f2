"""Splits a stream of server-sent events where an event ends."""

import attrs

_END = b'\n\n'
_ID = b'id:'


@attrs.define
class EventSplitter:
    """Passes on whole events only, and remembers the last one's id."""

    last_event_id: str | None = None
    _rest: bytes = b''

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes."""
        self._rest += data
        end = self._rest.rfind(_END)
        if end < 0:
            return b''
        end += len(_END)
        events, self._rest = self._rest[:end], self._rest[end:]
        self._note_id(events)
        return events

    def drop_rest(self) -> bytes:
        """Return and forget the bytes after the last whole event."""
        rest, self._rest = self._rest, b''
        return rest

    def _note_id(self, events: bytes) -> None:
        for line in reversed(events.split(b'\n')):
            if line.startswith(_ID):
                value = line[len(_ID) :].strip()
                self.last_event_id = value.decode('latin-1')
                return
