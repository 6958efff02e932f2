"""What the stand-ins of all kinds of target have in common."""

import asyncio
import random

from aiohttp import web
import attrs

from sycamorebeam import errors
from sycamorebeam.standins import faults
from sycamorebeam.standins import runs
from sycamorebeam.standins import server


@attrs.define(kw_only=True)
class TargetOptions:
    """How a stand-in behaves while nothing fails.

    ``capacity`` bounds what runs at once and ``queue`` what waits; work
    beyond both is refused. A pool or service takes ``work_ms`` for a call,
    an engine ``token_ms`` for a token and ``prefill_ms`` for a prompt whose
    prefix is not among the ``cached_prefixes`` latest ones.
    A load report is renewed when it is ``report_age_ms`` old.
    """

    capacity: int = 16
    queue: int = 1_000
    work_ms: float = 2
    token_ms: float = 2
    prefill_ms: float = 5
    cached_prefixes: int = 64
    cache_events_lag_ms: float = 500
    report_age_ms: float = 0
    checks_fencing: bool = True
    load_ms: float = 20
    seed: int = 0


@attrs.frozen
class LoadSnapshot:
    """The load at one time of the event loop's clock."""

    at_ms: float
    running: int
    waiting: int


class Replica:
    """The state and common calls of one stand-in."""

    def __init__(self, group: str, options: TargetOptions) -> None:
        self._group = group
        self._options = options
        self._faults = faults.TargetFaults()
        self._silent = faults.SilentConnections()
        self._runs = runs.Runs()
        self._random = random.Random(options.seed)
        self._report: LoadSnapshot | None = None

    @property
    def options(self) -> TargetOptions:
        """How it behaves while nothing fails."""
        return self._options

    @property
    def faults(self) -> faults.TargetFaults:
        """The switches, to be set in place."""
        return self._faults

    @property
    def runs(self) -> runs.Runs:
        """What it ran."""
        return self._runs

    @property
    def randomness(self) -> random.Random:
        """The replica's own seeded randomness."""
        return self._random

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the calls that every kind answers."""
        router.add_get('/v1/load', self._get_load)
        router.add_post('/standin/faults', self._set_faults)
        router.add_get('/standin/runs', self._get_runs)

    def load(self) -> tuple[int, int]:
        """Return how many calls run and how many wait."""
        return 0, 0

    async def admit(
        self, request: web.Request, call_id: str
    ) -> web.StreamResponse | None:
        """Count a call; return its answer when a fault ends it unrun."""
        self._runs.calls += 1
        self._silent.track(request)
        if self._faults.consume('silent_all'):
            self._silent.silence_all()
        if self._faults.consume('silent'):
            self._silent.silence(request)
        if self._silent.is_silent(request):
            return await self._silent.hang(request)
        if self._faults.consume('drop'):
            faults.drop(request)
            return web.Response(status=500)
        if self._faults.consume('refuse'):
            return self.not_run(call_id)
        return None

    async def delay(self) -> None:
        """Wait as long as the switches say."""
        await self._faults.delay(self._random)

    async def go_silent(self, request: web.Request) -> web.Response:
        """Leave the connection of ``request`` silent from now on."""
        self._silent.silence(request)
        return await self._silent.hang(request)

    def not_run(self, call_id: str) -> web.Response:
        """Return the answer that says that nothing ran."""
        headers = self.headers() | {'Not-Run': '1'}
        refusal = {'id': self.response_id(call_id)}
        return web.json_response(refusal, status=503, headers=headers)

    def headers(self) -> dict[str, str]:
        """Return the headers of any answer."""
        return {'Draining': '1'} if self._faults.draining else {}

    def response_id(self, call_id: str) -> str:
        """Return the id for an answer, another one while at fault."""
        return 'another-call' if self._faults.consume('wrong_id') else call_id

    async def _get_load(self, request: web.Request) -> web.StreamResponse:
        if self._silent.is_silent(request):
            return await self._silent.hang(request)
        report, age_ms = self._lagging_report()
        answer = {
            'running': report.running,
            'waiting': report.waiting,
            'capacity': self._options.capacity,
            'state': 'draining' if self._faults.draining else 'live',
            'report_age_ms': int(age_ms),
        }
        return web.json_response(answer, headers=self.headers())

    def _lagging_report(self) -> tuple[LoadSnapshot, float]:
        """Return the last report, renewed when it is too old, and its age."""
        now_ms = asyncio.get_running_loop().time() * 1000
        report = self._report
        if report and now_ms - report.at_ms < self._options.report_age_ms:
            return report, now_ms - report.at_ms
        running, waiting = self.load()
        self._report = LoadSnapshot(now_ms, running, waiting)
        return self._report, 0

    async def _set_faults(self, request: web.Request) -> web.Response:
        return await server.apply_switches(request, self._faults)

    async def _get_runs(self, request: web.Request) -> web.Response:
        return web.json_response(self._runs.as_json())


async def read_call(request: web.Request) -> dict[str, object]:
    """Return the fields of a call.

    Raises SettingsError when the body is no call.
    """
    try:
        fields = await request.json()
    except ValueError as error:
        raise _bad_call(str(error)) from error
    if not isinstance(fields, dict) or not isinstance(fields.get('id'), str):
        raise _bad_call('the id is missing')
    return fields


def deadline_ms(request: web.Request) -> float:
    """Return the caller's remaining time."""
    try:
        return float(request.headers.get('Deadline-Ms', 60_000))
    except ValueError:
        return 60_000


def _bad_call(found: str) -> errors.SettingsError:
    return errors.SettingsError(
        f'the body is not a call: {found}', 'send a JSON object with an id'
    )
