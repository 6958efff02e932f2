"""Protocols of aiohttp that parse what they receive in slices."""

from typing import Any
from typing import TYPE_CHECKING

from sycamorebeam.clients import parse_turns

if TYPE_CHECKING:
    from aiohttp import base_protocol

    _Base = base_protocol.BaseProtocol
else:
    _Base = object

# Overhead is what a message has besides its body: heads, interim ones
# included, and the framing of chunks. aiohttp allows 128 headers of 8 KiB in
# one head; servers use a few KiB.
MAX_OVERHEAD_BYTES = 64 * 1024
# Of a message whose body has begun: 100,000 chunks of one byte. Beyond these,
# the framing may grow with the body; chunks of 12 bytes have half as much.
MAX_FRAMING_BYTES = 512 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 0.5
# A connection with more overhead than this parses after the others.
HEAVY_OVERHEAD_BYTES = 16 * 1024
# Connections with more unparsed bytes end when those of all are too many.
LARGE_UNPARSED_BYTES = 64 * 1024


class SlicedInput(_Base):
    """Parses received bytes in slices, in the turns of its event loop.

    A mixin that precedes a protocol of aiohttp. While bytes are unparsed, the
    transport reads no more, so that they stay within what one read returns.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._turns = parse_turns.of_loop(self._loop)
        self._unparsed = b''
        self._position = 0
        self._is_waiting = False
        self._holds_transport = False
        self._is_ended = False
        self._overhead_bytes = 0
        self._body: Any = None
        self._counted_body_bytes = 0

    @property
    def body_bytes(self) -> int:
        """How many bytes of the current body were parsed."""
        return 0 if self._body is None else self._body.total_bytes

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, now or in later turns."""
        if self._is_ended:
            return
        if data:
            self._keep(self._unparsed[self._position :] + data)
        else:
            # aiohttp calls this whenever it takes bytes out of its buffer,
            # to continue with what its parser had to leave.
            super().data_received(data)
        if self._unparsed:
            self._parse_in_turn()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Parse the rest and continue as aiohttp does."""
        self._parse_rest()
        super().connection_lost(exc)
        # The body refers to this protocol, and would stay with it until a
        # garbage collection.
        self._body = None

    def _note_new_message(self) -> None:
        """Call ``_start_message`` if the last slice had a message's head."""
        raise NotImplementedError

    def _handle_excess(self) -> None:
        """Handle a message that has more overhead than it may have."""
        raise NotImplementedError

    def _start_message(self, body: Any) -> None:
        """Count anew for a message with this body, None without one."""
        self._overhead_bytes = 0
        self._body = body
        self._counted_body_bytes = 0

    @property
    def _has_excess(self) -> bool:
        body_bytes = self.body_bytes
        if not body_bytes:
            return self._overhead_bytes > MAX_OVERHEAD_BYTES
        return self._overhead_bytes > (
            MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * body_bytes
        )

    @property
    def _is_heavy(self) -> bool:
        return self._overhead_bytes > HEAVY_OVERHEAD_BYTES

    @property
    def _can_parse(self) -> bool:
        return bool(self._unparsed) and not self._reading_paused

    def _resume_transport_reading(self) -> None:
        if not self._unparsed:
            self._holds_transport = False
            super()._resume_transport_reading()

    def _parse_in_turn(self) -> None:
        if self._is_waiting:
            return
        while self._can_parse and self._turns.may_parse:
            self._parse_slice()
        self._wait_or_release()

    def _parse_waiting(self) -> None:
        # One slice, so that all that wait get their share.
        self._is_waiting = False
        if self._can_parse:
            self._parse_slice()
        self._wait_or_release()

    def _wait_or_release(self) -> None:
        """Wait for a turn with what is left, or have the transport read."""
        if self.transport is None or self.transport.is_closing():
            self._drop_unparsed()
        elif not self._unparsed:
            if self._holds_transport and not (
                self._reading_paused or self._buffer_paused
            ):
                self._resume_transport_reading()
        else:
            if not self._holds_transport:
                if (
                    self._turns.unparsed_bytes > parse_turns.MAX_UNPARSED_BYTES
                    and len(self._unparsed) > LARGE_UNPARSED_BYTES
                ):
                    self._end()
                    return
                self._holds_transport = True
                self._pause_transport_reading()
            # Flow control calls data_received when it lets parsing go on.
            if not self._reading_paused:
                self._is_waiting = True
                self._turns.wait(self._parse_waiting, is_heavy=self._is_heavy)

    def _parse_slice(self) -> None:
        end = self._position + parse_turns.SLICE_BYTES
        data = self._unparsed[self._position : end]
        self._position = end
        if end >= len(self._unparsed):
            self._drop_unparsed()
        self._parse(data)
        self._note_new_message()
        body_bytes = self.body_bytes - self._counted_body_bytes
        self._counted_body_bytes += body_bytes
        overhead_bytes = len(data) - body_bytes
        self._overhead_bytes += overhead_bytes
        self._turns.charge(
            max(0, overhead_bytes)
            + body_bytes / parse_turns.BODY_BYTES_PER_COST
        )
        if self._has_excess and not self._is_ended:
            self._end()

    def _parse_rest(self) -> None:
        """Parse the rest, unless the connection is nearly all overhead."""
        while self._can_parse and not self._is_heavy:
            self._parse_slice()
        self._drop_unparsed()

    def _parse(self, data: bytes) -> None:
        """Pass a slice on to aiohttp's parser."""
        super().data_received(data)

    def _end(self) -> None:
        self._stop_parsing()
        self._handle_excess()

    def _stop_parsing(self) -> None:
        """Parse nothing more that this connection receives."""
        self._is_ended = True
        self._drop_unparsed()

    def _keep(self, data: bytes) -> None:
        self._turns.unparsed_bytes += len(data) - len(self._unparsed)
        self._unparsed = data
        self._position = 0

    def _drop_unparsed(self) -> None:
        if self._unparsed:
            self._keep(b'')
