"""Which decisions apply while requests contend for a stage service."""

import attrs


@attrs.frozen(kw_only=True)
class Policy:
    """Switches of the decisions, so that each can be measured alone.

    ``fills_calls``: groups that wait for a replica in the zone of their data
    take places elsewhere that would stay empty. ``puts_timely_first``: groups
    that can be in time go before late ones of any rank, and groups expected
    late are not admitted. ``measures_engine_start``: the time from the last
    stage to the first event is measured.
    """

    fills_calls: bool = True
    puts_timely_first: bool = True
    measures_engine_start: bool = True
