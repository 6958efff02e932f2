"""Builds the objects that many tests need."""

import hashlib
import random

import attrs

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam import settings
from sycamorebeam import telemetry
from sycamorebeam.clients import results
from sycamorebeam.controllers import region_link
from sycamorebeam.controllers import target_registry
from sycamorebeam.filters import chain
from sycamorebeam.pipeline import attempt
from sycamorebeam.pipeline import route
from sycamorebeam.pipeline import runner
from sycamorebeam.policy import bucket
from sycamorebeam.policy import subset

CLOCK = clocks.Clock()
HERE = settings.Placement(zone='a1', region='a')
FREE = catalogue.Limits()
LINK_SHARE = 0.5
NORMAL = catalogue.ServiceClass.NORMAL


def replica(name, group, zone='a1', address='127.0.0.1:1', **fields):
    return results.Replica(name, group, address, zone, zone[0], **fields)


def target(kind, **fields):
    return catalogue.Target(
        owner='ops', service_class=NORMAL, limits=FREE, kind=kind, **fields
    )


def stage(name, group, **fields):
    return catalogue.Stage(name=name, target=group, operation=name, **fields)


def pipeline(*stages, deadline_ms=1000, **fields):
    fields = {'service_class': NORMAL, 'limits': FREE} | fields
    return catalogue.Pipeline(
        owner='ops', deadline_ms=deadline_ms, stages=stages, **fields
    )


def team(name, **fields):
    fields = {'service_class': NORMAL, 'limits': FREE} | fields
    digest = hashlib.sha256(f'{name}-token'.encode()).hexdigest()
    return catalogue.Team(owner='ops', token_sha256=(digest,), **fields)


@attrs.frozen
class View:
    """A fixed catalogue as ``catalogue_view.CatalogueView``."""

    catalogue: catalogue.Catalogue

    def team_by_digest(self, token_sha256):
        for name, entry in self.catalogue.of_kind('team').items():
            if token_sha256 in entry.token_sha256:
                return name
        return None


def view(entries):
    versioned = {
        key: catalogue.Versioned(0, entry) for key, entry in entries.items()
    }
    return View(catalogue.Catalogue(0, versioned))


POOL = target(catalogue.TargetKind.POOL)
ENGINE = target(catalogue.TargetKind.ENGINE)
SERVICE = target(catalogue.TargetKind.SERVICE)
ANSWER = pipeline(
    stage('encode', 'pool'),
    stage('retrieve', 'pool'),
    stage('rerank', 'pool'),
    stage('generate', 'engine', model='m'),
)
ORDER = pipeline(stage('restart', 'service', idempotent=False))
MIXED = pipeline(
    stage('encode', 'pool'), stage('restart', 'service', idempotent=False)
)
ENTRIES = {
    'target/pool': POOL,
    'target/engine': ENGINE,
    'target/service': SERVICE,
    'pipeline/answer': ANSWER,
    'pipeline/order': ORDER,
    'pipeline/mixed': MIXED,
    'team/crew': team('crew'),
}
REPLICAS = [
    replica(f'{group}-{number}', group)
    for group in ('pool', 'engine', 'service')
    for number in (1, 2, 3)
]


def new_target_registry(replicas=None, instance_id='entry-1'):
    registry = target_registry.TargetRegistry(
        instance_id, HERE, CLOCK, subset.SubsetSizes()
    )
    registry.apply_list(REPLICAS if replicas is None else replicas)
    return registry


def new_runner(client, entries=None, registry=None, budget=None, link=None):
    registry = registry or new_target_registry()
    metrics = telemetry.Metrics()
    in_force = view(ENTRIES if entries is None else entries)
    link = link or region_link.RegionLink(in_force, CLOCK, LINK_SHARE)
    return runner.Runner(
        in_force,
        registry,
        route.Router(registry, CLOCK, random.Random(1), link),
        attempt.AttemptSender(client, registry, CLOCK, metrics),
        link,
        CLOCK,
        budget or bucket.RetryBudget(),
        metrics,
    )


def request(name='answer', entries=None, deadline_ms=1000, **fields):
    entries = ENTRIES if entries is None else entries
    fields.setdefault('request_id', 'r1')
    return chain.Request(
        pipeline_name=name,
        body={'input': {'text': 'why'}},
        pipeline=entries[f'pipeline/{name}'],
        deadline=clocks.deadline_in(CLOCK, deadline_ms),
        team_name='crew',
        team=entries.get('team/crew'),
        **fields,
    )
