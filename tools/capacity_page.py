"""The generated tables of ``docs/CAPACITY.md``."""

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
    """What one run of the measurements found."""

    machine: dict[str, Any]
    series: tuple[fits.Series, ...]
    stages: tuple[capacity_regions.StageBytes, ...]

    def slopes(self) -> capacity_budget.Slopes:
        """Return the line of each series of several sizes."""
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


def parts(measured: Measured) -> dict[str, str]:
    """Return the generated parts of the page by name."""
    slopes = measured.slopes()
    makers: dict[str, Callable[[], str]] = {
        'slopes': lambda: _slopes(measured),
        'roles': lambda: _roles(slopes),
        'budget': lambda: _budget(slopes, within=True),
        'beyond': lambda: _budget(slopes, within=False),
        'breaks': lambda: _breaks(slopes),
        'appends': lambda: _appends(slopes),
        'bad-day': lambda: _facts(capacity_budget.bad_day(slopes)),
        'regions': lambda: _regions(measured, slopes),
        'growth': lambda: _facts(capacity_budget.growth(slopes)),
        'replacements': lambda: _facts(capacity_budget.replacements(slopes)),
        'fleet': lambda: _facts(capacity_budget.assumptions()),
    }
    return {name: make() for name, make in makers.items()}


def up(value: float) -> str:
    """Return a number to two digits, rounded up."""
    if value <= 0:
        return '0'
    if math.isinf(value):
        return 'no bound'
    step = 10 ** (math.floor(math.log10(value)) - 1)
    rounded = math.ceil(round(value / step, 6)) * step
    return f'{rounded:,.0f}' if step >= 1 else f'{rounded:.2g}'


def down(value: float) -> str:
    """Return a number to two digits, rounded down."""
    if value <= 0:
        return '0'
    if math.isinf(value):
        return 'none'
    step = 10 ** (math.floor(math.log10(value)) - 1)
    rounded = math.floor(round(value / step, 6)) * step
    return f'{rounded:,.0f}' if step >= 1 else f'{rounded:.2g}'


def table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Return a table in Markdown."""
    head = list(head)
    lines = [head, ['---'] * len(head), *rows]
    return ''.join(f'| {" | ".join(line)} |\n' for line in lines)


def _slopes(measured: Measured) -> str:
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
    head = ('series', 'what', 'sizes', 'slope', 'intercept', 'spread')
    return table(head, rows)


def _roles(slopes: capacity_budget.Slopes) -> str:
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
                _figure(role.state_bytes),
                _figure(role.bytes_per_s),
                _figure(role.cpu_ms_per_s),
                role.mechanism,
            ]
            for role in capacity_budget.roles(slopes)
        ),
    )


def _figure(value: float | None) -> str:
    if value is None:
        return 'not built'
    return 'not measured' if math.isnan(value) else up(value)


def _budget(slopes: capacity_budget.Slopes, *, within: bool) -> str:
    lines = sorted(
        capacity_budget.lines(slopes), key=lambda line: -line.factor
    )
    rows = [
        [
            line.what,
            line.sum,
            up(line.value),
            f'{line.budget:,.0f} {line.unit}',
            up(line.factor),
        ]
        for line in lines
        if (line.factor <= 1) == within
    ]
    head = ('what', 'sum', 'at the target', 'budget', 'part of it')
    return table(head, rows)


def _breaks(slopes: capacity_budget.Slopes) -> str:
    rows = [
        [line.what, f'{down(line.breaks_at)} {line.breaks_unit}', line.answer]
        for line in sorted(
            capacity_budget.lines(slopes), key=lambda line: -line.factor
        )
        if line.factor > 1
    ]
    return table(('what', 'within the budget up to', 'what replaces it'), rows)


def _appends(slopes: capacity_budget.Slopes) -> str:
    return table(
        ('kind of record', 'sum', 'appends/s', 'part of the limit'),
        (
            [item.kind, item.sum, up(item.per_s), up(item.share)]
            for item in capacity_budget.appends(slopes)
        ),
    )


def _facts(facts: Iterable[capacity_budget.Fact]) -> str:
    return table(
        ('what', 'sum', 'figure'),
        (
            [fact.what, fact.sum, f'{up(fact.value)} {fact.unit}']
            for fact in facts
        ),
    )


def _regions(measured: Measured, slopes: capacity_budget.Slopes) -> str:
    rows = []
    for placement in capacity_budget.PLACEMENTS:
        for user in capacity_regions.USERS:
            found = capacity_budget.crossing(measured.stages, user, placement)
            target = capacity_budget.at_target_tokens(
                measured.stages, user, placement, slopes
            )
            rows.append(
                [
                    placement.name,
                    user,
                    up(found),
                    _per_s(found),
                    up(target),
                    _per_s(target),
                ]
            )
    head = (
        'stages in the other region',
        'samples of',
        'bytes/request',
        'requests/s on the link',
        'bytes/request, tokens of the target',
        'requests/s on the link, tokens of the target',
    )
    return table(head, rows)


def _per_s(bytes_: float) -> str:
    if not bytes_:
        return 'no bound'
    return down(capacity_budget.LINK_BYTES_PER_S / bytes_)
