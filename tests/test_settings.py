"""Tests of settings, replica and catalogue files, and their faults."""

import pathlib
import tempfile

import ddt

from sycamorebeam import catalogue_file
from sycamorebeam import errors
from sycamorebeam import jsonc
from sycamorebeam import replica_file
from sycamorebeam import settings
from tests import base

SETTINGS = """\
// An instance.
{
  "instance_id": "i1",
  "placement": {"zone": "z1", "region": "r1"},
  "addresses": {
    "callers": "127.0.0.1:7001",
    "peers": "127.0.0.1:7002",
  },
  "platform": {
    "log": "http://127.0.0.1:7100",
    "instances": "http://127.0.0.1:7101",
  },
  "peer_secret_file": "peer.secret"
}
"""
CATALOGUE = """\
{
  "teams": {
    "ops": {"owner": "o", "class": "urgent", "limits": {},
            "token_sha256": ["short"]}
  },
  "targets": {
    "engines": {"owner": "o", "class": "normal", "limits": {},
                "kind": "engine"}
  },
  "models": {
    "small": {"owner": "o", "class": "normal", "limits": {},
              "target": "engine", "version": "1"}
  },
  "pipelines": {
    "Notes": {"owner": "o", "class": "normal", "limits": {},
      "deadline_ms": 1000, "teams": ["ops", "opps"],
      "stages": []
    },
    "memo": {"owner": "o", "class": "normal", "limits": {},
      "deadline_ms": 1000, "teams": ["ops"],
      "stages": [
        {"name": "a", "target": "engines", "operation": "generate",
         "model": "large"}
      ]
    }
  },
  "limit": {}
}
"""


class FileTestCase(base.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, text):
        path = self.folder / 'file.jsonc'
        path.write_text(text)
        return path

    def problems(self, load, *args):
        error = self.assertRaises(errors.SettingsError, load, *args)
        return [text.partition('file.jsonc:')[2] for text in error.problems]


@ddt.ddt
class JsoncTest(FileTestCase):
    @ddt.data(
        ('{"a": 1,\n "b" 2}', 'file:2: not JSON with comments: Syntax'),
        ('{"a":\n 1 /* x', 'file:2:'),
        ('', 'file:1:'),
        ('{"a": [1,\n2}', 'file:2:'),
        ('[' * 5000, 'file:1:'),
    )
    @ddt.unpack
    def test_names_the_line_of_a_syntax_error(self, text, message):
        error = self.assertRaises(
            errors.SettingsError, jsonc.parse, text, 'file'
        )
        self.assertIn(message, str(error))

    def test_keeps_the_line_of_every_value(self):
        document = jsonc.parse('// c\n{"a": [1,\n  {"b": -2}]}', 'file')
        self.assertEqual({'a': [1, {'b': -2}]}, document.value)
        self.assertEqual('file:3', document.origin(('a', 1, 'b')))
        self.assertEqual('file:2', document.origin(('a', 0, 'missing')))

    @ddt.data('"\\ud800"', '["\\udc00\\ud800"]', '{"\\ud800": 1}')
    def test_unpaired_surrogate_is_a_fault(self, text):
        found = jsonc.parse(text, 'file').faults
        self.assertIn('surrogate', found[0].found)

    @ddt.data(b'\xff', None)
    def test_error_names_a_file_that_cannot_be_read(self, data):
        path = self.folder / 'other.jsonc'
        if data is not None:
            path.write_bytes(data)
        error = self.assertRaises(errors.SettingsError, jsonc.load, path)
        self.assertIn('other.jsonc', str(error))


@ddt.ddt
class SettingsTest(FileTestCase):
    def load(self, text=SETTINGS, **environ):
        return settings.load_settings(self.write(text), environ)

    def test_environment_overrides_the_file(self):
        found = self.load(
            SYCAMOREBEAM_BOUNDS__BODY_BYTES='2048',
            SYCAMOREBEAM_INSTANCE_ID='12',
            SYCAMOREBEAM_STATSD__ADDRESS='127.0.0.1:8125',
            OTHER='x',
        )
        self.assertEqual(2048, found.bounds.body_bytes)
        self.assertEqual('12', found.instance_id)
        self.assertEqual('127.0.0.1:8125', found.statsd.address)
        self.assertEqual('127.0.0.1:7001', found.addresses.callers)
        self.assertEqual(
            str(self.folder / 'peer.secret'), found.peer_secret_file
        )

    @ddt.data(
        ('"i1"', '"I 1"', '3: instance_id: found "I 1"'),
        ('127.0.0.1:7001', 'localhost:7001', '6: addresses.callers: found'),
        ('127.0.0.1:7001', '127.0.0.1:0', '6: addresses.callers: found'),
        ('127.0.0.1:7001', '0.0.0.0:1', '5: addresses.advertised_callers'),
        ('127.0.0.1:7001', '127.0.0.1:7002', '7: addresses.peers: found the'),
        ('"callers"', '"caller"', '6: addresses.caller: found an unknown'),
        ('"z1"', '7', '4: placement.zone: found 7, allowed a text'),
        ('http://127.0.0.1:7100', 'ftp://127.0.0.1:7100', '10: platform.log'),
        ('"instance_id": "i1",', '', '2: instance_id: found nothing'),
        ('"region": "r1"', '"zone": "z2"', '4: placement.zone: found the key'),
        ('"instance_id"', '"claim_partitions": 0, "instance_id"', '0, allow'),
    )
    @ddt.unpack
    def test_names_line_and_key(self, old, new, message):
        text = SETTINGS.replace(old, new, 1)
        self.assertNotEqual(SETTINGS, text)
        problems = self.problems(self.load, text)
        self.assertIn(message, problems[0])

    @ddt.data(
        ('BOUNDS__BODY_BYTES', '12x', 'environment SYCAMOREBEAM_BOUNDS__BOD'),
        ('BOUND__BODY_BYTES', '4096', 'write "SYCAMOREBEAM_BOUNDS__BODY_B'),
        ('STATSD__ADDRESS', 'nowhere', 'allowed an IP number with a port'),
    )
    @ddt.unpack
    def test_names_a_faulty_variable(self, name, value, message):
        environ = {f'SYCAMOREBEAM_{name}': value}
        error = self.assertRaises(
            errors.SettingsError,
            settings.load_settings,
            self.write(SETTINGS),
            environ,
        )
        self.assertEqual(1, len(error.problems), error.problems)
        self.assertIn(message, error.problems[0])

    @ddt.data(b'short\n', b'x' * 5000, None)
    def test_refuses_unusable_secret_files(self, data):
        path = self.folder / 'peer.secret'
        if data is not None:
            path.write_bytes(data)
        self.assertRaises(errors.SettingsError, settings.read_secret, path)

    def test_strips_white_space_around_a_secret(self):
        path = self.folder / 'peer.secret'
        path.write_bytes(b'0123456789abcdef\n')
        self.assertEqual(b'0123456789abcdef', settings.read_secret(path))


def listed(name, address):
    placement = '"group": "g", "zone": "z", "region": "r"'
    return f'{{"id": "{name}", "address": "{address}", {placement}}}'


@ddt.ddt
class ReplicaFileTest(FileTestCase):
    @ddt.data(
        ('{}', '1: (whole): found {}, allowed a list'),
        ('[7]', '1: [0]: found 7, allowed an object'),
        (f'[{listed("a", "host")}]', '1: [0].address: found "host"'),
        (
            f'[{listed("a", "10.0.0.1:1")},\n{listed("a", "10.0.0.1:2")}]',
            '2: [1].id: found "a" again',
        ),
        (
            f'[{listed("a", "10.0.0.1:1")},\n{listed("b", "10.0.0.1:1")}]',
            '2: [1].address: found "10.0.0.1:1" again',
        ),
    )
    @ddt.unpack
    def test_names_line_and_path(self, text, message):
        problems = self.problems(replica_file.load_replicas, self.write(text))
        self.assertTrue(problems[0].startswith(message), problems)


class CatalogueFileTest(FileTestCase):
    def test_names_every_problem_at_once(self):
        problems = self.problems(
            catalogue_file.load_catalogue_file, self.write(CATALOGUE)
        )
        expected = (
            '4: teams.ops.token_sha256[0]: found "short"',
            '15: pipelines.Notes: found "Notes"',
            '17: pipelines.Notes.stages: found 0 items',
            '27: limit: found an unknown key',
            '12: models.small.target: found "engine"',
            '23: pipelines.memo.stages[0].model: found "large"',
        )
        self.assertEqual(len(expected), len(problems), problems)
        for start, problem in zip(expected, problems, strict=True):
            self.assertTrue(problem.startswith(start), problem)
