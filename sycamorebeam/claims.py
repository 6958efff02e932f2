"""Claims of idempotency keys: their vocabulary.

The first claim of a key in log order owns the key. Its owner alone gets a
dispatch permit. The rules are folded in ``claim_fold`` and carried out by
``controllers.claims_controller``.
"""

from typing import Any
from typing import NoReturn

import attrs

from sycamorebeam import answers
from sycamorebeam import errors


@attrs.frozen
class ClaimKey:
    """An idempotency key in the scope of its team and pipeline."""

    team: str
    pipeline: str
    key: str


@attrs.define
class DispatchPermit:
    """The right to dispatch one non-idempotent request once.

    It lives in the memory of the owner only: it cannot be copied or
    serialised, and ``use`` succeeds once.
    """

    claim_id: str
    partition: int
    key_digest: bytes
    _used: bool = False
    _refused: bool = False

    @property
    def proves_not_run(self) -> bool:
        """Whether the request provably did not run under this permit."""
        return self._refused or not self._used

    def mark_refused(self) -> None:
        """Note that the target proved to have done nothing at all."""
        self._refused = True

    def use(self) -> None:
        """Spend the permit, right before the first byte is sent."""
        if self._used:
            raise errors.PermitError(
                f'the permit of claim {self.claim_id} is spent',
                'claim the key again; a permit allows one dispatch',
            )
        self._used = True

    def destroy(self) -> bool:
        """Make the permit unusable; return whether it was still unused."""
        unused = not self._used
        self._used = True
        return unused

    def __copy__(self) -> NoReturn:
        self._refuse_copy()

    def __deepcopy__(self, memo: object) -> NoReturn:
        self._refuse_copy()

    def __reduce__(self) -> NoReturn:
        self._refuse_copy()

    def _refuse_copy(self) -> NoReturn:
        raise errors.PermitError(
            f'the permit of claim {self.claim_id} cannot be copied',
            'pass the permit itself on; it stays in one process',
        )


@attrs.frozen
class Owned:
    """The request owns the key and may dispatch with ``permit``."""

    permit: DispatchPermit


@attrs.frozen
class Replayed:
    """The request ran before; ``answer`` is what it ended with."""

    answer: answers.Answer


@attrs.frozen
class InProgress:
    """Another attempt owns the key and has no outcome yet."""

    claim_id: str
    retry_after_ms: int


@attrs.frozen
class KeyMismatch:
    """The key was used with another request body."""


@attrs.frozen
class KeyTooOld:
    """The key may be older than what the log's retention can prove."""


@attrs.frozen
class ClaimFailed:
    """The claim was not decided; this attempt runs nothing.

    ``proved_not_run`` says that no attempt of the key ever ran.
    """

    reason: str
    proved_not_run: bool
    retry_after_ms: int


ClaimResult = (
    Owned | Replayed | InProgress | KeyMismatch | KeyTooOld | ClaimFailed
)


@attrs.frozen
class RunOutcome:
    """How a dispatched request ended, to be stored with its claim.

    ``output`` is the answer's body, None when it is too large to store or
    when the outcome is unknown.
    """

    known: bool
    output: dict[str, Any] | None = None
    target_request_id: str | None = None
