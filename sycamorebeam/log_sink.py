"""Writes log lines without ever waiting for their reader."""

from collections import deque
import errno
import os

# Some seconds of lines of a busy instance.
MAX_PENDING_BYTES = 1_000_000
# Kept free for the lines that matter most when the rest is left out.
RESERVED_BYTES = 200_000


class LogSink:
    """Sends lines to a file descriptor that may not take them.

    Lines that the reader does not take are kept up to a bound and then left
    out; the next line that fits says how many. Lines that end a request are
    the last to be left out.
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
        """How many lines were left out since one last said so."""
        return self._dropped_lines

    def write(self, line: str) -> None:
        """Take a line; send what the reader takes."""
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
        """Send what the reader takes now."""
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
