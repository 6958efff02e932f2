"""Messages about prompts that one instance places for a region."""

from typing import Any

import attrs


@attrs.frozen
class PlacePrompt:
    """Asks which engine of a service can read a prompt soonest.

    ``parts`` has rows of a part's id and its token count. The engine fetches
    ``input_bytes`` from ``zone``; engines in ``excluded``, and those outside
    of ``allowed_regions`` if these are set, are not chosen. The answer has
    at most ``output_tokens`` and goes to ``caller_zone``; its first event is
    to arrive within ``objective_in_ms``. ``loads`` has rows of a target's id,
    incarnation, running and waiting requests, slots, pace and the age of the
    report in ms.
    """

    call_id: int
    service: str
    attempt_id: str
    parts: list[list[Any]]
    zone: str
    input_bytes: float
    excluded: list[str]
    allowed_regions: list[str] | None = None
    output_tokens: int = 0
    caller_zone: str = ''
    objective_in_ms: float | None = None
    loads: list[list[Any]] = attrs.field(factory=list)


@attrs.frozen
class PromptPlaced:
    """Answers ``PlacePrompt``; ``target_id`` is empty if no engine fits.

    ``lacks_memory`` means that it would exceed the memory of every engine,
    so the sender must not place it either.
    """

    call_id: int
    target_id: str
    lacks_memory: bool = False


@attrs.frozen
class PromptRead:
    """Reports that the engine has read a placed prompt.

    ``loads`` are those of targets of ``service``, as in ``PlacePrompt``.
    """

    attempt_id: str
    service: str = ''
    loads: list[list[Any]] = attrs.field(factory=list)


@attrs.frozen
class PromptEnded:
    """Reports that a request has left the engine it was placed on.

    ``loads`` are those of targets of ``service``, as in ``PlacePrompt``.
    """

    attempt_id: str
    service: str = ''
    loads: list[list[Any]] = attrs.field(factory=list)
