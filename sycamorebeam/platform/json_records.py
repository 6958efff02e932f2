"""Parses JSON that other writers may have written."""

import json
from typing import Any


def parse(data: bytes) -> Any:
    """Return the value in ``data``.

    Raises ValueError for anything that is no JSON, or too deeply nested.
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError('the JSON is too deeply nested') from error
