"""One entry instance: its parts joined, its start and its planned stop."""

import asyncio
import contextlib
import random
import signal
from typing import Any

from aiohttp import web
import aiomisc

from sycamorebeam import batching
from sycamorebeam import catalogue
from sycamorebeam import checking
from sycamorebeam import clocks
from sycamorebeam import garbage
from sycamorebeam import server
from sycamorebeam import settings as settings_module
from sycamorebeam import status
from sycamorebeam import supervision
from sycamorebeam import telemetry
from sycamorebeam.clients import instances
from sycamorebeam.clients import log_client
from sycamorebeam.clients import target_client
from sycamorebeam.controllers import catalogue as catalogue_controller
from sycamorebeam.controllers import claims_controller
from sycamorebeam.controllers import instance_list
from sycamorebeam.controllers import limits
from sycamorebeam.controllers import orders_controller
from sycamorebeam.controllers import peers as peers_controller
from sycamorebeam.controllers import readiness
from sycamorebeam.controllers import region_link
from sycamorebeam.controllers import shutdown
from sycamorebeam.controllers import snapshots
from sycamorebeam.controllers import targets
from sycamorebeam.filters import admission
from sycamorebeam.filters import chain
from sycamorebeam.filters import deadline
from sycamorebeam.filters import idempotency
from sycamorebeam.filters import identity
from sycamorebeam.filters import not_run
from sycamorebeam.filters import validation
from sycamorebeam.pipeline import attempt
from sycamorebeam.pipeline import route
from sycamorebeam.pipeline import runner
from sycamorebeam.policy import bucket
from sycamorebeam.policy import subset

FLUSH_MS = 1_000
EXIT_CUT_OFF = 1
URL_PREFIX = 'http://'


class Instance(aiomisc.Service):
    """All parts of one instance."""

    def __init__(
        self, settings: settings_module.Settings, secret: bytes
    ) -> None:
        super().__init__()
        self._settings = settings
        self._secret = secret
        self._clock = clocks.Clock()
        self._metrics = telemetry.new_metrics(
            settings.statsd.address, settings.statsd.prefix
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.AppRunner] = []
        self._sites: list[web.TCPSite] = []
        self._asked_to_stop = asyncio.Event()
        self._stopped: shutdown.Drained | shutdown.CutOff | None = None

    @property
    def stopped(self) -> shutdown.Drained | shutdown.CutOff | None:
        """How the planned stop ended, None before."""
        return self._stopped

    async def start(self) -> None:
        """Join the parts and begin to serve."""
        self._build_clients()
        self._build_state()
        self._build_orders()
        self._build_path()
        self._follow()
        await self._listen()
        telemetry.log_event(
            'started', callers=self._settings.addresses.callers
        )

    async def wait(self) -> None:
        """Wait until a signal asks for the stop, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        await self._asked_to_stop.wait()
        await self._stop_gracefully()

    async def stop(self, exception: Exception | None = None) -> None:
        """Release what the instance holds; requests have ended before."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._catalogue.stop()
        await self._claims.stop()
        await self._appender.stop()
        for item in self._runners:
            await item.cleanup()
        await self._target_client.close()
        await self._list_client.close()
        await self._log.close()
        self._metrics.flush()
        telemetry.log_event('stopped')

    def _build_clients(self) -> None:
        platform = self._settings.platform
        self._log = log_client.new_log_client(
            platform.log.removeprefix(URL_PREFIX), platform.log_timeout_ms
        )
        self._list_client = instances.new_instance_list_client(
            platform.instances.removeprefix(URL_PREFIX), self._clock
        )
        self._target_client = target_client.new_target_client(
            self._clock, on_bytes=self._count_bytes
        )
        self._appender = batching.new_appender(
            self._log,
            self._clock,
            platform.log_appends_per_s,
            platform.batch_linger_ms,
            share_per_s=self._log_share_per_s,
        )

    def _build_state(self) -> None:
        settings = self._settings
        self._targets = targets.Targets(
            settings.instance_id,
            settings.placement,
            self._clock,
            subset.SubsetSizes(),
        )
        self._list = instance_list.InstanceListFollower(
            self._list_client, self._targets, self._clock
        )
        # The follower asks the peers, and the peers show its state.
        self._peers = peers_controller.Peers(
            settings.instance_id,
            self._secret,
            self._clock,
            self._hear_of_leaving,
            random.Random(),
        )
        self._catalogue = catalogue_controller.new_catalogue_follower(
            self._log,
            self._clock,
            self._peers,
            settings.catalogue_stale_after_ms,
            on_alarm=lambda _: self._metrics.count('catalogue.alarm'),
        )
        self._peers.serve(self._catalogue)
        self._catalogue.subscribe(lambda _: self._peers.announce())
        self._snapshots = snapshots.new_snapshot_duty(
            settings.instance_id,
            self._log,
            self._appender,
            self._clock,
            self._catalogue,
            lambda: self._targets.instances,
        )
        self._peers.follow(lambda: self._targets.instances)
        self._targets.on_leaving(self._peers.tell_leaving)
        self._claims = claims_controller.new_claims(
            self._log,
            self._appender,
            self._clock,
            settings,
            live_instances=lambda: self._targets.live_instances,
        )
        self._limits = limits.LimitsController(
            self._clock, settings.bounds.max_in_flight
        )
        self._shutdown = shutdown.Shutdown(self._clock, settings.shutdown)
        self._ready = readiness.Readiness(
            [
                lambda: self._catalogue.readiness,
                lambda: self._list.readiness,
            ]
        )

    def _build_orders(self) -> None:
        self._orders = orders_controller.new_orders(
            self._settings.instance_id,
            self._log,
            self._appender,
            self._clock,
            self._target_client.orders,
            orders_controller.OrderInputs(
                catalogue=self._trusted_catalogue,
                replicas=lambda: self._targets.listed,
                instances=lambda: self._targets.live_ids,
            ),
            self._metrics,
        )

    def _trusted_catalogue(self) -> catalogue.Catalogue | None:
        match self._catalogue.readiness:
            case readiness.Ready():
                return self._catalogue.catalogue
            case _:
                return None

    def _build_path(self) -> None:
        self._link = region_link.RegionLink(
            self._catalogue, self._clock, self._settings.region_link_share
        )
        router = route.Router(
            self._targets, self._clock, random.Random(), self._link
        )
        self._runner = runner.Runner(
            self._catalogue,
            self._targets,
            router,
            attempt.Attempts(
                self._target_client, self._targets, self._clock, self._metrics
            ),
            self._link,
            self._clock,
            bucket.RetryBudget(),
            self._metrics,
        )
        handler = chain.chain(
            [
                not_run.NotRunFilter(),
                identity.Identity(self._catalogue),
                deadline.DeadlineFilter(self._clock),
                validation.Validation(),
                admission.Admission(self._limits, self._targets),
                idempotency.new_idempotency_filter(self._claims, self._clock),
            ],
            self._runner.run,
        )
        self._server = server.CallerServer(
            handler,
            self._ready,
            self._shutdown,
            self._settings.bounds,
            self._metrics,
            self._status,
        )

    def _follow(self) -> None:
        self._catalogue.start()
        works: dict[str, supervision.Work] = {
            'claims': self._claims.start,
            'snapshots': self._snapshots.run,
            'instance_list': self._list.follow,
            'orders': self._orders.run,
            'loads': self._poll_loads,
            'peers_dial': self._peers.dial_forever,
            'peers_ping': self._peers.ping_forever,
            'metrics': self._flush_metrics,
        }
        for name, work in works.items():
            kept = supervision.keep_running(name, work, self._clock)
            self._tasks.append(asyncio.create_task(kept))

    async def _poll_loads(self) -> None:
        await self._targets.poll_loads(self._target_client)

    async def _listen(self) -> None:
        addresses = self._settings.addresses
        with_admin = addresses.admin is None
        callers = self._server.application(with_admin=with_admin)
        await self._serve(callers, addresses.callers)
        if addresses.admin is not None:
            admin = self._server.admin_application()
            await self._serve(admin, addresses.admin)
        host, port = checking.split_address(addresses.peers)
        self._peer_server = await asyncio.start_server(
            self._peers.accept, host, port
        )

    async def _serve(self, app: web.Application, address: str) -> None:
        bounds = self._settings.bounds
        host, port = checking.split_address(address)
        app_runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=bounds.idle_timeout_ms / 1000,
            max_line_size=bounds.header_bytes,
            max_field_size=bounds.header_bytes,
        )
        await app_runner.setup()
        site = web.TCPSite(app_runner, host, port)
        await site.start()
        self._runners.append(app_runner)
        self._sites.append(site)

    async def _stop_gracefully(self) -> None:
        """Finish what is in progress; nothing new comes after the lag."""
        await self._shutdown.leave()
        await self._sites[0].stop()
        self._stopped = await self._shutdown.drain()
        telemetry.log_event('stop_drained', result=self._stopped)

    def _on_signal(self) -> None:
        if self._asked_to_stop.is_set():
            self._shutdown.hurry()
        self._asked_to_stop.set()

    def _count_bytes(
        self, address: str, sent_bytes: int, received_bytes: int
    ) -> None:
        if not self._targets.is_far(address):
            return
        self._link.charge(sent_bytes + received_bytes)
        self._metrics.count('region.bytes', sent_bytes + received_bytes)

    def _log_share_per_s(self) -> float:
        limit = self._settings.platform.log_limit_appends_per_s
        return limit / self._targets.live_instances

    def _hear_of_leaving(self, target_id: str) -> None:
        self._targets.mark_leaving(target_id, observed=False)

    async def _flush_metrics(self) -> None:
        while True:
            await self._clock.sleep_ms(FLUSH_MS)
            self._metrics.gauge('in_flight', self._limits.in_flight)
            self._metrics.gauge('catalogue.offset', self._catalogue.offset)
            self._metrics.gauge('catalogue.lag_ms', self._catalogue.lag_ms)
            self._metrics.gauge('peers.sent_bytes', self._peers.sent_bytes)
            self._metrics.gauge('log.queued', self._appender.queued)
            self._metrics.flush()

    def _status(self) -> dict[str, Any]:
        return status.document(
            self._settings,
            self._catalogue,
            self._ready,
            self._shutdown,
            self._targets,
            self._peers,
            self._limits,
            self._claims,
            self._orders,
            self._metrics,
        )


def run(settings: settings_module.Settings) -> int:
    """Run an instance until it is stopped; return the exit code."""
    telemetry.configure_logs(settings.instance_id)
    secret = settings_module.read_secret(settings.peer_secret_file)
    instance = Instance(settings, secret)
    garbage.tune()
    with (
        aiomisc.entrypoint(
            instance, log_config=False, catch_signals=()
        ) as loop,
        contextlib.suppress(asyncio.CancelledError),
    ):
        loop.run_until_complete(instance.wait())
    if isinstance(instance.stopped, shutdown.CutOff):
        return EXIT_CUT_OFF
    return 0
