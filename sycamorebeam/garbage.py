"""Tunes the collector of reference cycles for many short-lived objects.

A request makes some hundred objects that die by their reference counts.
With the interpreter's default the collector runs several times for each
request, and looks at every loaded module now and then.
"""

import gc

GENERATION_0_THRESHOLD = 50_000
GENERATION_1_THRESHOLD = 20
GENERATION_2_THRESHOLD = 20


def tune() -> None:
    """Collect less often, and never look at what is loaded already."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )
