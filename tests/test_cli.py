"""Tests of the command line: messages, forms of output and exit codes."""

import json
import pathlib

import ddt
from typer import testing

from sycamorebeam.cli import main
from tests import base

SAMPLES = pathlib.Path(__file__).parents[1] / 'samples'
GOOD = 'kovacik/settings-1.jsonc'
CATALOGUE = 'cedarline/catalogue.jsonc'


def invoke(*args, **environ):
    args = [str(SAMPLES / arg) if '.json' in arg else arg for arg in args]
    return testing.CliRunner().invoke(main.app, args, env=environ)


@ddt.ddt
class CommandLineTest(base.TestCase):
    @ddt.data(
        (('--version',), 0, 'sycamorebeam '),
        (('settings', 'check', GOOD), 0, 'valid, instance kovacik-1'),
        (('settings', 'check', CATALOGUE), 1, 'has 10 problems'),
        (('settings', 'check', 'missing'), 1, 'cannot be read'),
        (('settings', 'check'), 2, 'Missing argument'),
        (('settings', 'show', GOOD), 0, 'placement.zone'),
        (('catalogue', 'check', CATALOGUE), 0, '5 teams'),
        (('catalogue', 'check', GOOD), 1, 'an unknown key'),
        (('catalogue', 'check', GOOD, '--output', 'xml'), 2, 'xml'),
        (('nothing',), 2, 'No such command'),
    )
    @ddt.unpack
    def test_ends_with_a_meaningful_code(self, args, code, message):
        found = invoke(*args)
        self.assertEqual(code, found.exit_code, found.output)
        self.assertIn(message, found.output)

    def test_shows_where_a_setting_comes_from(self):
        name = 'SYCAMOREBEAM_BOUNDS__BODY_BYTES'
        args = ('settings', 'show', GOOD, '--output', 'json')
        found = json.loads(invoke(*args, **{name: '2048'}).stdout)
        rows = {row['key']: row for row in found}
        changed = rows['bounds.body_bytes']
        self.assertEqual(2048, changed['value'])
        self.assertEqual(f'environment {name}', changed['origin'])
        self.assertEqual(f'{SAMPLES / GOOD}:3', rows['instance_id']['origin'])
        self.assertEqual('default', rows['claim_partitions']['origin'])

    @ddt.data(('settings', GOOD), ('catalogue', CATALOGUE))
    @ddt.unpack
    def test_answers_scripts_in_json(self, group, path):
        found = invoke(group, 'check', path, '--output', 'json')
        self.assertTrue(json.loads(found.stdout)['valid'])

    def test_a_fault_goes_to_the_error_stream(self):
        found = invoke('settings', 'check', CATALOGUE, '--output', 'json')
        self.assertEqual('', found.stdout)
        self.assertIn(f'{SAMPLES / CATALOGUE}:', found.stderr)
