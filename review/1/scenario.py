"""Two of three replicas send answers that have no end."""

import asyncio
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

MACHINES = 1
TIMEOUT_MS = 2_000
LATE_S = 0.5  # the rule: after the route's timeout
DEADLINE_MS = 5_000
RUN_S = 0.09
LENGTH_S = 20.0
# A machine's requests a second to the service with the faulty replicas, and
# to another service, which has none.
COMMANDS_PER_S = 12.5
READS_PER_S = 5.0
REPLICAS = 3
FAULTY_REPLICAS = 2
# Of each faulty replica; the machine's link has 125,000,000.
BYTES_PER_S = 50_000_000
MIN_UNANSWERED = 8


class Clients:
    """Clients that measure how long their answers take."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0
        # Route, status or error, and duration of each request.
        self.ends: list[tuple[str, str, float]] = []

    async def send(self, edge: standins.Instance, route: str) -> None:
        """Send requests on a route at its rate, and wait for all answers."""
        per_s = COMMANDS_PER_S if route == 'command' else READS_PER_S
        until_s = time.monotonic() + LENGTH_S
        while time.monotonic() < until_s:
            task = asyncio.create_task(self._ask(edge, route))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*self._tasks)

    async def _ask(self, edge: standins.Instance, route: str) -> None:
        self._number += 1
        began_s = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                client = await standins.Client.connect(edge.callers)
                try:
                    head, _ = await client.ask(
                        f'GET /{route}/x',
                        {
                            'Host': 'front.example',
                            'X-Credential': 'key-1',
                            'X-Deadline-Ms': str(DEADLINE_MS),
                            'X-Attempt-Id': f'{route}-{self._number}',
                        },
                    )
                finally:
                    client.writer.transport.abort()
            end = str(head.status)
        except TimeoutError:
            end = 'no answer'
        except (OSError, asyncio.IncompleteReadError):
            end = 'closed'
        self.ends.append((route, end, time.monotonic() - began_s))


def publish(store: standins.Store) -> None:
    """Write the desired state: two services with a route each."""
    services = [
        {
            'name': name,
            'health_check_path': '/healthz',
            'connection_limit': 96,
        }
        for name in ('station-control', 'readings')
    ]
    routes = [
        standins.route('command', timeout_ms=TIMEOUT_MS),
        standins.route('read', service='readings', timeout_ms=TIMEOUT_MS),
    ]
    store.put(
        'keyed.op', 'config', standins.desired_state(1, routes, services)
    )


async def run_request(
    head: standins.Head, body: bytes, writer: asyncio.StreamWriter
) -> None:
    """Run a request at a sound replica."""
    await asyncio.sleep(RUN_S)
    attempt_id = head.get('x-attempt-id')
    headers = {'X-Attempt-Id': attempt_id, 'X-Server-Signature': attempt_id}
    writer.write(standins.encode_answer('200 OK', b'.' * 800, headers))


def start_endless(
    store: standins.Store, number: int
) -> subprocess.Popen[bytes]:
    """Start and announce a replica whose answers have no end."""
    address = standins.free_addresses(1)[0]
    port = address.partition(':')[2]
    program = pathlib.Path(__file__).resolve().parent / 'endless_replica.py'
    process = standins.start_process(
        ['python3', str(program), port, str(BYTES_PER_S)]
    )
    store.put(
        'keyed.servers',
        f'i-endless-{number}',
        standins.target_entry('station-control', address, 1, 1),
    )
    return process


async def scenario(record: standins.Record, folder: pathlib.Path) -> None:
    """Run the case."""
    store = standins.Store()
    await store.server.start()
    publish(store)
    faulty_count = FAULTY_REPLICAS if standins.has_trouble() else 0
    names = ['station-control'] * (REPLICAS - faulty_count)
    names += ['readings'] * REPLICAS
    replicas = [
        standins.Replica(store, f'i-{number}', name, run_request)
        for number, name in enumerate(names)
    ]
    edges = [
        standins.Instance(folder, f'edge-{number}', store.server.address)
        for number in range(MACHINES)
    ]
    clients = Clients()
    faulty: list[subprocess.Popen[bytes]] = []
    try:
        for replica in replicas:
            await replica.start()
        for number in range(faulty_count):
            faulty.append(start_endless(store, number))
        for edge in edges:
            edge.start()
        for edge in edges:
            await edge.wait_ready()
        record.write('traffic begins')
        await asyncio.gather(
            *(
                clients.send(edge, route)
                for edge in edges
                for route in ('command', 'read')
            )
        )
    finally:
        for process in faulty:
            process.kill()
            process.wait()
        for edge in edges:
            edge.stop()
        for replica in replicas:
            replica.stop()
        store.server.stop()
    report(record, clients)


def report(record: standins.Record, clients: Clients) -> None:
    """Judge the run."""
    timeout_s = TIMEOUT_MS / 1000
    for route in ('command', 'read'):
        took_s = sorted(s for name, _, s in clients.ends if name == route)
        counts: dict[str, int] = {}
        for name, end, _ in clients.ends:
            if name == route:
                counts[end] = counts.get(end, 0) + 1
        record.write(
            f'{route}: {counts}; median {took_s[len(took_s) // 2]:.2f} s, '
            f'longest {took_s[-1]:.2f} s'
        )
    unanswered = [s for _, _, s in clients.ends if s > timeout_s]
    late = [s for s in unanswered if s > timeout_s + LATE_S]
    record.write(
        f'{len(clients.ends)} requests, {len(unanswered)} unanswered at '
        f'their timeout, {len(late)} of these {LATE_S} s later'
    )
    if len(unanswered) >= MIN_UNANSWERED and 2 * len(late) > len(unanswered):
        record.break_rule(
            'more than half of the requests that were unanswered at their '
            f"route's timeout had no answer {LATE_S} s later"
        )


standins.main(scenario, __file__, 90)
