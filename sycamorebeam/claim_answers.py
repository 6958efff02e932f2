"""Answers to a request that already ran under an earlier attempt."""

from typing import Any

from sycamorebeam import answers
from sycamorebeam import claims


def replay(
    known: bool,
    output: dict[str, Any] | None,
    target_request_id: str | None,
) -> claims.Replayed:
    """Return the stored answer of an earlier run, or why there is none."""
    if not known:
        return claims.Replayed(unknown(target_request_id))
    if output is None:
        return claims.Replayed(output_not_stored(target_request_id))
    return claims.Replayed(answers.Completed(output, replayed=True))


def unknown(target_request_id: str | None) -> answers.Problem:
    """Return the problem for a run whose outcome is unknown."""
    return answers.Problem(
        answers.ProblemKind.OUTCOME_UNKNOWN,
        answers.Outcome.UNKNOWN,
        'an earlier attempt of this key may have run, in whole or in part',
        'look the request up at its target before you send it under a new '
        'key; this key will not run again',
        target_request_id=target_request_id,
    )


def output_not_stored(target_request_id: str | None) -> answers.Problem:
    """Return the problem for a run whose answer was too large to store."""
    return answers.Problem(
        answers.ProblemKind.OUTCOME_UNKNOWN,
        answers.Outcome.PARTIAL,
        'the request ran to its end once, but its answer was not kept',
        'look the answer up at the target; this key will not run again',
        target_request_id=target_request_id,
    )
