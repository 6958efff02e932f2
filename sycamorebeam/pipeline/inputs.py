"""Builds the input of a stage from the request and earlier results."""

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

    An engine gets a prompt, a pool the request and the results it needs,
    a service the request's own input.
    """
    match kind:
        case catalogue.TargetKind.ENGINE:
            return {'prompt': _prompt(request_input, needed)}
        case catalogue.TargetKind.POOL:
            return {'request': request_input, 'results': needed}
        case catalogue.TargetKind.SERVICE:
            return request_input


def _prompt(
    request_input: dict[str, Any], needed: dict[str, dict[str, Any]]
) -> str:
    question = str(request_input.get('text', ''))
    passages = [
        str(passage)
        for output in needed.values()
        for passage in output.get('passages', ())
    ]
    context = '\n'.join(passages)[:MAX_CONTEXT_CHARS]
    return f'{context}\n\n{question}' if context else question
