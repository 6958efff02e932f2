"""Checks the body and the key of a request before anything runs."""

from typing import Any

from sycamorebeam import answers
from sycamorebeam.filters import chain

ALLOWED_FIELDS = frozenset({'input'})
MAX_KEY_CHARS = 200


class Validation:
    """Refuses a malformed body or key, naming every fault."""

    async def __call__(
        self, request: chain.Request, proceed: chain.Handler
    ) -> answers.Answer:
        """Pass on a request whose body and key are well formed."""
        faults = _body_faults(request.body)
        faults.extend(_key_faults(request.idempotency_key))
        if not faults:
            return await proceed(request)
        return answers.Problem(
            answers.ProblemKind.BAD_REQUEST,
            answers.Outcome.NOT_RUN,
            '; '.join(faults),
            'send {"input": {...}} as docs/CALLERS.md describes',
        )


def _body_faults(body: dict[str, Any]) -> list[str]:
    faults = [
        f'unknown field {name!r}'
        for name in sorted(set(body) - ALLOWED_FIELDS)
    ]
    if not isinstance(body.get('input'), dict):
        faults.append('"input" must be an object')
    return faults


def _key_faults(key: str | None) -> list[str]:
    if key is None:
        return []
    if not key or len(key) > MAX_KEY_CHARS:
        return [f'Idempotency-Key must have 1 to {MAX_KEY_CHARS} characters']
    if not key.isascii() or not key.isprintable():
        return ['Idempotency-Key must be printable ASCII']
    return []
