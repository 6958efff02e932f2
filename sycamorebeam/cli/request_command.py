"""The command ``request``: send one request and print its answer."""

import json
import pathlib
import sys
from typing import Annotated
from typing import Any

import attrs
import typer

from sycamorebeam import answers
from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam.cli import output
from sycamorebeam.clients import caller


def request(
    pipeline: Annotated[str, typer.Argument(help='The pipeline to run.')],
    to: Annotated[
        str, typer.Option(help='Callers address of an instance, IP:port.')
    ],
    token_file: Annotated[
        pathlib.Path,
        typer.Option(help="File with the team's token; - reads it."),
    ],
    text: Annotated[
        str | None, typer.Option(help='Sent as the input {"text": ...}.')
    ] = None,
    body: Annotated[
        str | None,
        typer.Option('--input', help='The input, a JSON object.'),
    ] = None,
    key: Annotated[
        str | None,
        typer.Option(help='Idempotency key; give it again to try again.'),
    ] = None,
    new_key: Annotated[
        bool, typer.Option('--new-key', help='Make a key and print it first.')
    ] = False,
    deadline_ms: Annotated[
        int | None, typer.Option(min=1, help='Time for the whole answer.')
    ] = None,
    stream: Annotated[
        bool, typer.Option(help='Print tokens as they come.')
    ] = True,
    output_format: output.FormatOption = output.OutputFormat.TEXT,
) -> None:
    """Send one request and print its answer.

    The request is sent once. A non-idempotent pipeline needs a key.

    Example: sycamorebeam request shift-summary --to 127.0.0.1:21101
    --token-file token --text "What happened on the night shift?"

    Example: sycamorebeam request pump-restart --to 127.0.0.1:21101
    --token-file token --new-key --input '{"station": "Vrútky 2"}'
    """
    if key is not None and new_key:
        raise typer.BadParameter('give --key or --new-key, not both')
    if new_key:
        key = caller.new_key(clocks.Clock().wall_ms())
        typer.echo(f'key {key}', err=True)
    call = caller.Call(
        address=to,
        pipeline=pipeline,
        input=_input(text, body),
        token=_read_token(token_file),
        key=key,
        first_attempt=new_key,
        deadline_ms=deadline_ms,
    )
    streams = stream and output_format is output.OutputFormat.TEXT
    printer = TokenPrinter() if streams else None
    result = output.run(caller.send(call, printer))
    if printer is not None and printer.count:
        typer.echo()
        result = _without_text(result)
    output.exit_with(_report(call, result, output_format))


def _input(text: str | None, body: str | None) -> dict[str, Any]:
    if (text is None) == (body is None):
        raise typer.BadParameter('give either --text or --input')
    if body is None:
        return {'text': text}
    try:
        document = json.loads(body)
    except ValueError as error:
        raise typer.BadParameter(f'--input is not JSON: {error}') from error
    if not isinstance(document, dict):
        raise typer.BadParameter('--input is not a JSON object')
    return document


def _read_token(path: pathlib.Path) -> str:
    try:
        text = sys.stdin.read() if str(path) == '-' else path.read_text()
    except OSError as error:
        raise errors.SettingsError(
            f'the token file {path} cannot be read ({error.strerror})',
            "name the file that holds your team's token",
        ) from error
    return text.strip()


@attrs.define
class TokenPrinter:
    """Prints tokens as they arrive and counts them."""

    count: int = 0

    def __call__(self, text: str) -> None:
        """Print one token."""
        self.count += 1
        typer.echo(text, nl=False)


def _without_text(result: caller.CallResult) -> caller.CallResult:
    """Return a result without the text that was already printed."""
    match result:
        case caller.CallAnswered({'output': dict() as fields} as document):
            rest = {name: fields[name] for name in fields if name != 'text'}
            return caller.CallAnswered(document | {'output': rest})
        case _:
            return result


def _report(
    call: caller.Call,
    result: caller.CallResult,
    output_format: output.OutputFormat,
) -> output.ExitCode:
    match result:
        case caller.CallAnswered(document):
            _print_answer(document, output_format)
            return output.ExitCode.OK
        case caller.CallRefused(document):
            _print_problem(document, output_format)
            return _refused_code(document)
        case caller.CallLost(reason, sent):
            _print_problem(_lost_document(call, reason, sent), output_format)
            failed = output.ExitCode.FAILED
            return output.ExitCode.UNKNOWN if sent else failed


def _refused_code(document: dict[str, Any]) -> output.ExitCode:
    if document.get('outcome') == answers.Outcome.NOT_RUN.value:
        return output.ExitCode.REJECTED
    return output.ExitCode.UNKNOWN


def _lost_document(
    call: caller.Call, reason: str, sent: bool
) -> dict[str, Any]:
    remedy = 'check the address given with --to'
    if sent:
        remedy = 'send the request again with the same key'
    return {
        'title': 'No whole answer came',
        'detail': reason,
        'outcome': _lost_outcome(call, sent).value,
        'remedy': remedy,
    }


def _lost_outcome(call: caller.Call, sent: bool) -> answers.Outcome:
    """Return the known outcome; an earlier attempt of a key may have run."""
    if sent:
        return answers.Outcome.UNKNOWN
    if call.key is None or call.first_attempt:
        return answers.Outcome.NOT_RUN
    return answers.Outcome.ATTEMPT_NOT_RUN


def _print_answer(
    document: dict[str, Any], output_format: output.OutputFormat
) -> None:
    match output_format:
        case output.OutputFormat.JSON:
            output.print_json(document)
        case output.OutputFormat.TEXT:
            for name, value in document.items():
                typer.echo(f'{name}: {json.dumps(value, ensure_ascii=False)}')


def _print_problem(
    document: dict[str, Any], output_format: output.OutputFormat
) -> None:
    match output_format:
        case output.OutputFormat.JSON:
            output.print_json(document)
        case output.OutputFormat.TEXT:
            typer.echo(
                f'error: {document.get("title")}: {document.get("detail")}; '
                f'outcome {document.get("outcome")}; '
                f'{document.get("remedy")}',
                err=True,
            )
            if 'retry_after_ms' in document:
                typer.echo(
                    f'come back in {document["retry_after_ms"]} ms', err=True
                )
