"""Decodes the records that targets write to the store."""

import json

from sycamorebeam import checking
from sycamorebeam.forwarding import model

_IS_DRAINING_BY_STATE = {'ready': False, 'draining': True}


def decode(target_id: str, data: bytes) -> model.Target | None:
    """Return the target in a record, None if it is deleted or invalid."""
    try:
        body = json.loads(data)
        target = model.Target(
            target_id=target_id,
            service=_require_text(body['service']),
            address=_require_text(body['address']),
            availability_zone=_require_text(body['zone']),
            is_draining=_IS_DRAINING_BY_STATE[body['state']],
            # 'born' is the start time, which differs between incarnations.
            incarnation=_require_int(body.get('born', 0)),
            slots=_require_int(body['slots']),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    if not checking.holds(checking.Address(), target.address):
        return None
    return target


def _require_text(value: object) -> str:
    if isinstance(value, str) and value:
        return value
    raise ValueError(f'{value!r} is not a non-empty string')


def _require_int(value: object) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    raise ValueError(f'{value!r} is not an integer')
