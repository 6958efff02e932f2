"""Renders the generated tables of ``docs/CAPACITY.md``."""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Any

import attrs

from tools import capacity_budget
from tools import capacity_regions
from tools import fits


@attrs.frozen(kw_only=True)
class Measured:
    """The results of one run of the measurements."""

    machine: dict[str, Any]
    series: tuple[fits.Series, ...]
    stages: tuple[capacity_regions.StageBytes, ...]

    def slopes(self) -> capacity_budget.Slopes:
        """Fit a line to each series that has enough sizes."""
        return capacity_budget.Slopes(
            {
                item.name: fits.fit(item)
                for item in self.series
                if len(item.points) >= fits.MIN_SIZES
            },
            {
                item.name: item.points[0]
                for item in self.series
                if len(item.points) < fits.MIN_SIZES
            },
        )


def render_parts(measured: Measured) -> dict[str, str]:
    """Return the generated parts of the page by name."""
    slopes = measured.slopes()
    renderers: dict[str, Callable[[], str]] = {
        'slopes': lambda: _slope_table(measured),
        'roles': lambda: _role_table(slopes),
        'budget': lambda: _budget_table(slopes, within=True),
        'beyond': lambda: _budget_table(slopes, within=False),
        'breaks': lambda: _limit_table(slopes),
        'appends': lambda: _append_table(slopes),
        'bad-day': lambda: _fact_table(
            capacity_budget.failure_figures(slopes)
        ),
        'regions': lambda: _region_table(measured, slopes),
        'growth': lambda: _fact_table(capacity_budget.growth(slopes)),
        'replacements': lambda: _fact_table(
            capacity_budget.replacements(slopes)
        ),
        'fleet': lambda: _fact_table(capacity_budget.assumptions()),
    }
    return {name: render() for name, render in renderers.items()}


def round_up(value: float) -> str:
    """Return a number to two significant digits, rounded up."""
    if value <= 0:
        return '0'
    if math.isinf(value):
        return 'no bound'
    step = 10 ** (math.floor(math.log10(value)) - 1)
    rounded = math.ceil(round(value / step, 6)) * step
    return f'{rounded:,.0f}' if step >= 1 else f'{rounded:.2g}'


def round_down(value: float) -> str:
    """Return a number to two significant digits, rounded down."""
    if value <= 0:
        return '0'
    if math.isinf(value):
        return 'none'
    step = 10 ** (math.floor(math.log10(value)) - 1)
    rounded = math.floor(round(value / step, 6)) * step
    return f'{rounded:,.0f}' if step >= 1 else f'{rounded:.2g}'


def table(heads: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Return a table in Markdown."""
    heads = list(heads)
    lines = [heads, ['---'] * len(heads), *rows]
    return ''.join(f'| {" | ".join(line)} |\n' for line in lines)


def _slope_table(measured: Measured) -> str:
    rows = []
    for item in measured.series:
        if len(item.points) < fits.MIN_SIZES:
            continue
        line = fits.fit(item)
        sizes = [point.size for point in item.points]
        rows.append(
            [
                f'`{item.name}`',
                f'{item.value_unit} by {item.size_unit}',
                f'{min(sizes):,.0f} to {max(sizes):,.0f} ({len(sizes)})',
                f'{line.slope:.3g}',
                f'{line.intercept:.3g}',
                f'{line.spread * 100:.1f} %',
            ]
        )
    heads = ('series', 'what', 'sizes', 'slope', 'intercept', 'spread')
    return table(heads, rows)


def _role_table(slopes: capacity_budget.Slopes) -> str:
    return table(
        (
            'role',
            'state, bytes',
            'messages, bytes/s',
            'CPU, ms/s',
            'carried by',
        ),
        (
            [
                role.name,
                _format_figure(role.state_bytes),
                _format_figure(role.bytes_per_s),
                _format_figure(role.cpu_ms_per_s),
                role.mechanism,
            ]
            for role in capacity_budget.roles(slopes)
        ),
    )


def _format_figure(value: float | None) -> str:
    if value is None:
        return 'not built'
    return 'not measured' if math.isnan(value) else round_up(value)


def _budget_table(slopes: capacity_budget.Slopes, *, within: bool) -> str:
    lines = sorted(
        capacity_budget.lines(slopes), key=lambda line: -line.budget_share
    )
    rows = [
        [
            line.label,
            line.formula,
            round_up(line.value),
            f'{line.budget:,.0f} {line.unit}',
            round_up(line.budget_share),
        ]
        for line in lines
        if (line.budget_share <= 1) == within
    ]
    heads = ('what', 'sum', 'at the target', 'budget', 'part of it')
    return table(heads, rows)


def _limit_table(slopes: capacity_budget.Slopes) -> str:
    rows = [
        [
            line.label,
            f'{round_down(line.max_size)} {line.max_size_unit}',
            line.replacement,
        ]
        for line in sorted(
            capacity_budget.lines(slopes), key=lambda line: -line.budget_share
        )
        if line.budget_share > 1
    ]
    return table(('what', 'within the budget up to', 'what replaces it'), rows)


def _append_table(slopes: capacity_budget.Slopes) -> str:
    return table(
        ('kind of record', 'sum', 'appends/s', 'part of the limit'),
        (
            [
                item.kind,
                item.formula,
                round_up(item.per_s),
                round_up(item.share),
            ]
            for item in capacity_budget.appends(slopes)
        ),
    )


def _fact_table(facts: Iterable[capacity_budget.Fact]) -> str:
    return table(
        ('what', 'sum', 'figure'),
        (
            [fact.label, fact.formula, f'{round_up(fact.value)} {fact.unit}']
            for fact in facts
        ),
    )


def _region_table(measured: Measured, slopes: capacity_budget.Slopes) -> str:
    rows = []
    for placement in capacity_budget.PLACEMENTS:
        for user in capacity_regions.USERS:
            request_bytes = capacity_budget.cross_region_bytes(
                measured.stages, user, placement
            )
            target_request_bytes = (
                capacity_budget.cross_region_bytes_at_target(
                    measured.stages, user, placement, slopes
                )
            )
            rows.append(
                [
                    placement.name,
                    user,
                    round_up(request_bytes),
                    _requests_per_s(request_bytes),
                    round_up(target_request_bytes),
                    _requests_per_s(target_request_bytes),
                ]
            )
    heads = (
        'stages in the other region',
        'samples of',
        'bytes/request',
        'requests/s on the link',
        'bytes/request, tokens of the target',
        'requests/s on the link, tokens of the target',
    )
    return table(heads, rows)


def _requests_per_s(bytes_: float) -> str:
    if not bytes_:
        return 'no bound'
    return round_down(capacity_budget.LINK_BYTES_PER_S / bytes_)
