"""The messages between instances, and their form on the wire.

A message is a msgpack array of its type, the version of its type, and its
fields in order. A reader ignores fields after those it knows, sets missing
ones to their defaults, and skips unknown types, so that instances of
neighbouring versions are compatible during a rolling upgrade.
"""

from typing import Any

import attrs
import msgpack

from sycamorebeam.peering import crash_messages
from sycamorebeam.peering import placement_messages

MESSAGE_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Hello:
    """Opens a stream with the sender's id and a nonce for the peer's proof.

    ``started_wall_ms`` is when the sender's process started, 0 if unknown.
    """

    instance_id: str
    nonce: bytes
    started_wall_ms: int = 0


@attrs.frozen
class Proof:
    """Proves knowledge of the shared secret, for the peer's nonce."""

    digest: bytes


@attrs.frozen
class Ping:
    """Keeps the stream alive and states which catalogue is in force."""

    catalogue_offset: int
    catalogue_digest: bytes


@attrs.frozen
class TargetsLeaving:
    """Targets seen to be leaving; ``broadcast_id`` stops forwarding loops."""

    broadcast_id: str
    target_ids: list[str]


@attrs.frozen
class TargetLeaving:
    """One incarnation of a target was seen to be leaving."""

    target_id: str
    incarnation: int


@attrs.frozen
class TargetLimitChanged:
    """One incarnation of a target has changed its limit of requests.

    ``requests_per_s`` is infinite if it sets none any more.
    """

    target_id: str
    incarnation: int
    requests_per_s: float


@attrs.frozen
class RequestPermit:
    """Requests a permit to send to a target that limits its requests.

    The target reported its limit ``age_ms`` before.
    """

    call_id: int
    target_id: str
    incarnation: int
    requests_per_s: float
    age_ms: int


@attrs.frozen
class PermitAnswer:
    """Answers ``RequestPermit``: issued if ``wait_ms`` is 0.

    Otherwise a permit is expected after ``wait_ms``.
    """

    call_id: int
    wait_ms: float


@attrs.frozen
class FetchCatalogue:
    """Requests the folded catalogue if its offset is higher than ``above``."""

    call_id: int
    above: int


@attrs.frozen
class CatalogueState:
    """Answers ``FetchCatalogue``; ``state`` is empty when there is none."""

    call_id: int
    offset: int
    state: bytes


@attrs.frozen
class SubmitItems:
    """Requests results from the owner of a stage service's queue.

    Durations count from now, since instances share no clock. ``positions``
    are those of the items within the stage; the items share all other fields.
    Without ``allowed_regions`` any region may run them.
    """

    call_id: int
    service: str
    attempt_id: str
    rank: int
    objective_in_ms: int
    accept_within_ms: int
    expires_in_ms: int
    zone: str
    input_bytes: float
    result_bytes: float
    stage: int
    key: str
    takes_inputs: bool
    inputs: list[str]
    positions: list[int]
    allowed_regions: list[str] | None = None
    in_time_within_ms: int | None = None
    engine_gain_ms: int = 0
    is_retry: bool = False
    reports_pace: bool = False


@attrs.frozen
class AnnounceItems:
    """Announces items of a later stage to the owner of its queue.

    Answered by ``ItemsQueued`` or ``ItemsFailed``. Durations count from now.
    """

    call_id: int
    service: str
    attempt_id: str
    stage: int
    rank: int
    items: int
    result_bytes: float
    arrives_in_ms: int
    objective_in_ms: int
    accept_within_ms: int
    expires_in_ms: int
    allowed_regions: list[str] | None = None
    in_time_within_ms: int | None = None
    engine_gain_ms: int = 0
    is_retry: bool = False
    reports_pace: bool = False


@attrs.frozen
class WithdrawItems:
    """Withdraws announced items that will not be submitted."""

    service: str
    attempt_id: str
    stage: int


@attrs.frozen
class ItemsQueued:
    """Confirms that items are queued or that announced ones are expected."""

    call_id: int


@attrs.frozen
class ItemsDone:
    """The results of ``SubmitItems``, in order."""

    call_id: int
    results: list[str]


@attrs.frozen
class ItemsFailed:
    """Answers ``SubmitItems`` or ``AnnounceItems``: no results will come."""

    call_id: int
    reason: str
    retry_after_ms: float


@attrs.frozen
class CancelItems:
    """Cancels ``SubmitItems`` whose results are not needed any more."""

    call_id: int


@attrs.frozen
class FreeResults:
    """Frees results that are not needed any more."""

    service: str
    results: list[str]


@attrs.frozen
class RequestSharedRead:
    """Requests the latest read of a part of the store.

    ``topic`` names the part; ``position`` is how far the sender has read it,
    negative when it wants all rows. ``is_strong`` is as in the sender's
    instance entry. A sender that ``refuses_all`` requests keeps no instance
    waiting. When ``is_waiting`` is false, the sender does not wait for changes
    but wants to know how fresh its position is.
    """

    call_id: int
    topic: str
    position: int
    is_strong: bool = False
    refuses_all: bool = False
    is_waiting: bool = True


@attrs.frozen
class ReadArriving:
    """The answer to ``RequestSharedRead`` is arriving from the store.

    A large desired state takes long on a congested link.
    """

    call_id: int


@attrs.frozen
class SharedRead:
    """Answers ``RequestSharedRead`` with rows of keys and packed records.

    The read began ``age_ms`` before the request arrived; the age is negative
    when it began later. ``is_whole`` means all rows, not only changed ones.
    ``evacuated_zones`` are all zones that the operator's records name at the
    position; None if the sender's version does not know them, and for other
    parts of the store. They are no rows, since older versions take all rows
    for desired states.
    """

    call_id: int
    position: int
    is_whole: bool
    rows: list[list[Any]]
    age_ms: int
    evacuated_zones: list[str] | None = None


@attrs.frozen
class NoSharedRead:
    """Answers ``RequestSharedRead``: the sender has no read to share.

    It cannot reach the store, does not know the topic, or requests the read
    from another instance itself, named by ``reads_from``.
    """

    call_id: int
    reads_from: str = ''


@attrs.frozen
class Stopping:
    """Announces that the sender is stopping and accepts no new items."""


Message = (
    Hello
    | Proof
    | Ping
    | TargetsLeaving
    | TargetLeaving
    | TargetLimitChanged
    | RequestPermit
    | PermitAnswer
    | FetchCatalogue
    | CatalogueState
    | SubmitItems
    | AnnounceItems
    | WithdrawItems
    | ItemsQueued
    | ItemsDone
    | ItemsFailed
    | CancelItems
    | FreeResults
    | placement_messages.PlacePrompt
    | placement_messages.PromptPlaced
    | placement_messages.PromptRead
    | placement_messages.PromptEnded
    | RequestSharedRead
    | ReadArriving
    | SharedRead
    | NoSharedRead
    | Stopping
    | crash_messages.EngineCrashed
    | crash_messages.PartsSurvived
    | crash_messages.PartsBlocked
)

_TYPES: dict[str, type[Any]] = {
    'hello': Hello,
    'proof': Proof,
    'ping': Ping,
    'leaving': TargetsLeaving,
    'target_leaving': TargetLeaving,
    'target_limit': TargetLimitChanged,
    'request_permit': RequestPermit,
    'permit': PermitAnswer,
    'fetch': FetchCatalogue,
    'state': CatalogueState,
    'submit': SubmitItems,
    'announce': AnnounceItems,
    'withdraw': WithdrawItems,
    'queued': ItemsQueued,
    'done': ItemsDone,
    'failed': ItemsFailed,
    'cancel': CancelItems,
    'free': FreeResults,
    'place': placement_messages.PlacePrompt,
    'placed': placement_messages.PromptPlaced,
    'prompt_read': placement_messages.PromptRead,
    'prompt_ended': placement_messages.PromptEnded,
    'ask_read': RequestSharedRead,
    'read_arriving': ReadArriving,
    'read': SharedRead,
    'no_read': NoSharedRead,
    'stopping': Stopping,
    'engine_crashed': crash_messages.EngineCrashed,
    'parts_survived': crash_messages.PartsSurvived,
    'parts_blocked': crash_messages.PartsBlocked,
}
_TYPE_NAMES = {message_type: name for name, message_type in _TYPES.items()}


def pack(message: Message) -> bytes:
    """Return the bytes of one message."""
    fields = attrs.astuple(message, recurse=False)
    return msgpack.packb(
        [_TYPE_NAMES[type(message)], MESSAGE_VERSION, *fields]
    )


def unpack(array: object) -> Message | None:
    """Return the message, None when its type is unknown.

    Raises ValueError when ``array`` is not a message.
    """
    if not isinstance(array, list) or len(array) < 2:
        raise ValueError('a peer message is an array of type and version')
    message_type = _TYPES.get(array[0])
    if message_type is None:
        return None
    fields = attrs.fields(message_type)
    required = sum(field.default is attrs.NOTHING for field in fields)
    if len(array) < required + 2:
        raise ValueError(f'peer message {array[0]!r} lacks fields')
    return message_type(*array[2 : len(fields) + 2])
