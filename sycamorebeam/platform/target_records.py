"""Decodes what targets report of themselves to the store."""

import json

from sycamorebeam import checking
from sycamorebeam.forwarding import model

_DRAINING_OF_STATE = {'ready': False, 'draining': True}


def decode(target_id: str, data: bytes) -> model.Target | None:
    """Return the reported target, None when the record names none to use."""
    try:
        body = json.loads(data)
        target = model.Target(
            target_id=target_id,
            service=_text(body['service']),
            address=_text(body['address']),
            availability_zone=_text(body['zone']),
            is_draining=_DRAINING_OF_STATE[body['state']],
            # 'born' is the time of the start, which tells incarnations apart.
            incarnation=_whole(body.get('born', 0)),
            slots=_whole(body['slots']),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    if not checking.holds(checking.Address(), target.address):
        return None
    return target


def _text(value: object) -> str:
    if isinstance(value, str) and value:
        return value
    raise ValueError(f'{value!r} is not a text')


def _whole(value: object) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    raise ValueError(f'{value!r} is not a whole number')
