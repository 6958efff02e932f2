"""Tests that hold the samples against the checks and the brief's sizes."""

import collections
import hashlib
import pathlib

import ddt

from sycamorebeam import catalogue_file
from sycamorebeam import replica_file
from sycamorebeam import settings
from tests import base

SAMPLES = pathlib.Path(__file__).parents[1] / 'samples'
POOLS = ('encoders', 'retrievers', 'rerankers')
SERVICES = {
    'kovacik': ('station-control', 'tickets', 'crew-dispatch', 'portal'),
    'cedarline': ('limit-ledger', 'branch-desk', 'intake', 'audit-trail'),
}
NON_IDEMPOTENT_PIPELINES = {
    'kovacik': 'pump-restart',
    'cedarline': 'limit-change',
}


def load_all_settings():
    return {
        path: settings.load_settings(path, {})
        for path in sorted(SAMPLES.glob('*/settings-*.jsonc'))
    }


def load_replicas(user):
    return replica_file.load_replicas(SAMPLES / user / 'replicas.jsonc')


@ddt.ddt
class SamplesTest(base.TestCase):
    @ddt.data(*SERVICES)
    def test_catalogue_is_valid_and_complete(self, user):
        found = catalogue_file.load_catalogue_file(
            SAMPLES / user / 'catalogue.jsonc'
        )
        kinds = collections.Counter(key.split('/')[0] for key in found)
        self.assertEqual(5, kinds['team'])
        self.assertEqual(4, kinds['pipeline'])
        non_idempotent = [
            key
            for key, entry in found.items()
            if key.startswith('pipeline/') and not entry.idempotent
        ]
        self.assertEqual(
            [f'pipeline/{NON_IDEMPOTENT_PIPELINES[user]}'], non_idempotent
        )
        for key, entry in found.items():
            if key.startswith('team/'):
                token = f'{key.removeprefix("team/")}-token'
                digest = hashlib.sha256(token.encode()).hexdigest()
                self.assertEqual((digest,), entry.token_sha256)

    @ddt.data(*SERVICES)
    def test_replica_counts_match_the_sites(self, user):
        items = load_replicas(user)
        groups = collections.Counter(item.group for item in items)
        expected = dict.fromkeys((*POOLS, *SERVICES[user]), 3)
        self.assertEqual(expected | {'engines': 6, 'entry': 6}, groups)
        self.assertEqual(3, len({item.zone for item in items}))
        self.assertEqual(2, len({item.region for item in items}))

    @ddt.data(*SERVICES)
    def test_replicas_match_the_settings(self, user):
        items = load_replicas(user)
        listed = {
            (item.id, item.address, item.peer_address, item.zone)
            for item in items
            if item.group == 'entry'
        }
        known = {
            (
                found.instance_id,
                found.addresses.callers,
                found.addresses.peers,
                found.placement.zone,
            )
            for path, found in load_all_settings().items()
            if path.parent.name == user
        }
        self.assertEqual(known, listed)

    def test_no_two_processes_share_an_address(self):
        used = collections.Counter()
        for found in load_all_settings().values():
            used[found.addresses.callers] += 1
            used[found.addresses.peers] += 1
            used[found.addresses.admin] += 1
        for user in SERVICES:
            for item in load_replicas(user):
                if item.group != 'entry':
                    used[item.address] += 1
        self.assertEqual([], [key for key, count in used.items() if count > 1])
        self.assertEqual(12 * 3 + 2 * 27, len(used))

    @ddt.data(*SERVICES)
    def test_region_link_shares_add_up_to_at_most_one(self, user):
        shares = [
            found.region_link_share
            for path, found in load_all_settings().items()
            if path.parent.name == user
        ]
        self.assertEqual(6, len(shares))
        self.assertLessEqual(sum(shares), 1)
        secret = SAMPLES / user / 'peer.secret'
        self.assertTrue(settings.read_secret(secret))
