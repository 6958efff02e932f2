"""Measures what one instance adds to a request over a direct call."""

import asyncio
import os
import pathlib
from typing import Any
import uuid

import attrs

from tools import measure_load
from tools import measure_site

ROUND_S = 0.8
WARM_UP_S = 0.3
IDLE_S = 2.0
PROMPT = 'What happened at Nitra-2 in the night shift?'
JSON = {'Content-Type': 'application/json'}
DIRECT_PATHS = {'service': '/v1/calls', 'engine': '/v1/generate'}
END_MARKS = {'service': b'"output"', 'engine': b'event: end\n'}
RESULT_MARKS = {'service': b'"output"', 'engine': b'event: result\n'}


@attrs.frozen(kw_only=True)
class Cell:
    """One row: the same calls sent directly and through the instance."""

    group: str
    in_flight: int
    direct: measure_load.Sample
    instance: measure_load.Sample


@attrs.frozen(kw_only=True)
class RequestCosts:
    """All rows, and the share of a core that the idle instance uses."""

    cells: tuple[Cell, ...]
    idle_share: float


async def measure(
    directory: pathlib.Path,
    launch_arguments: list[str],
    groups: tuple[str, ...],
    round_s: float = ROUND_S,
) -> RequestCosts:
    """Start the processes, measure every group, and stop the processes.

    ``launch_arguments`` are the interpreter's arguments that start the
    instance.
    """
    site = measure_site.MeasuredSite(directory, launch_arguments)
    try:
        await site.start()
        async with measure_load.new_session() as session:
            load = measure_load.Load(session)
            cells = [
                await _measure_cell(site, load, group, count, round_s)
                for group in measure_site.GROUPS
                if group.name in groups
                for count in group.in_flight
            ]
        return RequestCosts(
            cells=tuple(cells), idle_share=await _idle_share(site)
        )
    finally:
        await site.stop()


async def _measure_cell(
    site: measure_site.MeasuredSite,
    load: measure_load.Load,
    group: measure_site.Group,
    in_flight: int,
    round_s: float,
) -> Cell:
    """Alternate direct and proxied rounds, so that drift affects both."""
    direct = _direct_endpoint(site, group)
    through_instance = _instance_endpoint(group)
    totals = (measure_load.Sample(), measure_load.Sample())
    for endpoint in (direct, through_instance):
        await load.run(endpoint, in_flight, WARM_UP_S, os.getpid())
    for _ in range(group.rounds):
        for total, endpoint in zip(
            totals, (direct, through_instance), strict=True
        ):
            pid = site.instance_pid
            total.add(await load.run(endpoint, in_flight, round_s, pid))
    return Cell(
        group=group.name,
        in_flight=in_flight,
        direct=totals[0],
        instance=totals[1],
    )


def _direct_endpoint(
    site: measure_site.MeasuredSite, group: measure_site.Group
) -> measure_load.Endpoint:
    path = DIRECT_PATHS[group.kind]

    def body(number: int) -> dict[str, Any]:
        call = {'id': uuid.uuid4().hex}
        if group.kind == 'engine':
            limits = {'max_tokens': measure_site.MAX_TOKENS}
            return {**call, 'prompt': _prompt(number), **limits}
        content = {'text': _prompt(number)}
        return {**call, 'operation': group.operation, 'input': content}

    return measure_load.Endpoint(
        urls=tuple(
            f'http://{address}{path}' for address in site.addresses(group.name)
        ),
        headers=JSON,
        body=body,
        end_mark=END_MARKS[group.kind],
        spread_s=group.work_ms / 1_000,
    )


def _instance_endpoint(group: measure_site.Group) -> measure_load.Endpoint:
    headers = {**JSON, 'Authorization': f'Bearer {measure_site.TOKEN}'}
    if group.kind == 'engine':
        headers['Accept'] = 'text/event-stream'
    path = f'/v1/pipelines/{group.name}/requests'
    return measure_load.Endpoint(
        urls=(f'http://{measure_site.CALLERS}{path}',),
        headers=headers,
        body=lambda number: {'input': {'text': _prompt(number)}},
        end_mark=RESULT_MARKS[group.kind],
        spread_s=group.work_ms / 1_000,
    )


def _prompt(number: int) -> str:
    return f'{PROMPT} ({number})'


async def _idle_share(site: measure_site.MeasuredSite) -> float:
    pid = site.instance_pid
    before_s = measure_load.cpu_s(pid)
    await asyncio.sleep(IDLE_S)
    return (measure_load.cpu_s(pid) - before_s) / IDLE_S
