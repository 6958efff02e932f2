"""Builds changes, followers and peers for tests of the catalogue."""

import hashlib
import random

import attrs

from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import clocks
from sycamorebeam import errors
from sycamorebeam import records
from sycamorebeam.controllers import catalogue_follower

STALE_MS = 30_000
ABSENT = catalogue_store.ABSENT
CLOCK = clocks.Clock()


def token(name):
    return hashlib.sha256(name.encode()).hexdigest()


def team(name, **fields):
    return {
        'owner': 'ops',
        'class': 'normal',
        'limits': {},
        'token_sha256': [token(name)],
        **fields,
    }


TARGET = {
    'owner': 'ops',
    'class': 'normal',
    'limits': {},
    'kind': 'service',
}


def pipeline(target, **fields):
    return {
        'owner': 'ops',
        'class': 'normal',
        'limits': {},
        'deadline_ms': 1000,
        'stages': [{'name': 'a', 'target': target, 'operation': 'x'}],
        **fields,
    }


def edit(key, base=ABSENT, value=None):
    return catalogue_records.Edit(key, base, value)


def team_edit(name, base=ABSENT, **fields):
    return edit(f'team/{name}', base, team(name, **fields))


def change(number, *edits):
    return catalogue_records.Change(
        id=f'change-{number}',
        author='op',
        time_ms=number,
        reason='test',
        edits=edits,
    )


def envelope(*items):
    return records.pack_envelope(
        [catalogue_records.to_record(item) for item in items]
    )


def record(type_, version, **fields):
    return records.pack_envelope([records.Record(type_, version, fields)])


@attrs.frozen
class PeerOffset:
    peer_id: str
    offset: int
    digest: bytes


@attrs.frozen
class PeerState:
    state: bytes


class Peers:
    """Gives access to other followers; finds none unless ``reachable``."""

    def __init__(self, *followers):
        self.followers = list(followers)
        self.reachable = True
        self.damage = bytes
        self.fetched_bytes = 0

    def highest_offset(self):
        if not self.reachable or not self.followers:
            return None
        best = max(self.followers, key=lambda item: item.offset)
        return PeerOffset('peer', *best.offset_and_digest())

    async def fetch_state(self, peer_id, above):
        best = max(self.followers, key=lambda item: item.offset)
        state = self.damage(best.pack_state(above))
        self.fetched_bytes += len(state)
        return PeerState(state)


class Bench:
    """A follower with its log and peers."""

    def __init__(self, log, *others, seed=1):
        self.peers = Peers(*others)
        self.alarms = []
        self.follower = catalogue_follower.new_catalogue_follower(
            log,
            CLOCK,
            self.peers,
            STALE_MS,
            random.Random(seed),
            self.alarms.append,
        )

    def start(self):
        self.follower.start()
        return self.follower


def alarm_kinds(bench):
    return {type(item) for item in bench.alarms}


DIGEST_ALARM = {errors.DigestError}
