"""Tests of the check of a configuration before it is sent.

Each row guards against a finding that is missed, and its sound neighbour
against one that is reported without a cause.
"""

import copy
import json
import pathlib
import tempfile

import ddt
from typer import testing

from sycamorebeam.cli import main
from sycamorebeam.platform import desired_state
from tests import base

CATALOGUE = (
    pathlib.Path(__file__).parents[1] / 'samples/kovacik/catalogue.jsonc'
)
KEY = 'key-of-ann'
ROUTE = ('routes', 0)
SECOND = ('routes', 1)
STAGES = {
    'slots': 1,
    'batch': 8,
    'call_duration_ms': 150,
    'item_duration_ms': 10,
    'headroom_mb': 50,
    'handle_ttl_s': 10,
}
SOUND = {
    'version': 3,
    'routes': [
        {
            'name': name,
            'hostname': 'api.example',
            'path_prefix': f'/{name}',
            'route_kind': 'idempotent',
            'timeout_ms': 1000,
            'target_latency_ms': 400,
            'max_attempts': 2,
            'service': 'plain',
            'stages': [{'service': 'embed'}],
        }
        for name in ('a', 'b')
    ],
    'services': [{'name': 'plain'}, {'name': 'embed', 'segments': STAGES}],
    'tenants': [
        {'name': 'ann', 'api_keys': [KEY], 'allowed_regions': ['north']},
        {'name': 'bob', 'api_keys': ['key-of-bob']},
    ],
    'limits': {'max_body_bytes': 4_000_000},
}
SPLIT = ((*ROUTE, 'traffic_split'),)
NO_ZONE = ('--zone', 'z1=south')
ZONE = ('--zone', 'z1=north')


def share(service, weight):
    return {'service': service, 'weight': weight}


def changed(*edits):
    """Return the sound configuration with the values at some paths set."""
    body = copy.deepcopy(SOUND)
    for (*path, last), value in edits:
        place = body
        for part in path:
            place = place[part]
        place[last] = value
    return body


def leaf_paths(value, path=()):
    """Yield the path of each value within a configuration."""
    inner = value.items() if isinstance(value, dict) else enumerate(value)
    for key, part in inner:
        yield (*path, key)
        if isinstance(part, dict | list):
            yield from leaf_paths(part, (*path, key))


# Check, path, edits that cause it, edits of a sound neighbour, options.
CASES = (
    ('unmatched_route', 'routes[1].path_prefix',
     [((*SECOND, 'path_prefix'), '/a')], [((*SECOND, 'path_prefix'), '/a/')]),
    ('unmatched_route', 'routes[1].path_prefix',
     [((*SECOND, 'path_prefix'), '/b?x')], [((*SECOND, 'path_prefix'), '/')]),
    ('missing_service', 'routes[0].service',
     [((*ROUTE, 'service'), 'none')], [((*ROUTE, 'service'), 'embed')]),
    ('missing_service', 'routes[0].traffic_split[1].service',
     [(SPLIT[0], [share('plain', 1), share('none', 1)])],
     [(SPLIT[0], [share('plain', 1), share('embed', 1)])]),
    ('missing_service', 'routes[0].stages[0].service',
     [((*ROUTE, 'stages', 0, 'service'), 'none')], []),
    ('service_twice', 'services[1].name',
     [(('services', 1, 'name'), 'plain'), ((*ROUTE, 'stages'), []),
      ((*SECOND, 'stages'), [])], []),
    ('team_twice', 'tenants[1].name',
     [(('tenants', 1, 'name'), 'ann')], [(('tenants', 1, 'name'), 'Ann')]),
    ('key_twice', 'tenants[1].api_keys[0]',
     [(('tenants', 1, 'api_keys'), [KEY])],
     [(('tenants', 1, 'api_keys'), [KEY + '2'])]),
    ('regions_without_zone', 'tenants[0].allowed_regions', [], None, NO_ZONE),
    ('regions_without_zone', 'routes[0].allowed_regions',
     [((*ROUTE, 'allowed_regions'), ['south'])],
     [((*ROUTE, 'allowed_regions'), ['south', 'north'])], ZONE),
    ('no_common_region', 'routes[0].allowed_regions',
     [((*ROUTE, 'allowed_regions'), ['south']),
      (('tenants', 1, 'allowed_regions'), ['west'])],
     [((*ROUTE, 'allowed_regions'), ['south'])]),
    ('timeout_below_objective', 'routes[0].timeout_ms',
     [((*ROUTE, 'timeout_ms'), 399)],
     [((*ROUTE, 'timeout_ms'), 400), ((*ROUTE, 'max_attempts'), 1)]),
    ('attempts_above_timeout', 'routes[0].max_attempts',
     [((*ROUTE, 'timeout_ms'), 799)], [((*ROUTE, 'timeout_ms'), 800)]),
    ('empty_split', 'routes[0].traffic_split',
     [(SPLIT[0], [share('plain', 0)])],
     [(SPLIT[0], [share('plain', 0), share('embed', 1)])]),
    ('slow_stage', 'routes[0].stages[0]',
     [((*ROUTE, 'target_latency_ms'), 159)],
     [((*ROUTE, 'target_latency_ms'), 160)]),
    ('cold_without_rate', 'services[0].cold_per_s',
     [(('services', 0, 'cold_start_s'), 3)],
     [(('services', 0, 'cold_start_s'), 3),
      (('services', 0, 'cold_per_s'), 8.3)]),
    ('body_above_memory', 'limits.max_body_bytes',
     [(('limits', 'max_body_bytes'), 4_000_001)], [], ('--memory-mb', '4')),
    ('invalid', 'routes[0].timeout_ms',
     [((*ROUTE, 'timeout_ms'), 'soon')], [((*ROUTE, 'timeout_ms'), '900')]),
    ('invalid', 'tenants[0].api_keys',
     [(('tenants', 0, 'api_keys'), KEY)], []),
    ('invalid', 'services[1].segments.slots',
     [(('services', 1, 'segments', 'slots'), None)], []),
)  # fmt: skip

# Field, change, edits of the version in force.
DIFFERENCES = (
    ('route/a', 'split', 'moved', [((*ROUTE, 'service'), 'embed')], []),
    ('route/a', 'split', 'changed',
     [(SPLIT[0], [share('plain', 1), share('embed', 1)])],
     [(SPLIT[0], [share('plain', 3), share('embed', 1)])]),
    ('route/a', 'timeout_ms', 'changed', [((*ROUTE, 'timeout_ms'), 900)], []),
    ('tenant/ann', 'api_keys', '1 added',
     [(('tenants', 0, 'api_keys'), [])], []),
    ('tenant/ann', 'api_keys', '1 removed',
     [(('tenants', 0, 'api_keys'), [KEY, KEY + '2'])], []),
    ('limits', 'max_body_bytes', 'changed',
     [(('limits', 'max_body_bytes'), 3_000_000)], []),
)  # fmt: skip


@ddt.ddt
class ConfigurationCheckTest(base.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, body):
        path = self.folder / name
        path.write_text(body if isinstance(body, str) else json.dumps(body))
        return str(path)

    def check(self, body, *options):
        path = self.write('new.json', body)
        args = ['configuration', 'check', path, '--output', 'json', *options]
        completed = testing.CliRunner().invoke(main.app, args)
        self.assertNotIn(KEY, completed.output)
        lines = [json.loads(line) for line in completed.stdout.splitlines()]
        return completed.exit_code, lines

    def compare(self, body, before):
        path = self.write('old.json', before)
        return self.check(body, '--in-force', path)

    @ddt.data(*CASES)
    def test_finds_the_fault_alone(self, case):
        check, path, edits, sound, *options = case
        code, lines = self.check(changed(*edits), *sum(options, ()))
        found = [(line['check'], line['path']) for line in lines]
        self.assertEqual((1, [(check, path)]), (code, found))
        if sound is not None:
            self.assertEqual(
                (0, []), self.check(changed(*sound), *sum(options, ()))
            )

    def test_finds_all_faults_at_once(self):
        body = changed(*(edit for case in CASES[-3:] for edit in case[2]))
        self.assertEqual(3, len(self.check(body)[1]))

    def test_finds_whatever_the_product_cannot_decode(self):
        for path in leaf_paths(SOUND):
            for value in (None, [], 'text', [{}], float('inf')):
                body = changed((path, value))
                try:
                    desired_state.decode(json.dumps(body).encode())
                except desired_state.UndecodableError:
                    _, lines = self.check(body)
                    checks = {line['check'] for line in lines}
                    self.assertIn('invalid', checks, (path, value))

    def test_sound_state_is_decoded_by_the_product(self):
        state = desired_state.decode(json.dumps(SOUND).encode())
        self.assertEqual(2, len(state.routes))

    @ddt.data(*DIFFERENCES)
    def test_shows_changed_fields(self, case):
        entry, field, change, before, after = case
        code, lines = self.compare(changed(*after), changed(*before))
        shown = [
            (line['entry'], line['field'], line['change']) for line in lines
        ]
        self.assertEqual((0, [(entry, field, change)]), (code, shown))

    def test_shows_added_and_removed_routes(self):
        body = changed((('routes',), SOUND['routes'][:1]))
        for after, before, change in (
            (SOUND, body, 'added'),
            (body, SOUND, 'removed'),
        ):
            _, lines = self.compare(after, before)
            self.assertEqual(
                [('route/b', change)],
                [(line['entry'], line['change']) for line in lines],
            )

    @ddt.data(
        json.dumps(SOUND, indent=4),
        changed((('routes',), SOUND['routes'][::-1])),
        changed((SPLIT[0], [share('plain', 9)])),
    )
    def test_another_notation_is_no_difference(self, body):
        self.assertEqual((0, []), self.compare(body, SOUND))

    def test_checks_and_compares_catalogue_files(self):
        text = CATALOGUE.read_text()
        self.assertEqual((0, []), self.check(text))
        code, lines = self.compare(text.replace('10000', '9000'), text)
        self.assertEqual((0, '9000'), (code, lines[0]['after']))
        code, lines = self.check(text.replace('deadline_ms', 'deadline'))
        self.assertEqual((1, 'invalid'), (code, lines[0]['check']))

    def test_does_not_show_tokens_of_catalogue_files(self):
        limits = {'owner': 'o', 'class': 'normal', 'limits': {}}
        for tokens in ([KEY], KEY, ['0' * 64] * 2):
            team = {**limits, 'token_sha256': tokens}
            code, lines = self.check({'teams': {'ann': team}})
            self.assertEqual((1, 1), (code, len(lines)))

    @ddt.data(
        '{"routes": [',
        json.dumps(SOUND)[:-1] + ',}',
        '',
        f'{{"tenants": [{{"api_keys": [{KEY}]}}]}}',
    )
    def test_unreadable_files_have_code_2(self, text):
        self.assertEqual((2, []), self.check(text))

    def test_prints_tables(self):
        path = self.write('new.json', changed(*CASES[0][2]))
        old = self.write('old.json', SOUND)
        args = ['configuration', 'check', path, '--in-force', old]
        shown = testing.CliRunner().invoke(main.app, args).output
        self.assertIn('earlier route a', shown)
        self.assertRegex(shown, r'route/b +path_prefix +changed +/b +/a')
