"""Tunes the collector of reference cycles for many short-lived objects.

A request makes some hundred objects that die by their reference counts.
With the interpreter's default the collector runs several times for each
request, and looks at every loaded module now and then.
"""

import gc

YOUNG_OBJECTS = 50_000
YOUNG_COLLECTIONS = 20
MIDDLE_COLLECTIONS = 20


def tune() -> None:
    """Collect less often, and never look at what is loaded already."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)
