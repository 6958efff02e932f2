"""Shows, from the logs of instances, the load of each stage service by second.

Reads the lines of ``stage_called`` events, whatever precedes their fields,
and prints the capacity that calls used against that of full calls.
"""

from collections import defaultdict
from collections.abc import Iterable
import pathlib
import re
import sys
from typing import Annotated

import attrs
import typer

FIELD = re.compile(r'(\w+)=(\S+)')
EVENT = 'event=stage_called'
# The first number in a line is its time in seconds; others begin with a date.
TIME = re.compile(r'\s*(-?\d+\.\d+)\s')


@attrs.define
class Second:
    """The calls to one service that ended within one second.

    ``most_waiting`` is the largest number of items that waited at once, and
    ``busy_ms`` the sum of the durations of calls.
    """

    calls: int = 0
    items: int = 0
    busy_ms: int = 0
    most_waiting: int = 0
    targets: set[str] = attrs.field(factory=set)

    def add(self, fields: dict[str, str]) -> None:
        """Add one call."""
        self.calls += 1
        self.items += int(fields['items'])
        self.busy_ms += int(fields['took_ms'])
        self.most_waiting = max(self.most_waiting, int(fields['waiting']))
        self.targets.add(fields['target'])


@attrs.define
class Service:
    """The seconds of one service, and the most items in one call of it."""

    seconds: dict[int, Second] = attrs.field(
        factory=lambda: defaultdict(Second)
    )
    max_items: int = 1


def read(lines: Iterable[str]) -> dict[str, Service]:
    """Return the services in a log by name; lines without a time are skipped.

    Raises ValueError and KeyError for an event without its fields.
    """
    services: dict[str, Service] = defaultdict(Service)
    for line in lines:
        time = TIME.match(line)
        if EVENT not in line or time is None:
            continue
        fields = dict(FIELD.findall(line))
        service = services[fields['service']]
        service.seconds[int(float(time[1]))].add(fields)
        service.max_items = max(service.max_items, int(fields['items']))
    return services


def table(name: str, service: Service) -> list[str]:
    """Return a Markdown table of a service, one row for each second."""
    lines = [
        f'`{name}`, at most {service.max_items} items in a call',
        '',
        '| second | replicas | calls | items | places filled | busy '
        '| most waiting |',
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    for at_s, second in sorted(service.seconds.items()):
        filled = second.items / (second.calls * service.max_items)
        busy = second.busy_ms / (1_000 * len(second.targets))
        lines.append(
            f'| {at_s} | {len(second.targets)} | {second.calls} '
            f'| {second.items} | {filled:.2f} | {busy:.2f} '
            f'| {second.most_waiting} |'
        )
    return lines


def main(
    log: Annotated[pathlib.Path, typer.Argument(help='Logs of instances.')],
) -> None:
    """Print the load of each stage service by second."""
    with log.open(errors='replace') as lines:
        services = read(lines)
    if not services:
        print('no stage was called in this log', file=sys.stderr)
        raise typer.Exit(1)
    for name, service in services.items():
        print('\n'.join([*table(name, service), '']))


if __name__ == '__main__':
    typer.run(main)
