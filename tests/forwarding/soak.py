"""A randomized soak test: instance processes under injected faults.

``python -m tests.forwarding.soak SEED [SEED ...]`` runs the given seeds.
"""

import asyncio
import contextlib
import functools
import itertools
import random
import signal
import sys
import tempfile
import time

import attrs

from sycamorebeam.forwarding.cold_targets import listed_ranks
from tests.forwarding import processes
from tests.forwarding import standin
from tests.forwarding import test_forwarding
from tests.forwarding import windows

FAULT_PERIOD_S = 12.0
RECOVERY_S = 12.0  # the platform's limit for serving again after a fault
REVOCATION_S = 5.0  # the platform's limit for accepting revoked keys
DRAIN_S = 2.5  # the platform's limit for using a draining target
DRAINABLE = ('e0', 'p0', 'd0')  # each service has another target
LIMITABLE = DRAINABLE
LIMITS_PER_S = (0.5, 1.0, 3.0)
CALLERS = 6
READ_BYTES = 65_536
LINK_FAULTS = ('delay', 'silent', 'one_way', 'reset')
MAX_REWRITE_DELAY_S = 1.5  # operator and targets take less than 2 s
KEYS = ('k1', 'k2')
PACES = (50.0, 100.0, 200.0, 400.0)
BOUNDS = {'evacuation_ms': 5_000, 'cold_overshoot': 1.5, 'cold_tolerance': 5}
EVACUATION_S = BOUNDS['evacuation_ms'] / 1000
STORE_GRACE_S = 6.0  # allowed for evacuations after a store disturbance
COLD_PER_S = 30.0  # with the bounds, 50 requests in a second
MAX_COLD_REQUESTS = (
    COLD_PER_S * BOUNDS['cold_overshoot'] + BOUNDS['cold_tolerance']
)
BURST_PER_INSTANCE = 50  # requests sent at once when engines turn cold

start_process = functools.partial(processes.start, **BOUNDS)


class FaultProxy:
    """Forwards bytes between two addresses, with faults on demand."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.mode = 'pass'
        self.address = ''
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self):
        self._server.close()
        self.reset()

    def reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        host, port = self.upstream.split(':')
        try:
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, up_writer))
        await asyncio.gather(
            self._pump(reader, up_writer, is_answer=False),
            self._pump(up_reader, writer, is_answer=True),
        )
        self._writers.difference_update((writer, up_writer))

    async def _pump(self, reader, writer, is_answer):
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.mode == 'silent':
                    continue
                if self.mode == 'one_way' and is_answer:
                    continue
                if self.mode == 'delay':
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
            if self.mode in ('silent', 'one_way'):
                return
            writer.close()


@attrs.frozen
class Attempt:
    """One attempt of a caller and its response; status 0 if there is none."""

    name: str
    path: str
    key: str
    at_s: float
    status: int
    is_whole: bool
    body: bytes


class Soak:
    """Runs one seed and collects violations of the guarantees."""

    def __init__(self, seed):
        # Separate generators, so that a seed repeats its sequence of faults.
        self.caller_random = random.Random(f'{seed} callers')
        self.fault_random = random.Random(f'{seed} faults')
        self.zone_random = random.Random(f'{seed} zones')
        self.platform = standin.StandinPlatform()
        self.instances = []
        self.proxies = []
        self.attempts = []
        self.revoked_at_s = None
        self.draining_target = None
        self.reserved_indexes = set()
        self.store_disturbances = []  # begin and end of each, in seconds
        self.evacuations = []  # zone, begin and end of each
        self.problems = []
        self.log = []
        self._names = itertools.count(1)

    async def run(self):
        """Run the soak; return the violations."""
        with tempfile.TemporaryDirectory(prefix='soak-') as folder:
            try:
                await self._start(folder)
                callers = [
                    asyncio.create_task(self._call_forever())
                    for _ in range(CALLERS)
                ]
                # Two concurrent series, so that faults overlap.
                await asyncio.gather(
                    self._inject(folder),
                    self._inject(folder),
                    self._change_zones(),
                )
                self._heal()
                await self._check_recovery()
                await self._check_limit()
                await self._check_drained()
                await self._check_evacuation()
                for caller in callers:
                    caller.cancel()
                await asyncio.gather(*callers, return_exceptions=True)
            finally:
                for process in self.instances:
                    process.popen.kill()
                    process.popen.wait()
                for proxy in self.proxies:
                    proxy.stop()
                await self.platform.stop()
        self._check_answers()
        self._check_evacuated_targets()
        self._check_cold_targets()
        return self.problems

    async def _start(self, folder):
        await self.platform.start(
            [
                standin.StandinTarget('e0', 'engine'),
                standin.StandinTarget('e1', 'engine', zone='a2'),
                standin.StandinTarget('p0', 'plain'),
                standin.StandinTarget('p1', 'plain', zone='a2'),
                standin.StandinTarget('d0', 'desk'),
                standin.StandinTarget('d1', 'desk', zone='a2'),
            ]
        )
        for target in self.platform.targets:
            target.address = await self._proxy(target.address)
            self.platform.announce(target)
        self.platform.cold_per_s = COLD_PER_S
        self.platform.configure(1, list(KEYS))
        for number in range(3):
            store = await self._proxy(self.platform.store_address)
            ports = processes.free_ports(4)
            peers = f'127.0.0.1:{ports[processes.PEERS_PORT]}'
            self.platform.store.aliases[peers] = await self._proxy(peers)
            self.instances.append(
                start_process(folder, f'i{number}', store, ports)
            )
        for process in self.instances:
            await process.wait_ready()
        # Before that, instances have no share of the engines' rate limits.
        await asyncio.sleep(listed_ranks.START_MS / 1000)

    async def _proxy(self, address):
        proxy = FaultProxy(address)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    async def _call_forever(self):
        while True:
            process = self.caller_random.choice(self.instances)
            path = self.caller_random.choice(('/stream/x', '/plain/x'))
            await self._call(process, path, self.caller_random.choice(KEYS))
            await asyncio.sleep(self.caller_random.uniform(0.0, 0.1))

    async def _call(self, process, path, key):
        name = f'r{next(self._names)}'
        at_s = time.monotonic()
        try:
            async with asyncio.timeout(5):
                response = await processes.send(process, name, path, key)
        except (OSError, TimeoutError):
            response = test_forwarding.Response(0, {}, b'', False)
        attempt = Attempt(
            name,
            path,
            key,
            at_s,
            response.status,
            response.is_whole,
            response.body,
        )
        self.attempts.append(attempt)
        return attempt

    async def _inject(self, folder):
        end_s = time.monotonic() + FAULT_PERIOD_S
        while time.monotonic() < end_s:
            fault = self.fault_random.choice(
                (
                    self._fault_link,
                    self._fault_link,
                    self._pause,
                    self._kill,
                    self._terminate,
                    self._store_away,
                    self._store_back_from_copy,
                    self._revoke,
                    self._drain,
                    self._limit,
                )
            )
            self.log.append(fault.__name__)
            begin_s = time.monotonic()
            await fault(folder)
            if fault in (
                self._fault_link,
                self._pause,
                self._store_away,
                self._store_back_from_copy,
            ):
                self.store_disturbances.append((begin_s, time.monotonic()))
            await asyncio.sleep(self.fault_random.uniform(0.0, 1.0))

    def _heal(self):
        for proxy in self.proxies:
            proxy.mode = 'pass'
            proxy.reset()
        self.platform.store.is_unavailable = False

    async def _fault_link(self, folder):
        proxy = self.fault_random.choice(self.proxies)
        proxy.mode = self.fault_random.choice(LINK_FAULTS)
        if proxy.mode == 'reset':
            proxy.reset()
        await asyncio.sleep(self.fault_random.uniform(0.2, 2.0))
        proxy.mode = 'pass'

    @contextlib.contextmanager
    def _reserved(self):
        """Yield an instance's index, reserved against other process faults."""
        free = sorted(set(range(len(self.instances))) - self.reserved_indexes)
        index = self.fault_random.choice(free)
        self.reserved_indexes.add(index)
        try:
            yield index
        finally:
            self.reserved_indexes.remove(index)

    async def _pause(self, folder):
        with self._reserved() as index:
            process = self.instances[index]
            process.popen.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.fault_random.uniform(0.2, 3.0))
            process.popen.send_signal(signal.SIGCONT)

    async def _kill(self, folder):
        with self._reserved() as index:
            self.instances[index].popen.kill()
            self.instances[index].popen.wait()
            self._restart(folder, index)

    async def _terminate(self, folder):
        with self._reserved() as index:
            process = self.instances[index]
            # Before it serves, a process has nothing to finish and just ends.
            had_started = process.has_started()
            process.popen.send_signal(signal.SIGTERM)
            code = await process.wait_exit()
            if code != 0 and had_started:
                self.problems.append(f'{process.name} stopped with {code}')
            self._restart(folder, index)

    async def _drain(self, folder):
        if self.draining_target is None:
            name = self.fault_random.choice(DRAINABLE)
            self.draining_target = self._target(name)
            self.platform.announce(self.draining_target, 'draining')

    async def _limit(self, folder):
        """Set, change or end the limit of a target."""
        name = self.fault_random.choice(LIMITABLE)
        self._target(name).requests_per_s = self.fault_random.choice(
            (*LIMITS_PER_S, None)
        )

    def _target(self, name):
        return next(
            target
            for target in self.platform.targets
            if target.target_id == name
        )

    def _restart(self, folder, index):
        old = self.instances[index]
        self.instances[index] = start_process(
            folder, old.name, old.store_address, old.ports
        )

    async def _store_away(self, folder):
        self.platform.store.is_unavailable = True
        await asyncio.sleep(self.fault_random.uniform(0.2, 3.0))
        self.platform.store.is_unavailable = False

    async def _store_back_from_copy(self, folder):
        """Lose the last records; the operator and targets rewrite theirs."""
        store = self.platform.store
        store.is_unavailable = True
        await asyncio.sleep(self.fault_random.uniform(0.1, 1.0))
        lost = self.fault_random.randint(1, 4)
        store.restore_from_copy(
            {
                topic: max(0, len(records) - lost)
                for topic, records in store.topics.items()
            }
        )
        store.is_unavailable = False
        await asyncio.sleep(
            self.fault_random.uniform(0.1, MAX_REWRITE_DELAY_S)
        )
        store.rewrite_lost_records()

    async def _revoke(self, folder):
        if self.revoked_at_s is None:
            self.platform.configure(2, [KEYS[0]])
            self.revoked_at_s = time.monotonic()

    async def _change_zones(self):
        end_s = time.monotonic() + FAULT_PERIOD_S
        while time.monotonic() < end_s:
            change = self.zone_random.choice(
                (self._change_pace, self._evacuate, self._turn_cold)
            )
            self.log.append(change.__name__)
            await change()
            await asyncio.sleep(self.zone_random.uniform(0.0, 1.0))
        for target in self.platform.targets:
            target.pace = 100.0

    async def _change_pace(self):
        for target in self.platform.targets:
            target.pace = self.zone_random.choice(PACES)

    async def _evacuate(self):
        with self._evacuated(self.zone_random.choice(processes.ZONES)):
            await asyncio.sleep(self.zone_random.uniform(1.0, 7.0))

    @contextlib.contextmanager
    def _evacuated(self, zone):
        self.platform.store.put('keyed.op', f'evacuate/{zone}', {})
        begin_s = time.monotonic()
        yield
        self.evacuations.append((zone, begin_s, time.monotonic()))
        self.platform.store.put('keyed.op', f'evacuate/{zone}', None)

    async def _turn_cold(self):
        """Let engines turn cold during a burst of requests."""
        names = self.zone_random.choice((('e0',), ('e1',), ('e0', 'e1')))
        targets = [self._target(name) for name in names]
        for target in targets:
            target.turn_cold()
            self.platform.announce(target)
        burst = [
            self._call(process, '/stream/x', KEYS[0])
            for process in self.instances * BURST_PER_INSTANCE
        ]
        await asyncio.gather(asyncio.sleep(standin.COLD_START_S), *burst)
        for target in targets:
            self.platform.announce(target)

    async def _check_recovery(self):
        served = 0
        end_s = time.monotonic() + RECOVERY_S
        while served < 20 and time.monotonic() < end_s:
            process = self.caller_random.choice(self.instances)
            attempt = await self._call(process, '/stream/x', KEYS[0])
            served = served + 1 if attempt.status == 200 else 0
            await asyncio.sleep(0.02)
        if served < 20:
            self.problems.append('not serving within the recovery limit')

    async def _check_limit(self):
        """Check that all instances together keep to a target's limit."""
        target = self._target(self.caller_random.choice(LIMITABLE))
        target.requests_per_s = self.caller_random.choice(LIMITS_PER_S)
        await asyncio.sleep(windows.CONTACT_S)
        begin_s = time.monotonic()
        await asyncio.sleep(2 * windows.WINDOW_S)
        counted = windows.largest(
            [at_s for at_s in target.arrivals_s if at_s >= begin_s]
        )
        if counted > windows.allowed_count(target.requests_per_s):
            self.problems.append(
                f'{target.target_id} got {counted} requests in 4 s at a '
                f'limit of {target.requests_per_s}'
            )
        target.requests_per_s = None

    async def _check_drained(self):
        """Check that a draining target gets no work after ``DRAIN_S``."""
        if self.draining_target is None:
            return
        await asyncio.sleep(DRAIN_S)
        work_before = len(self.draining_target.requests_run) + len(
            self.draining_target.stage_call_sizes
        )
        for path in ('/stream/x', '/plain/x') * 5:
            process = self.caller_random.choice(self.instances)
            await self._call(process, path, KEYS[0])
        if (
            len(self.draining_target.requests_run)
            + len(self.draining_target.stage_call_sizes)
            > work_before
        ):
            self.problems.append(
                f'{self.draining_target.target_id} got work late'
            )

    async def _check_evacuation(self):
        """Check that one zone serves while the other is evacuated."""
        zone = self.zone_random.choice(processes.ZONES)
        if self.draining_target is not None:
            zone = self.draining_target.zone
        with self._evacuated(zone):
            await asyncio.gather(
                asyncio.sleep(EVACUATION_S), self._turn_cold()
            )
            sent = [
                await self._call(process, path, KEYS[0])
                for process in self.instances * 3
                for path in ('/stream/x', '/plain/x')
            ]
        if all(attempt.status != 200 for attempt in sent):
            self.problems.append(f'not serving while {zone} is evacuated')

    def _check_evacuated_targets(self):
        for zone, begin_s, end_s in self.evacuations:
            for target in self.platform.targets:
                late_s = [
                    at_s - begin_s
                    for at_s in target.work_s
                    if begin_s + EVACUATION_S < at_s < end_s
                    and not any(
                        disturbed_s <= at_s <= healed_s + STORE_GRACE_S
                        for disturbed_s, healed_s in self.store_disturbances
                    )
                ]
                if target.zone == zone and late_s:
                    self.problems.append(
                        f'{target.target_id} got work {late_s} s after the '
                        f'evacuation of {zone}'
                    )

    def _check_cold_targets(self):
        for target in self.platform.targets:
            for begin_s, end_s in target.cold_periods:
                counted = windows.largest(
                    [at for at in target.arrivals_s if begin_s < at < end_s],
                    window_s=1.0,
                )
                self.log.append(f'{target.target_id}:{counted}')
                if counted > MAX_COLD_REQUESTS:
                    self.problems.append(
                        f'{target.target_id} got {counted} requests in a '
                        'second while it was cold'
                    )

    def _check_answers(self):
        runs = {}
        for target in self.platform.targets:
            for name, _ in target.requests_run:
                runs[name] = runs.get(name, 0) + 1
        for attempt in self.attempts:
            ran = runs.get(attempt.name, 0)
            if attempt.status == 200 and attempt.is_whole:
                self._check_whole(attempt)
            if ran > 1:
                self.problems.append(f'{attempt.name} ran {ran} times')
            if attempt.status == 503 and ran:
                self.problems.append(f'{attempt.name}: 503, but it ran')
            if ran and self._is_revoked(attempt):
                self.problems.append(f'{attempt.name} ran with a revoked key')
        sent_names = {attempt.name for attempt in self.attempts}
        # The last request of each caller is cancelled and not recorded.
        if len(runs.keys() - sent_names) > CALLERS:
            self.problems.append('targets ran requests that no caller sent')

    def _check_whole(self, attempt):
        text = attempt.body.decode()
        if attempt.path.startswith('/plain/'):
            is_own = text == f'served {attempt.name}'
        else:
            is_own = text.count(f'data: {attempt.name}\n') == 3
        if not is_own:
            self.problems.append(f'{attempt.name} got {text!r}')

    def _is_revoked(self, attempt):
        if self.revoked_at_s is None or attempt.key == KEYS[0]:
            return False
        return attempt.at_s > self.revoked_at_s + REVOCATION_S


async def run_seed(seed):
    """Run a seed; return the violations and a summary line."""
    soak = Soak(seed)
    problems = await soak.run()
    counts = {}
    for attempt in soak.attempts:
        counts[attempt.status] = counts.get(attempt.status, 0) + 1
    line = f'seed {seed}: {sorted(counts.items())} {" ".join(soak.log)}'
    return problems, line


def main():
    """Run the seeds given on the command line."""
    failed = False
    for seed in map(int, sys.argv[1:]):
        problems, line = asyncio.run(run_seed(seed))
        failed = failed or bool(problems)
        print(line, *problems, sep='\n  ', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
