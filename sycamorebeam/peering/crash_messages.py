"""Messages between instances about prompts that crash engines.

Each instance passes on what is new to it, so that all learn of it although
only some have streams to each other.
"""

from typing import Any

import attrs


@attrs.frozen
class EngineCrashed:
    """An engine crashed ``age_ms`` ago, with some prompts unanswered.

    ``report_id`` stops forwarding loops. ``prompts`` has rows of the time
    since a prompt was sent, in ms, and the ids of its shared parts.
    """

    report_id: str
    target_id: str
    incarnation: int
    age_ms: int
    prompts: list[list[Any]]


@attrs.frozen
class PartsSurvived:
    """Prompts with these suspected parts were answered.

    If ``is_earlier``, that was before the crashes that they are suspected of.
    """

    part_ids: list[str]
    is_earlier: bool = False


@attrs.frozen
class PartsBlocked:
    """Parts that the sender blocks: new ones, or all on a new stream.

    ``rows`` has the id of a part, the time left until a trial and the time
    that the block began with, in ms.
    """

    rows: list[list[Any]]
