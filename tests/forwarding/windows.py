"""Counts requests in the sliding windows of the platform's rule."""

import bisect

CONTACT_S = 4.0  # from the first report of a limit to its enforcement
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


def allowed_count(requests_per_s):
    """Return how many requests a target with a limit may get in a window."""
    return ALLOWED_FACTOR * requests_per_s * WINDOW_S + ALLOWED_EXTRA


def largest(times_s, window_s=WINDOW_S):
    """Return the most requests in any window."""
    ordered_s = sorted(times_s)
    return max(
        (
            bisect.bisect_left(ordered_s, start_s + window_s) - index
            for index, start_s in enumerate(ordered_s)
        ),
        default=0,
    )
