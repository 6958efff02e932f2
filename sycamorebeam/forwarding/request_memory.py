"""Bounds the memory of bodies that are kept for requests in progress."""

import attrs

MEGABYTE = 1_000_000
# Of a process without requests, in a large fleet.
OWN_MEMORY_MB = 120
# Bodies are copied once while they are assembled and sent.
BODY_SHARE = 0.5
MIN_LIMIT_MB = 16
# A request may keep more only as long as this share of what is free is more
# than it keeps, so that large bodies leave room for those of others.
MAX_FREE_SHARE = 0.25
# While all others keep less than this share, a legal body of any size fits:
# a quarter of what a machine of 160 MB has free is less than 4 MiB.
MAX_CALM_SHARE = 1 / 8
# Below this size a request only needs the memory to be free.
SMALL_BYTES = 64 * 1024


class NoMemoryLeftError(Exception):
    """The bodies of requests in progress use the memory granted to them."""


def limit_bytes(memory_mb: float) -> int:
    """Return how much of a process's memory bodies may use."""
    limit_mb = (memory_mb - OWN_MEMORY_MB) * BODY_SHARE
    return int(max(limit_mb, MIN_LIMIT_MB) * MEGABYTE)


@attrs.define
class Share:
    """What one request, or the answer to it, keeps."""

    _memory: 'RequestMemory'
    _size: int = 0

    @property
    def size(self) -> int:
        """How many bytes are kept."""
        return self._size

    def resize(self, size: int) -> None:
        """Keep this many bytes. Raises NoMemoryLeftError."""
        if size > self._size:
            self._memory.check(self._size, size)
        self._memory.used_bytes += size - self._size
        self._size = size

    def release(self) -> None:
        """Keep nothing any more."""
        self.resize(0)


class RequestMemory:
    """Counts the bytes kept for all requests in progress."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.used_bytes = 0
        # The largest legal body, which fits while little else is kept.
        self.lone_bytes = 0

    @property
    def limit(self) -> int:
        """How many bytes may be kept together."""
        return self._limit

    def share(self) -> Share:
        """Return an empty share."""
        return Share(self)

    def check(self, old_size: int, new_size: int) -> None:
        """Raise NoMemoryLeftError if a share may not grow."""
        free = self._limit - self.used_bytes - (new_size - old_size)
        if free < 0 or (
            new_size > SMALL_BYTES
            and new_size > MAX_FREE_SHARE * free
            and not self._is_alone(old_size, new_size)
        ):
            raise NoMemoryLeftError(
                f'{new_size} bytes are too many with {free} left'
            )

    def _is_alone(self, old_size: int, new_size: int) -> bool:
        others = self.used_bytes - old_size
        return (
            new_size <= self.lone_bytes
            and others <= MAX_CALM_SHARE * self._limit
        )
