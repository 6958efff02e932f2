"""Runs both users' sites, kills and drains instances under load, reports.

Exits with 1 when any promise was broken.
"""

import asyncio
import pathlib
import random
import signal
import sys
import tempfile

from demo import load
from demo import sites
from demo import verification

INSTANCES = [1, 2, 3]
KILLED = 1
DRAINED = 2
RATE_PER_S = 15.0
DURATION_S = 16.0
SEED = 7
USERS = ('kovacik', 'cedarline')


async def run_site(
    user: str, folder: pathlib.Path
) -> tuple[list[verification.CallerRequest], list[str]]:
    """Return the requests sent to a user's site, and broken promises."""
    shift, guard = sites.reserve_port_shift(user)
    site = sites.Site(user, folder / user, shift)
    generator = random.Random(SEED)
    try:
        await site.start(INSTANCES)
        balancer = load.Balancer([site.callers_address(i) for i in INSTANCES])
        probes = asyncio.create_task(balancer.probe_forever())
        faults = asyncio.create_task(disturb(site))
        rows = load.generate_requests(user, site.entries, generator)
        sent = await load.send_requests(
            balancer, rows, RATE_PER_S, DURATION_S, generator
        )
        exit_code = await faults
        probes.cancel()
        runs = await site.action_runs()
        broken = verification.violations(site.entries, sent, runs)
        if exit_code != 0:
            broken.append(f'the drained instance ended with {exit_code}')
        return sent, broken
    finally:
        await site.stop()
        guard.close()


async def disturb(site: sites.Site) -> int:
    """Kill one instance, bring it back, drain another; return its exit."""
    await asyncio.sleep(DURATION_S * 0.25)
    site.instances[KILLED].signal(signal.SIGKILL)
    await site.instances[KILLED].wait()
    await asyncio.sleep(DURATION_S * 0.15)
    await site.start_instance(KILLED)
    await site.wait_ready(KILLED)
    await asyncio.sleep(DURATION_S * 0.1)
    site.instances[DRAINED].signal(signal.SIGTERM)
    return await site.instances[DRAINED].wait()


def report(user: str, rows: list[verification.CallerRequest]) -> list[str]:
    """Return the table of one user's requests."""
    lines = [
        f'{user:<20}{"sent":>6}{"in time":>9}{"not run":>9}{"other":>7}'
        f'{"retried":>9}{"p50 ms":>8}{"region B":>10}  cost by stage'
    ]
    for name in sorted({row.pipeline for row in rows}):
        lines.append(_line(name, [r for r in rows if r.pipeline == name]))
    return lines


def _line(name: str, rows: list[verification.CallerRequest]) -> str:
    in_time = [row for row in rows if row.in_deadline]
    not_run = [row for row in rows if row.outcome == 'not_run']
    other = len(rows) - len(in_time) - len(not_run)
    retried = sum(row.tries > 1 for row in rows)
    took = sorted(row.took_ms for row in rows)
    usages = [row.answer['usage'] for row in rows if row.answer]
    crossed = sum(usage['region_bytes'] for usage in usages)
    costs: dict[str, float] = {}
    for usage in usages:
        for stage, cost in usage['stage_cost'].items():
            costs[stage] = costs.get(stage, 0.0) + cost
    shown = ' '.join(f'{stage}={costs[stage]:.1f}' for stage in costs)
    return (
        f'{name:<20}{len(rows):>6}{len(in_time):>9}{len(not_run):>9}'
        f'{other:>7}{retried:>9}{took[len(took) // 2]:>8.0f}'
        f'{crossed:>10}  {shown}'
    )


async def main() -> int:
    """Run the demonstration and return the exit code."""
    with tempfile.TemporaryDirectory(prefix='sycamorebeam-') as folder:
        path = pathlib.Path(folder)
        results = await asyncio.gather(
            *(run_site(user, path) for user in USERS)
        )
    broken = []
    for user, (rows, faults) in zip(USERS, results, strict=True):
        print('\n'.join(report(user, rows)), end='\n\n')
        broken.extend(faults)
    print(f'instance {KILLED} killed and started again, {DRAINED} drained')
    print(f'broken promises: {len(broken)}')
    print('\n'.join(broken))
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
