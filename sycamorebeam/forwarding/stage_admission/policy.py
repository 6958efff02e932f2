"""Which decisions apply while requests contend for a stage service."""

import attrs


@attrs.frozen(kw_only=True)
class Policy:
    """Switches of the decisions, so that each can be measured alone.

    ``fills_calls``: groups that wait for a replica in the zone of their data
    take places elsewhere that would stay empty. ``puts_timely_first``: groups
    that can be in time go before late ones of any rank, and groups expected
    late are not admitted. ``saves_memory``: results that are of no use are
    freed at once, and memory is not filled with parts of groups.
    ``measures_engine_start``: the time from the last stage to the first event
    is measured. ``keeps_retry_places``: refused callers are told a time at
    which a place is kept for them.

    ``saves_memory`` is off: it needs a fifth more connections to replicas, and
    callers were served no better with it.
    """

    fills_calls: bool = True
    puts_timely_first: bool = True
    measures_engine_start: bool = True
    keeps_retry_places: bool = True
    saves_memory: bool = False


def from_setting(is_enabled: bool) -> Policy:
    """Return the decisions of a deployment that has them on or off."""
    if is_enabled:
        return Policy()
    return Policy(
        fills_calls=False,
        puts_timely_first=False,
        measures_engine_start=False,
        keeps_retry_places=False,
        saves_memory=False,
    )
