"""Tests of the checks of catalogue entries."""

import attrs
import ddt

from sycamorebeam import catalogue
from sycamorebeam import checking
from sycamorebeam import entries
from sycamorebeam import errors
from tests import base

COMMON_FIELDS = {'owner': 'ops', 'class': 'normal', 'limits': {}}
DIGEST = 'ab' * 32


def plain_stage(**changes):
    stage = {'name': 'answer', 'target': 'engines', 'operation': 'generate'}
    return stage | {'model': 'small'} | changes


def plain_pipeline(*stages, **changes):
    stages = list(stages) or [plain_stage()]
    return COMMON_FIELDS | {'deadline_ms': 9000, 'stages': stages} | changes


def new_catalogue(**changes):
    plain = {
        'target/engines': COMMON_FIELDS | {'kind': 'engine'},
        'target/pool': COMMON_FIELDS | {'kind': 'pool'},
        'target/tickets': COMMON_FIELDS | {'kind': 'service'},
        'model/small': COMMON_FIELDS | {'target': 'engines', 'version': '1'},
        'team/ops': COMMON_FIELDS | {'token_sha256': [DIGEST]},
        'limit/link': COMMON_FIELDS
        | {'resource': 'region_link', 'limits': {'bytes_per_s': 1e6}},
        'pipeline/notes': plain_pipeline(teams=['ops']),
    }
    return {
        key: entries.from_plain(key.split('/')[0], value)
        for key, value in plain.items()
    }


@ddt.ddt
class AddressTest(base.TestCase):
    @ddt.data(
        ('10.0.0.1:80', ('10.0.0.1', 80)),
        ('[::1]:8080', ('::1', 8080)),
    )
    @ddt.unpack
    def test_accepts_ip_address_and_port(self, text, parts):
        self.assertTrue(checking.holds(checking.Address(), text))
        self.assertTrue(checking.holds(checking.Url(), f'http://{text}'))
        self.assertEqual(parts, checking.split_address(text))

    @ddt.data(
        '10.0.0.1',
        'host:80',
        '::1:80',
        '10.0.0.1:65536',
        '10.0.0.1:0',
        '10.0.0.1:+1',
        '10.0.0.1:',
        '[10.0.0.1]:80',
        '10.0.0.1:٣',
    )
    def test_rejects_anything_else(self, text):
        self.assertFalse(checking.holds(checking.Address(), text))
        self.assertFalse(checking.holds(checking.Url(), f'http://{text}/x'))


@ddt.ddt
class PlainTest(base.TestCase):
    @ddt.data(*new_catalogue())
    def test_plain_value_round_trip(self, key):
        entry = new_catalogue()[key]
        kind = key.split('/')[0]
        plain = entries.to_plain(entry)
        self.assertEqual(entry, entries.from_plain(kind, plain))
        self.assertIn('class', plain)

    @ddt.data(
        ('pipeline', plain_pipeline(deadline_ms=0), 'deadline_ms: found 0'),
        ('pipeline', plain_pipeline(deadline_ms=True), 'a whole number'),
        ('pipeline', plain_pipeline() | {'stages': []}, 'list of 1 to 32'),
        ('pipeline', plain_pipeline(*[plain_stage()] * 33), 'found 33 items'),
        ('pipeline', plain_pipeline(owner='a\nb'), 'a text of 1 to 1000'),
        ('pipeline', plain_pipeline(owner='a\u202eb'), 'without controls'),
        ('pipeline', plain_pipeline(owner='a' * 1001), 'a text of 1 to 1000'),
        ('pipeline', plain_pipeline(limits={'tokens_per_s': 10**400}), 'fini'),
        ('pipeline', dict.fromkeys(map(str, range(999))), 'more unknown'),
        ('pipeline', plain_pipeline(deadlin_ms=1), 'write "deadline_ms"'),
        ('pipeline', plain_pipeline(plain_stage(), plain_stage()), 'twice'),
        (
            'pipeline',
            plain_pipeline(plain_stage(after=['later'])),
            'stages[0].after[0]: found "later"',
        ),
        (
            'pipeline',
            plain_pipeline(
                plain_stage(idempotent=False), plain_stage(name='b')
            ),
            'last stage only',
        ),
        ('target', COMMON_FIELDS | {'kind': 'engin'}, 'write "engine"'),
        (
            'target',
            COMMON_FIELDS | {'kind': 'pool', 'class': 7},
            'class: found 7',
        ),
        (
            'target',
            COMMON_FIELDS | {'kind': 'pool', 'limits': {'concurrency': 0}},
            'limits.concurrency: found 0',
        ),
        ('team', COMMON_FIELDS | {'token_sha256': ['AB']}, 'token_sha256[0]'),
        ('team', COMMON_FIELDS, 'token_sha256: found nothing'),
        ('limit', COMMON_FIELDS | {'resource': 'region_link'}, 'bytes_per_s'),
        ('tean', COMMON_FIELDS, 'write "team"'),
        ('team', 'text', '(whole): found "text", allowed an object'),
    )
    @ddt.unpack
    def test_error_describes_the_problem(self, kind, value, message):
        error = self.assertRaises(
            errors.SettingsError, entries.from_plain, kind, value
        )
        self.assertIn(message, str(error))

    def test_error_lists_every_problem(self):
        value = {'kind': 'x', 'limits': {'a': 1}, 'class': 'normal'}
        error = self.assertRaises(
            errors.SettingsError, entries.from_plain, 'target', value
        )
        self.assertEqual(3, len(error.problems), error.problems)

    @ddt.data(
        'team', 'team/', 'tean/ops', 'team/Ops', 'team/a/b', 'target/entry'
    )
    def test_rejects_malformed_keys(self, key):
        self.assertRaises(errors.SettingsError, entries.split_key, key)


@ddt.ddt
class ReferencesTest(base.TestCase):
    def test_valid_catalogue_has_no_problems(self):
        state = new_catalogue()
        self.assertEqual([], entries.check_references(state, state))

    @ddt.data(
        ('target/engines', ['model/small', 'pipeline/notes']),
        ('model/small', ['pipeline/notes']),
        ('team/ops', ['pipeline/notes']),
        ('limit/link', []),
    )
    @ddt.unpack
    def test_removal_reports_broken_references(self, removed, broken):
        state = new_catalogue()
        del state[removed]
        problems = entries.check_references(state, [removed])
        self.assertEqual(broken, [text.split(':')[0] for text in problems])

    @ddt.data(
        ({'target': 'engine'}, 'write "engines"'),
        ({'operation': 'encode'}, 'of a target of kind engine'),
        ({'idempotent': False}, 'false on a target of kind engine'),
        ({'model': None}, 'name a model'),
        ({'model': 'smal'}, 'write "small"'),
        ({'target': 'pool', 'operation': 'encode'}, 'of target engines'),
        ({'target': 'tickets', 'model': None, 'idempotent': False}, None),
    )
    @ddt.unpack
    def test_stage_references_are_checked(self, changes, message):
        state = new_catalogue()
        changed = plain_pipeline(plain_stage(**changes))
        state['pipeline/notes'] = entries.from_plain('pipeline', changed)
        problems = entries.check_references(state, ['pipeline/notes'])
        self.assertEqual(1 if message else 0, len(problems), problems)
        self.assertIn(message or '', ''.join(problems))

    def test_checks_only_affected_entries(self):
        state = new_catalogue()
        state['pipeline/notes'] = attrs.evolve(
            state['pipeline/notes'], teams=('gone',)
        )
        self.assertEqual(
            [], entries.check_references(state, ['target/tickets'])
        )

    def test_teams_cannot_share_a_token(self):
        state = new_catalogue()
        state['team/web'] = attrs.evolve(state['team/ops'])
        problems = entries.check_references(state, ['team/web'])
        self.assertEqual(1, len(problems), problems)
        self.assertIn('a token that team/ops has too', problems[0])

    def test_model_requires_an_engine_target(self):
        state = new_catalogue()
        state['target/engines'] = attrs.evolve(
            state['target/engines'], kind=catalogue.TargetKind.POOL
        )
        problems = entries.check_references(state, ['target/engines'])
        self.assertIn('a target of kind engine', problems[0])
