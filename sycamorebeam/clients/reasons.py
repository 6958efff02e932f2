"""Why a call to a target ended without a complete answer."""

import enum


class Reason(enum.StrEnum):
    """Reasons with stable texts, for results, logs and metrics."""

    DEADLINE = 'the deadline passed'
    UNREACHABLE = 'no connection'
    NO_CONNECTION_IN_TIME = 'no connection in time'
    CLOSED = 'the connection closed before an answer'
    SILENT = 'the connection went silent'
    ENDED_EARLY = 'the answer ended early'
    REFUSED = 'the target refused the call'
    FAILED = 'the target failed'
    NOT_FOUND = 'the target does not know the attempt'
    WRONG_ID = 'the answer has the id of another attempt'
    WRONG_DIGEST = 'the answer does not match its digest'
    MALFORMED = 'the answer is malformed'
    TOO_LARGE = 'the answer is too large'
    NO_PROMPT = 'the attempt has no prompt'
    CANCELLED = 'the target cancelled the attempt'
