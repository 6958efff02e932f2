"""Decodes requests and answers, and calls replicas that run stages."""

from collections.abc import Iterable
import json
import math

from sycamorebeam import telemetry
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import upstream
from sycamorebeam.platform import json_records

STAGE_RUN_PATH = '/sycamorebeam/stage-run'
STAGE_FREE_PATH = '/sycamorebeam/stage-free'

# Headers that apply to one connection only.
_CONNECTION_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    }
)
# Headers to targets that only the system sets; callers' are not passed on.
_RESERVED_HEADERS = frozenset(
    {
        'x-cache-retention',
        'x-credential',
        'x-deadline-ms',
        'x-expected-instance',
        'x-expected-version',
        'x-input-items',
        'x-kv-backup',
        'x-pin-ms',
        'x-request-priority',
        'x-tenant',
        'kv-fetch',
        'kv-from',
        'last-event-id',
    }
)
_LOWEST_PRIORITY = 9
_OVERLOAD_STATUSES = (429, 503)  # may ask the sender to retry later
_MAX_DEADLINE_MS = 86_400_000  # a day; callers wait seconds


def decode_request(
    *,
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    arrived_ms: int,
) -> requests.CallerRequest:
    """Return a caller's request. Raises ValueError when it is malformed."""
    pairs = list(headers)
    values = {name.lower(): value for name, value in pairs}
    dropped = (
        _listed_in_connection(values) | _CONNECTION_HEADERS | _RESERVED_HEADERS
    )
    return requests.CallerRequest(
        attempt_id=values.get('x-attempt-id', ''),
        method=method,
        host=values.get('host', ''),
        path=path,
        headers=tuple(
            (name, value)
            for name, value in pairs
            if name.lower() not in dropped
        ),
        body=body,
        arrived_ms=arrived_ms,
        deadline_ms=_parse_deadline_ms(values.get('x-deadline-ms')),
        key=values.get('x-credential'),
        prompt=_parse_prompt(values.get('x-prompt-prefix')),
        item_counts=_parse_item_counts(values.get('x-chunks')),
        item_key=values.get('x-chunk-key', ''),
        last_event_id=values.get('last-event-id'),
    )


def target_headers(
    request: requests.CallerRequest,
    target_id: str,
    parameters: requests.SendParameters,
) -> list[tuple[str, str]]:
    """Return the headers of a request to a target."""
    headers = list(request.headers)
    headers.append(('X-Deadline-Ms', str(parameters.remaining_ms)))
    headers.append(('X-Expected-Instance', target_id))
    priority = max(0, min(parameters.rank, _LOWEST_PRIORITY))
    headers.append(('X-Request-Priority', str(priority)))
    if parameters.team is not None:
        headers.append(('X-Tenant', parameters.team))
    if parameters.results is not None:
        headers.append(('X-Input-Items', ','.join(parameters.results)))
    if parameters.last_event_id is not None:
        headers.append(('Last-Event-Id', parameters.last_event_id))
    return headers


def decode_answer_head(answer: upstream.Answer) -> requests.AnswerHead:
    """Return the head of a target's answer."""
    values = {name.lower(): value for name, value in answer.headers}
    dropped = _listed_in_connection(values) | _CONNECTION_HEADERS
    is_misdirected = answer.status == 421
    return requests.AnswerHead(
        status=answer.status,
        headers=tuple(
            (name, value)
            for name, value in answer.headers
            if name.lower() not in dropped
        ),
        attempt_id=values.get('x-attempt-id'),
        is_signed='x-server-signature' in values,
        is_executed=not (is_misdirected or 'x-not-executed' in values),
        is_misdirected=is_misdirected,
        load=_parse_load(values.get('x-instance-load')),
        has_encoding=values.get('content-encoding', 'identity') != 'identity',
        feedback=model.Feedback(
            is_leaving=values.get('server-leaving') == '1'
            and not is_misdirected,
            backoff_ms=_parse_retry_after_ms(
                answer.status, values.get('retry-after')
            ),
            requests_per_s=None
            if is_misdirected
            else _parse_rate_limit(values.get('server-limit')),
        ),
    )


class StageClient:
    """Calls replicas that run stages."""

    def __init__(self, client: upstream.Upstream) -> None:
        self._client = client

    async def run(
        self,
        address: str,
        target_id: str,
        items: list[stages.TimedItem],
    ) -> stages.CallResult:
        """Run some items in one call.

        Raises upstream.NotSentError and upstream.BrokenError.
        """
        body = json.dumps({'entries': [_encode_item(item) for item in items]})
        answer = await self._client.open(
            address,
            'POST',
            STAGE_RUN_PATH,
            [
                ('Content-Type', 'application/json'),
                ('X-Expected-Instance', target_id),
            ],
            body.encode(),
        )
        try:
            head = decode_answer_head(answer)
            data = await answer.read_body()
        finally:
            answer.close()
        if not head.is_executed:
            return stages.CallDeclined(head.is_misdirected, head.feedback)
        if head.status != 200:
            return stages.CallFailed(f'status {head.status}', head.feedback)
        try:
            results = _decode_results(data, len(items))
        except (ValueError, KeyError, TypeError) as error:
            return stages.CallFailed(repr(error), head.feedback)
        values = {name.lower(): value for name, value in answer.headers}
        load = _parse_stage_load(values.get('x-instance-load'))
        return stages.CallCompleted(results, head.feedback, load)

    async def free(self, address: str, results: list[str]) -> model.Feedback:
        """Free results; return the feedback in the replica's answer.

        Raises upstream.NotSentError and upstream.BrokenError.
        """
        answer = await self._client.open(
            address,
            'POST',
            STAGE_FREE_PATH,
            [('Content-Type', 'application/json')],
            json.dumps({'handles': results}).encode(),
        )
        try:
            await answer.read_body()
        finally:
            answer.close()
        return decode_answer_head(answer).feedback

    def holder_address(self, result: str) -> str:
        """Return the address of the replica that holds a result."""
        return result.partition('/')[0]


def _parse_stage_load(text: str | None) -> model.Load | None:
    """Return the load in an answer to a stage call, None if unreadable."""
    try:
        counts = (text or '').split(',')
        running, waiting, slots = (int(part) for part in counts[:3])
        pace = float(counts[3]) if len(counts) == 4 else None
    except ValueError:
        return None
    if len(counts) > 4 or (pace is not None and not 0 < pace < math.inf):
        return None
    return model.Load(running, waiting, slots, pace)


def _encode_item(timed_item: stages.TimedItem) -> dict[str, object]:
    work = timed_item.work
    # 'phase' is the stage, 'segment' the item's position in it.
    entry: dict[str, object] = {
        'id': work.attempt_id,
        'phase': work.stage,
        'segment': timed_item.position,
        'remaining_ms': timed_item.remaining_ms,
    }
    if work.takes_inputs:
        entry['input_handles'] = list(work.inputs)
    else:
        entry['key'] = work.key
    return entry


def _decode_results(data: bytes, count: int) -> tuple[stages.ItemResult, ...]:
    entries = json_records.parse(data)['entries']
    if len(entries) != count:
        raise ValueError(f'{len(entries)} results for {count} items')
    return tuple(_decode_result(entry) for entry in entries)


def _decode_result(entry: dict[str, str]) -> stages.ItemResult:
    if 'handle' in entry:
        return stages.Produced(entry['handle'])
    return stages.NotProduced(_REASONS[entry['reason']])


_REASONS = {
    'late': stages.FailureReason.TOO_LATE,
    'gone': stages.FailureReason.INPUT_GONE,
    'room': stages.FailureReason.NO_MEMORY,
    'error': stages.FailureReason.FAILED,
}


def _listed_in_connection(values: dict[str, str]) -> frozenset[str]:
    names = values.get('connection', '').split(',')
    return frozenset(name.strip().lower() for name in names)


def _parse_deadline_ms(text: str | None) -> float | None:
    if text is None:
        return None
    value = float(text)
    if not 0 <= value < _MAX_DEADLINE_MS:
        raise ValueError(f'{text!r} is no number of milliseconds')
    return value


def _parse_prompt(text: str | None) -> tuple[requests.PromptPart, ...]:
    if not text:
        return ()
    parts = []
    for entry in text.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        parts.append(requests.PromptPart(part_id, int(tokens)))
    return tuple(parts)


def _parse_item_counts(text: str | None) -> tuple[int, ...]:
    return tuple(int(count) for count in text.split(',')) if text else ()


def _parse_retry_after_ms(status: int, text: str | None) -> float:
    """Return how long a target asks for no requests, 0 if it does not."""
    if text is None or status not in _OVERLOAD_STATUSES:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not seconds >= 0:
        # A date, which is also valid HTTP, would need synchronised clocks.
        telemetry.log_event('retry_after_unreadable', 'WARNING', text=text)
        return 0.0
    return seconds * 1_000


def _parse_rate_limit(text: str | None) -> float | None:
    """Return a target's limit in requests a second, None if unreadable."""
    if text is None:
        return model.UNLIMITED
    try:
        requests_per_s = float(text)
    except ValueError:
        requests_per_s = math.nan
    if not 0 <= requests_per_s < math.inf:
        telemetry.log_event('server_limit_unreadable', 'WARNING', text=text)
        return None
    return requests_per_s


def _parse_load(text: str | None) -> tuple[int, int, int] | None:
    if not text:
        return None
    try:
        running, waiting, slots = (int(part) for part in text.split(','))
    except ValueError:
        return None
    return running, waiting, slots
