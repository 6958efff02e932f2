"""Builds the input of a stage from the request and earlier results."""

import json
from typing import Any

from sycamorebeam import catalogue

MAX_CONTEXT_CHARS = 8_000


def needed_stages(pipeline: catalogue.Pipeline, index: int) -> tuple[str, ...]:
    """Return the names of the stages that stage ``index`` waits for."""
    stage = pipeline.stages[index]
    if stage.after is not None:
        return stage.after
    if index == 0:
        return ()
    return (pipeline.stages[index - 1].name,)


def stage_input(
    kind: catalogue.TargetKind,
    request_input: dict[str, Any],
    needed: dict[str, dict[str, Any]],
) -> dict[str, Any]:
    """Return the input of a stage.

    A pool gets the request's input updated with the outputs of the
    ``needed`` stages, an engine gets a prompt built from both, and a
    service gets the request's input alone.
    """
    match kind:
        case catalogue.TargetKind.ENGINE:
            return {'prompt': _prompt(request_input, needed)}
        case catalogue.TargetKind.POOL:
            merged = dict(request_input)
            for output in needed.values():
                merged.update(output)
            return merged
        case catalogue.TargetKind.SERVICE:
            return request_input


def _prompt(
    request_input: dict[str, Any], needed: dict[str, dict[str, Any]]
) -> str:
    """Return the outputs of the needed stages, then the request's text."""
    outputs = [
        json.dumps(needed[name], sort_keys=True, ensure_ascii=False)
        for name in sorted(needed)
    ]
    context = '\n'.join(outputs)[:MAX_CONTEXT_CHARS]
    question = str(request_input.get('text', ''))
    return f'{context}\n\n{question}' if context else question
