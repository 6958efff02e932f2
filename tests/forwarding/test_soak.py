"""A short soak with fixed seeds; ``soak.py`` plays more by hand."""

import ddt

from tests import base
from tests.forwarding import soak


@ddt.ddt
class SoakTest(base.NetworkTestCase):
    @ddt.data(1, 2)
    async def test_promises_hold_under_faults(self, seed):
        problems, line = await soak.run_seed(seed)
        self.assertEqual([], problems, line)
