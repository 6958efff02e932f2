"""Types of the claims of idempotency keys.

The first claim of a key in log order owns the key, and only its owner gets
a dispatch permit. ``claim_fold`` has the rules;
``controllers.claims_controller`` carries them out.
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

    It exists only in the owner's memory: it cannot be copied or serialised,
    and ``use`` succeeds once.
    """

    claim_id: str
    partition: int
    key_digest: bytes
    _consumed: bool = False
    _refused: bool = False

    @property
    def proves_not_run(self) -> bool:
        """Whether the request certainly did not run under this permit."""
        return self._refused or not self._consumed

    def mark_refused(self) -> None:
        """Record proof that the target did no work for the request."""
        self._refused = True

    def use(self) -> None:
        """Use up the permit, right before the first byte is sent.

        Raises PermitError if it was already used or destroyed.
        """
        if self._consumed:
            raise errors.PermitError(
                f'the permit of claim {self.claim_id} was used or destroyed',
                'claim the key again; a permit allows one dispatch',
            )
        self._consumed = True

    def destroy(self) -> bool:
        """Make the permit unusable; return whether it was unused."""
        unused = not self._consumed
        self._consumed = True
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
    """The request ran before; ``answer`` is its result."""

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
    """The key may be older than the records that can still be read."""


@attrs.frozen
class ClaimFailed:
    """The claim was not decided, and this attempt runs nothing.

    ``proved_not_run`` is true if no attempt of the key ever ran.
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
