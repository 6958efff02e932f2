"""Tests of the weighting that routing reads from the catalogue."""

import attrs
import ddt

from sycamorebeam import catalogue
from sycamorebeam.pipeline import weighting
from tests import base

ATTAINMENT = catalogue.Weighting.ATTAINMENT
COST = catalogue.Weighting.COST


@attrs.define
class View:
    catalogue: catalogue.Catalogue


class CountedEntries(dict):
    searches = 0

    def __iter__(self):
        self.searches += 1
        return super().__iter__()


def entries(*weightings):
    return CountedEntries(
        (
            f'limit/{number}',
            catalogue.Versioned(
                0,
                catalogue.SharedLimit(
                    owner='ops',
                    service_class=catalogue.ServiceClass.NORMAL,
                    limits=catalogue.Limits(),
                    resource='region_link',
                    weighting=item,
                ),
            ),
        )
        for number, item in enumerate(weightings)
    )


@ddt.ddt
class CurrentWeightingTest(base.TestCase):
    @ddt.data(
        ('no_limit', [], ATTAINMENT),
        ('cost', [COST], COST),
        ('first_by_name', [ATTAINMENT, COST], ATTAINMENT),
    )
    @ddt.unpack
    def test_reads_the_first_limit(self, _, weightings, wanted):
        view = View(catalogue.Catalogue(0, entries(*weightings)))
        self.assertIs(wanted, weighting.CurrentWeighting(view).get())

    def test_searches_each_catalogue_once(self):
        first, second = entries(COST), entries(ATTAINMENT)
        view = View(catalogue.Catalogue(0, first))
        subject = weighting.CurrentWeighting(view)
        self.assertEqual([COST, COST], [subject.get(), subject.get()])
        self.assertEqual(1, first.searches)
        view.catalogue = catalogue.Catalogue(1, second)
        self.assertIs(ATTAINMENT, subject.get())
