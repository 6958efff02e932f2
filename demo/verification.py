"""What callers were told, held against what the targets counted."""

from typing import Any

import attrs

from sycamorebeam import catalogue
from sycamorebeam.pipeline import inputs
from sycamorebeam.standins import batch
from sycamorebeam.standins import pool
from sycamorebeam.standins import service


@attrs.define(kw_only=True)
class CallerRequest:
    """One request of a caller, with its retries."""

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
    lost: str | None = None

    @property
    def in_deadline(self) -> bool:
        """Whether the whole answer came in time."""
        return self.answer is not None and self.took_ms <= self.deadline_ms

    @property
    def outcome(self) -> str:
        """How the request ended, in one word."""
        if self.answer is not None:
            return 'complete'
        if self.problem is not None:
            return str(self.problem['outcome'])
        return 'lost'


def expected_output(
    entries: dict[str, catalogue.AnyEntry], row: CallerRequest
) -> dict[str, Any]:
    """Return the only right answer to a request."""
    pipeline = entries[f'pipeline/{row.pipeline}']
    assert isinstance(pipeline, catalogue.Pipeline)
    outputs: dict[str, dict[str, Any]] = {}
    for index, stage in enumerate(pipeline.stages):
        target = entries[f'target/{stage.target}']
        assert isinstance(target, catalogue.Target)
        needed = {
            name: outputs[name]
            for name in inputs.needed_stages(pipeline, index)
        }
        given = inputs.stage_input(target.kind, row.input, needed)
        outputs[stage.name] = _compute(target.kind, stage, given)
    return outputs[pipeline.stages[-1].name]


def _compute(
    kind: catalogue.TargetKind, stage: catalogue.Stage, given: dict[str, Any]
) -> dict[str, Any]:
    match kind:
        case catalogue.TargetKind.POOL:
            return pool.compute(stage.operation, given)
        case catalogue.TargetKind.SERVICE:
            return service.compute(stage.operation, given)
        case catalogue.TargetKind.ENGINE:
            texts = [
                batch.token(stage.model or '', given['prompt'], index)
                for index in range(stage.max_tokens)
            ]
            return {'text': ''.join(texts)}


def violations(
    entries: dict[str, catalogue.AnyEntry],
    rows: list[CallerRequest],
    runs: dict[str, int],
) -> list[str]:
    """Return every promise that a request saw broken."""
    broken = []
    for row in rows:
        broken.extend(_answer_faults(entries, row))
        if row.key is not None:
            broken.extend(_run_faults(row, runs.get(row.key, 0)))
    known = {row.key for row in rows}
    for key in runs.keys() - known:
        broken.append(f'key {key} ran, but nobody asked for it')
    return broken


def _answer_faults(
    entries: dict[str, catalogue.AnyEntry], row: CallerRequest
) -> list[str]:
    if row.answer is None:
        if row.problem:
            return []
        return [
            f'{row.pipeline} ended in no answer after {row.tries} tries and '
            f'{row.took_ms:.0f} ms, the last: {row.lost}'
        ]
    if row.answer['output'] == expected_output(entries, row):
        return []
    return [f'{row.pipeline} got an answer that is not its own or not whole']


def _run_faults(row: CallerRequest, count: int) -> list[str]:
    if count > 1:
        return [f'{row.pipeline} {row.key} ran {count} times']
    if row.outcome == 'complete' and count != 1:
        return [f'{row.pipeline} {row.key} was answered but never ran']
    if row.outcome == 'not_run' and count:
        return [f'{row.pipeline} {row.key} ran after "not run"']
    return []
