"""Tests of the command line: messages, output formats and exit codes."""

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
    def test_exit_codes_and_messages(self, args, code, message):
        completed = invoke(*args)
        self.assertEqual(code, completed.exit_code, completed.output)
        self.assertIn(message, completed.output)

    def test_shows_where_a_setting_comes_from(self):
        name = 'SYCAMOREBEAM_BOUNDS__BODY_BYTES'
        args = ('settings', 'show', GOOD, '--output', 'json')
        shown = json.loads(invoke(*args, **{name: '2048'}).stdout)
        rows = {row['key']: row for row in shown}
        changed = rows['bounds.body_bytes']
        self.assertEqual(2048, changed['value'])
        self.assertEqual(f'environment {name}', changed['origin'])
        self.assertEqual(f'{SAMPLES / GOOD}:3', rows['instance_id']['origin'])
        self.assertEqual('default', rows['claim_partitions']['origin'])

    @ddt.data(('settings', GOOD), ('catalogue', CATALOGUE))
    @ddt.unpack
    def test_prints_json(self, group, path):
        completed = invoke(group, 'check', path, '--output', 'json')
        self.assertTrue(json.loads(completed.stdout)['valid'])

    def test_errors_go_to_stderr(self):
        completed = invoke('settings', 'check', CATALOGUE, '--output', 'json')
        self.assertEqual('', completed.stdout)
        self.assertIn(f'{SAMPLES / CATALOGUE}:', completed.stderr)


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
    def test_the_exit_code_reflects_the_outcome(self, result, code):
        completed = self.send(result, '--text', 'x', '--output', 'json')
        self.assertEqual(code, completed.exit_code, completed.output)
        self.assertIsInstance(json.loads(completed.stdout), dict)

    @ddt.data(
        (('--key', 'k'), 'attempt_not_run'),
        (('--new-key',), 'not_run'),
        ((), 'not_run'),
    )
    @ddt.unpack
    def test_the_outcome_of_a_lost_call_depends_on_the_key(
        self, args, outcome
    ):
        lost = caller.CallLost('nobody there', False)
        completed = self.send(lost, '--text', 'x', '--output', 'json', *args)
        document = json.loads(completed.stdout)
        self.assertEqual(outcome, document['outcome'])

    @ddt.data(('--stream', 1), ('--no-stream', 1))
    @ddt.unpack
    def test_prints_the_text_once(self, option, count):
        answer = caller.CallAnswered({'output': {'text': 'some text'}})
        completed = self.send(answer, '--text', 'x', option)
        self.assertEqual(
            count, completed.stdout.count('some text'), completed.stdout
        )

    def test_a_new_key_is_a_first_attempt(self):
        completed = self.send(
            caller.CallAnswered({}), '--input', '{"a": 1}', '--new-key'
        )
        self.assertIn(f'key {self.call.key}', completed.stderr)
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
    def test_refuses_invalid_options(self, args):
        completed = self.send(caller.CallAnswered({}), *args)
        self.assertEqual(2, completed.exit_code, completed.output)


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
        completed = invoke(
            'standin',
            'targets',
            str(sample / 'replicas.jsonc'),
            '--catalogue',
            str(sample / 'catalogue.jsonc'),
        )
        self.assertEqual(0, completed.exit_code, completed.output)
        kinds = [spec.kind.value for spec in served]
        self.assertEqual(
            [6, 9, 12],
            [kinds.count(kind) for kind in ('engine', 'pool', 'service')],
        )
