"""Callers and a balancer: a bounded open-loop load on a site."""

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
# A caller turns to another instance when one is silent for so long.
TRY_TIMEOUT_S = 4.0

# Pipeline, team, share of the load, and what the caller asks.
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
    """Stands in for the platform's balancer: ready instances in turn."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._ready: list[str] = list(addresses)
        self._turn = itertools.count()

    def pick(self, avoided: str | None) -> str:
        """Return the next ready instance, another than ``avoided``."""
        choices = [item for item in self._ready if item != avoided]
        choices = choices or self._ready or self._addresses
        return choices[next(self._turn) % len(choices)]

    async def probe_forever(self) -> None:
        """Ask the instances whether they are ready, again and again."""
        timeout = aiohttp.ClientTimeout(total=0.5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                answers = await asyncio.gather(
                    *(self._probe(session, item) for item in self._addresses)
                )
                self._ready = [item for item, ready in answers if ready]
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
    """Yield requests of the user's mix without end.

    ``names`` picks pipelines, ``max_deadline_ms`` bounds their deadlines.
    """
    mix = [item for item in MIXES[user] if not names or item[0] in names]
    weights = [item[2] for item in mix]
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
    rows: Iterator[verification.CallerRequest],
    rate_per_s: float,
    duration_s: float,
    generator: random.Random,
    try_timeout_s: float = TRY_TIMEOUT_S,
) -> list[verification.CallerRequest]:
    """Send requests at random times, whether or not answers come."""
    sent: list[verification.CallerRequest] = []
    tasks = []
    until = time.monotonic() + duration_s
    while time.monotonic() < until:
        row = next(rows)
        sent.append(row)
        tasks.append(
            asyncio.create_task(
                send_with_retries(balancer, row, try_timeout_s)
            )
        )
        await asyncio.sleep(generator.expovariate(rate_per_s))
    await asyncio.gather(*tasks)
    return sent


async def send_with_retries(
    balancer: Balancer,
    row: verification.CallerRequest,
    try_timeout_s: float = TRY_TIMEOUT_S,
) -> None:
    """Send one request, and again as its problem allows, until it ends."""
    started = time.monotonic()
    address = None
    while row.tries < MAX_TRIES:
        address = balancer.pick(address)
        row.tries += 1
        call = _call(row, address, started)
        result = await _send(call, try_timeout_s)
        row.took_ms = (time.monotonic() - started) * 1000
        row.lost = row.problem = None
        match result:
            case caller.CallAnswered(document):
                row.answer = document
                return
            case caller.CallRefused(document):
                row.problem = document
            case caller.CallLost(reason):
                row.lost = reason
                row.lost_tries += 1
        if not _again(row, result):
            return
        await asyncio.sleep(_pause_s(row))


async def _send(call: caller.Call, try_timeout_s: float) -> caller.CallResult:
    """Send once; an instance that says nothing for long is given up.

    The last try, after which the deadline leaves time for no other, waits
    for what the instance says at the deadline.
    """
    assert call.deadline_ms is not None
    is_last = call.deadline_ms / 1000 < try_timeout_s + RETRY_PAUSE_S
    try:
        async with asyncio.timeout(None if is_last else try_timeout_s):
            return await caller.send(call)
    except TimeoutError:
        return caller.CallLost('no answer in time', sent=True)


def _call(
    row: verification.CallerRequest, address: str, started: float
) -> caller.Call:
    spent_ms = (time.monotonic() - started) * 1000
    return caller.Call(
        address=address,
        pipeline=row.pipeline,
        input=row.input,
        token=f'{row.team}-token',
        key=row.key,
        first_attempt=row.key is not None and row.tries == 1,
        deadline_ms=max(1, int(row.deadline_ms - spent_ms)),
    )


def _again(row: verification.CallerRequest, result: caller.CallResult) -> bool:
    """Whether a careful caller sends the same request again."""
    if row.took_ms > row.deadline_ms:
        return False
    match result:
        case caller.CallLost():
            return True
        case caller.CallRefused(document):
            retry = 'retry_after_ms' in document
            return retry and document['outcome'] != 'unknown'
        case _:
            return False


def _pause_s(row: verification.CallerRequest) -> float:
    if row.problem and 'retry_after_ms' in row.problem:
        return row.problem['retry_after_ms'] / 1000
    return RETRY_PAUSE_S
