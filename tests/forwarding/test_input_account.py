"""Tests of the account of what is held for peers, without a network."""

import json

import attrs
import ddt

from sycamorebeam.forwarding import active_state
from sycamorebeam.forwarding import request_memory
from sycamorebeam.forwarding.input_account import account as accounts
from sycamorebeam.forwarding.input_account import limits
from sycamorebeam.platform import desired_state
from tests import base
from tests.forwarding import build
from tests.forwarding import standin

LIMIT = 1_000_000
HELD = 100_000


@attrs.define(eq=False)
class FakeConnection:
    held_bytes: int = HELD
    is_unread: bool = False
    reason: object = None

    def overdue(self, now_ms):
        return None

    def close_for(self, reason):
        self.reason = reason


@ddt.ddt
class InputAccountTest(base.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = build.ManualClock()
        self.memory = request_memory.RequestMemory(LIMIT)
        self.max_connections = 100
        self.account = accounts.InputAccount(
            self.memory,
            self.clock.monotonic_ms,
            lambda: self.max_connections,
            lambda *closed: None,
        )

    def open(self, count, **fields):
        entries = [
            self.account.open(FakeConnection(**fields)) for _ in range(count)
        ]
        self.clock.now_ms += accounts.MARK_MS
        return entries

    def closed(self, entries):
        return [entry.connection.reason is not None for entry in entries]

    def test_the_least_progress_is_closed_first(self):
        """Guards against closing an upload that goes on."""
        stopped, sending = self.open(2, held_bytes=4 * HELD)
        sending.received_bytes = 4 * HELD
        self.open(3)
        self.account.relieve()
        self.assertEqual([True, False], self.closed([stopped, sending]))

    @ddt.data(
        ('is_passed_on', False),
        ('served_requests', False),
        ('opened_ms', False),
    )
    @ddt.unpack
    def test_who_is_closed_last(self, field, is_closed):
        """Guards against cutting requests that run, and new callers."""
        held = accounts.CONNECTION_BYTES
        (entry,) = self.open(1, held_bytes=held)
        setattr(entry, field, self.clock.now_ms)
        others = self.open(10, held_bytes=110_000 - held // 10)
        if field == 'opened_ms':
            entry.opened_ms = self.clock.now_ms
        self.account.relieve()
        self.assertEqual(is_closed, *self.closed([entry]))
        self.assertIn(True, self.closed(others))

    def test_an_unread_answer_is_closed_before_all_others(self):
        """Guards against slow readers that cost other callers."""
        others = self.open(10)
        (unread,) = self.open(1, is_unread=True)
        unread.is_passed_on = True
        self.account.relieve()
        self.assertEqual([True], self.closed([unread]))
        self.assertEqual(2, self.closed(others).count(True))

    def test_requests_are_refused_if_none_can_be_closed(self):
        """Guards against memory beyond the bound for running requests."""
        for entry in self.open(20):
            entry.is_passed_on = True
        self.account.relieve()
        self.assertTrue(self.account.is_full)
        for entry in self.account.entries:
            self.account.remove(entry)
        self.account.relieve()
        self.assertFalse(self.account.is_full)

    def test_descriptors_are_kept_for_targets(self):
        """Guards against an instance that can open nothing any more."""
        entries = self.open(self.max_connections + 1, held_bytes=0)
        self.assertIn(True, self.closed(entries))

    @ddt.data(
        (None, limits.Limits(header_bytes=9, idle_timeout_ms=8)),
        (
            {'max_body_bytes': 7, 'header_timeout_ms': 0},
            limits.Limits(header_bytes=9, idle_timeout_ms=8, body_bytes=7),
        ),
        (
            {'max_header_bytes': 6, 'idle_timeout_ms': 5},
            limits.Limits(header_bytes=6, idle_timeout_ms=5),
        ),
    )
    @ddt.unpack
    def test_limits_follow_the_configuration(self, configured, expected):
        """Guards against limits that stay those of the start."""
        state = active_state.ActiveState()
        defaults = limits.Limits(header_bytes=9, idle_timeout_ms=8)
        in_force = limits.LimitsInForce(state, defaults)
        self.assertEqual(defaults, in_force())
        body = standin.desired_state(1, ['k1'])
        if configured is not None:
            body['limits'] = configured
        state.replace_if_newer(
            desired_state.decode(json.dumps(body).encode()),
        )
        self.assertEqual(expected, in_force())
