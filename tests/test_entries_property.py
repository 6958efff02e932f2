"""Property tests: invalid input raises SettingsError and nothing else."""

import json

import hypothesis
from hypothesis import strategies

from sycamorebeam import catalogue
from sycamorebeam import entries
from sycamorebeam import errors
from sycamorebeam import jsonc
from tests import base

PROFILE = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)
KEYS = strategies.sampled_from(
    ['owner', 'class', 'limits', 'kind', 'stages', 'name', 'after', 'x']
)
LEAVES = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from(['normal', 'pool', '127.0.0.1:1'])
)
VALUES = strategies.recursive(
    LEAVES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(KEYS, inner, max_size=5)
    ),
    max_leaves=12,
)
KINDS = strategies.sampled_from([*catalogue.KINDS])


class EntriesPropertyTest(base.TestCase):
    @PROFILE
    @hypothesis.given(KINDS, VALUES)
    def test_any_value_is_an_entry_or_a_typed_error(self, kind, value):
        try:
            entry = entries.from_plain(kind, value)
        except errors.SettingsError as error:
            self.assertTrue(error.problems)
        else:
            plain = json.loads(json.dumps(entries.to_plain(entry)))
            self.assertEqual(entry, entries.from_plain(kind, plain))

    @PROFILE
    @hypothesis.given(VALUES)
    def test_json_is_parsed_like_the_json_module(self, value):
        text = json.dumps(value, allow_nan=False) if is_finite(value) else '1'
        self.assertEqual(
            json.loads(text), jsonc.parse(text, 'file').value, text
        )

    @PROFILE
    @hypothesis.given(
        strategies.text(alphabet='{}[]:,"\'/*\\\n ab1-.e+$\x00é', max_size=30)
    )
    def test_any_text_is_a_document_or_a_typed_error(self, text):
        try:
            jsonc.parse(text, 'file')
        except errors.SettingsError as error:
            self.assertIn('file:', error.detail)


def is_finite(value):
    try:
        json.dumps(value, allow_nan=False)
    except ValueError:
        return False
    return True
