"""Decodes the records that targets write to the store."""

from typing import Any

from sycamorebeam import checking
from sycamorebeam import telemetry
from sycamorebeam.forwarding import model
from sycamorebeam.platform import json_records

# Instances pass on numbers of up to 64 bits to each other.
MAX_INCARNATION = 2**63 - 1
MAX_SLOTS = 2**31 - 1
MAX_COLD_MS = 3_600_000.0  # targets are cold for seconds
MAX_ERROR_CHARS = 200
_IS_DRAINING_BY_STATE = {'ready': False, 'draining': True}


def decode(target_id: str, data: bytes) -> model.Target | None:
    """Return the target in a record, None if it is deleted or invalid."""
    if not data:
        return None
    try:
        body = json_records.parse(data)
        target = model.Target(
            target_id=target_id,
            service=_require_text(body['service']),
            address=_require_text(body['address']),
            availability_zone=_require_text(body['zone']),
            is_draining=_IS_DRAINING_BY_STATE[body['state']],
            # 'born' is the start time, which differs between incarnations.
            incarnation=_require_int(body.get('born', 0), MAX_INCARNATION),
            slots=_require_int(body['slots'], MAX_SLOTS),
            cold_remaining_ms=_cold_remaining_ms(target_id, body),
        )
        if not checking.holds(checking.Address(), target.address):
            raise ValueError(f'{target.address!r} is not an address')
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        telemetry.log_event(
            'target_undecodable',
            'WARNING',
            target=target_id,
            error=repr(error)[:MAX_ERROR_CHARS],
        )
        return None
    return target


def _cold_remaining_ms(target_id: str, body: dict[str, Any]) -> float:
    """Return for how long a target is cold, 0 if that is unreadable.

    It only decides which target is preferred, so the entry is used anyway.
    """
    value = body.get('cold_remaining_ms') or 0
    if (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 <= value <= MAX_COLD_MS
    ):
        return float(value)
    telemetry.log_event(
        'cold_time_unreadable',
        'WARNING',
        target=target_id,
        text=repr(value)[:MAX_ERROR_CHARS],
    )
    return 0.0


def _require_text(value: object) -> str:
    if isinstance(value, str) and value:
        # Lone surrogates, which JSON allows, cannot be sent on.
        value.encode()
        return value
    raise ValueError(f'{value!r} is not a non-empty string')


def _require_int(value: object, highest: int) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        if 0 <= value <= highest:
            return value
        raise ValueError(f'the number is not from 0 to {highest}')
    raise ValueError(f'{value!r} is not an integer')
