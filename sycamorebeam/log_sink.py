"""Writes log lines without blocking on a slow reader."""

from collections import deque
import errno
import os

# Holds a few seconds of lines of a busy instance.
MAX_PENDING_BYTES = 1_000_000
# Part of MAX_PENDING_BYTES for request_ended lines only.
RESERVED_BYTES = 200_000


class LogSink:
    """Writes lines to a non-blocking file descriptor.

    Unwritten lines are buffered up to a bound, and further ones are dropped.
    Once the buffer is empty, a line with their number precedes the next one.
    Lines of the event ``request_ended`` are the last to be dropped.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._dropped_lines = 0
        self._is_reader_closed = False
        os.set_blocking(descriptor, False)

    @property
    def dropped_lines(self) -> int:
        """The number of lines dropped since the last report of it."""
        return self._dropped_lines

    def write(self, line: str) -> None:
        """Buffer a line and write as much as possible without blocking."""
        data = line.encode(errors='replace')
        self._flush()
        limit = MAX_PENDING_BYTES
        if 'event=request_ended' not in line:
            limit -= RESERVED_BYTES
        is_full = self._pending_bytes + len(data) > limit
        if is_full or self._is_reader_closed:
            self._dropped_lines += 1
            return
        if self._dropped_lines and not self._pending:
            note = f'event=log_lines_left_out count={self._dropped_lines}\n'
            self._dropped_lines = 0
            self._add(note.encode())
        self._add(data)
        self._flush()

    def flush(self) -> None:
        """Write as much as possible without blocking."""
        self._flush()

    def _add(self, data: bytes) -> None:
        self._pending.append(data)
        self._pending_bytes += len(data)

    def _flush(self) -> None:
        while self._pending:
            data = self._pending[0]
            try:
                sent = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno == errno.EINTR:
                    continue
                self._is_reader_closed = True
                self._dropped_lines += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= sent
            if sent < len(data):
                self._pending[0] = data[sent:]
                return
            self._pending.popleft()
