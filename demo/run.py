"""Runs the sites of both sample users under load and injects faults.

Kills one instance, drains another and prints a report. Exits with 1 when
any guarantee was violated.
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
    """Return the requests sent to a user's site, and the violations."""
    shift, port_lock = sites.reserve_port_shift(user)
    site = sites.Site(user, folder / user, shift)
    generator = random.Random(SEED)
    try:
        await site.start(INSTANCES)
        balancer = load.Balancer([site.callers_address(i) for i in INSTANCES])
        probes = asyncio.create_task(balancer.probe_forever())
        faults = asyncio.create_task(inject_faults(site))
        requests = load.generate_requests(user, site.entries, generator)
        sent = await load.send_requests(
            balancer, requests, RATE_PER_S, DURATION_S, generator
        )
        exit_code = await faults
        probes.cancel()
        runs = await site.action_runs()
        violations = verification.violations(site.entries, sent, runs)
        if exit_code != 0:
            violations.append(f'the drained instance exited with {exit_code}')
        return sent, violations
    finally:
        await site.stop()
        port_lock.close()


async def inject_faults(site: sites.Site) -> int:
    """Kill and restart an instance, then drain another.

    Return the exit code of the drained instance.
    """
    await asyncio.sleep(DURATION_S * 0.25)
    site.instances[KILLED].signal(signal.SIGKILL)
    await site.instances[KILLED].wait()
    await asyncio.sleep(DURATION_S * 0.15)
    await site.start_instance(KILLED)
    await site.wait_ready(KILLED)
    await asyncio.sleep(DURATION_S * 0.1)
    site.instances[DRAINED].signal(signal.SIGTERM)
    return await site.instances[DRAINED].wait()


def report(user: str, requests: list[verification.CallerRequest]) -> list[str]:
    """Return the lines of the table of one user's requests."""
    lines = [
        f'{user:<20}{"sent":>6}{"in time":>9}{"not run":>9}{"other":>7}'
        f'{"retried":>9}{"p50 ms":>8}{"region B":>10}  cost by stage'
    ]
    for name in sorted({request.pipeline for request in requests}):
        lines.append(
            _report_line(name, [r for r in requests if r.pipeline == name])
        )
    return lines


def _report_line(name: str, requests: list[verification.CallerRequest]) -> str:
    in_time = [request for request in requests if request.in_deadline]
    not_run = [request for request in requests if request.outcome == 'not_run']
    other = len(requests) - len(in_time) - len(not_run)
    retried = sum(request.tries > 1 for request in requests)
    durations_ms = sorted(request.took_ms for request in requests)
    usages = [
        request.answer['usage'] for request in requests if request.answer
    ]
    region_bytes = sum(usage['region_bytes'] for usage in usages)
    costs: dict[str, float] = {}
    for usage in usages:
        for stage, cost in usage['stage_cost'].items():
            costs[stage] = costs.get(stage, 0.0) + cost
    cost_text = ' '.join(f'{stage}={costs[stage]:.1f}' for stage in costs)
    return (
        f'{name:<20}{len(requests):>6}{len(in_time):>9}{len(not_run):>9}'
        f'{other:>7}{retried:>9}{durations_ms[len(durations_ms) // 2]:>8.0f}'
        f'{region_bytes:>10}  {cost_text}'
    )


async def main() -> int:
    """Run the demonstration and return the exit code."""
    with tempfile.TemporaryDirectory(prefix='sycamorebeam-') as folder:
        path = pathlib.Path(folder)
        results = await asyncio.gather(
            *(run_site(user, path) for user in USERS)
        )
    violations = []
    for user, (requests, faults) in zip(USERS, results, strict=True):
        print('\n'.join(report(user, requests)), end='\n\n')
        violations.extend(faults)
    print(f'instance {KILLED} killed and started again, {DRAINED} drained')
    print(f'violated guarantees: {len(violations)}')
    print('\n'.join(violations))
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
