"""Digests and rendezvous hashing."""

from collections.abc import Iterable
import hashlib
import heapq

import msgpack
import xxhash


def digest(data: bytes) -> bytes:
    """Return the SHA-256 digest of ``data`` (32 bytes)."""
    return hashlib.sha256(data).digest()


def digest_value(value: object) -> bytes:
    """Return the digest of a JSON-like value, independent of key order."""
    return digest(msgpack.packb(sort_keys(value)))


def sort_keys(value: object) -> object:
    """Return a JSON-like value with the keys of all its maps sorted."""
    match value:
        case dict():
            return {key: sort_keys(value[key]) for key in sorted(value)}
        case list() | tuple():
            return [sort_keys(item) for item in value]
        case _:
            return value


def weight(key: str, node: str) -> int:
    """Return the rendezvous weight of ``node`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def pick(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest weight for ``key``, if any."""
    return max(nodes, key=lambda node: weight(key, node), default=None)


def rank(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` nodes of highest weight for ``key``, in order."""
    return heapq.nlargest(count, nodes, key=lambda node: weight(key, node))
