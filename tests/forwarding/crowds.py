"""Crowds of connections whose callers stay outside the limits."""

import contextlib
import itertools
import pathlib
import resource
import socket
import time

import attrs

CONNECTIONS = 1_500
BODY_BYTES = 200_000  # legal, also for the smallest limit
PIECE_BYTES = 1_000
HEADER_FIELDS = 3_900  # four bytes each, within 16,384
REQUESTS_AHEAD = 300
# Of a caller's socket, so that the kernel holds little for it.
SEND_BUFFER_BYTES = 32 * 1024
RECEIVE_BUFFER_BYTES = 4 * 1024
# The crowd stops when it can send nothing more, or has sent for this long.
IDLE_S = 0.3
MAX_SENDING_S = 2.0
POLL_S = 0.01
CONNECT_S = 5.0
ATTEMPT_HEADERS = (
    'Host: h.example\r\nX-Attempt-Id: c\r\nX-Credential: k1\r\n'
    'X-Deadline-Ms: 4000\r\nX-Chunks: 1\r\nX-Chunk-Key: k\r\n'
)


def head(path, rest, method='POST'):
    return f'{method} {path} HTTP/1.1\r\n{ATTEMPT_HEADERS}{rest}'.encode()


def one_body(path):
    rest = f'Content-Length: {BODY_BYTES}\r\n\r\n'
    return head(path, rest) + b'x' * (BODY_BYTES - 1)


def chunked_body(path):
    chunk = b'%x\r\n%s\r\n' % (PIECE_BYTES, b'x' * PIECE_BYTES)
    rest = 'Transfer-Encoding: chunked\r\n\r\n'
    return head(path, rest) + chunk * (BODY_BYTES // PIECE_BYTES)


def small_chunks(path):
    rest = 'Transfer-Encoding: chunked\r\n\r\n'
    return head(path, rest) + b'10\r\n0123456789abcdef\r\n' * 2_000


def far_over_the_limit(path):
    rest = f'Content-Length: {10**9}\r\n\r\n'
    return head(path, rest) + b'x' * 8_000_000


def many_header_fields(path):
    return head(path, 'a:\r\n' * HEADER_FIELDS)


def many_whole_headers(path):
    return head(path, 'a:\r\n' * 100 + 'Content-Length: 10\r\n\r\n')


def requests_ahead(path):
    return head(path, 'Content-Length: 0\r\n\r\n') * REQUESTS_AHEAD


def one_request(path):
    return head(path, 'Content-Length: 0\r\n\r\n')


def half_a_body(path):
    return one_body(path)[: BODY_BYTES // 2]


def nothing(path):
    return b''


@attrs.frozen
class Form:
    """What each connection of a crowd sends, and how."""

    make: object
    connections: int = CONNECTIONS
    piece_bytes: int | None = None
    ends_sending: bool = False
    closes: bool = False


FORMS = {
    'bodies in one piece': Form(one_body),
    'bodies in small pieces': Form(one_body, piece_bytes=PIECE_BYTES),
    'bodies in chunks': Form(chunked_body),
    'bodies in chunks of 16 bytes': Form(small_chunks),
    'bodies far over the limit': Form(far_over_the_limit, 60),
    'very many header fields': Form(many_header_fields),
    'many headers and no body': Form(many_whole_headers),
    'requests sent ahead': Form(requests_ahead, 500),
    'slow senders': Form(one_body, piece_bytes=1),
    'slow readers': Form(one_request),
    'half a body': Form(half_a_body, ends_sending=True),
    'closed after opening': Form(nothing, closes=True),
    'silent connections': Form(nothing),
}


class Crowd:
    """Connections to a port, which stay open until ``close``."""

    def __init__(self, port, form, paths):
        self._port = port
        self._form = form
        self._payloads = [form.make(path) for path in paths]
        self._opened = []

    def send(self):
        """Connect and send, until nothing more can be sent."""
        payloads = itertools.cycle(self._payloads)
        waiting = []
        began_s = time.monotonic()
        for _ in range(self._form.connections):
            opened = self._connect()
            if opened is None:
                continue
            if self._form.closes:
                opened.close()
                continue
            self._opened.append(opened)
            waiting.append([opened, memoryview(next(payloads))])
        sent_s = time.monotonic()
        while waiting:
            sent_count = sum(self._send_some(entry) for entry in waiting)
            if sent_count:
                sent_s = time.monotonic()
            waiting = [entry for entry in waiting if entry[1]]
            now_s = time.monotonic()
            if now_s - sent_s > IDLE_S or now_s - began_s > MAX_SENDING_S:
                break
            time.sleep(POLL_S)

    def close(self):
        for opened in self._opened:
            opened.close()
        self._opened.clear()

    def _connect(self):
        opened = socket.socket()
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        opened.settimeout(CONNECT_S)
        try:
            opened.connect(('127.0.0.1', self._port))
        except OSError:
            opened.close()
            return None
        opened.setblocking(False)
        return opened

    def _send_some(self, entry):
        """Send a piece of what is left; return whether bytes were sent."""
        opened, left = entry
        try:
            size = opened.send(left[: self._form.piece_bytes])
        except BlockingIOError:
            return False
        except OSError:
            entry[1] = b''
            return False
        entry[1] = left[size:]
        if not entry[1] and self._form.ends_sending:
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_WR)
        return True


def limit_descriptors(process, count):
    """Lower the limit on the open files of a process."""
    resource.prlimit(process.popen.pid, resource.RLIMIT_NOFILE, (count, count))


def peak_memory_mb(process):
    """Return the largest resident size of a process so far."""
    status = pathlib.Path(f'/proc/{process.popen.pid}/status').read_text()
    line = next(x for x in status.splitlines() if x.startswith('VmHWM:'))
    return int(line.split()[1]) * 1024 / 1_000_000


def descriptor_count(process):
    """Return how many files a process has open."""
    folder = pathlib.Path(f'/proc/{process.popen.pid}/fd')
    return sum(1 for _ in folder.iterdir())
