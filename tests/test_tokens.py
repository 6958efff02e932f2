"""Tests of tokens in any order and of events in any chunks."""

import hashlib

import ddt
import hypothesis
from hypothesis import strategies

from sycamorebeam import errors
from sycamorebeam.clients import sse
from sycamorebeam.clients import tokens
from tests import base

EXAMPLES = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200
)
INDICES = strategies.lists(strategies.integers(0, 11), max_size=60)
NAMES = strategies.sampled_from(['token', 'end'])
DATA = strategies.binary(max_size=20).map(
    lambda data: data.replace(b'\n', b'').replace(b'\r', b'')
)
EVENTS = strategies.lists(strategies.tuples(NAMES, DATA), max_size=8)
SPLITS = strategies.lists(strategies.integers(0, 200), max_size=10)


@ddt.ddt
class TokenTableTest(base.TestCase):
    """The table releases each token once and in order."""

    @EXAMPLES
    @hypothesis.given(INDICES)
    def test_any_order(self, indices):
        table = tokens.TokenTable()
        released = []
        for index in indices:
            released.extend(table.add(index, f'text{index}'))
        first_missing = next(i for i in range(13) if i not in indices)
        expected = [(i, f'text{i}') for i in range(first_missing)]
        text = ''.join(text for _, text in expected)
        self.assertEqual(expected, released)
        self.assertEqual((first_missing, text), (table.next, table.text))
        digest = hashlib.sha256(text.encode()).hexdigest()
        self.assertEqual(digest, table.digest)

    @ddt.data((0, 'other'), (5, 'other'))
    @ddt.unpack
    def test_rejects_other_text(self, index, text):
        table = tokens.TokenTable()
        table.add(0, 'text')
        table.add(5, 'text')
        self.assertIsNone(table.add(index, text))

    def test_bounds_held_tokens(self):
        table = tokens.TokenTable()
        last = tokens.MAX_HELD_TOKENS + 1
        for index in range(1, last):
            self.assertEqual([], table.add(index, 'text'))
        self.assertIsNone(table.add(last, 'text'))


@ddt.ddt
class EventParserTest(base.TestCase):
    """The parser yields the same events however the bytes are split."""

    @EXAMPLES
    @hypothesis.given(EVENTS, SPLITS, strategies.sampled_from(['\n', '\r\n']))
    def test_any_chunks(self, events, splits, end):
        line_end = end.encode()
        lines = [b': alive', b'']
        for name, data in events:
            lines += [b'event: ' + name.encode(), b'data: ' + data, b'']
        stream = line_end.join(lines) + line_end
        parser = sse.EventParser()
        parsed = []
        start = 0
        for split in [*sorted(splits), len(stream)]:
            parsed += parser.feed(stream[start:split])
            start = max(start, split)
        self.assertEqual(
            events, [(event.name, event.data) for event in parsed]
        )

    def test_bounds_event_size(self):
        parser = sse.EventParser()
        with self.assertRaises(errors.PlatformError):
            list(parser.feed(b'data: ' + b'x' * (sse.MAX_EVENT_BYTES + 1)))
