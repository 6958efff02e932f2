"""Tests of the garbage collector's settings."""

import gc
import sys

from tests import base


class GarbageTest(base.TestCase):
    def test_full_collections_do_not_scan_modules_and_tests(self):
        """Tests whose instances share this process have tight time limits."""
        self.assertGreater(gc.get_freeze_count(), len(sys.modules))
