"""The rules of claims, as pure functions of a prefix of one stream.

All instances that fold the same records compute the same state of a key,
so they agree on its owner without exchanging messages. All times are append
times of the log; no local clock is used.
"""

import sys

import attrs

from sycamorebeam import claim_records

MAX_ABANDONED = 16
OVERDUE_MARGIN_MS = 2_000
KEY_CLOCK_SKEW_MS = 5_000


@attrs.frozen(order=True)
class Position:
    """The place of a record in its stream, and its append time."""

    offset: int
    index: int
    time_ms: int = attrs.field(order=False)


@attrs.frozen
class StoredOutcome:
    """How the request ended, and the position of that record in the log."""

    known: bool
    has_output: bool
    target_request_id: str | None
    position: Position


@attrs.frozen
class KeyState:
    """The state of one key.

    ``offset`` and ``time_ms`` belong to the claim that last became the owner
    or, before any claim, to the first record that abandoned one. ``claim_id``
    is the owner's, None while the key is free. ``request_digest`` is kept
    after a release. ``abandoned`` lists claims that cannot become the owner,
    even if their record is appended late.
    """

    offset: int
    time_ms: int
    request_digest: bytes | None = None
    claim_id: str | None = None
    deadline_ms: int = 0
    owner: str = ''
    outcome: StoredOutcome | None = None
    abandoned: tuple[str, ...] = ()


def apply(
    state: KeyState | None,
    record: claim_records.KeyRecord,
    position: Position,
    window_ms: int,
) -> KeyState | None:
    """Return the state of a key after ``record`` is applied."""
    if state is not None and is_expired(state, position.time_ms, window_ms):
        state = None
    match record:
        case claim_records.Claim():
            return _apply_claim(state, record, position)
        case claim_records.Abandon():
            return _apply_abandon(state, record, position)
        case claim_records.Release():
            return _apply_release(state, record)
        case claim_records.Outcome():
            return _apply_outcome(state, record, position)


def is_expired(state: KeyState, now_ms: int, window_ms: int) -> bool:
    """Return whether the key is older than the window at the log's time."""
    return now_ms - state.time_ms > window_ms


def _apply_claim(
    state: KeyState | None, record: claim_records.Claim, position: Position
) -> KeyState:
    if state is None:
        state = KeyState(position.offset, position.time_ms)
    if state.claim_id is not None or record.claim_id in state.abandoned:
        return state
    if state.request_digest not in (None, record.request_digest):
        return state
    return attrs.evolve(
        state,
        offset=position.offset,
        time_ms=position.time_ms,
        request_digest=record.request_digest,
        claim_id=record.claim_id,
        deadline_ms=record.deadline_ms,
        owner=sys.intern(record.owner),
    )


def _apply_abandon(
    state: KeyState | None, record: claim_records.Abandon, position: Position
) -> KeyState:
    if state is None:
        state = KeyState(position.offset, position.time_ms)
    if record.claim_id == state.claim_id or record.claim_id in state.abandoned:
        return state
    kept = (*state.abandoned, record.claim_id)[-MAX_ABANDONED:]
    return attrs.evolve(state, abandoned=kept)


def _apply_release(
    state: KeyState | None, record: claim_records.Release
) -> KeyState | None:
    if not _is_open_claim(state, record.claim_id):
        return state
    assert state is not None
    # A duplicate of the released claim's record must not own the key again.
    kept = (*state.abandoned, record.claim_id)[-MAX_ABANDONED:]
    return attrs.evolve(
        state, claim_id=None, deadline_ms=0, owner='', abandoned=kept
    )


def _apply_outcome(
    state: KeyState | None, record: claim_records.Outcome, position: Position
) -> KeyState | None:
    if state is None or state.claim_id != record.claim_id:
        return state
    # A known outcome replaces an unknown one; the first known one is final.
    if state.outcome is not None and (state.outcome.known or not record.known):
        return state
    outcome = StoredOutcome(
        record.known,
        record.output is not None,
        record.target_request_id,
        position,
    )
    return attrs.evolve(state, outcome=outcome)


def _is_open_claim(state: KeyState | None, claim_id: str) -> bool:
    return (
        state is not None
        and state.claim_id == claim_id
        and state.outcome is None
    )


@attrs.frozen
class Free:
    """No claim owns the key."""


@attrs.frozen
class Open:
    """The key is owned and its request may still be running."""

    claim_id: str
    remaining_ms: int


@attrs.frozen
class Overdue:
    """The owner's deadline has passed and no outcome was recorded."""

    claim_id: str


@attrs.frozen
class Settled:
    """The key's request has ended with ``outcome``."""

    outcome: StoredOutcome


@attrs.frozen
class Mismatch:
    """The key belongs to another request."""


KeyStatus = Free | Open | Overdue | Settled | Mismatch


def key_status(
    state: KeyState | None, request_digest: bytes, now_ms: int
) -> KeyStatus:
    """Return the status of a key for a request at the log's time."""
    if state is None or state.request_digest is None:
        return Free()
    if state.request_digest != request_digest:
        return Mismatch()
    if state.outcome is not None:
        return Settled(state.outcome)
    if state.claim_id is None:
        return Free()
    overdue_ms = state.time_ms + state.deadline_ms + OVERDUE_MARGIN_MS
    if now_ms >= overdue_ms:
        return Overdue(state.claim_id)
    return Open(state.claim_id, overdue_ms - now_ms)


@attrs.frozen
class Horizon:
    """The newest record that a reader has evicted or could not read.

    ``time_ms`` is an upper bound on the append time of that record, None
    while no bound is known.
    """

    offset: int
    time_ms: int | None


def is_history_complete(
    horizon: Horizon | None,
    created_ms: int | None,
    since_offset: int | None,
) -> bool:
    """Return whether the reader's state covers every claim of a key.

    ``created_ms`` is the creation time in the key itself. A claim is granted
    only if that time is at most ``KEY_CLOCK_SKEW_MS`` after the log's time,
    so no claim of the key is older than ``created_ms`` minus that skew,
    whichever clock made the key. For a key without a creation time,
    ``since_offset`` is the reader's next offset when an attempt arrived that
    its caller marked as the first: no earlier record belongs to the key.
    """
    if horizon is None:
        return True
    if created_ms is None:
        return since_offset is not None and horizon.offset < since_offset
    if horizon.time_ms is None:
        return False
    return created_ms - KEY_CLOCK_SKEW_MS > horizon.time_ms


def is_from_future(created_ms: int | None, now_ms: int) -> bool:
    """Return whether a key's creation time is ahead of the log's time."""
    return created_ms is not None and created_ms > now_ms + KEY_CLOCK_SKEW_MS
