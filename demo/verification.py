"""Checks the answers that callers got against the runs of the targets."""

from typing import Any

import attrs

from sycamorebeam import catalogue
from sycamorebeam.pipeline import inputs
from sycamorebeam.standins import batch
from sycamorebeam.standins import pool
from sycamorebeam.standins import service


@attrs.define(kw_only=True)
class CallerRequest:
    """A caller's request, its retries and its result."""

    pipeline: str
    team: str
    input: dict[str, Any]
    deadline_ms: int
    key: str | None = None
    tries: int = 0
    lost_tries: int = 0
    took_ms: float = 0.0
    answer: dict[str, Any] | None = None
    problem: dict[str, Any] | None = None
    lost_reason: str | None = None

    @property
    def in_deadline(self) -> bool:
        """Whether the complete answer came within the deadline."""
        return self.answer is not None and self.took_ms <= self.deadline_ms

    @property
    def outcome(self) -> str:
        """The outcome: complete, lost, or the one that the problem states."""
        if self.answer is not None:
            return 'complete'
        if self.problem is not None:
            return str(self.problem['outcome'])
        return 'lost'


def expected_output(
    entries: dict[str, catalogue.AnyEntry], request: CallerRequest
) -> dict[str, Any]:
    """Return the one correct output of a request."""
    pipeline = entries[f'pipeline/{request.pipeline}']
    assert isinstance(pipeline, catalogue.Pipeline)
    outputs: dict[str, dict[str, Any]] = {}
    for index, stage in enumerate(pipeline.stages):
        target = entries[f'target/{stage.target}']
        assert isinstance(target, catalogue.Target)
        needed_outputs = {
            name: outputs[name]
            for name in inputs.needed_stages(pipeline, index)
        }
        stage_input = inputs.stage_input(
            target.kind, request.input, needed_outputs
        )
        outputs[stage.name] = _compute(target.kind, stage, stage_input)
    return outputs[pipeline.stages[-1].name]


def _compute(
    kind: catalogue.TargetKind,
    stage: catalogue.Stage,
    stage_input: dict[str, Any],
) -> dict[str, Any]:
    match kind:
        case catalogue.TargetKind.POOL:
            return pool.compute(stage.operation, stage_input)
        case catalogue.TargetKind.SERVICE:
            return service.compute(stage.operation, stage_input)
        case catalogue.TargetKind.ENGINE:
            texts = [
                batch.token(stage.model or '', stage_input['prompt'], index)
                for index in range(stage.max_tokens)
            ]
            return {'text': ''.join(texts)}


def violations(
    entries: dict[str, catalogue.AnyEntry],
    requests: list[CallerRequest],
    runs: dict[str, int],
) -> list[str]:
    """Return a message for each guarantee that was violated.

    ``runs`` holds the number of runs per key, as the targets counted them.
    """
    messages = []
    for request in requests:
        messages.extend(_answer_violations(entries, request))
        if request.key is not None:
            messages.extend(_run_violations(request, runs.get(request.key, 0)))
    requested_keys = {request.key for request in requests}
    for key in runs.keys() - requested_keys:
        messages.append(f'key {key} ran without a request')
    return messages


def _answer_violations(
    entries: dict[str, catalogue.AnyEntry], request: CallerRequest
) -> list[str]:
    if request.answer is None:
        if request.problem:
            return []
        return [
            f'{request.pipeline} got no answer in {request.tries} tries and '
            f'{request.took_ms:.0f} ms, last failure: {request.lost_reason}'
        ]
    if request.answer['output'] == expected_output(entries, request):
        return []
    return [f'{request.pipeline} got an answer that is wrong or incomplete']


def _run_violations(request: CallerRequest, count: int) -> list[str]:
    if count > 1:
        return [f'{request.pipeline} {request.key} ran {count} times']
    if request.outcome == 'complete' and count != 1:
        return [
            f'{request.pipeline} {request.key} was answered but did not run'
        ]
    if request.outcome == 'not_run' and count:
        return [f'{request.pipeline} {request.key} ran after "not run"']
    return []
