"""Client of targets of every kind."""

from typing import Any

import attrs

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam.clients import cancels
from sycamorebeam.clients import engine
from sycamorebeam.clients import exchanges
from sycamorebeam.clients import http
from sycamorebeam.clients import orders
from sycamorebeam.clients import pool
from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.clients import service
from sycamorebeam.clients import unary
from sycamorebeam.clients import watch

LOAD_TIMEOUT_MS = 1_000


@attrs.frozen(kw_only=True)
class TargetSettings:
    """Settings of the clients of all kinds of targets."""

    limits: http.HttpLimits = attrs.field(factory=http.HttpLimits)
    stream: engine.StreamSettings = attrs.field(factory=engine.StreamSettings)
    call_watch: watch.WatchSettings = attrs.field(factory=watch.WatchSettings)


class HttpTargetClient:
    """Implements ``ports.TargetClient`` over HTTP."""

    def __init__(
        self,
        clock: clocks.Clock,
        settings: TargetSettings,
        on_bytes: http.OnBytes | None = None,
    ) -> None:
        self._clock = clock
        self._http = http.HttpClient(clock, settings.limits, on_bytes)
        self._canceller = cancels.Canceller(self._http)
        unary_client = unary.UnaryClient(
            self._http, self._canceller, settings.call_watch
        )
        self._engines = engine.EngineClient(
            self._http, self._canceller, settings.stream
        )
        self._pools = pool.PoolClient(unary_client)
        self._services = service.ServiceClient(unary_client)
        self._orders = orders.OrderClient(self._http)

    @property
    def orders(self) -> orders.OrderClient:
        """The client for orders to engines and their state."""
        return self._orders

    @property
    def silent_connections(self) -> int:
        """The number of connections closed because they went silent."""
        return self._http.silent_connections

    @property
    def resumes(self) -> int:
        """The number of resumes sent to engines."""
        return self._engines.resumes

    async def call(
        self,
        kind: catalogue.TargetKind,
        replica: results.Replica,
        attempt: ports.Attempt,
    ) -> results.TargetResult:
        """Send one attempt; cancelling the task cancels it at the target."""
        match kind:
            case catalogue.TargetKind.ENGINE:
                return await self._engines.call(replica, attempt)
            case catalogue.TargetKind.POOL:
                return await self._pools.call(replica, attempt)
            case catalogue.TargetKind.SERVICE:
                return await self._services.call(replica, attempt)

    async def load(self, replica: results.Replica) -> ports.LoadReport | None:
        """Return the replica's load report, None if there is none."""
        exchange = exchanges.Exchange(
            method='GET',
            address=replica.address,
            path='/v1/load',
            deadline=clocks.deadline_in(self._clock, LOAD_TIMEOUT_MS),
            silence_ms=LOAD_TIMEOUT_MS // 2,
        )
        reply = await self._http.fetch(exchange)
        if isinstance(reply, exchanges.HttpFailure) or reply.status != 200:
            return None
        report = _load_report(
            exchanges.parse_object(reply.body), reply.draining
        )
        if report is None:
            exchange.close_connection()
        return report

    async def close(self) -> None:
        """Wait for open cancels and close all connections."""
        await self._canceller.close()
        await self._http.close()


def new_target_client(
    clock: clocks.Clock,
    settings: TargetSettings | None = None,
    on_bytes: http.OnBytes | None = None,
) -> HttpTargetClient:
    """Return a client of targets; close it when done.

    ``on_bytes`` is called with the address, sent and received bytes of each
    exchange, including failed ones, cancels, probes and load reports.
    """
    return HttpTargetClient(clock, settings or TargetSettings(), on_bytes)


def _load_report(
    answer: dict[str, Any], draining: bool
) -> ports.LoadReport | None:
    try:
        return ports.LoadReport(
            running=int(answer['running']),
            waiting=int(answer['waiting']),
            capacity=int(answer['capacity']),
            draining=draining or answer.get('state') == 'draining',
            age_ms=int(answer['report_age_ms']),
        )
    except (KeyError, TypeError, ValueError):
        return None
