"""A short soak test with fixed seeds; ``soak.py`` runs any others."""

import ddt

from tests import base
from tests.forwarding import soak


@ddt.ddt
class SoakTest(base.NetworkTestCase):
    @ddt.data(1, 2)
    async def test_guarantees_hold_under_faults(self, seed):
        problems, line = await soak.run_seed(seed)
        self.assertEqual([], problems, line)
