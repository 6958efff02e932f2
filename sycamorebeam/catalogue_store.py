"""Stores accepted entries in packed form and decodes them on access.

A catalogue may hold tens of thousands of teams, of which an instance uses
few at a time. Each entry is kept as one byte string, its revision followed
by its packed value; a bounded cache keeps the entries decoded last.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import functools
import hashlib
from typing import Any

import attrs
import msgpack

from sycamorebeam import catalogue
from sycamorebeam import entries
from sycamorebeam import hashing

ABSENT = -1
"""The revision of an entry that does not exist."""
REVISION_BYTES = 8
DECODED_ENTRIES = 1_024
TEAM_PREFIX = 'team/'
DIGEST_BYTES = 32
_DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)
_TOKEN_INDEX_DIGITS = 15


def pack_value(value: dict[str, Any]) -> bytes:
    """Return the packed form of a plain value, with its keys sorted."""
    return msgpack.packb(hashing.sort_keys(value))


def pack(revision: int, value: dict[str, Any]) -> bytes:
    """Return the stored form of an entry."""
    return revision.to_bytes(REVISION_BYTES, 'big') + pack_value(value)


def revision_of(stored: bytes) -> int:
    """Return the revision of a stored entry."""
    return int.from_bytes(stored[:REVISION_BYTES], 'big')


def value_of(stored: bytes) -> dict[str, Any]:
    """Return the plain value of a stored entry."""
    return msgpack.unpackb(stored[REVISION_BYTES:])


@functools.lru_cache(DECODED_ENTRIES)
def build(key: str, packed: bytes) -> catalogue.AnyEntry:
    """Return the entry of a packed value.

    Raises SettingsError when key or value is not valid.
    """
    kind, _ = entries.split_key(key)
    return entries.from_plain(kind, msgpack.unpackb(packed))


def decode(key: str, stored: bytes) -> catalogue.Versioned:
    """Return the entry of a stored form, with its revision."""
    entry = build(key, stored[REVISION_BYTES:])
    return catalogue.Versioned(revision_of(stored), entry)


def token_index_key(token_sha256: str) -> int:
    """Return the start of a token's digest, the index key of its team."""
    return int(token_sha256[:_TOKEN_INDEX_DIGITS], 16)


class LazyEntries(Mapping[str, catalogue.Versioned]):
    """A read-only view that decodes each entry on access."""

    def __init__(self, stored: dict[str, bytes]) -> None:
        self._stored = stored

    def __getitem__(self, key: str) -> catalogue.Versioned:
        return decode(key, self._stored[key])

    def __iter__(self) -> Iterator[str]:
        return iter(self._stored)

    def __len__(self) -> int:
        return len(self._stored)

    def __contains__(self, key: object) -> bool:
        return key in self._stored


@attrs.define(eq=False)
class Store:
    """The stored entries, their indexes and their digest.

    The digest is a sum over the entries, so that the cost of a change
    depends only on the entries that it edits.
    """

    _stored: dict[str, bytes] = attrs.field(factory=dict)
    _referring_keys: set[str] = attrs.field(factory=set)
    _teams_by_token: dict[int, str] = attrs.field(factory=dict)
    _digest_sum: int = 0

    @property
    def stored(self) -> dict[str, bytes]:
        """The entries in their stored form, by key."""
        return self._stored

    @property
    def referring_keys(self) -> set[str]:
        """The keys of the entries that may refer to others."""
        return self._referring_keys

    @property
    def digest(self) -> bytes:
        """The sum of the digests of all entries."""
        return self._digest_sum.to_bytes(DIGEST_BYTES, 'big')

    def revision(self, key: str) -> int:
        """Return the revision of an entry, ABSENT when there is none."""
        stored = self._stored.get(key)
        return ABSENT if stored is None else revision_of(stored)

    def team_of_token(self, token: int) -> str | None:
        """Return the key of the team with a token's index key, if any."""
        return self._teams_by_token.get(token)

    def view(self) -> LazyEntries:
        """Return the current entries, unaffected by later changes."""
        return LazyEntries(dict(self._stored))

    def copy(self) -> 'Store':
        """Return an independent copy of this store."""
        return Store(
            dict(self._stored),
            set(self._referring_keys),
            dict(self._teams_by_token),
            self._digest_sum,
        )

    def put(self, key: str, stored: bytes) -> None:
        """Add the entry of a key that has none."""
        self._stored[key] = stored
        self._digest_sum = (
            self._digest_sum + _entry_digest(key, stored)
        ) % _DIGEST_MODULUS
        if not key.startswith(TEAM_PREFIX):
            self._referring_keys.add(key)
            return
        for token in value_of(stored)['token_sha256']:
            self._teams_by_token[token_index_key(token)] = key

    def remove(self, key: str) -> None:
        """Remove the entry of a key, if it has one."""
        stored = self._stored.pop(key, None)
        if stored is None:
            return
        self._digest_sum = (
            self._digest_sum - _entry_digest(key, stored)
        ) % _DIGEST_MODULUS
        if not key.startswith(TEAM_PREFIX):
            self._referring_keys.discard(key)
            return
        for token in value_of(stored)['token_sha256']:
            self._teams_by_token.pop(token_index_key(token), None)


def _entry_digest(key: str, stored: bytes) -> int:
    digest = hashlib.sha256(key.encode())
    digest.update(b'\x00')
    digest.update(stored)
    return int.from_bytes(digest.digest(), 'big')
