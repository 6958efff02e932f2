"""Expected time of work on a machine that is shared with others.

It is designed for machines whose slow periods last about half a second, so
that a report of the pace tells little about the time after that. It does no
I/O.
"""

import math

USUAL_PACE = 100.0
# Mean length of a slow period, and time constant of a report's weight.
SPELL_MS = 500.0


def expected_ms(work_ms: float, pace: float, age_ms: float) -> float:
    """Return the time that work of ``work_ms`` at usual pace takes.

    A period is still going on with a probability that falls with the age of
    its report. It then ends at a constant rate, whatever its age.
    """
    factor = pace / USUAL_PACE
    still_slow = math.exp(-max(0.0, age_ms) / SPELL_MS)
    slow_ms = SPELL_MS * (1 - math.exp(-work_ms * factor / SPELL_MS))
    return work_ms + still_slow * slow_ms * (1 - 1 / factor)
