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
_EMPTY_LINES = re.compile(rb'(?:\r?\n)*')
_HEAD_END = re.compile(rb'\n\r?\n')
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?'
)
# The name is a token. A line that begins with a blank, which once continued
# the value before it, is none; a gateway may reject it (RFC 9112, 5.2).
_FIELD_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*"
)
# aiohttp takes a length of 2**64 - 1 for none, and the body for empty.
_LENGTH = re.compile(rb'0*[0-9]{1,18}')


class MalformedHeadError(aiohttp.ClientError):
    """The head of an answer is not HTTP/1.1."""


class HeadChecker:
    """Checks the heads of one answer, interim ones included.

    It sees the bytes before aiohttp's parser, which drops what a check of
    the parsed head would need.
    """

    def __init__(self) -> None:
        self._unchecked = bytearray()
        self._has_ended = False

    def feed(self, data: bytes) -> None:
        """Check the heads that ``data`` completes; bodies are ignored.

        Raises MalformedHeadError.
        """
        if self._has_ended:
            return
        # The end of a head may begin with the last two bytes fed before.
        searched = max(0, len(self._unchecked) - 2)
        self._unchecked += data
        while not self._has_ended:
            searched = self._skip_empty_lines(searched)
            end = _HEAD_END.search(self._unchecked, searched)
            if end is None:
                return
            head = bytes(self._unchecked[: end.end()])
            del self._unchecked[: end.end()]
            searched = 0
            self._has_ended = check_head(head) >= 200
        self._unchecked.clear()

    def _skip_empty_lines(self, searched: int) -> int:
        """Drop empty lines before a head; return where to search on."""
        empty = _EMPTY_LINES.match(self._unchecked)
        if empty is None or not empty.end():
            return searched
        del self._unchecked[: empty.end()]
        return 0


def check_head(head: bytes) -> int:
    """Return the status of a head, which ends with an empty line.

    Raises MalformedHeadError.
    """
    status_line, *fields, _, _ = head.replace(b'\r\n', b'\n').split(b'\n')
    match = _STATUS_LINE.fullmatch(status_line)
    if match is None or int(match[2]) == SWITCHING_PROTOCOLS:
        raise MalformedHeadError(f'status line {_quoted(status_line)}')
    for line in fields:
        if _FIELD_LINE.fullmatch(line) is None:
            raise MalformedHeadError(f'field {_quoted(line)}')
    status = int(match[2])
    is_interim = status < 200
    _check_framing(
        _values(fields, b'transfer-encoding'),
        _values(fields, b'content-length'),
        may_be_chunked=match[1] == b'1' and not is_interim,
        may_have_length=not is_interim,
    )
    return status


def _check_framing(
    codings: list[bytes],
    lengths: list[bytes],
    *,
    may_be_chunked: bool,
    may_have_length: bool,
) -> None:
    """Check that at most one field says where the body ends.

    Without any, the end of the connection does (RFC 9112, 6.3).
    """
    if len(codings) + len(lengths) > 1:
        raise MalformedHeadError('more than one length or transfer coding')
    for coding in codings:
        if not may_be_chunked or coding.lower() != b'chunked':
            raise MalformedHeadError(f'transfer coding {_quoted(coding)}')
    for length in lengths:
        if not may_have_length or _LENGTH.fullmatch(length) is None:
            raise MalformedHeadError(f'length {_quoted(length)}')


def _values(fields: list[bytes], name: bytes) -> list[bytes]:
    """Return the values of the fields of one name, given in lower case."""
    return [
        value.strip(b' \t')
        for field_name, _, value in (line.partition(b':') for line in fields)
        if field_name.lower() == name
    ]


def _quoted(line: bytes) -> str:
    return repr(line[:MAX_QUOTED_BYTES])
