"""One instance: its construction, start and planned stop."""

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
from sycamorebeam import settings
from sycamorebeam import status
from sycamorebeam import supervision
from sycamorebeam import telemetry
from sycamorebeam.clients import instances
from sycamorebeam.clients import log_client
from sycamorebeam.clients import target_client
from sycamorebeam.controllers import catalogue_follower
from sycamorebeam.controllers import claims_controller
from sycamorebeam.controllers import instance_list
from sycamorebeam.controllers import limits
from sycamorebeam.controllers import orders_controller
from sycamorebeam.controllers import peers
from sycamorebeam.controllers import readiness
from sycamorebeam.controllers import region_link
from sycamorebeam.controllers import shutdown
from sycamorebeam.controllers import snapshot_scheduler
from sycamorebeam.controllers import target_registry
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
    """Builds, runs and stops the components of one instance."""

    def __init__(self, config: settings.Settings, secret: bytes) -> None:
        super().__init__()
        self._settings = config
        self._secret = secret
        self._clock = clocks.Clock()
        self._metrics = telemetry.new_metrics(
            config.statsd.address, config.statsd.prefix
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.AppRunner] = []
        self._sites: list[web.TCPSite] = []
        self._stop_requested = asyncio.Event()
        self._drain_result: shutdown.Drained | shutdown.CutOff | None = None

    @property
    def drain_result(self) -> shutdown.Drained | shutdown.CutOff | None:
        """The result of the planned stop, None before it ended."""
        return self._drain_result

    async def start(self) -> None:
        """Build the components and start serving."""
        self._build_clients()
        self._build_state()
        self._build_orders()
        self._build_request_path()
        self._start_tasks()
        await self._listen()
        telemetry.log_event(
            'started', callers=self._settings.addresses.callers
        )

    async def wait(self) -> None:
        """Wait until a signal requests a stop, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        await self._stop_requested.wait()
        await self._stop_gracefully()

    async def stop(self, exception: Exception | None = None) -> None:
        """Release all resources; no requests may be in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._follower.stop()
        await self._claims.stop()
        await self._appender.stop()
        for app_runner in self._runners:
            await app_runner.cleanup()
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
        config = self._settings
        self._registry = target_registry.TargetRegistry(
            config.instance_id,
            config.placement,
            self._clock,
            subset.SubsetSizes(),
        )
        self._instance_list = instance_list.InstanceListFollower(
            self._list_client, self._registry, self._clock
        )
        # The follower reads from the peers, which in turn send its state.
        self._peers = peers.Peers(
            config.instance_id,
            self._secret,
            self._clock,
            self._mark_reported_leaving,
            random.Random(),
        )
        self._follower = catalogue_follower.new_catalogue_follower(
            self._log,
            self._clock,
            self._peers,
            config.catalogue_stale_after_ms,
            on_alarm=lambda _: self._metrics.count('catalogue.alarm'),
        )
        self._peers.set_catalogue_source(self._follower)
        self._follower.subscribe(lambda _: self._peers.broadcast_offset())
        self._snapshot_scheduler = snapshot_scheduler.new_snapshot_scheduler(
            config.instance_id,
            self._log,
            self._appender,
            self._clock,
            self._follower,
            lambda: self._registry.instances,
        )
        self._peers.set_instance_source(lambda: self._registry.instances)
        self._registry.on_leaving(self._peers.broadcast_leaving)
        self._claims = claims_controller.new_claims_controller(
            self._log,
            self._appender,
            self._clock,
            config,
            live_instances=lambda: self._registry.live_instance_count,
        )
        self._limits = limits.LimitsController(
            self._clock, config.bounds.max_in_flight
        )
        self._shutdown = shutdown.Shutdown(self._clock, config.shutdown)
        self._readiness = readiness.Readiness(
            [
                lambda: self._follower.readiness,
                lambda: self._instance_list.readiness,
            ]
        )

    def _build_orders(self) -> None:
        self._orders = orders_controller.new_orders_controller(
            self._settings.instance_id,
            self._log,
            self._appender,
            self._clock,
            self._target_client.orders,
            orders_controller.OrderInputs(
                catalogue=self._trusted_catalogue,
                replicas=lambda: self._registry.listed_replicas,
                instances=lambda: self._registry.live_instance_ids,
            ),
            self._metrics,
        )

    def _trusted_catalogue(self) -> catalogue.Catalogue | None:
        match self._follower.readiness:
            case readiness.Ready():
                return self._follower.catalogue
            case _:
                return None

    def _build_request_path(self) -> None:
        self._region_link = region_link.RegionLink(
            self._follower, self._clock, self._settings.region_link_share
        )
        router = route.Router(
            self._registry, self._clock, random.Random(), self._region_link
        )
        self._runner = runner.Runner(
            self._follower,
            self._registry,
            router,
            attempt.AttemptSender(
                self._target_client, self._registry, self._clock, self._metrics
            ),
            self._region_link,
            self._clock,
            bucket.RetryBudget(),
            self._metrics,
        )
        handler = chain.chain(
            [
                not_run.NotRunFilter(),
                identity.Identity(self._follower),
                deadline.DeadlineFilter(self._clock),
                validation.Validation(),
                admission.Admission(self._limits, self._registry),
                idempotency.new_idempotency_filter(self._claims, self._clock),
            ],
            self._runner.run,
        )
        self._server = server.CallerServer(
            handler,
            self._readiness,
            self._shutdown,
            self._settings.bounds,
            self._metrics,
            self._status,
        )

    def _start_tasks(self) -> None:
        self._follower.start()
        task_functions: dict[str, supervision.Work] = {
            'claims': self._claims.start,
            'snapshots': self._snapshot_scheduler.run,
            'instance_list': self._instance_list.follow,
            'orders': self._orders.run,
            'loads': self._poll_loads,
            'peers_dial': self._peers.dial_forever,
            'peers_ping': self._peers.ping_forever,
            'metrics': self._flush_metrics,
        }
        for name, work in task_functions.items():
            restarting = supervision.keep_running(name, work, self._clock)
            self._tasks.append(asyncio.create_task(restarting))

    async def _poll_loads(self) -> None:
        await self._registry.poll_loads(self._target_client)

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
        """Stop accepting connections after the balancer lag, then drain."""
        await self._shutdown.leave()
        await self._sites[0].stop()
        self._drain_result = await self._shutdown.drain()
        telemetry.log_event('stop_drained', result=self._drain_result)

    def _on_signal(self) -> None:
        if self._stop_requested.is_set():
            self._shutdown.stop_waiting()
        self._stop_requested.set()

    def _count_bytes(
        self, address: str, sent_bytes: int, received_bytes: int
    ) -> None:
        if not self._registry.is_in_other_region(address):
            return
        self._region_link.charge(sent_bytes + received_bytes)
        self._metrics.count('region.bytes', sent_bytes + received_bytes)

    def _log_share_per_s(self) -> float:
        limit = self._settings.platform.log_limit_appends_per_s
        return limit / self._registry.live_instance_count

    def _mark_reported_leaving(self, target_id: str) -> None:
        self._registry.mark_leaving(target_id, observed=False)

    async def _flush_metrics(self) -> None:
        while True:
            await self._clock.sleep_ms(FLUSH_MS)
            self._metrics.gauge('in_flight', self._limits.in_flight)
            self._metrics.gauge('catalogue.offset', self._follower.offset)
            self._metrics.gauge('catalogue.lag_ms', self._follower.lag_ms)
            self._metrics.gauge('peers.sent_bytes', self._peers.sent_bytes)
            self._metrics.gauge('log.queued', self._appender.queued)
            self._metrics.flush()

    def _status(self) -> dict[str, Any]:
        return status.document(
            self._settings,
            self._follower,
            self._readiness,
            self._shutdown,
            self._registry,
            self._peers,
            self._limits,
            self._claims,
            self._orders,
            self._metrics,
        )


def run(config: settings.Settings) -> int:
    """Run an instance until it is stopped; return the exit code."""
    telemetry.configure_logs(config.instance_id)
    secret = settings.read_secret(config.peer_secret_file)
    instance = Instance(config, secret)
    garbage.tune()
    with (
        aiomisc.entrypoint(
            instance, log_config=False, catch_signals=()
        ) as loop,
        contextlib.suppress(asyncio.CancelledError),
    ):
        loop.run_until_complete(instance.wait())
    if isinstance(instance.drain_result, shutdown.CutOff):
        return EXIT_CUT_OFF
    return 0
