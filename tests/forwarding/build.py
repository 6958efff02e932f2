"""Builders and fakes for the tests of forwarding."""

import attrs

from sycamorebeam import clocks
from sycamorebeam.forwarding import blocked_parts
from sycamorebeam.forwarding import crashing_prompts
from sycamorebeam.forwarding import followers
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import request_memory as memory
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import send_permits
from sycamorebeam.forwarding import stage_groups
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding import target_feedback
from sycamorebeam.forwarding import target_limits
from sycamorebeam.forwarding.cold_targets import cold_targets as cold

ZONES = {'a1': 'north', 'a2': 'north', 'b1': 'south'}


def request_memory(limit=100_000_000):
    return memory.RequestMemory(limit)


def target(name, zone='a1', service='engine', **fields):
    values = {
        'target_id': name,
        'service': service,
        'address': '127.0.0.1:1',
        'availability_zone': zone,
        'is_draining': False,
        'incarnation': 1,
        'slots': 4,
    }
    return model.Target(**{**values, **fields})


def route(**fields):
    values = {
        'name': 'r',
        'host': 'h.example',
        'path_prefix': '/p/',
        'kind': model.Kind.IDEMPOTENT,
        'timeout_ms': 2_000.0,
        'latency_objective_ms': 500.0,
        'longest_pause_ms': 0.0,
        'rank': 1,
        'split': (model.WeightedService(service='engine', weight=1.0),),
        'max_attempts': 2,
    }
    return model.Route(**{**values, **fields})


def team(name='crew', rank=None, **fields):
    return model.Team(name=name, rank=rank, **fields)


def batching(**fields):
    values = {
        'slots': 1,
        'max_items': 8,
        'call_ms': 150.0,
        'item_ms': 10.0,
        'memory_bytes': 1_000_000.0,
        'result_ttl_ms': 4_000.0,
    }
    return model.Batching(**{**values, **fields})


def service(name='engine', **fields):
    return model.Service(name=name, **fields)


def desired(version=1, routes=(), services=(), keys=(), has_teams=False):
    return model.DesiredState(
        version=version,
        routes=tuple(routes),
        services={item.name: item for item in services},
        team_of_key={
            key: model.Team(name=team, rank=rank) for key, team, rank in keys
        },
        has_teams=has_teams,
    )


def instance(name, region='north', started=0, renewal=0, strong=True):
    return membership.InstanceEntry(
        name, f'{name}:1', region, strong, started, renewal
    )


def work(name='r1', stage=0, inputs=()):
    return stages.Work(name, stage, 'k', bool(inputs), inputs)


def announcement(name, **fields):
    values = {
        'service': 'desk',
        'attempt_id': name,
        'stage': 1,
        'rank': 1,
        'items': 2,
        'result_bytes': 100.0,
        'arrives_in_ms': 300,
        'objective_in_ms': 9_000,
        'accept_within_ms': 10_000,
        'expires_in_ms': 10_000,
    }
    return stages.Announcement(**{**values, **fields})


def group(group_id, items=1, **fields):
    values = {
        'group_id': group_id,
        'rank': 1,
        'queued_ms': 0,
        'objective_ms': 1_000,
        'accept_by_ms': 10_000,
        'expiry_ms': 10_000,
        'zone': '',
        'result_bytes': 1_000.0,
        'work': work(f'r{group_id}'),
        'positions': tuple(range(items)),
    }
    return stage_groups.Group(**{**values, **fields})


def request(**fields):
    values = {
        'attempt_id': 'id-1',
        'method': 'POST',
        'host': 'h.example',
        'path': '/p/x',
        'headers': (('X-Attempt-Id', 'id-1'),),
        'body': b'body',
        'arrived_ms': 0,
        'deadline_ms': 2_000.0,
        'key': None,
    }
    return requests.CallerRequest(**{**values, **fields})


class FakeLinks:
    """Peer links without peers; records the messages of broadcasts."""

    is_isolated = False

    def __init__(self):
        self.broadcasts = []

    def add_handler(self, handler):
        pass

    def add_broadcast_handler(self, handler):
        self.broadcast_handler = handler

    def add_greeting(self, greeting):
        self.greeting = greeting

    def broadcast(self, message):
        self.broadcasts.append(message)

    def is_stopping(self, instance_id):
        return False


def feedback_handler(directory, limits=None):
    return target_feedback.FeedbackHandler(
        clocks.Clock(),
        directory,
        limits or target_limits.TargetLimits(),
        FakeLinks(),
        cold_targets(membership.Membership(instance('i0'), clocks.Clock())),
    )


def cold_targets(
    members, bounds=None, clock=None, metrics=None, **service_fields
):
    """Return the counts of an instance; all services may be cold."""
    fields = {'has_engine': True, 'cold_per_s': 8.3, **service_fields}
    return cold.ColdTargets(
        clock or clocks.Clock(),
        members,
        lambda name: service(name, **fields),
        ZONES,
        bounds,
        metrics or prometheus_metrics.Metrics(),
    )


def send_permits_alone(limits):
    """Return the permits of an instance that has no others around it."""
    clock = clocks.Clock()
    members = membership.Membership(instance('i0'), clock)
    members.replace([])
    return send_permits.SendPermits(clock, members, FakeLinks(), limits)


def crashing_prompts_alone(client):
    """Return the prompts of an instance that has no others around it."""
    clock = clocks.Clock()
    members = membership.Membership(instance('i0'), clock)
    members.replace([])
    return crashing_prompts.CrashingPrompts(
        clock,
        members,
        FakeLinks(),
        client,
        prometheus_metrics.Metrics(),
        blocked_parts.BlockKeeper(clock, members, FakeBlockStore()),
    )


class FakeBlockStore:
    """Keeps blocks of parts; its calls fail while it is unavailable."""

    def __init__(self):
        self.blocks = {}
        self.is_unavailable = False
        self.writes = 0

    def check(self):
        if self.is_unavailable:
            raise followers.ReadError('unavailable')

    async def read_blocks(self):
        self.check()
        return list(self.blocks.values())

    async def write_block(self, block):
        self.check()
        self.writes += 1
        self.blocks[block.part_id] = block

    async def remove_block(self, part_id):
        self.check()
        self.writes += 1
        self.blocks.pop(part_id, None)


@attrs.define
class ManualClock:
    """A clock that tests set."""

    now_ms: int = 0

    def monotonic_ms(self):
        return self.now_ms

    def boottime_ms(self):
        return self.now_ms

    def wall_ms(self):
        return self.now_ms


class LoopClock(clocks.Clock):
    """A clock whose boot time is the time of the event loop."""

    def boottime_ms(self):
        return self.monotonic_ms()
