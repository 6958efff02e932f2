"""Snapshots of the catalogue's fold: chunks and a closing manifest.

A snapshot is written to a stream of its own, one chunk per append, and is
complete once its manifest has been appended after all chunks. Instances
also send each other a snapshot in one piece. Either way the state is used
only when its digest is the one in the manifest.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
import zlib

import attrs
import cattrs
import msgpack

from sycamorebeam import catalogue_fold
from sycamorebeam import errors
from sycamorebeam import records

STREAM = 'catalogue.snapshots'
VERSION = 1
CHUNK_BYTES = 196_608
MAX_CHUNK_BYTES = 4 * CHUNK_BYTES

_CHUNK = 'chunk'
_MANIFEST = 'manifest'
_CONVERTER = cattrs.Converter()
_COMPRESSION = 1
_MALFORMED = (
    KeyError,
    TypeError,
    ValueError,
    zlib.error,
    msgpack.UnpackException,
    cattrs.BaseValidationError,
)


@attrs.frozen(kw_only=True)
class Chunk:
    """A part of a snapshot's entries, packed."""

    snapshot_id: str
    index: int
    data: bytes


@attrs.frozen(kw_only=True)
class Manifest:
    """Completes a snapshot and describes its contents.

    ``offset`` is the last one folded and ``digest`` the fold's digest
    there; ``first`` is the offset of the snapshot's first chunk.
    """

    snapshot_id: str
    offset: int
    digest: bytes
    level: int
    history: bytes
    chunks: int
    first: int
    time_ms: int
    audit: tuple[catalogue_fold.Decision, ...]


@attrs.frozen(kw_only=True)
class FrozenFold:
    """The state of a fold at one offset, ready to be written."""

    offset: int
    digest: bytes
    level: int
    history: bytes
    audit: tuple[catalogue_fold.Decision, ...]
    stored: dict[str, bytes]


def freeze(fold: catalogue_fold.Fold) -> FrozenFold:
    """Return the state of ``fold``, unaffected by later changes."""
    return FrozenFold(
        offset=fold.offset,
        digest=fold.digest,
        level=fold.level,
        history=fold.history,
        audit=fold.audit,
        stored=dict(fold.store.stored),
    )


def pack_chunks(frozen: FrozenFold) -> Iterator[bytes]:
    """Yield the packed entries in pieces of bounded size."""
    rows: list[tuple[str, bytes]] = []
    size_bytes = 0
    for key, stored in frozen.stored.items():
        rows.append((key, stored))
        size_bytes += len(key) + len(stored)
        if size_bytes >= CHUNK_BYTES:
            yield _compress(rows)
            rows = []
            size_bytes = 0
    if rows:
        yield _compress(rows)


def _compress(rows: list[tuple[str, bytes]]) -> bytes:
    return zlib.compress(msgpack.packb(rows), _COMPRESSION)


def new_manifest(
    frozen: FrozenFold, snapshot_id: str, chunks: int, first: int, time_ms: int
) -> Manifest:
    """Return the manifest that completes a snapshot."""
    return Manifest(
        snapshot_id=snapshot_id,
        offset=frozen.offset,
        digest=frozen.digest,
        level=frozen.level,
        history=frozen.history,
        chunks=chunks,
        first=first,
        time_ms=time_ms,
        audit=frozen.audit,
    )


def to_record(part: Chunk | Manifest) -> records.Record:
    """Return the log record of a part of a snapshot."""
    name = _CHUNK if isinstance(part, Chunk) else _MANIFEST
    return records.Record(name, VERSION, attrs.asdict(part))


def parse(data: bytes) -> Chunk | Manifest | None:
    """Return the chunk or manifest of one append.

    None when this program cannot use it, whatever the cause: an older
    snapshot or the state of a peer is used instead.
    """
    try:
        [record] = records.unpack_envelope(data)
        return _from_record(record)
    except (errors.VersionError, *_MALFORMED):
        return None


def _from_record(record: records.Record) -> Chunk | Manifest | None:
    match record:
        case records.Record(type='chunk', version=1):
            return Chunk(**record.fields)
        case records.Record(type='manifest', version=1):
            return _CONVERTER.structure(record.fields, Manifest)
        case _:
            return None


@attrs.define
class FoldBuilder:
    """Builds a fold from a manifest and its chunks, one at a time."""

    _manifest: Manifest
    _fold: catalogue_fold.Fold
    _next_index: int = 0

    @property
    def missing_chunks(self) -> int:
        """The number of chunks not added yet."""
        return self._manifest.chunks - self._next_index

    def add_chunk(self, chunk: Chunk) -> None:
        """Add the next chunk; ignore any other one.

        Raises DigestError when the chunk cannot be unpacked.
        """
        is_same_snapshot = chunk.snapshot_id == self._manifest.snapshot_id
        if not is_same_snapshot or chunk.index != self._next_index:
            return
        try:
            for key, stored in _decompress(chunk.data):
                self._fold.store.put(key, stored)
        except _MALFORMED as error:
            raise _damage_error(
                self._manifest, f'chunk {chunk.index}'
            ) from error
        self._next_index += 1

    def finish(self) -> catalogue_fold.Fold:
        """Return the fold.

        Raises DigestError when chunks are missing or its digest is not the
        one in the manifest.
        """
        if self.missing_chunks:
            raise _damage_error(
                self._manifest, f'{self.missing_chunks} chunks missing'
            )
        if self._fold.digest != self._manifest.digest:
            raise _damage_error(self._manifest, 'the digests differ')
        return self._fold


def new_fold_builder(manifest: Manifest) -> FoldBuilder:
    """Return a builder of the fold of ``manifest``."""
    fold = catalogue_fold.new_fold(
        offset=manifest.offset,
        level=manifest.level,
        history=manifest.history,
        audit=manifest.audit,
    )
    return FoldBuilder(manifest, fold)


def pack_whole(frozen: FrozenFold) -> bytes:
    """Return a snapshot in one piece, as peers exchange it."""
    chunks = list(pack_chunks(frozen))
    manifest = new_manifest(frozen, '', len(chunks), 0, 0)
    return msgpack.packb([VERSION, attrs.asdict(manifest), chunks])


async def unpack_whole(data: bytes) -> catalogue_fold.Fold:
    """Return the fold of a snapshot in one piece.

    Raises DigestError when it is damaged and VersionError when its format
    is not known.
    """
    try:
        version, fields, chunks = msgpack.unpackb(data)
        if version != VERSION:
            raise errors.VersionError(
                f'a peer sent a snapshot of version {version}',
                'run the same version of this program everywhere',
            )
        manifest = _CONVERTER.structure(fields, Manifest)
    except _MALFORMED as error:
        raise errors.DigestError(
            f'a snapshot from a peer is malformed ({error})',
            'see the page on digest alarms',
        ) from error
    return await _restore_fold(manifest, chunks)


async def _restore_fold(
    manifest: Manifest, chunks: Iterable[bytes]
) -> catalogue_fold.Fold:
    builder = new_fold_builder(manifest)
    for index, data in enumerate(chunks):
        builder.add_chunk(Chunk(snapshot_id='', index=index, data=data))
        # Let other tasks run while a large state is unpacked.
        await asyncio.sleep(0)
    return builder.finish()


def _decompress(data: bytes) -> list[tuple[str, bytes]]:
    stream = zlib.decompressobj()
    decompressed = stream.decompress(data, MAX_CHUNK_BYTES)
    if not stream.eof:
        raise ValueError('the chunk is too large')
    rows: Any = msgpack.unpackb(decompressed)
    return rows


def _damage_error(manifest: Manifest, damage: str) -> errors.DigestError:
    return errors.DigestError(
        f'the snapshot of offset {manifest.offset} is damaged ({damage})',
        'it is not used; see the page on digest alarms',
    )
