"""The behaviour that the stand-ins of all kinds of target share."""

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
    """The behaviour of a stand-in without faults.

    ``capacity`` limits the running calls and ``queue`` the waiting ones;
    further calls are refused. A pool or service takes ``work_ms`` for a
    call, an engine ``token_ms`` for a token and ``prefill_ms`` for a prompt
    whose prefix is not among the ``cached_prefixes`` latest ones.
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
    """The load at ``at_ms`` on the event loop's clock."""

    at_ms: float
    running: int
    waiting: int


class Replica:
    """The state and the common routes of one stand-in."""

    def __init__(self, group: str, options: TargetOptions) -> None:
        self._group = group
        self._options = options
        self._faults = faults.TargetFaults()
        self._silent = faults.SilentConnections()
        self._runs = runs.Runs()
        self._random = random.Random(options.seed)
        self._load_report: LoadSnapshot | None = None

    @property
    def options(self) -> TargetOptions:
        """The behaviour without faults."""
        return self._options

    @property
    def faults(self) -> faults.TargetFaults:
        """The fault switches; callers set them in place."""
        return self._faults

    @property
    def runs(self) -> runs.Runs:
        """The recorded runs and calls."""
        return self._runs

    @property
    def randomness(self) -> random.Random:
        """The replica's own seeded generator."""
        return self._random

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes that all kinds share."""
        router.add_get('/v1/load', self._get_load)
        router.add_post('/standin/faults', self._set_faults)
        router.add_get('/standin/runs', self._get_runs)

    def load(self) -> tuple[int, int]:
        """Return the numbers of running and of waiting calls."""
        return 0, 0

    async def admit(
        self, request: web.Request, call_id: str
    ) -> web.StreamResponse | None:
        """Count a call; return a response if a fault prevents its run."""
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
        """Wait for the time that the switches set."""
        await self._faults.delay(self._random)

    async def go_silent(self, request: web.Request) -> web.Response:
        """Make the connection of ``request`` silent for good."""
        self._silent.silence(request)
        return await self._silent.hang(request)

    def not_run(self, call_id: str) -> web.Response:
        """Return a response which says that the call did not run."""
        headers = self.headers() | {'Not-Run': '1'}
        refusal = {'id': self.response_id(call_id)}
        return web.json_response(refusal, status=503, headers=headers)

    def headers(self) -> dict[str, str]:
        """Return the headers that all responses share."""
        return {'Draining': '1'} if self._faults.draining else {}

    def response_id(self, call_id: str) -> str:
        """Return ``call_id``, or another id if ``wrong_id`` is set."""
        return 'another-call' if self._faults.consume('wrong_id') else call_id

    async def _get_load(self, request: web.Request) -> web.StreamResponse:
        if self._silent.is_silent(request):
            return await self._silent.hang(request)
        report, age_ms = self._current_report()
        answer = {
            'running': report.running,
            'waiting': report.waiting,
            'capacity': self._options.capacity,
            'state': 'draining' if self._faults.draining else 'live',
            'report_age_ms': int(age_ms),
        }
        return web.json_response(answer, headers=self.headers())

    def _current_report(self) -> tuple[LoadSnapshot, float]:
        """Return the last report, renewed if too old, and its age in ms."""
        now_ms = asyncio.get_running_loop().time() * 1000
        report = self._load_report
        if report and now_ms - report.at_ms < self._options.report_age_ms:
            return report, now_ms - report.at_ms
        running, waiting = self.load()
        self._load_report = LoadSnapshot(now_ms, running, waiting)
        return self._load_report, 0

    async def _set_faults(self, request: web.Request) -> web.Response:
        return await server.apply_switches(request, self._faults)

    async def _get_runs(self, request: web.Request) -> web.Response:
        return web.json_response(self._runs.as_json())


async def read_call(request: web.Request) -> dict[str, object]:
    """Return the fields of a call from the JSON body.

    Raises SettingsError when the body is not an object with an id.
    """
    try:
        fields = await request.json()
    except ValueError as error:
        raise _invalid_call(str(error)) from error
    if not isinstance(fields, dict) or not isinstance(fields.get('id'), str):
        raise _invalid_call('the id is missing')
    return fields


def deadline_ms(request: web.Request) -> float:
    """Return the caller's remaining time in ms, 60,000 by default."""
    try:
        return float(request.headers.get('Deadline-Ms', 60_000))
    except ValueError:
        return 60_000


def _invalid_call(reason: str) -> errors.SettingsError:
    return errors.SettingsError(
        f'the body is not a call: {reason}', 'send a JSON object with an id'
    )
