"""An in-memory platform log with injectable faults."""

import asyncio

from sycamorebeam.clients import results


class FakeLog:
    """Implements ``ports.Log``; faults are set by its attributes.

    ``lose_answers`` and ``late_appends`` count the next appends that get
    no answer; with ``late_appends``, the record is also stored only
    ``late_by_ms`` after the timeout. ``down`` refuses every call,
    ``write_down`` appends only. ``delay_ms`` delays each call. ``hang``
    leaves every call unanswered and without effect.
    """

    def __init__(self):
        self.streams = {}
        self.oldest = {}
        self.append_calls = 0
        self.down = False
        self.write_down = False
        self.hang = False
        self.lose_answers = 0
        self.late_appends = 0
        self.late_by_ms = 0
        self.timeout_ms = 1000
        self.delay_ms = 0
        self._grown = asyncio.Event()

    async def append(self, stream, data):
        self.append_calls += 1
        await self._delay()
        if self.hang:
            await asyncio.sleep(self.timeout_ms / 1000)
            return results.AppendUnknown('no answer')
        if self.down or self.write_down:
            return results.AppendRefused('the log is down')
        if self.late_appends:
            self.late_appends -= 1
            loop = asyncio.get_running_loop()
            delay_s = (self.timeout_ms + self.late_by_ms) / 1000
            loop.call_later(delay_s, self.put, stream, data)
            await asyncio.sleep(self.timeout_ms / 1000)
            return results.AppendUnknown('no answer')
        offset = self.put(stream, data)
        if self.lose_answers:
            self.lose_answers -= 1
            await asyncio.sleep(self.timeout_ms / 1000)
            return results.AppendUnknown('no answer')
        return results.Appended(offset)

    async def read(self, stream, start, limit=100, wait_ms=0):
        await self._delay()
        if self.hang:
            await asyncio.sleep((self.timeout_ms + wait_ms) / 1000)
            return results.LogUnavailable('no answer')
        if self.down:
            return results.LogUnavailable('the log is down')
        if start >= self._next(stream) and wait_ms:
            await self._wait_for_records(stream, start, wait_ms)
        if self.down:
            return results.LogUnavailable('the log is down')
        oldest = self.oldest.get(stream, 0)
        if start < oldest:
            return results.LogGap(oldest, self._next(stream))
        records = self.streams.get(stream, [])[start : start + limit]
        return results.LogPage(oldest, self._next(stream), tuple(records))

    async def bounds(self, stream):
        await self._delay()
        if self.hang:
            await asyncio.sleep(self.timeout_ms / 1000)
        if self.down or self.hang:
            return results.LogUnavailable('the log is down')
        return results.LogPage(
            self.oldest.get(stream, 0), self._next(stream), ()
        )

    def put(self, stream, data):
        records = self.streams.setdefault(stream, [])
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        records.append(results.LogRecord(len(records), now_ms, data))
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        return len(records) - 1

    def truncate(self, stream, oldest):
        self.oldest[stream] = oldest

    def _next(self, stream):
        return len(self.streams.get(stream, []))

    async def _delay(self):
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)

    async def _wait_for_records(self, stream, start, wait_ms):
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while start >= self._next(stream):
                    await self._grown.wait()
        except TimeoutError:
            return
