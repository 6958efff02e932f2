"""Tokens and events, however they arrive."""

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
CUTS = strategies.lists(strategies.integers(0, 200), max_size=10)


@ddt.ddt
class TokenTableTest(base.TestCase):
    """The table gives each token once and in order."""

    @EXAMPLES
    @hypothesis.given(INDICES)
    def test_any_order(self, indices):
        table = tokens.TokenTable()
        given = []
        for index in indices:
            given.extend(table.add(index, f'text{index}'))
        whole = next(i for i in range(13) if i not in indices)
        due = [(i, f'text{i}') for i in range(whole)]
        text = ''.join(text for _, text in due)
        self.assertEqual(due, given)
        self.assertEqual((whole, text), (table.next, table.text))
        digest = hashlib.sha256(text.encode()).hexdigest()
        self.assertEqual(digest, table.digest)

    @ddt.data((0, 'other'), (5, 'other'))
    @ddt.unpack
    def test_refuses_other_text(self, index, text):
        table = tokens.TokenTable()
        table.add(0, 'text')
        table.add(5, 'text')
        self.assertIsNone(table.add(index, text))

    def test_bounds_what_it_holds(self):
        table = tokens.TokenTable()
        last = tokens.MAX_HELD_TOKENS + 1
        for index in range(1, last):
            self.assertEqual([], table.add(index, 'text'))
        self.assertIsNone(table.add(last, 'text'))


@ddt.ddt
class EventParserTest(base.TestCase):
    """The parser gives the same events however the bytes are cut."""

    @EXAMPLES
    @hypothesis.given(EVENTS, CUTS, strategies.sampled_from(['\n', '\r\n']))
    def test_any_cut(self, events, cuts, end):
        line_end = end.encode()
        lines = [b': alive', b'']
        for name, data in events:
            lines += [b'event: ' + name.encode(), b'data: ' + data, b'']
        stream = line_end.join(lines) + line_end
        parser = sse.EventParser()
        found = []
        start = 0
        for cut in [*sorted(cuts), len(stream)]:
            found += parser.feed(stream[start:cut])
            start = max(start, cut)
        self.assertEqual(events, [(item.name, item.data) for item in found])

    def test_bounds_an_event(self):
        parser = sse.EventParser()
        with self.assertRaises(errors.PlatformError):
            list(parser.feed(b'data: ' + b'x' * (sse.MAX_EVENT_BYTES + 1)))
