"""Tests of the dispatch permit."""

import copy
import pickle

import ddt

from sycamorebeam import claims
from sycamorebeam import errors
from tests import base


def new_permit() -> claims.DispatchPermit:
    return claims.DispatchPermit('claim-1', 0, b'key')


@ddt.ddt
class DispatchPermitTest(base.TestCase):
    @ddt.data(copy.copy, copy.deepcopy, pickle.dumps)
    def test_cannot_be_copied(self, duplicate):
        self.assertRaises(errors.PermitError, duplicate, new_permit())

    @ddt.data('use', 'destroy')
    def test_use_fails_after_use_or_destroy(self, step):
        permit = new_permit()
        getattr(permit, step)()
        self.assertRaises(errors.PermitError, permit.use)

    def test_destroy_returns_whether_it_was_unused(self):
        permit = new_permit()
        self.assertTrue(permit.destroy())
        self.assertFalse(permit.destroy())
