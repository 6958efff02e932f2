"""Positions in the store that stay ordered when it is restored from a copy.

A restored store assigns some offsets again and increments its era. A position
combines era and offset, so that a later position is always greater.
"""

OFFSETS_PER_ERA = 2**48  # more records than a store ever has


def of(era: int, offset: int) -> int:
    """Return the position of an offset of an era."""
    return era * OFFSETS_PER_ERA + offset


def era_of(position: int) -> int:
    """Return the era of a position; 0 for a negative one (nothing read)."""
    return max(0, position) // OFFSETS_PER_ERA


def offset_of(position: int) -> int:
    """Return the offset of a position."""
    return position % OFFSETS_PER_ERA
