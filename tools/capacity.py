"""Measures the slopes of ``docs/CAPACITY.md`` and renders its tables.

Without an option it does both. The prose between the generated parts of the
page does not change.
"""

import json
import os
import pathlib
import platform
import re
from typing import Annotated
from typing import Any

import attrs
import typer

from tools import capacity_catalogue
from tools import capacity_claims
from tools import capacity_fleet
from tools import capacity_page
from tools import capacity_path
from tools import capacity_peers
from tools import capacity_regions
from tools import fits

ROOT = pathlib.Path(__file__).parents[1]
DATA = ROOT / 'docs' / 'capacity' / 'data.json'
PAGE = ROOT / 'docs' / 'CAPACITY.md'
GENERATED_PART = re.compile(
    r'(<!-- begin (?P<name>[a-z-]+) -->\n).*?(<!-- end (?P=name) -->)',
    re.DOTALL,
)


def measure() -> dict[str, Any]:
    """Measure everything; return the results as plain data for JSON."""
    series: list[fits.Series] = []
    for measure_series in (
        capacity_path.measure,
        capacity_catalogue.measure,
        capacity_claims.measure,
        capacity_fleet.measure,
        capacity_peers.measure,
    ):
        series += measure_series()
        print(f'measured {measure_series.__module__}', flush=True)
    stages, tokens = capacity_regions.measure()
    return {
        'machine': {
            'cores': os.cpu_count(),
            'python': platform.python_version(),
        },
        'series': [attrs.asdict(item) for item in [*series, tokens]],
        'stages': [attrs.asdict(item) for item in stages],
    }


def load_data(path: pathlib.Path = DATA) -> capacity_page.Measured:
    """Return the measurements of a file."""
    return fits.CONVERTER.structure(
        json.loads(path.read_text()), capacity_page.Measured
    )


def render(page: str, measured: capacity_page.Measured) -> str:
    """Return the page with each generated part replaced."""
    parts = capacity_page.render_parts(measured)

    def replace_part(match: re.Match[str]) -> str:
        return f'{match[1]}{parts[match["name"]]}{match[3]}'

    return GENERATED_PART.sub(replace_part, page)


def main(
    measure_only: Annotated[
        bool, typer.Option('--measure', help='Measure again only.')
    ] = False,
    render_only: Annotated[
        bool, typer.Option('--render', help='Render the page only.')
    ] = False,
) -> None:
    """Measure the slopes and render docs/CAPACITY.md."""
    if measure_only or not render_only:
        DATA.write_text(json.dumps(measure(), indent=1) + '\n')
    if render_only or not measure_only:
        PAGE.write_text(render(PAGE.read_text(), load_data()))


if __name__ == '__main__':
    typer.run(main)
