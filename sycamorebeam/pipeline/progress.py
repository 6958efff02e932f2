"""The progress of one request through the stages of its pipeline."""

from typing import Any

import attrs

from sycamorebeam import answers
from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam.filters import chain


@attrs.define
class Run:
    """The progress of one request: results of its stages and usage so far.

    ``maybe_run_attempts`` counts the attempts that may have run.
    ``dispatched`` is set right before the non-idempotent call is sent. If
    the target proves that the call did not run, ``dispatched`` is reset and
    ``refused`` set.
    """

    request: chain.Request
    pipeline: catalogue.Pipeline
    deadline: clocks.Deadline
    weighting: catalogue.Weighting
    outputs: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    stage_ms: dict[str, int] = attrs.field(factory=dict)
    stage_cost: dict[str, float] = attrs.field(factory=dict)
    region_bytes: int = 0
    tokens: int = 0
    retries: int = 0
    dispatched: bool = False
    maybe_run_attempts: int = 0
    refused: bool = False

    def usage(self) -> answers.Usage:
        """Return what the request consumed so far."""
        return answers.Usage(
            self.stage_ms,
            self.stage_cost,
            self.region_bytes,
            self.tokens,
            self.retries,
        )

    @property
    def interrupted_outcome(self) -> answers.Outcome:
        """The outcome to report if the run ends now without an answer."""
        if self.dispatched:
            return answers.Outcome.UNKNOWN
        if self.maybe_run_attempts:
            return answers.Outcome.PARTIAL
        return answers.Outcome.NOT_RUN

    def record_not_run(self) -> None:
        """Record that the latest attempt provably did not run."""
        self.maybe_run_attempts -= 1
        if not self.dispatched:
            return
        self.dispatched = False
        self.refused = True
        if self.request.permit is not None:
            self.request.permit.mark_refused()
