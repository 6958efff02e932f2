"""Tests that the samples are valid and have the sizes of the brief."""

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
        entries = catalogue_file.load_catalogue_file(
            SAMPLES / user / 'catalogue.jsonc'
        )
        kinds = collections.Counter(key.split('/')[0] for key in entries)
        self.assertEqual(5, kinds['team'])
        self.assertEqual(4, kinds['pipeline'])
        non_idempotent = [
            key
            for key, entry in entries.items()
            if key.startswith('pipeline/') and not entry.idempotent
        ]
        self.assertEqual(
            [f'pipeline/{NON_IDEMPOTENT_PIPELINES[user]}'], non_idempotent
        )
        for key, entry in entries.items():
            if key.startswith('team/'):
                token = f'{key.removeprefix("team/")}-token'
                digest = hashlib.sha256(token.encode()).hexdigest()
                self.assertEqual((digest,), entry.token_sha256)

    @ddt.data(*SERVICES)
    def test_replica_counts_match_the_sites(self, user):
        replicas = load_replicas(user)
        groups = collections.Counter(replica.group for replica in replicas)
        expected = dict.fromkeys((*POOLS, *SERVICES[user]), 3)
        self.assertEqual(expected | {'engines': 6, 'entry': 6}, groups)
        self.assertEqual(3, len({replica.zone for replica in replicas}))
        self.assertEqual(2, len({replica.region for replica in replicas}))

    @ddt.data(*SERVICES)
    def test_replicas_match_the_settings(self, user):
        replicas = load_replicas(user)
        listed = {
            (replica.id, replica.address, replica.peer_address, replica.zone)
            for replica in replicas
            if replica.group == 'entry'
        }
        known = {
            (
                loaded.instance_id,
                loaded.addresses.callers,
                loaded.addresses.peers,
                loaded.placement.zone,
            )
            for path, loaded in load_all_settings().items()
            if path.parent.name == user
        }
        self.assertEqual(known, listed)

    def test_no_two_processes_share_an_address(self):
        used = collections.Counter()
        for loaded in load_all_settings().values():
            used[loaded.addresses.callers] += 1
            used[loaded.addresses.peers] += 1
            used[loaded.addresses.admin] += 1
        for user in SERVICES:
            for replica in load_replicas(user):
                if replica.group != 'entry':
                    used[replica.address] += 1
        self.assertEqual([], [key for key, count in used.items() if count > 1])
        self.assertEqual(12 * 3 + 2 * 27, len(used))

    @ddt.data(*SERVICES)
    def test_region_link_shares_add_up_to_at_most_one(self, user):
        shares = [
            loaded.region_link_share
            for path, loaded in load_all_settings().items()
            if path.parent.name == user
        ]
        self.assertEqual(6, len(shares))
        self.assertLessEqual(sum(shares), 1)
        secret = SAMPLES / user / 'peer.secret'
        self.assertTrue(settings.read_secret(secret))
