"""Gauges of an instance, which are computed whenever metrics are read."""

import functools

import attrs

from sycamorebeam import clocks
from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import crashing_prompts
from sycamorebeam.forwarding import freshness
from sycamorebeam.forwarding import frontend
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import prometheus_metrics
from sycamorebeam.forwarding import request_memory
from sycamorebeam.forwarding import retry_budget
from sycamorebeam.forwarding import shared_reads
from sycamorebeam.forwarding import stage_owner
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding import target_limits
from sycamorebeam.forwarding.cold_targets import cold_targets
from sycamorebeam.forwarding.evacuation import evacuations
from sycamorebeam.forwarding.placement import timed_placer


@attrs.frozen(kw_only=True)
class Parts:
    """The parts of an instance that its gauges show."""

    clock: clocks.Clock
    state: active_state.ActiveState
    lease: freshness.FreshnessLease
    directory: target_directory.TargetDirectory
    platform: shared_reads.SharedReads
    crashing_prompts: crashing_prompts.CrashingPrompts
    instances: membership.Membership
    frontend: frontend.Frontend
    stage_owner: stage_owner.StageOwner
    budgets: retry_budget.RetryBudgets
    limits: target_limits.TargetLimits
    memory: request_memory.RequestMemory
    timed_placer: timed_placer.TimedPlacer
    cold: cold_targets.ColdTargets
    zone_evacuations: evacuations.Evacuations


def add(metrics: prometheus_metrics.Metrics, parts: Parts) -> None:
    """Add all gauges to the metrics of an instance."""
    add_gauge = metrics.add_gauge
    add_gauge(
        'state_age_ms',
        'Age of the last read of the desired state; -1 before the first.',
        functools.partial(_state_age_ms, parts),
    )
    add_gauge(
        'state_version',
        'The version in force; -1 before the first.',
        lambda: (
            -1 if not parts.state.desired else (parts.state.desired.version)
        ),
    )
    add_gauge(
        'targets',
        'Known targets, those that drain included.',
        lambda: len(parts.directory.targets),
    )
    add_gauge(
        'cold_targets',
        'Targets that are known to be cold.',
        parts.cold.known_cold_count,
    )
    metrics.add_gauge(
        'evacuated_zones',
        'Zones in which targets get no new requests.',
        lambda: parts.zone_evacuations.count,
    )
    add_gauge(
        'store_era',
        'How often the store has come back from a copy, as last heard.',
        lambda: parts.platform.era,
    )
    add_gauge(
        'blocked_prompt_parts',
        'Parts of prompts that are blocked, since they crash targets.',
        lambda: parts.crashing_prompts.blocked_part_count,
    )
    add_gauge('instances', 'Known instances.', parts.instances.count)
    add_gauge(
        'requests_in_progress',
        'Requests that are being served.',
        lambda: parts.frontend.in_progress,
    )
    add_gauge(
        'kept_body_bytes',
        'Bytes of bodies that are kept for requests in progress.',
        lambda: parts.memory.used_bytes,
    )
    add_gauge(
        'stage_groups_waiting',
        'Requests that wait at queues of this instance.',
        lambda: parts.stage_owner.waiting_group_count,
    )
    add_gauge(
        'targets_age_ms',
        "Time since the last read of targets' entries; -1 before it.",
        functools.partial(_targets_age_ms, parts),
    )
    add_labelled_gauge = metrics.add_labelled_gauge
    add_labelled_gauge(
        'stage_items_waiting',
        'Items that wait in queues of this instance.',
        ['service'],
        lambda: (
            ([service.name], service.queue.waiting_item_count)
            for service in parts.stage_owner.services
        ),
    )
    add_labelled_gauge(
        'stage_replica_calls',
        'Calls of this instance in progress at replicas of its queues.',
        ['service', 'target'],
        lambda: (
            ([service.name, replica.target_id], replica.calls_in_flight)
            for service in parts.stage_owner.services
            for replica in service.replicas
        ),
    )
    add_labelled_gauge(
        'repeats_left',
        "Repeats that this instance's part of the budget allows now.",
        ['service'],
        lambda: (
            ([service], left)
            for service, left in parts.budgets.left(
                parts.clock.monotonic_ms()
            ).items()
        ),
    )

    add_labelled_gauge(
        'prefill_tokens_per_ms',
        'Prefill rate of engines at usual pace, as learnt by this placer.',
        ['service'],
        lambda: (
            ([service], rate)
            for service, rate in parts.timed_placer.tokens_per_ms()
        ),
    )
    add_labelled_gauge(
        'target_requests_per_s_limit',
        'Rate that a target accepts from all instances together.',
        ['target'],
        lambda: (
            ([target_id], limit.requests_per_s)
            for (target_id, _), limit in parts.limits.limited()
        ),
    )
    add_labelled_gauge(
        'limited_target_recent_sends',
        'Requests of this instance to a limited target in 4 s.',
        ['target'],
        lambda: (
            (
                [target_id],
                limit.recent_send_count(parts.clock.monotonic_ms()),
            )
            for (target_id, _), limit in parts.limits.limited()
        ),
    )


def _targets_age_ms(parts: Parts) -> float:
    read_ms = parts.directory.last_read_ms
    return -1 if read_ms is None else parts.clock.monotonic_ms() - read_ms


def _state_age_ms(parts: Parts) -> float:
    age_ms = parts.lease.age_ms(parts.clock.boottime_ms())
    return -1 if age_ms is None else age_ms
