"""Tests of the rate limits that targets report."""

import ddt

from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import target_limits
from tests import base
from tests.forwarding import build

KEY = ('t', 1)
TARGET = build.target('t')


@ddt.ddt
class TargetLimitsTest(base.TestCase):
    @ddt.data(
        ('first', [(0, 2.0)], 2.0),
        ('raised', [(0, 2.0), (10, 3.0)], 3.0),
        ('lowered', [(0, 2.0), (10, 0.5)], 0.5),
        ('none', [(0, model.UNLIMITED)], None),
        ('ended', [(0, 2.0), (1_000, model.UNLIMITED)], None),
        ('reordered', [(0, 2.0), (999, model.UNLIMITED)], 2.0),
        ('renewed', [(0, 2.0), (900, 2.0), (1_000, model.UNLIMITED)], 2.0),
        ('again', [(0, 2.0), (1_000, model.UNLIMITED), (1_001, 1.0)], 1.0),
    )
    @ddt.unpack
    def test_the_newest_report_holds(self, _, reports, expected):
        limits = target_limits.TargetLimits()
        for now_ms, requests_per_s in reports:
            limits.record(KEY, requests_per_s, now_ms)
        limit = limits.get(TARGET)
        self.assertEqual(expected, limit and limit.requests_per_s)

    def test_a_new_incarnation_has_no_limit(self):
        limits = target_limits.TargetLimits()
        limits.record(KEY, 2.0, 0)
        self.assertIsNone(limits.get(build.target('t', incarnation=2)))

    def test_changes_are_reported_once(self):
        limits = target_limits.TargetLimits()
        changes = [
            limits.record(KEY, requests_per_s, now_ms)
            for now_ms, requests_per_s in (
                (0, model.UNLIMITED),
                (0, 2.0),
                (1, 2.0),
                (2, 3.0),
                (5_000, model.UNLIMITED),
                (5_001, model.UNLIMITED),
            )
        ]
        self.assertEqual([False, True, False, True, True, False], changes)

    def test_recent_sends_are_counted(self):
        limit = target_limits.TargetLimit(1.0, 0)
        for now_ms in (0, 1_000, 3_999):
            limit.record_send(now_ms)
        self.assertEqual(3, limit.recent_send_count(3_999))
        self.assertEqual(2, limit.recent_send_count(4_000))

    def test_the_oldest_of_too_many_limits_is_dropped(self):
        limits = target_limits.TargetLimits()
        for number in range(target_limits.MAX_LIMITS_KEPT + 1):
            limits.record((f't{number}', 1), 1.0, 0)
        self.assertIsNone(limits.get(build.target('t0')))
        self.assertIsNotNone(limits.get(build.target('t1')))
