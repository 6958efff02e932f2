"""Assembles, starts and gracefully stops one forwarding instance."""

import asyncio
import contextlib
import signal

from aiohttp import web

from sycamorebeam import checking
from sycamorebeam import clocks
from sycamorebeam import garbage
from sycamorebeam import supervision
from sycamorebeam import telemetry
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import blocked_parts
from sycamorebeam.forwarding import crashing_prompts
from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import forwarder
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import frontend
from sycamorebeam.forwarding import graceful_stop
from sycamorebeam.forwarding import instance_gauges
from sycamorebeam.forwarding import instance_settings
from sycamorebeam.forwarding import loop_watch
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import platform_adapter
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import region_prompt_placer
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import send_permits
from sycamorebeam.forwarding import shared_reads
from sycamorebeam.forwarding import stage_owner
from sycamorebeam.forwarding import stage_streams
from sycamorebeam.forwarding import store_outage
from sycamorebeam.forwarding import target_attempts
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_feedback
from sycamorebeam.forwarding import target_limits
from sycamorebeam.forwarding import upstream
from sycamorebeam.forwarding.cold_targets import cold_targets
from sycamorebeam.forwarding.cold_targets import counted_stage_calls
from sycamorebeam.forwarding.evacuation import evacuations
from sycamorebeam.forwarding.evacuation import zone_checks
from sycamorebeam.forwarding.input_account import caller_connections
from sycamorebeam.forwarding.input_account import input_watch
from sycamorebeam.forwarding.input_account import limits as caller_limits
from sycamorebeam.forwarding.input_account import peer_connections
from sycamorebeam.forwarding.placement import placement_metrics
from sycamorebeam.forwarding.placement import timed_placer
from sycamorebeam.forwarding.stage_admission import policy as admission_policy

MAX_TARGET_CONNECTIONS = 1_500  # below an instance's limit of file descriptors
METRICS_CONTENT_TYPE = 'text/plain'
# Rendering takes milliseconds, and anyone may request it at any rate.
METRICS_INTERVAL_MS = 100


class Instance:
    """Holds all parts of one instance and runs them."""

    def __init__(
        self,
        settings: instance_settings.Settings,
        adapter: platform_adapter.PlatformAdapter,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._clock = clocks.Clock()
        self._metrics = prometheus_metrics.Metrics()
        self._state = active_state.ActiveState()
        self._lease = freshness.FreshnessLease(
            settings.bounds.revocation_ms, settings.bounds.strict_revocation
        )
        self._directory = target_directory.TargetDirectory()
        self._evacuations = evacuations.Evacuations(self._directory)
        self._chooser = target_choice.TargetChooser(
            settings.availability_zone, settings.region_of_zone
        )
        window_s = settings.bounds.reuse_window_s
        self._timed_placer = timed_placer.TimedPlacer(
            self._chooser.loads,
            placement_metrics.PlacementMetrics(self._metrics),
            None if window_s is None else window_s * 1000,
        )
        self._instances = membership.Membership(
            membership.InstanceEntry(
                settings.instance_id,
                settings.addresses.peers,
                settings.region,
                membership.is_strong(settings.cpu_cores, settings.link_mbps),
                self._clock.wall_ms(),
                0,
            ),
            self._clock,
        )
        bounds = settings.bounds
        self._budgets = retry_budget.RetryBudgets(
            bounds.retry_budget_ratio,
            bounds.retry_budget_extra,
            bounds.budget_window_s * 1000,
            self._instances.count,
        )
        self._links = peer_links.PeerLinks(self._clock, self._instances)
        self._limits = target_limits.TargetLimits()
        self._cold = cold_targets.ColdTargets(
            self._clock,
            self._instances,
            self._state.service,
            settings.region_of_zone,
            bounds.cold_bounds,
            self._metrics,
        )
        self._feedback_handler = target_feedback.FeedbackHandler(
            self._clock,
            self._directory,
            self._limits,
            self._links,
            self._cold,
        )
        self._permits = send_permits.SendPermits(
            self._clock, self._instances, self._links, self._limits
        )
        self._crashing_prompts = crashing_prompts.CrashingPrompts(
            self._clock,
            self._instances,
            self._links,
            adapter.client,
            self._metrics,
            blocked_parts.BlockKeeper(
                self._clock, self._instances, adapter.platform
            ),
        )
        self._stage_owner = stage_owner.StageOwner(
            self._clock,
            self._directory,
            self._state.service,
            counted_stage_calls.CountedStageCalls(
                zone_checks.CheckedStageCalls(
                    adapter.stage_calls, self._directory
                ),
                self._cold,
                self._directory,
            ),
            self._budgets,
            self._metrics,
            self._chooser.round_trip_ms,
            settings.region_of_zone,
            self._feedback_handler,
            self._permits,
            admission_policy.from_setting(settings.stage_admission),
        )
        self._stage_streams = stage_streams.StageStreams(
            self._instances, self._stage_owner, self._links
        )
        self._targets_interval_ms = (
            bounds.drain_timeout_ms * followers.TARGETS_INTERVAL_SHARE
        )
        self._platform = shared_reads.SharedReads(
            adapter.platform,
            self._clock,
            self._instances,
            self._links,
            self._targets_interval_ms,
        )
        self._input = input_watch.InputWatch(
            self._clock,
            adapter.client.memory,
            caller_limits.LimitsInForce(
                self._state,
                caller_limits.Limits(
                    header_bytes=settings.caller_limits.header_bytes,
                    idle_timeout_ms=settings.caller_limits.idle_timeout_ms,
                ),
            ),
            self._metrics,
        )
        self._frontend = frontend.Frontend(
            self._clock,
            forwarder.Forwarder(
                clock=self._clock,
                state=self._state,
                lease=self._lease,
                budgets=self._budgets,
                producer=self._stage_streams,
                attempts=target_attempts.Attempts(
                    clock=self._clock,
                    state=self._state,
                    lease=self._lease,
                    directory=self._directory,
                    chooser=self._chooser,
                    prompt_placer=region_prompt_placer.RegionPromptPlacer(
                        self._clock,
                        self._instances,
                        self._links,
                        self._directory,
                        self._chooser,
                        self._cold,
                        self._timed_placer,
                        self._state.service,
                    ),
                    client=adapter.client,
                    codec=adapter.codec,
                    feedback_handler=self._feedback_handler,
                    permits=self._permits,
                    crashing_prompts=self._crashing_prompts,
                    cold=self._cold,
                    metrics=self._metrics,
                ),
                metrics=self._metrics,
            ),
            adapter.decode_request,
            adapter.client.memory,
            self._input.account,
            self._input.limits,
        )
        self._store_recovery = store_outage.StoreRecovery()
        self._instances_follower = followers.InstancesFollower(
            self._platform,
            self._clock,
            self._instances,
            self._store_recovery,
            lists_before_renewal=bounds.cold_bounds is not None,
        )
        self._rendered = b''
        self._rendered_ms = -METRICS_INTERVAL_MS
        self._tasks: list[asyncio.Task[None]] = []
        self._stop_requested = asyncio.Event()
        self._runners: list[web.ServerRunner] = []

    @property
    def is_ready(self) -> bool:
        """Whether callers' requests can be served."""
        if self._state.desired is None or self._directory.last_read_ms is None:
            return False
        if self._stop_requested.is_set() or self._links.is_isolated:
            return False
        return self._lease.is_valid(self._clock.boottime_ms())

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_ignored_reload)
        self._add_gauges()
        await self._listen()
        self._start_tasks()
        garbage.tune()
        telemetry.log_event(
            'started', callers=self._settings.addresses.callers
        )
        await self._stop_requested.wait()
        await self._stop()

    def _start_tasks(self) -> None:
        platform = self._platform
        work_by_name: dict[str, supervision.Work] = {
            'state': followers.StateFollower(
                platform,
                self._clock,
                self._state,
                self._lease,
                self._store_recovery,
                self._evacuations,
            ).follow,
            'targets': followers.TargetsFollower(
                platform,
                self._clock,
                self._directory,
                self._chooser,
                self._targets_interval_ms,
                self._store_recovery,
            ).follow,
            'instances': self._instances_follower.follow,
            'stages': self._stage_owner.run_forever,
            'input_watch': self._input.run_forever,
            'blocked_parts': self._crashing_prompts.load,
            'loop_watch': loop_watch.LoopWatch(
                self._clock, self._metrics
            ).run_forever,
        }
        for name, work in work_by_name.items():
            supervised = supervision.keep_running(name, work, self._clock)
            self._tasks.append(asyncio.create_task(supervised))

    async def _listen(self) -> None:
        server = caller_connections.CountedServer(
            self._frontend.handle,
            handler_cancellation=True,
            read_bufsize=upstream.READ_BUFFER_BYTES,
            **self._input.server_options,
        )
        addresses = self._settings.addresses
        await self._serve(server, addresses.callers)
        for handle, address in (
            (self._handle_readiness, addresses.readiness),
            (self._handle_metrics, addresses.metrics),
        ):
            # Nothing is read of a body that is sent there.
            server = caller_connections.CountedServer(
                handle, lingering_time=0, **self._input.server_options
            )
            await self._serve(server, address)
        host, port = checking.split_address(addresses.peers)
        await peer_connections.listen(
            self._input.account, self._links.accept, host, port
        )

    async def _serve(self, server: web.Server, address: str) -> None:
        runner = web.ServerRunner(server)
        await runner.setup()
        host, port = checking.split_address(address)
        await web.TCPSite(runner, host, port, backlog=1024).start()
        self._runners.append(runner)

    async def _handle_readiness(
        self, request: web.BaseRequest
    ) -> web.Response:
        if self.is_ready:
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _handle_metrics(self, request: web.BaseRequest) -> web.Response:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._rendered_ms >= METRICS_INTERVAL_MS:
            self._rendered_ms = now_ms
            self._rendered = self._metrics.render()
        return web.Response(
            body=self._rendered, content_type=METRICS_CONTENT_TYPE
        )

    def _add_gauges(self) -> None:
        instance_gauges.add(
            self._metrics,
            instance_gauges.Parts(
                clock=self._clock,
                state=self._state,
                lease=self._lease,
                directory=self._directory,
                platform=self._platform,
                crashing_prompts=self._crashing_prompts,
                instances=self._instances,
                frontend=self._frontend,
                stage_owner=self._stage_owner,
                budgets=self._budgets,
                limits=self._limits,
                memory=self._adapter.client.memory,
                timed_placer=self._timed_placer,
                cold=self._cold,
                zone_evacuations=self._evacuations,
            ),
        )

    async def _stop(self) -> None:
        """Serve until the balancer has noticed, finish requests, then exit."""
        telemetry.log_event('stopping', in_progress=self._frontend.in_progress)
        times = graceful_stop.plan(
            self._clock.monotonic_ms(),
            self._settings.bounds.grace_period_s * 1000,
        )
        self._frontend.begin_stop(times.answer_ms)
        self._instances.begin_leaving()
        self._links.announce_stopping()
        self._stage_owner.release_unstarted()
        self._tasks.append(
            asyncio.create_task(self._instances_follower.leave())
        )
        await self._clock.sleep_until_ms(times.refuse_ms)
        # If most instances of the zone stop, the balancer may still send
        # requests here.
        self._frontend.refuse_new_requests()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(times.exit_ms / 1000):
                await self._frontend.wait_idle()
                while self._stage_owner.waiting_group_count:
                    await self._clock.sleep_ms(stage_owner.TICK_MS)
        telemetry.log_event('stopped', left=self._frontend.in_progress)
        for task in self._tasks:
            task.cancel()

    def _log_ignored_reload(self) -> None:
        # Settings are only read when the process starts.
        telemetry.log_event('reload_ignored', reason='nothing can be reloaded')
