"""Measures the program and writes ``docs/MEASUREMENTS.md``.

``--quick`` measures only requests and prints the tables instead of writing
them; ``--profile FILE`` does the same with the instance under cProfile.
"""

import json
import pathlib
import tempfile
from typing import Annotated

import typer
import uvloop

from tools import measure_fleet
from tools import measure_policy
from tools import measure_report
from tools import measure_requests
from tools import measure_site
from tools import measure_start

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'MEASUREMENTS.md'
OUTPUT_DIR = ROOT / 'out'
PLAIN_LAUNCH_ARGUMENTS = ['-m', 'sycamorebeam']
GROUPS = tuple(group.name for group in measure_site.GROUPS)


async def measure_requests_only(
    groups: tuple[str, ...], launch_arguments: list[str], round_s: float
) -> measure_requests.RequestCosts:
    """Measure the requests of ``groups``."""
    with tempfile.TemporaryDirectory(prefix='sycamorebeam-') as directory:
        return await measure_requests.measure(
            pathlib.Path(directory), launch_arguments, groups, round_s=round_s
        )


async def measure_fleets() -> list[measure_fleet.ChangeTimes]:
    """Measure the time until changes are in force, by fleet size."""
    with tempfile.TemporaryDirectory(prefix='sycamorebeam-') as directory:
        return await measure_fleet.measure(pathlib.Path(directory))


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
    launch_arguments = PLAIN_LAUNCH_ARGUMENTS
    if profile is not None:
        launch_arguments = [
            '-m',
            'tools.profile_instance',
            str(profile.absolute()),
        ]
    groups = tuple(group or GROUPS)
    costs = uvloop.run(
        measure_requests_only(groups, launch_arguments, round_s)
    )
    print(measure_report.requests(costs))
    if not quick and profile is None:
        measure_other_sections(costs)


def measure_other_sections(costs: measure_requests.RequestCosts) -> None:
    """Measure all but requests; write the page and the JSON file."""
    decisions = measure_policy.measure()
    fleet = uvloop.run(measure_fleets())
    start = measure_start.measure()
    sections = {
        'requests': measure_report.requests(costs),
        'decisions': measure_report.table(
            measure_report.DECISION_HEADS, measure_policy.rows(decisions)
        ),
        'fleet': measure_report.table(
            measure_report.FLEET_HEADS, measure_fleet.rows(fleet)
        ),
        'start': measure_report.table(
            measure_report.START_HEADS, measure_start.rows(start)
        ),
    }
    document = {
        'requests': measure_report.requests_document(costs),
        'decisions': measure_policy.document(decisions),
        'fleet': measure_fleet.document(fleet),
        'start': measure_start.document(start),
    }
    OUTPUT_DIR.mkdir(exist_ok=True)
    (OUTPUT_DIR / 'measurements.json').write_text(
        json.dumps(document, indent=2)
    )
    measure_report.write(PAGE, sections)
    print(PAGE.read_text())


if __name__ == '__main__':
    typer.run(main)
