"""Checks the heads of answers against the grammar of HTTP/1.1 (RFC 9112).

aiohttp parses answers leniently: any three digits are a status, other
protocols' names are accepted, and so are blanks in the names of some fields
and transfer codings that it doesn't decode. A server in trouble may send such
heads, and nothing that follows them can be relied on.
"""

import re

import aiohttp

MAX_QUOTED_BYTES = 100  # of a malformed line, in errors and logs
# Only a request to upgrade, which this client never sends, allows it.
SWITCHING_PROTOCOLS = 101

# RFC 9112 lets a recipient accept a single line feed as the end of a line,
# skip empty lines before the status line, and ignore a missing reason.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?'
)
# The name is a token. A line that begins with a blank, which once continued
# the value before it, is none; a gateway may reject it (RFC 9112, 5.2).
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)"
)
# aiohttp takes a length of 2**64 - 1 for none, and the body for empty.
_LENGTH = re.compile(rb'0*[0-9]{1,18}')


class MalformedHeadError(aiohttp.ClientError):
    """The head of an answer is not HTTP/1.1."""


class HeadChecker:
    """Checks the heads of one answer, interim ones included.

    It sees each line before aiohttp's parser, which drops what a check of
    the parsed head would need.
    """

    def __init__(self) -> None:
        self._incomplete_line = b''
        self._has_ended = False
        self._status: int | None = None
        self._may_be_chunked = False
        self._codings: list[bytes] = []
        self._lengths: list[bytes] = []

    @property
    def has_ended(self) -> bool:
        """Whether the head of the answer itself has ended."""
        return self._has_ended

    def feed(self, data: bytes) -> None:
        """Check the lines that ``data`` completes; bodies are ignored.

        Raises MalformedHeadError.
        """
        if self._has_ended:
            return
        unchecked = self._incomplete_line + data
        *lines, self._incomplete_line = unchecked.split(b'\n')
        for line in lines:
            self._check_line(line.removesuffix(b'\r'))
            if self._has_ended:
                self._incomplete_line = b''
                return

    def _check_line(self, line: bytes) -> None:
        if self._status is None:
            if line:
                self._begin_head(line)
        elif line:
            self._check_field(line)
        else:
            self._check_framing(is_interim=self._status < 200)
            self._has_ended = self._status >= 200
            self._status = None

    def _begin_head(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None or int(match[2]) == SWITCHING_PROTOCOLS:
            raise MalformedHeadError(f'status line {_quoted(line)}')
        self._status = int(match[2])
        self._may_be_chunked = match[1] == b'1'

    def _check_field(self, line: bytes) -> None:
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedHeadError(f'field {_quoted(line)}')
        name, value = match[1].lower(), match[2].strip(b' \t')
        if name == b'transfer-encoding':
            self._codings.append(value)
        elif name == b'content-length':
            self._lengths.append(value)

    def _check_framing(self, *, is_interim: bool) -> None:
        """Check that at most one field says where the body ends.

        Without any, the end of the connection does. Interim heads have no
        body (RFC 9112, 6.3).
        """
        max_fields = 0 if is_interim else 1
        if len(self._codings) + len(self._lengths) > max_fields:
            raise MalformedHeadError('a length or transfer coding too many')
        for coding in self._codings:
            if not self._may_be_chunked or coding.lower() != b'chunked':
                raise MalformedHeadError(f'transfer coding {_quoted(coding)}')
        for length in self._lengths:
            if _LENGTH.fullmatch(length) is None:
                raise MalformedHeadError(f'length {_quoted(length)}')


def _quoted(line: bytes) -> str:
    return repr(line[:MAX_QUOTED_BYTES])
