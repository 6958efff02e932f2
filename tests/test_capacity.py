"""Tests of the capacity page against the measured data."""

import attrs
import ddt

from tests import base
from tools import capacity
from tools import fits


def series(*points):
    return fits.Series(
        name='s',
        size_unit='teams',
        value_unit='bytes',
        points=tuple(fits.Point(*point) for point in points),
    )


@ddt.ddt
class CapacityTest(base.TestCase):
    def test_the_page_shows_the_measured_data(self):
        page = capacity.PAGE.read_text()
        self.assertEqual(
            capacity.render(page, capacity.load_data()).splitlines(),
            page.splitlines(),
        )

    def test_a_changed_measurement_shows_on_the_page(self):
        page = capacity.PAGE.read_text()
        measured = capacity.load_data()
        changed = [
            attrs.evolve(item, points=item.points[1:])
            for item in measured.series
            if len(item.points) > fits.MIN_SIZES
        ]
        for item in changed:
            others = [
                other for other in measured.series if other.name != item.name
            ]
            tampered = attrs.evolve(measured, series=(*others, item))
            self.assertNotEqual(page, capacity.render(page, tampered))

    def test_every_line_has_four_sizes_or_more(self):
        for item in capacity.load_data().series:
            sizes = [point.size for point in item.points]
            if len(sizes) == 1:
                continue
            self.assertGreaterEqual(len(sizes), fits.MIN_SIZES, item.name)

    @ddt.data(
        ([(1, 3), (2, 5), (10, 21), (100, 201)], 2, 1, 0),
        ([(0, 0), (1, 2), (2, 0), (3, 2)], 0.4, 0.4, 0.6),
    )
    @ddt.unpack
    def test_fits_a_line(self, points, slope, intercept, spread):
        found = fits.fit(series(*points))
        self.assertAlmostEqual(slope, found.slope, 6)
        self.assertAlmostEqual(intercept, found.intercept, 6)
        self.assertAlmostEqual(spread, found.spread, 6)

    def test_drops_rounding_error_of_intercept(self):
        """A rounding error of the intercept differs between processors."""
        points = [(size, size) for size in (4, 12, 40, 130, 410)]
        self.assertEqual(0.0, fits.fit(series(*points)).intercept)

    def test_counts_negative_intercept_as_zero(self):
        found = fits.Fit(slope=2, intercept=-50, spread=0)
        self.assertEqual(20, found.at(10))
