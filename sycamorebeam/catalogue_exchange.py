"""Packs and unpacks the catalogue for a peer that cannot read the log.

The records that the peer lacks are sent when they are few and still kept,
else the whole state. The peer uses either only when the resulting fold has
the digest that was sent with it.
"""

from collections.abc import Sequence

import msgpack

from sycamorebeam import catalogue_fold
from sycamorebeam import errors
from sycamorebeam import snapshots
from sycamorebeam.clients import results

_TAIL = 'tail'
_WHOLE = 'whole'


def pack(
    fold: catalogue_fold.Fold,
    recent: Sequence[results.LogRecord],
    above: int,
) -> bytes:
    """Return the state that a peer at offset ``above`` lacks.

    ``recent`` are the last records folded, without a gap.
    """
    tail = [
        [record.offset, record.data]
        for record in recent
        if record.offset > above
    ]
    if tail and tail[0][0] == above + 1 and recent[-1].offset == fold.offset:
        return msgpack.packb([_TAIL, fold.digest, tail])
    return msgpack.packb(
        [_WHOLE, snapshots.pack_whole(snapshots.freeze(fold))]
    )


async def unpack(
    fold: catalogue_fold.Fold, data: bytes
) -> catalogue_fold.Fold:
    """Return the fold that a peer sent, without changing ``fold``.

    Raises DigestError when the data is damaged or inconsistent with
    ``fold``, and VersionError when this program cannot read it.
    """
    try:
        match msgpack.unpackb(data):
            case ['tail', bytes() as digest, list() as tail]:
                return _apply_tail(fold.copy(), digest, tail)
            case ['whole', bytes() as state]:
                return await snapshots.unpack_whole(state)
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise _damage_error(str(error)) from error
    except errors.GapError as error:
        raise _damage_error(error.detail) from error
    raise _damage_error('it has an unknown form')


def _apply_tail(
    fold: catalogue_fold.Fold, digest: bytes, tail: list[tuple[int, bytes]]
) -> catalogue_fold.Fold:
    for offset, record in tail:
        fold.apply(offset, record)
    if fold.digest != digest:
        raise _damage_error('the digests differ')
    return fold


def _damage_error(damage: str) -> errors.DigestError:
    return errors.DigestError(
        f'the catalogue from a peer is not used ({damage})',
        'see the page on digest alarms',
    )
