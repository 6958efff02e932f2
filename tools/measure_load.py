"""A closed-loop load: keeps a fixed number of requests in flight."""

import asyncio
import collections
from collections.abc import Callable
import itertools
import json
import time
from typing import Any

import aiohttp
import attrs
from hdrh import histogram
import psutil

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3
TOKEN_MARK = b'event: token\n'
TIMEOUT_S = 30.0
P50 = 50.0
P99 = 99.0
US_PER_MS = 1_000


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@attrs.define(kw_only=True)
class Sample:
    """Results of a load, and the CPU time of the watched process."""

    whole_us: histogram.HdrHistogram = attrs.field(factory=_new_histogram)
    first_us: histogram.HdrHistogram = attrs.field(factory=_new_histogram)
    failures: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    tokens: int = 0
    elapsed_s: float = 0.0
    cpu_s: float = 0.0

    @property
    def answers(self) -> int:
        """The number of complete answers."""
        return int(self.whole_us.get_total_count())

    def add(self, other: 'Sample') -> None:
        """Add the results of another load of the same kind."""
        self.whole_us.add(other.whole_us)
        self.first_us.add(other.first_us)
        self.failures.update(other.failures)
        self.tokens += other.tokens
        self.elapsed_s += other.elapsed_s
        self.cpu_s += other.cpu_s

    def whole_ms(self, percentile: float) -> float:
        """Return a percentile of the time to the complete answer."""
        value = self.whole_us.get_value_at_percentile(percentile)
        return float(value) / US_PER_MS

    def first_ms(self, percentile: float) -> float:
        """Return a percentile of the time to the first token."""
        value = self.first_us.get_value_at_percentile(percentile)
        return float(value) / US_PER_MS


@attrs.frozen(kw_only=True)
class Endpoint:
    """The URLs that a load calls in turn, with their headers and body.

    The first requests start spread over ``spread_s``, so that calls of equal
    length do not stay synchronised.
    """

    urls: tuple[str, ...]
    headers: dict[str, str]
    body: Callable[[int], dict[str, Any]]
    end_mark: bytes
    spread_s: float


class Load:
    """Keeps requests in flight over keep-alive connections."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._numbers = itertools.count()

    async def run(
        self, endpoint: Endpoint, in_flight: int, duration_s: float, pid: int
    ) -> Sample:
        """Run a load and return its results; watch the process ``pid``."""
        sample = Sample()
        cpu_before_s = cpu_s(pid)
        started_s = time.perf_counter()
        end_s = started_s + endpoint.spread_s + duration_s
        await asyncio.gather(
            *(
                self._send_until(endpoint, number / in_flight, end_s, sample)
                for number in range(in_flight)
            )
        )
        sample.elapsed_s = time.perf_counter() - started_s
        sample.cpu_s = cpu_s(pid) - cpu_before_s
        return sample

    async def _send_until(
        self,
        endpoint: Endpoint,
        start_fraction: float,
        end_s: float,
        sample: Sample,
    ) -> None:
        await asyncio.sleep(start_fraction * endpoint.spread_s)
        while time.perf_counter() < end_s:
            try:
                await self._send_request(endpoint, sample)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                sample.failures[type(error).__name__] += 1

    async def _send_request(self, endpoint: Endpoint, sample: Sample) -> None:
        number = next(self._numbers)
        url = endpoint.urls[number % len(endpoint.urls)]
        body = json.dumps(endpoint.body(number)).encode()
        started_s = time.perf_counter()
        first_s = 0.0
        chunks = []
        async with self._session.post(
            url, data=body, headers=endpoint.headers
        ) as response:
            async for chunk in response.content.iter_any():
                if not first_s and TOKEN_MARK in chunk:
                    first_s = time.perf_counter()
                chunks.append(chunk)
        ended_s = time.perf_counter()
        answer = b''.join(chunks)
        if response.status != 200 or endpoint.end_mark not in answer:
            sample.failures[f'status {response.status}'] += 1
            return
        sample.whole_us.record_value(_us(ended_s - started_s))
        if first_s:
            sample.first_us.record_value(_us(first_s - started_s))
        sample.tokens += answer.count(TOKEN_MARK)


def new_session() -> aiohttp.ClientSession:
    """Return a session without a limit on connections."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
    )


def cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _us(seconds: float) -> int:
    return max(LOWEST_US, int(seconds * 1_000_000))
