"""The messages between instances, and their form on the wire.

A message is one msgpack array: its type, the version of its type, and its
fields in order. A reader takes the fields it knows and ignores later ones,
fills in those that have a default, and skips types it does not know, so that
instances of neighbouring versions understand each other during a rolling
upgrade.
"""

from typing import Any

import attrs
import msgpack

MESSAGE_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Hello:
    """Opens a stream: who speaks, and a nonce for the other to prove on.

    ``started_wall_ms`` is when the sender's process started, 0 where it does
    not say.
    """

    instance_id: str
    nonce: bytes
    started_wall_ms: int = 0


@attrs.frozen
class Proof:
    """Shows knowledge of the shared secret for the other's nonce."""

    digest: bytes


@attrs.frozen
class Ping:
    """Keeps the stream alive and tells which catalogue is in force."""

    catalogue_offset: int
    catalogue_digest: bytes


@attrs.frozen
class TargetsLeaving:
    """Targets seen to be leaving; ``broadcast_id`` stops forwarding loops."""

    broadcast_id: str
    target_ids: list[str]


@attrs.frozen
class TargetLeaving:
    """One life of a target was observed to be leaving."""

    target_id: str
    incarnation: int


@attrs.frozen
class FetchCatalogue:
    """Asks for the folded catalogue, at ``above`` an offset or higher."""

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
    """Asks the owner of a stage service's queue for results.

    Times are left from now, since instances share no clock. ``positions``
    are those of the items within the stage; they share all else.
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


@attrs.frozen
class AnnounceItems:
    """Asks the owner of a queue to expect items of a later stage.

    Answered by ``ItemsQueued`` or ``ItemsFailed``. Times are left from now.
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


@attrs.frozen
class WithdrawItems:
    """Items that were announced will not be submitted."""

    service: str
    attempt_id: str
    stage: int


@attrs.frozen
class ItemsQueued:
    """The items wait for their calls, or are expected."""

    call_id: int


@attrs.frozen
class ItemsDone:
    """The results of ``SubmitItems``, in order."""

    call_id: int
    results: list[str]


@attrs.frozen
class ItemsFailed:
    """There will be no results."""

    call_id: int
    reason: str
    retry_after_ms: float


@attrs.frozen
class CancelItems:
    """The results of ``SubmitItems`` are not wanted any more."""

    call_id: int


@attrs.frozen
class FreeResults:
    """Some results were used and need not be kept."""

    service: str
    results: list[str]


@attrs.frozen
class PlacePrompt:
    """Asks which engine of a service reads a prompt soonest.

    ``parts`` has rows of a part's id and its tokens. The engine fetches
    ``input_bytes`` from ``zone``.
    """

    call_id: int
    service: str
    attempt_id: str
    parts: list[list[Any]]
    zone: str
    input_bytes: float
    excluded: list[str]


@attrs.frozen
class PromptPlaced:
    """Answers ``PlacePrompt``; the target is empty where there is none."""

    call_id: int
    target_id: str


@attrs.frozen
class PromptRead:
    """The engine has read a prompt that was placed."""

    attempt_id: str


@attrs.frozen
class PromptEnded:
    """A request has left the engine on which it was placed."""

    attempt_id: str


@attrs.frozen
class RequestSharedRead:
    """Asks for what the other instance reads of the store.

    ``topic`` names a part of the store; ``position`` is how far the asker
    has read it, negative when it wants the whole. ``is_strong`` is what the
    asker says of its machine in its entry; nobody waits for an asker that
    ``refuses_all``. One that is not waiting for news wants to know how
    fresh its own position is.
    """

    call_id: int
    topic: str
    position: int
    is_strong: bool = False
    refuses_all: bool = False
    is_waiting: bool = True


@attrs.frozen
class ReadArriving:
    """The answer to ``RequestSharedRead`` is on its way from the store.

    A large desired state takes long on a full link.
    """

    call_id: int


@attrs.frozen
class SharedRead:
    """Answers ``RequestSharedRead`` with rows of keys and packed records.

    The read began ``age_ms`` before the question arrived; the age is
    negative when it began after that. ``is_whole`` says that the rows are
    all there are, not changes.
    """

    call_id: int
    position: int
    is_whole: bool
    rows: list[list[Any]]
    age_ms: int


@attrs.frozen
class NoSharedRead:
    """The other instance has no read to share.

    It does not reach the store, does not know the part of the store, or
    asks another instance itself, which is named then.
    """

    call_id: int
    reads_from: str = ''


@attrs.frozen
class Stopping:
    """The sender stops and takes no new items."""


Message = (
    Hello
    | Proof
    | Ping
    | TargetsLeaving
    | TargetLeaving
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
    | PlacePrompt
    | PromptPlaced
    | PromptRead
    | PromptEnded
    | RequestSharedRead
    | ReadArriving
    | SharedRead
    | NoSharedRead
    | Stopping
)

_TYPES: dict[str, type[Any]] = {
    'hello': Hello,
    'proof': Proof,
    'ping': Ping,
    'leaving': TargetsLeaving,
    'target_leaving': TargetLeaving,
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
    'place': PlacePrompt,
    'placed': PromptPlaced,
    'prompt_read': PromptRead,
    'prompt_ended': PromptEnded,
    'ask_read': RequestSharedRead,
    'read_arriving': ReadArriving,
    'read': SharedRead,
    'no_read': NoSharedRead,
    'stopping': Stopping,
}
_TYPE_NAMES = {message_type: name for name, message_type in _TYPES.items()}


def pack(message: Message) -> bytes:
    """Return the bytes of one message."""
    fields = attrs.astuple(message, recurse=False)
    return msgpack.packb(
        [_TYPE_NAMES[type(message)], MESSAGE_VERSION, *fields]
    )


def unpack(item: object) -> Message | None:
    """Return the message, None when this program does not know its type.

    Raises ValueError when ``item`` is not a message.
    """
    if not isinstance(item, list) or len(item) < 2:
        raise ValueError('a peer message is an array of type and version')
    message_type = _TYPES.get(item[0])
    if message_type is None:
        return None
    fields = attrs.fields(message_type)
    required = sum(field.default is attrs.NOTHING for field in fields)
    if len(item) < required + 2:
        raise ValueError(f'peer message {item[0]!r} lacks fields')
    return message_type(*item[2 : len(fields) + 2])
