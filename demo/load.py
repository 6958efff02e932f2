"""Callers and a balancer that put an open-loop load on a site."""

import asyncio
from collections.abc import Iterator
import itertools
import random
import time
from typing import Any
import uuid

import aiohttp

from demo import verification
from sycamorebeam import catalogue
from sycamorebeam.clients import caller

PROBE_PERIOD_S = 0.1
RETRY_PAUSE_S = 0.2
MAX_TRIES = 40
# Time without an answer after which a caller tries another instance.
TRY_TIMEOUT_S = 4.0

# Pipeline, team, weight in the load, and text of the input.
MIXES = {
    'kovacik': (
        ('shift-summary', 'day-dispatch', 3, 'What happened at Nitra-2?'),
        ('alarm-explanation', 'night-dispatch', 4, 'Why did P7 trip?'),
        ('maintenance-note', 'maintenance', 1, 'Seal of pump 4 at Martin'),
        ('pump-restart', 'night-dispatch', 6, 'Restart pump 7 at Zilina'),
    ),
    'cedarline': (
        ('cash-flow-summary', 'analysts', 3, 'Bakery on Elm Street'),
        ('review-memo', 'analysts', 2, 'Overdraft review of a sawmill'),
        ('covenant-breach', 'analysts', 1, 'Why was the ratio breached?'),
        ('limit-change', 'branch-managers', 5, 'Raise the limit to 20,000'),
    ),
}


class Balancer:
    """Stands in for the platform's balancer: round robin, ready ones only."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._ready: list[str] = list(addresses)
        self._counter = itertools.count()

    def pick(self, avoided: str | None) -> str:
        """Return the next ready instance, if possible not ``avoided``."""
        choices = [address for address in self._ready if address != avoided]
        choices = choices or self._ready or self._addresses
        return choices[next(self._counter) % len(choices)]

    async def probe_forever(self) -> None:
        """Probe the readiness of the instances every ``PROBE_PERIOD_S``."""
        timeout = aiohttp.ClientTimeout(total=0.5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                answers = await asyncio.gather(
                    *(
                        self._probe(session, address)
                        for address in self._addresses
                    )
                )
                self._ready = [address for address, ready in answers if ready]
                await asyncio.sleep(PROBE_PERIOD_S)

    async def _probe(
        self, session: aiohttp.ClientSession, address: str
    ) -> tuple[str, bool]:
        try:
            async with session.get(f'http://{address}/readyz') as response:
                return address, response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return address, False


def generate_requests(
    user: str,
    entries: dict[str, catalogue.AnyEntry],
    generator: random.Random,
    names: list[str] | None = None,
    max_deadline_ms: int = 600_000,
) -> Iterator[verification.CallerRequest]:
    """Yield an endless sequence of requests of the user's mix.

    ``names`` selects pipelines; ``max_deadline_ms`` limits their deadlines.
    """
    mix = [
        workload
        for workload in MIXES[user]
        if not names or workload[0] in names
    ]
    weights = [workload[2] for workload in mix]
    for number in itertools.count():
        name, team, _, text = generator.choices(mix, weights)[0]
        pipeline = entries[f'pipeline/{name}']
        assert isinstance(pipeline, catalogue.Pipeline)
        content: dict[str, Any] = {'text': f'{text} (request {number})'}
        key = None
        if not pipeline.idempotent:
            key = str(uuid.UUID(int=generator.getrandbits(128), version=4))
            content['key'] = key
        yield verification.CallerRequest(
            pipeline=name,
            team=team,
            input=content,
            deadline_ms=min(pipeline.deadline_ms, max_deadline_ms),
            key=key,
        )


async def send_requests(
    balancer: Balancer,
    requests: Iterator[verification.CallerRequest],
    rate_per_s: float,
    duration_s: float,
    generator: random.Random,
    try_timeout_s: float = TRY_TIMEOUT_S,
) -> list[verification.CallerRequest]:
    """Send requests at random times, without waiting for answers."""
    sent: list[verification.CallerRequest] = []
    tasks = []
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        request = next(requests)
        sent.append(request)
        tasks.append(
            asyncio.create_task(
                send_with_retries(balancer, request, try_timeout_s)
            )
        )
        await asyncio.sleep(generator.expovariate(rate_per_s))
    await asyncio.gather(*tasks)
    return sent


async def send_with_retries(
    balancer: Balancer,
    request: verification.CallerRequest,
    try_timeout_s: float = TRY_TIMEOUT_S,
) -> None:
    """Send a request, and retry it as its result allows."""
    started = time.monotonic()
    address = None
    while request.tries < MAX_TRIES:
        address = balancer.pick(address)
        request.tries += 1
        call = _new_call(request, address, started)
        result = await _send_once(call, try_timeout_s)
        request.took_ms = (time.monotonic() - started) * 1000
        request.lost_reason = request.problem = None
        match result:
            case caller.CallAnswered(document):
                request.answer = document
                return
            case caller.CallRefused(document):
                request.problem = document
            case caller.CallLost(reason):
                request.lost_reason = reason
                request.lost_tries += 1
        if not _should_retry(request, result):
            return
        await asyncio.sleep(_retry_pause_s(request))


async def _send_once(
    call: caller.Call, try_timeout_s: float
) -> caller.CallResult:
    """Send a request once; give up after ``try_timeout_s``.

    The last try, after which the deadline leaves no time for another, waits
    for the answer that the instance sends at the deadline.
    """
    assert call.deadline_ms is not None
    is_last = call.deadline_ms / 1000 < try_timeout_s + RETRY_PAUSE_S
    try:
        async with asyncio.timeout(None if is_last else try_timeout_s):
            return await caller.send(call)
    except TimeoutError:
        return caller.CallLost('no answer in time', sent=True)


def _new_call(
    request: verification.CallerRequest, address: str, started: float
) -> caller.Call:
    spent_ms = (time.monotonic() - started) * 1000
    return caller.Call(
        address=address,
        pipeline=request.pipeline,
        input=request.input,
        token=f'{request.team}-token',
        key=request.key,
        first_attempt=request.key is not None and request.tries == 1,
        deadline_ms=max(1, int(request.deadline_ms - spent_ms)),
    )


def _should_retry(
    request: verification.CallerRequest, result: caller.CallResult
) -> bool:
    """Return whether a caller may safely send the request again."""
    if request.took_ms > request.deadline_ms:
        return False
    match result:
        case caller.CallLost():
            return True
        case caller.CallRefused(document):
            is_retryable = 'retry_after_ms' in document
            return is_retryable and document['outcome'] != 'unknown'
        case _:
            return False


def _retry_pause_s(request: verification.CallerRequest) -> float:
    if request.problem and 'retry_after_ms' in request.problem:
        return request.problem['retry_after_ms'] / 1000
    return RETRY_PAUSE_S
