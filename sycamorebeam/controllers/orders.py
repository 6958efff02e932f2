"""Keeps the engines of this instance's duty as the catalogue wants them.

Rendezvous hashing picks the instance that looks after an engine; that only
saves work. The right to send an order is the engine's lease. Each engine
is read back at intervals, and what differs is ordered again.
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
from sycamorebeam.controllers import leases as lease_controller
from sycamorebeam.policy import load_share

TICK_MS = 500
READ_BACK_MS = 10_000
FIRST_STEP_MS = 2_000
# Each tick begins at most this many steps, which paces the read-backs.
STEPS_PER_TICK = 2
ORDER_TIMEOUT_MS = 120_000
UNREACHABLE_RETRY_MS = 5_000


class EngineClient(Protocol):
    """Orders and questions to engines, see ``clients.orders``."""

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
        """Return what the engine says it is."""
        ...


@attrs.frozen(kw_only=True)
class Surroundings:
    """What the controller sees of the rest of the instance.

    ``catalogue`` is None while there is none to be trusted. ``replicas``
    are all listed replicas, ``instances`` the ids of the live instances.
    """

    catalogue: Callable[[], catalogue.Catalogue | None]
    replicas: Callable[[], list[results.Replica]]
    instances: Callable[[], set[str]]


@attrs.define(eq=False)
class EngineDuty:
    """What is known of one engine that this instance looks after."""

    replica: results.Replica
    wanted: wanted_state.Wanted | None = None
    seen: orders.EngineState | None = None
    note: str = ''
    last_order: str = ''
    last_result: str = ''
    tries: int = 0
    due_ms: int = 0
    task: asyncio.Task[None] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a step is in progress."""
        return self.task is not None and not self.task.done()

    @property
    def missing(self) -> list[wanted_state.Action]:
        """The orders that the engine lacks, as last seen."""
        if self.wanted is None or self.seen is None:
            return []
        return wanted_state.missing(self.wanted, self.seen)


@attrs.frozen(eq=False)
class _Sources:
    """From what the duties of this instance were worked out."""

    plan: wanted_state.Plan
    replicas: list[results.Replica]
    instances: set[str]

    def same_as(self, other: '_Sources') -> bool:
        return (
            self.plan is other.plan
            and self.replicas is other.replicas
            and self.instances == other.instances
        )


@attrs.define(eq=False)
class Orders:
    """Reads engines back and gives the orders that they lack."""

    _instance_id: str
    _clock: clocks.Clock
    _client: EngineClient
    _leases: lease_controller.Leases
    _around: Surroundings
    _metrics: telemetry.Metrics
    _random: random.Random
    _share: load_share.LoadShare
    _duties: dict[str, EngineDuty] = attrs.field(factory=dict)
    _known_plan: wanted_state.Plan | None = None
    _assigned: _Sources | None = None

    @property
    def status(self) -> list[dict[str, Any]]:
        """One row for each engine that this instance looks after."""
        return [self._row(name) for name in sorted(self._duties)]

    async def run(self) -> None:
        """Look after the engines for ever."""
        try:
            while True:
                await self._clock.sleep_ms(
                    TICK_MS * self._random.uniform(0.5, 1.5)
                )
                await self.tick()
        finally:
            for duty in self._duties.values():
                _cancel(duty)

    async def tick(self) -> None:
        """Renew the leases in use and begin the steps that are due."""
        plan = self._plan()
        if plan is None:
            return
        self._share_out(plan)
        await self._assign(plan)
        now_ms = self._clock.monotonic_ms()
        due = [
            duty
            for duty in self._duties.values()
            if not duty.is_busy and duty.due_ms <= now_ms
        ]
        due.sort(key=lambda duty: duty.due_ms)
        for duty in due[:STEPS_PER_TICK]:
            duty.due_ms = now_ms + self._read_back_ms()
            duty.task = asyncio.create_task(self._step(duty))
        await self._renew()

    def _plan(self) -> wanted_state.Plan | None:
        """Return the plan of the catalogue in force, if there is one."""
        accepted = self._around.catalogue()
        if accepted is None:
            return None
        known = self._known_plan
        if known is None or known.catalogue is not accepted:
            known = wanted_state.plan_of(accepted)
            self._known_plan = known
        return known

    def _share_out(self, plan: wanted_state.Plan) -> None:
        self._share.resize(
            plan.loads_per_s,
            plan.concurrency,
            len(self._around.instances() | {self._instance_id}),
            self._clock.monotonic_ms(),
        )

    async def _assign(self, plan: wanted_state.Plan) -> None:
        """Take up the engines of this instance's duty, drop the others."""
        instances = self._around.instances() | {self._instance_id}
        replicas = self._around.replicas()
        sources = _Sources(plan, replicas, instances)
        if self._assigned is not None and self._assigned.same_as(sources):
            return
        mine = self._pick(plan, replicas, instances)
        dropped = [name for name in self._duties if name not in mine]
        now_ms = self._clock.monotonic_ms()
        for replica in mine.values():
            self._assign_one(replica, plan, now_ms)
        for name in dropped:
            _cancel(self._duties.pop(name))
            await self._leases.release(name)
        self._assigned = sources

    def _pick(
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

    def _assign_one(
        self, replica: results.Replica, plan: wanted_state.Plan, now_ms: int
    ) -> None:
        spread_ms = int(self._random.uniform(0, FIRST_STEP_MS))
        duty = self._duties.get(replica.id)
        if duty is None:
            duty = EngineDuty(replica, due_ms=now_ms + spread_ms)
            self._duties[replica.id] = duty
        if duty.wanted != plan.wanted[replica.group]:
            duty.due_ms = min(duty.due_ms, now_ms + spread_ms)
        duty.replica = replica

    async def _renew(self) -> None:
        """Renew the leases of engines that still lack something."""
        await asyncio.gather(
            *(
                self._leases.renew(name)
                for name, duty in self._duties.items()
                if duty.missing
            )
        )

    async def _step(self, duty: EngineDuty) -> None:
        """Read one engine back and give it the orders it lacks."""
        while await self._correct(duty):
            duty.tries = 0

    async def _correct(self, duty: EngineDuty) -> bool:
        """Send one order; return whether to go on at once."""
        name = duty.replica.id
        seen = await self._client.state(duty.replica)
        if isinstance(seen, orders.StateUnavailable):
            duty.note = f'no state: {seen.reason}'
            self._retry_in(duty, UNREACHABLE_RETRY_MS)
            return False
        duty.seen = seen
        duty.wanted = self._wanted(duty)
        actions = duty.missing
        if not actions:
            duty.note = 'as wanted'
            return False
        held = await self._leases.take(name)
        if isinstance(held, leases.NotHeld):
            duty.note = held.reason
            return False
        action = actions[duty.tries % len(actions)]
        duty.tries += 1
        return await self._send_paced(duty, action, held)

    async def _send_paced(
        self, duty: EngineDuty, action: wanted_state.Action, held: leases.Held
    ) -> bool:
        """Send an order; a load waits for its share of the store."""
        if not action.is_load:
            return await self._send(duty, action, held)
        started_ms = self._clock.monotonic_ms()
        if not self._share.start(started_ms):
            duty.tries -= 1
            duty.note = 'waits for the weight store'
            self._retry_in(duty, self._share.wait_ms(started_ms))
            return False
        try:
            return await self._send(duty, action, held)
        finally:
            ended_ms = self._clock.monotonic_ms()
            self._share.end(ended_ms, ended_ms - started_ms)

    async def _send(
        self, duty: EngineDuty, action: wanted_state.Action, held: leases.Held
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
                duty.replica,
                order,
                deadline,
                lambda: self._check(duty, action, held),
            )
        except errors.LeaseError as error:
            duty.note = error.detail
            return False
        self._record(duty, action, order, result)
        return isinstance(result, orders.OrderDone)

    def _check(
        self, duty: EngineDuty, action: wanted_state.Action, held: leases.Held
    ) -> None:
        """Stop an order that is not right any more, right before it goes.

        Raises LeaseError.
        """
        name = duty.replica.id
        if self._leases.holding(name) != held:
            raise errors.LeaseError(
                f'the lease {held.fence} of {name} is not held any more',
                'nothing was sent; the present holder gives the order',
            )
        duty.wanted = self._wanted(duty)
        if action not in duty.missing:
            raise errors.LeaseError(
                f'the catalogue does not want "{action}" any more',
                'nothing was sent; the next read-back decides',
            )

    def _record(
        self,
        duty: EngineDuty,
        action: wanted_state.Action,
        order: orders.EngineOrder,
        result: orders.OrderResult,
    ) -> None:
        name = duty.replica.id
        match result:
            case orders.OrderDone(state=state):
                duty.seen = state
                outcome = 'done'
                self._metrics.count('orders.done')
            case orders.OrderFenced(fence=fence):
                self._leases.refused(name, fence)
                outcome = f'fenced by {fence}'
                self._metrics.count('orders.fenced')
            case results.TargetNotRun(reason=reason):
                outcome = f'not run: {reason}'
                self._metrics.count('orders.not_run')
            case results.TargetMaybeRun(reason=reason):
                outcome = f'outcome unknown: {reason}'
                self._metrics.count('orders.maybe_run')
        duty.last_order = str(action)
        duty.last_result = outcome
        duty.note = outcome
        telemetry.log_event(
            'order',
            engine=name,
            id=order.id,
            fence=order.fence,
            order=str(action),
            result=outcome,
        )

    def _wanted(self, duty: EngineDuty) -> wanted_state.Wanted | None:
        plan = self._plan()
        return plan.wanted.get(duty.replica.group) if plan else None

    def _retry_in(self, duty: EngineDuty, wait_ms: int) -> None:
        spread_ms = self._random.uniform(0, 2 * TICK_MS)
        duty.due_ms = self._clock.monotonic_ms() + wait_ms + int(spread_ms)

    def _read_back_ms(self) -> int:
        return int(READ_BACK_MS * self._random.uniform(0.75, 1.25))

    def _row(self, name: str) -> dict[str, Any]:
        duty = self._duties[name]
        state = self._leases.state(name)
        holding = self._leases.holding(name)
        return {
            'engine': name,
            'group': duty.replica.group,
            'wanted': _shown(duty.wanted),
            'seen': _shown(duty.seen),
            'missing': [str(action) for action in duty.missing],
            'lease': state.fence if state else None,
            'holder': isinstance(holding, leases.Held),
            'last_order': duty.last_order,
            'last_result': duty.last_result,
            'note': duty.note,
        }


def _shown(
    state: wanted_state.Wanted | orders.EngineState | None,
) -> list[str] | None:
    if state is None:
        return None
    models = [f'{name}={state.models[name]}' for name in sorted(state.models)]
    return [*models, *sorted(state.adapters)]


def _cancel(duty: EngineDuty) -> None:
    if duty.task is not None:
        duty.task.cancel()


def new_orders(
    instance_id: str,
    log: ports.Log,
    appender: batching.Appender,
    clock: clocks.Clock,
    client: EngineClient,
    around: Surroundings,
    metrics: telemetry.Metrics,
    generator: random.Random | None = None,
) -> Orders:
    """Return the controller of one process; ``run`` sets it to work."""
    chance = generator or random.Random()
    # Each process is a holder of its own, also under the same instance id.
    holder = f'{instance_id}/{chance.getrandbits(64):016x}'
    held = lease_controller.Leases(holder, log, appender, clock)
    return Orders(
        instance_id,
        clock,
        client,
        held,
        around,
        metrics,
        chance,
        load_share.LoadShare(chance),
    )
