"""Tests of the quantiles of recent durations."""

import ddt

from sycamorebeam.policy import quantiles
from tests import base

KEPT = 2 * quantiles.ROTATE_AFTER


def durations_of(*runs):
    durations = quantiles.RecentDurations()
    for count, value_ms in runs:
        for _ in range(count):
            durations.add(value_ms)
            durations.quantile_ms(0.5)
    return durations


@ddt.ddt
class RecentDurationsTest(base.TestCase):
    @ddt.data(
        ('none', [], None),
        ('one', [(1, 7)], 7),
        ('follows_few', [(1, 7), (3, 90)], 90),
        ('follows_majority', [(200, 7), (230, 90)], 90),
        ('keeps_majority', [(200, 7), (150, 90)], 7),
        ('forgets', [(5 * KEPT, 7), (KEPT, 90)], 90),
    )
    @ddt.unpack
    def test_median(self, _, runs, wanted):
        self.assertEqual(wanted, durations_of(*runs).quantile_ms(0.5))

    def test_quantile_is_cached_until_a_share_of_values_is_new(self):
        durations = durations_of((400, 7))
        computed = []
        compute = durations._compute
        durations._compute = lambda share: (
            computed.append(share) or compute(share)
        )
        for _ in range(100):
            durations.add(7)
            durations.quantile_ms(0.5)
        self.assertIn(len(computed), range(1, 8))
