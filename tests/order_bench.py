"""Instances that send orders to fake engines, all in memory."""

import asyncio
import random

import attrs

from sycamorebeam import batching
from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam import telemetry
from sycamorebeam.clients import orders
from sycamorebeam.clients import results
from sycamorebeam.controllers import orders_controller
from tests import fake_log

LIMITS = catalogue.Limits()
COMMON = {
    'owner': 'o',
    'service_class': catalogue.ServiceClass.BULK,
    'limits': LIMITS,
}


def make_catalogue(
    version, per_s=1_000.0, at_once=1_000, adapters=('fine',), role=None
):
    limits = catalogue.Limits(requests_per_s=per_s, concurrency=at_once)
    store = COMMON | {'limits': limits}
    entries = {
        'target/engines': catalogue.Target(
            kind=catalogue.TargetKind.ENGINE, role=role, **COMMON
        ),
        'model/writer': catalogue.Model(
            target='engines', version=version, adapters=adapters, **COMMON
        ),
        'limit/store': catalogue.SharedLimit(resource='weight_store', **store),
    }
    return catalogue.Catalogue(
        1,
        {key: catalogue.Versioned(1, entry) for key, entry in entries.items()},
    )


class FakeEngine:
    """Carries out orders and records them; can check fences.

    ``executed`` holds (time, fence, kind, name, version) of each order. The
    next ``unanswered`` orders are carried out without an answer. Loads fail
    while the number of models and adapters has reached ``capacity``.
    """

    def __init__(self, name, checks_fences=True, load_ms=0):
        self.replica = results.Replica(name, 'engines', '', 'z', 'r')
        self.checks_fences = checks_fences
        self.load_ms = load_ms
        self.unanswered = 0
        self.capacity = 100
        self.load_starts_ms = []
        self.executed = []
        self.state_reads = 0
        self.restart()

    def restart(self):
        self.role = 'generate'
        self.models = {}
        self.adapters = []
        self.fence = 0

    def state(self):
        return orders.EngineState(
            role=self.role,
            models=dict(self.models),
            adapters=tuple(self.adapters),
            fence=self.fence,
        )

    def execute(self, order):
        if self.checks_fences and order.fence < self.fence:
            return orders.OrderFenced(self.fence)
        if self.checks_fences:
            self.fence = order.fence
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        self.executed.append(
            (now_ms, order.fence, order.kind, order.name, order.version)
        )
        match order.kind:
            case 'load_model':
                self.models[order.name] = order.version
            case 'load_adapter':
                self.adapters.append(order.name)
            case 'set_role':
                self.role = order.name
            case 'unload':
                self.models.pop(order.name, None)
                self.adapters = [a for a in self.adapters if a != order.name]
        return orders.OrderDone(self.state())


class FakeOrderClient:
    """Delivers the orders of one instance to the engines.

    ``pause_ms`` delays the next order right before ``before_send`` is
    called, ``pause_after_ms`` right after it, before the first byte. The
    whole instance is paused during the delay.
    """

    def __init__(self, engines):
        self.engines = {engine.replica.id: engine for engine in engines}
        self.pause_ms = 0
        self.pause_after_ms = 0
        self.paused = False
        self.resumed = asyncio.Event()
        self.sent = 0

    async def order(self, replica, order, deadline, before_send=None):
        engine = self.engines[replica.id]
        pause_ms, self.pause_ms = self.pause_ms, 0
        await self._pause(pause_ms)
        if before_send is not None:
            before_send()
        pause_ms, self.pause_after_ms = self.pause_after_ms, 0
        await self._pause(pause_ms)
        self.sent += 1
        if order.kind.startswith('load'):
            loop = asyncio.get_running_loop()
            engine.load_starts_ms.append(int(loop.time() * 1000))
            await asyncio.sleep(engine.load_ms / 1000)
            if len(engine.models) + len(engine.adapters) >= engine.capacity:
                return results.TargetMaybeRun('no room')
        result = engine.execute(order)
        if engine.unanswered:
            engine.unanswered -= 1
            return results.TargetMaybeRun('lost')
        return result

    async def _pause(self, pause_ms):
        self.paused = pause_ms > 0
        await asyncio.sleep(pause_ms / 1000)
        if self.paused:
            self.resumed.set()
        self.paused = False

    async def state(self, replica):
        self.engines[replica.id].state_reads += 1
        return self.engines[replica.id].state()


@attrs.define
class Member:
    """One instance; ``instances`` are the ids that it takes to be live."""

    name: str
    client: FakeOrderClient
    orders: orders_controller.OrdersController
    appender: batching.Appender
    instances: set
    metrics: telemetry.Metrics
    task: asyncio.Task = None
    stale_catalogue: catalogue.Catalogue = None

    def row(self, engine='e0'):
        rows = {row['engine']: row for row in self.orders.status}
        return rows.get(engine)


class Bench:
    """Instances and engines that share one log and one catalogue."""

    def __init__(self, engines, version='1', seed=1, **limits):
        self.log = fake_log.FakeLog()
        self.engines = engines
        self.catalogue = make_catalogue(version, **limits)
        self.limits = limits
        self.seed = seed
        self.members = []
        self.listed = [engine.replica for engine in engines]

    def publish(self, version, **changes):
        self.catalogue = make_catalogue(version, **(self.limits | changes))

    def member(self, name, instances=None):
        clock = clocks.Clock()
        random_ = random.Random(f'{self.seed}/{name}')
        appender = batching.new_appender(self.log, clock, 40, 5, random_)
        client = FakeOrderClient(self.engines)
        metrics = telemetry.Metrics()
        live = instances if instances is not None else {name}
        inputs = orders_controller.OrderInputs(
            catalogue=lambda: self._catalogue_seen_by(member),
            replicas=lambda: self.listed,
            instances=lambda: member.instances,
        )
        controller = orders_controller.new_orders_controller(
            name,
            self.log,
            appender,
            clock,
            client,
            inputs,
            metrics,
            random_,
        )
        member = Member(name, client, controller, appender, live, metrics)
        member.task = asyncio.create_task(controller.run())
        self.members.append(member)
        return member

    def _catalogue_seen_by(self, member):
        if member.client.paused:
            return None
        return member.stale_catalogue or self.catalogue

    async def stop(self):
        for member in self.members:
            member.task.cancel()
            await asyncio.gather(member.task, return_exceptions=True)
            await member.appender.stop()

    def is_as_wanted(self, version='1', adapters=('fine',)):
        return all(
            engine.models == {'writer': version}
            and tuple(engine.adapters) == adapters
            for engine in self.engines
        )
