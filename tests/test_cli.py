"""Tests of the command line: messages, forms of output and exit codes."""

import json
import pathlib

import ddt
from typer import testing

from sycamorebeam.cli import main
from sycamorebeam.cli import output
from sycamorebeam.clients import caller
from sycamorebeam.standins import target_server
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


@ddt.ddt
class RequestTest(base.TestCase):
    def send(self, result, *args):
        async def answer(call, on_token):
            self.call = call
            if on_token is not None:
                on_token('some ')
                on_token('text')
            return result

        self.patch(caller, 'send', answer)
        address = ('--to', '127.0.0.1:1')
        token = ('--token-file', str(SAMPLES / 'kovacik' / 'peer.secret'))
        return invoke('request', 'notes', *address, *token, *args)

    @ddt.data(
        (caller.CallAnswered({'output': {}}), 0),
        (caller.CallRefused({'outcome': 'not_run'}), 3),
        (caller.CallRefused({'outcome': 'attempt_not_run'}), 4),
        (caller.CallRefused({'outcome': 'partial'}), 4),
        (caller.CallLost('cut', True), 4),
        (caller.CallLost('nobody there', False), 1),
    )
    @ddt.unpack
    def test_the_code_tells_what_is_known(self, result, code):
        found = self.send(result, '--text', 'x', '--output', 'json')
        self.assertEqual(code, found.exit_code, found.output)
        self.assertIsInstance(json.loads(found.stdout), dict)

    @ddt.data(
        (('--key', 'k'), 'attempt_not_run'),
        (('--new-key',), 'not_run'),
        ((), 'not_run'),
    )
    @ddt.unpack
    def test_speaks_of_the_key(self, args, outcome):
        lost = caller.CallLost('nobody there', False)
        found = self.send(lost, '--text', 'x', '--output', 'json', *args)
        document = json.loads(found.stdout)
        self.assertEqual(outcome, document['outcome'])

    @ddt.data(('--stream', 1), ('--no-stream', 1))
    @ddt.unpack
    def test_prints_the_text_once(self, option, count):
        answer = caller.CallAnswered({'output': {'text': 'some text'}})
        found = self.send(answer, '--text', 'x', option)
        self.assertEqual(count, found.stdout.count('some text'), found.stdout)

    def test_a_new_key_is_a_first_attempt(self):
        found = self.send(
            caller.CallAnswered({}), '--input', '{"a": 1}', '--new-key'
        )
        self.assertIn(f'key {self.call.key}', found.stderr)
        self.assertTrue(self.call.first_attempt)
        self.assertEqual({'a': 1}, self.call.input)

    @ddt.data(
        (),
        ('--text', 'x', '--input', '{}'),
        ('--input', '[]'),
        ('--input', '{'),
        ('--text', 'x', '--key', 'k', '--new-key'),
        ('--text', 'x', '--deadline-ms', '0'),
    )
    def test_refuses_what_it_cannot_send(self, args):
        found = self.send(caller.CallAnswered({}), *args)
        self.assertEqual(2, found.exit_code, found.output)


class TableTest(base.TestCase):
    def test_a_cell_cannot_move_the_cursor(self):
        shown = output.printable('a\n\x1b[2Jé')
        self.assertEqual('a\ufffd\ufffd[2Jé', shown)


class StandinTest(base.TestCase):
    def test_serves_the_targets_of_a_list(self):
        served = []

        async def serve(specs):
            served.extend(specs)

        self.patch(target_server, 'serve_targets', serve)
        sample = SAMPLES / 'kovacik'
        found = invoke(
            'standin',
            'targets',
            str(sample / 'replicas.jsonc'),
            '--catalogue',
            str(sample / 'catalogue.jsonc'),
        )
        self.assertEqual(0, found.exit_code, found.output)
        kinds = [spec.kind.value for spec in served]
        self.assertEqual(
            [6, 9, 12],
            [kinds.count(kind) for kind in ('engine', 'pool', 'service')],
        )
