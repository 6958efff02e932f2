"""Keeps engines in the state that the catalogue wants.

Rendezvous hashing assigns each engine to one instance, which only avoids
duplicate work: the right to send an order is the engine's lease. The state
of each engine is read at intervals, and an order is sent for each
difference.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Any
from typing import Protocol
import uuid

import attrs

from sycamorebeam import batching
from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam import hashing
from sycamorebeam import leases
from sycamorebeam import telemetry
from sycamorebeam import wanted_state
from sycamorebeam.clients import orders
from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.controllers import leases_controller
from sycamorebeam.policy import load_share

TICK_MS = 500
STATE_CHECK_INTERVAL_MS = 10_000
FIRST_CHECK_SPREAD_MS = 2_000
# Each tick starts at most this many checks, which limits their rate.
CHECKS_PER_TICK = 2
ORDER_TIMEOUT_MS = 120_000
UNREACHABLE_RETRY_MS = 5_000


class OrderClient(Protocol):
    """Sends orders to engines and reads their state; see clients.orders."""

    async def order(
        self,
        replica: results.Replica,
        order: orders.EngineOrder,
        deadline: clocks.Deadline,
        before_send: ports.BeforeSend | None = None,
    ) -> orders.OrderResult:
        """Send ``order`` once; ``before_send`` may raise to stop it."""
        ...

    async def state(
        self, replica: results.Replica
    ) -> orders.EngineState | orders.StateUnavailable:
        """Return the state that the engine reports."""
        ...


@attrs.frozen(kw_only=True)
class OrderInputs:
    """The controller's sources of data in the rest of the instance.

    ``catalogue`` returns None while no catalogue can be trusted.
    ``replicas`` returns all listed replicas, ``instances`` the ids of the
    live instances.
    """

    catalogue: Callable[[], catalogue.Catalogue | None]
    replicas: Callable[[], list[results.Replica]]
    instances: Callable[[], set[str]]


@attrs.define(eq=False)
class ManagedEngine:
    """An engine assigned to this instance, its state and pending check."""

    replica: results.Replica
    wanted: wanted_state.WantedState | None = None
    reported: orders.EngineState | None = None
    note: str = ''
    last_order: str = ''
    last_result: str = ''
    attempts: int = 0
    due_ms: int = 0
    task: asyncio.Task[None] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a check is in progress."""
        return self.task is not None and not self.task.done()

    @property
    def missing(self) -> list[wanted_state.Action]:
        """The orders that turn the last reported state into the wanted one."""
        if self.wanted is None or self.reported is None:
            return []
        return wanted_state.missing_actions(self.wanted, self.reported)


@attrs.frozen(eq=False)
class _AssignmentInputs:
    """The data from which the engines of this instance were assigned."""

    plan: wanted_state.Plan
    replicas: list[results.Replica]
    instances: set[str]

    def same_as(self, other: '_AssignmentInputs') -> bool:
        return (
            self.plan is other.plan
            and self.replicas is other.replicas
            and self.instances == other.instances
        )


@attrs.define(eq=False)
class OrdersController:
    """Reads the state of assigned engines and sends the missing orders."""

    _instance_id: str
    _clock: clocks.Clock
    _client: OrderClient
    _leases: leases_controller.LeasesController
    _inputs: OrderInputs
    _metrics: telemetry.Metrics
    _random: random.Random
    _load_share: load_share.LoadShare
    _engines: dict[str, ManagedEngine] = attrs.field(factory=dict)
    _cached_plan: wanted_state.Plan | None = None
    _assigned_from: _AssignmentInputs | None = None

    @property
    def status(self) -> list[dict[str, Any]]:
        """One row for each engine assigned to this instance."""
        return [self._status_row(name) for name in sorted(self._engines)]

    async def run(self) -> None:
        """Call ``tick`` at jittered intervals until cancelled."""
        try:
            while True:
                await self._clock.sleep_ms(
                    TICK_MS * self._random.uniform(0.5, 1.5)
                )
                await self.tick()
        finally:
            for engine in self._engines.values():
                _cancel(engine)

    async def tick(self) -> None:
        """Start the checks that are due and renew the leases in use."""
        plan = self._plan()
        if plan is None:
            return
        self._resize_load_share(plan)
        await self._update_assignments(plan)
        now_ms = self._clock.monotonic_ms()
        due = [
            engine
            for engine in self._engines.values()
            if not engine.is_busy and engine.due_ms <= now_ms
        ]
        due.sort(key=lambda engine: engine.due_ms)
        for engine in due[:CHECKS_PER_TICK]:
            engine.due_ms = now_ms + self._jittered_check_interval_ms()
            engine.task = asyncio.create_task(self._reconcile(engine))
        await self._renew_leases()

    def _plan(self) -> wanted_state.Plan | None:
        """Return the plan of the trusted catalogue, None without one."""
        accepted = self._inputs.catalogue()
        if accepted is None:
            return None
        cached = self._cached_plan
        if cached is None or cached.catalogue is not accepted:
            cached = wanted_state.plan_of(accepted)
            self._cached_plan = cached
        return cached

    def _resize_load_share(self, plan: wanted_state.Plan) -> None:
        self._load_share.resize(
            plan.loads_per_s,
            plan.concurrency,
            len(self._inputs.instances() | {self._instance_id}),
            self._clock.monotonic_ms(),
        )

    async def _update_assignments(self, plan: wanted_state.Plan) -> None:
        """Add engines newly assigned to this instance, drop the others."""
        instances = self._inputs.instances() | {self._instance_id}
        replicas = self._inputs.replicas()
        inputs = _AssignmentInputs(plan, replicas, instances)
        if self._assigned_from is not None and self._assigned_from.same_as(
            inputs
        ):
            return
        assigned = self._replicas_to_manage(plan, replicas, instances)
        dropped = [name for name in self._engines if name not in assigned]
        now_ms = self._clock.monotonic_ms()
        for replica in assigned.values():
            self._assign_replica(replica, plan, now_ms)
        for name in dropped:
            _cancel(self._engines.pop(name))
            await self._leases.release(name)
        self._assigned_from = inputs

    def _replicas_to_manage(
        self,
        plan: wanted_state.Plan,
        replicas: list[results.Replica],
        instances: set[str],
    ) -> dict[str, results.Replica]:
        return {
            replica.id: replica
            for replica in replicas
            if replica.group in plan.wanted
            and not replica.leaving
            and hashing.pick(replica.id, instances) == self._instance_id
        }

    def _assign_replica(
        self, replica: results.Replica, plan: wanted_state.Plan, now_ms: int
    ) -> None:
        spread_ms = int(self._random.uniform(0, FIRST_CHECK_SPREAD_MS))
        engine = self._engines.get(replica.id)
        if engine is None:
            engine = ManagedEngine(replica, due_ms=now_ms + spread_ms)
            self._engines[replica.id] = engine
        if engine.wanted != plan.wanted[replica.group]:
            engine.due_ms = min(engine.due_ms, now_ms + spread_ms)
        engine.replica = replica

    async def _renew_leases(self) -> None:
        """Renew the leases of engines with missing orders."""
        await asyncio.gather(
            *(
                self._leases.renew(name)
                for name, engine in self._engines.items()
                if engine.missing
            )
        )

    async def _reconcile(self, engine: ManagedEngine) -> None:
        """Read the state of one engine and send all missing orders."""
        while await self._send_next_order(engine):
            engine.attempts = 0

    async def _send_next_order(self, engine: ManagedEngine) -> bool:
        """Send one missing order; return whether the engine did it."""
        name = engine.replica.id
        reported = await self._client.state(engine.replica)
        if isinstance(reported, orders.StateUnavailable):
            engine.note = f'no state: {reported.reason}'
            self._schedule_retry(engine, UNREACHABLE_RETRY_MS)
            return False
        engine.reported = reported
        engine.wanted = self._wanted_now(engine)
        actions = engine.missing
        if not actions:
            engine.note = 'as wanted'
            return False
        held = await self._leases.acquire(name)
        if isinstance(held, leases.NotHeld):
            engine.note = held.reason
            return False
        action = actions[engine.attempts % len(actions)]
        engine.attempts += 1
        return await self._send_paced(engine, action, held)

    async def _send_paced(
        self,
        engine: ManagedEngine,
        action: wanted_state.Action,
        held: leases.Held,
    ) -> bool:
        """Send an order; postpone a load beyond this instance's share."""
        if not action.is_load:
            return await self._send(engine, action, held)
        started_ms = self._clock.monotonic_ms()
        if not self._load_share.start(started_ms):
            engine.attempts -= 1
            engine.note = 'waits for the weight store'
            self._schedule_retry(engine, self._load_share.wait_ms(started_ms))
            return False
        try:
            return await self._send(engine, action, held)
        finally:
            ended_ms = self._clock.monotonic_ms()
            self._load_share.end(ended_ms, ended_ms - started_ms)

    async def _send(
        self,
        engine: ManagedEngine,
        action: wanted_state.Action,
        held: leases.Held,
    ) -> bool:
        order = orders.EngineOrder(
            id=uuid.uuid4().hex,
            fence=held.fence,
            kind=action.kind,
            name=action.name,
            version=action.version,
        )
        deadline = clocks.deadline_in(self._clock, ORDER_TIMEOUT_MS)
        try:
            result = await self._client.order(
                engine.replica,
                order,
                deadline,
                lambda: self._check_still_valid(engine, action, held),
            )
        except errors.LeaseError as error:
            engine.note = error.detail
            return False
        self._record_result(engine, action, order, result)
        return isinstance(result, orders.OrderDone)

    def _check_still_valid(
        self,
        engine: ManagedEngine,
        action: wanted_state.Action,
        held: leases.Held,
    ) -> None:
        """Check the lease and the wanted state right before sending.

        Raises LeaseError if the lease was lost or the catalogue no longer
        wants the order.
        """
        name = engine.replica.id
        if self._leases.holding(name) != held:
            raise errors.LeaseError(
                f'the lease {held.fence} of {name} is not held any more',
                'nothing was sent; the present holder gives the order',
            )
        engine.wanted = self._wanted_now(engine)
        if action not in engine.missing:
            raise errors.LeaseError(
                f'the catalogue does not want "{action}" any more',
                'nothing was sent; the next read-back decides',
            )

    def _record_result(
        self,
        engine: ManagedEngine,
        action: wanted_state.Action,
        order: orders.EngineOrder,
        result: orders.OrderResult,
    ) -> None:
        name = engine.replica.id
        match result:
            case orders.OrderDone(state=state):
                engine.reported = state
                outcome = 'done'
                self._metrics.count('orders.done')
            case orders.OrderFenced(fence=fence):
                self._leases.mark_fenced(name, fence)
                outcome = f'fenced by {fence}'
                self._metrics.count('orders.fenced')
            case results.TargetNotRun(reason=reason):
                outcome = f'not run: {reason}'
                self._metrics.count('orders.not_run')
            case results.TargetMaybeRun(reason=reason):
                outcome = f'outcome unknown: {reason}'
                self._metrics.count('orders.maybe_run')
        engine.last_order = str(action)
        engine.last_result = outcome
        engine.note = outcome
        telemetry.log_event(
            'order',
            engine=name,
            id=order.id,
            fence=order.fence,
            order=str(action),
            result=outcome,
        )

    def _wanted_now(
        self, engine: ManagedEngine
    ) -> wanted_state.WantedState | None:
        plan = self._plan()
        return plan.wanted.get(engine.replica.group) if plan else None

    def _schedule_retry(self, engine: ManagedEngine, wait_ms: int) -> None:
        spread_ms = self._random.uniform(0, 2 * TICK_MS)
        engine.due_ms = self._clock.monotonic_ms() + wait_ms + int(spread_ms)

    def _jittered_check_interval_ms(self) -> int:
        return int(STATE_CHECK_INTERVAL_MS * self._random.uniform(0.75, 1.25))

    def _status_row(self, name: str) -> dict[str, Any]:
        engine = self._engines[name]
        state = self._leases.state(name)
        holding = self._leases.holding(name)
        return {
            'engine': name,
            'group': engine.replica.group,
            'wanted': _shown_names(engine.wanted),
            'seen': _shown_names(engine.reported),
            'missing': [str(action) for action in engine.missing],
            'lease': state.fence if state else None,
            'holder': isinstance(holding, leases.Held),
            'last_order': engine.last_order,
            'last_result': engine.last_result,
            'note': engine.note,
        }


def _shown_names(
    state: wanted_state.WantedState | orders.EngineState | None,
) -> list[str] | None:
    if state is None:
        return None
    models = [f'{name}={state.models[name]}' for name in sorted(state.models)]
    return [*models, *sorted(state.adapters)]


def _cancel(engine: ManagedEngine) -> None:
    if engine.task is not None:
        engine.task.cancel()


def new_orders_controller(
    instance_id: str,
    log: ports.Log,
    appender: batching.Appender,
    clock: clocks.Clock,
    client: OrderClient,
    inputs: OrderInputs,
    metrics: telemetry.Metrics,
    generator: random.Random | None = None,
) -> OrdersController:
    """Return the controller of one process; ``run`` starts its work."""
    random_ = generator or random.Random()
    # The holder's name is unique to the process, even if another process
    # has the same instance id.
    holder = f'{instance_id}/{random_.getrandbits(64):016x}'
    engine_leases = leases_controller.LeasesController(
        holder, log, appender, clock
    )
    return OrdersController(
        instance_id,
        clock,
        client,
        engine_leases,
        inputs,
        metrics,
        random_,
        load_share.LoadShare(random_),
    )
