"""Parses server-sent events."""

from collections.abc import Iterator

import attrs

from sycamorebeam import errors

MAX_EVENT_BYTES = 262_144


@attrs.frozen
class Event:
    """One event: its name and data."""

    name: str
    data: bytes


class EventParser:
    """Splits a byte stream into events of bounded size."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yield the events that ``data`` completes.

        Raises PlatformError if an event is too large.
        """
        unread = (self._rest + data).replace(b'\r\n', b'\n')
        *blocks, self._rest = unread.split(b'\n\n')
        if len(self._rest) > MAX_EVENT_BYTES:
            raise errors.PlatformError(
                f'an event is larger than {MAX_EVENT_BYTES} bytes',
                'check what answers at this address',
            )
        for block in blocks:
            event = _parse(block)
            if event is not None:
                yield event


def _parse(block: bytes) -> Event | None:
    name = 'message'
    lines = []
    for line in block.split(b'\n'):
        field, _, value = line.partition(b':')
        value = value.removeprefix(b' ')
        if field == b'event':
            name = value.decode('utf-8', 'replace')
        elif field == b'data':
            lines.append(value)
    return Event(name, b'\n'.join(lines)) if lines else None
