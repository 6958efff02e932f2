"""Measures the program and writes ``docs/MEASUREMENTS.md``.

``--quick`` measures the requests only, and prints instead of writing;
``--profile FILE`` runs the instance under cProfile as well.
"""

import json
import pathlib
import tempfile
from typing import Annotated

import typer
import uvloop

from tools import measure_report
from tools import measure_requests
from tools import measure_site

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'MEASUREMENTS.md'
OUT = ROOT / 'out'
PLAIN_WRAPPER = ['-m', 'sycamorebeam']
GROUPS = tuple(group.name for group in measure_site.GROUPS)


async def measure_requests_only(
    groups: tuple[str, ...], wrapper: list[str], round_s: float
) -> measure_requests.RequestCosts:
    """Return what requests of ``groups`` cost."""
    with tempfile.TemporaryDirectory(prefix='sycamorebeam-') as folder:
        return await measure_requests.measure(
            pathlib.Path(folder), wrapper, groups, round_s=round_s
        )


def main(
    quick: Annotated[
        bool, typer.Option(help='Requests only, printed.')
    ] = False,
    group: Annotated[
        list[str] | None, typer.Option(help='Only these groups.')
    ] = None,
    profile: Annotated[
        pathlib.Path | None, typer.Option(help='Where the profile goes.')
    ] = None,
    round_s: Annotated[
        float, typer.Option(help='How long each round takes.')
    ] = measure_requests.ROUND_S,
) -> None:
    """Measure, and write the page and a JSON file."""
    wrapper = PLAIN_WRAPPER
    if profile is not None:
        wrapper = ['-m', 'tools.profile_instance', str(profile.absolute())]
    groups = tuple(group or GROUPS)
    costs = uvloop.run(measure_requests_only(groups, wrapper, round_s))
    sections = {'requests': measure_report.requests(costs)}
    for table in sections.values():
        print(table)
    if quick or profile:
        return
    OUT.mkdir(exist_ok=True)
    document = {'requests': measure_report.requests_document(costs)}
    (OUT / 'measurements.json').write_text(json.dumps(document, indent=2))
    measure_report.write(PAGE, sections)


if __name__ == '__main__':
    typer.run(main)
