"""A randomized soak: real instances, faults from outside, promises checked.

``python -m tests.forwarding.soak SEED [SEED ...]`` plays seeds by hand.
"""

import asyncio
import contextlib
import itertools
import random
import signal
import sys
import tempfile
import time

import attrs

from tests.forwarding import processes
from tests.forwarding import standin
from tests.forwarding import test_forwarding

FAULT_SECONDS = 12.0
RECOVERY_S = 12.0  # the platform's bound for serving again after a fault
REVOCATION_S = 5.0  # the platform's bound for keys that were taken away
DRAIN_S = 2.5  # the platform's bound for leaving a target that drains
DRAINED = ('e0', 'p0', 'd0')  # each has another one beside it
CALLERS = 6
READ_BYTES = 65_536
MODES = ('delay', 'silent', 'one_way', 'reset')
REWRITTEN_S = 1.5  # operator and targets are quicker than 2 s
KEYS = ('k1', 'k2')


class FaultProxy:
    """Passes bytes on between two addresses, and misbehaves on demand."""

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
class Sent:
    """One attempt of a caller, and what came of it."""

    name: str
    path: str
    key: str
    at_s: float
    status: int
    is_whole: bool
    body: bytes


class Soak:
    """Plays one seed and collects broken promises."""

    def __init__(self, seed):
        # Callers and faults draw apart, so that a seed's faults come again.
        self.callers = random.Random(f'{seed} callers')
        self.faults = random.Random(f'{seed} faults')
        self.platform = standin.StandinPlatform()
        self.instances = []
        self.proxies = []
        self.sent = []
        self.revoked_at_s = None
        self.drained = None
        self.busy = set()
        self.problems = []
        self.log = []
        self._names = itertools.count(1)

    async def run(self):
        """Return the broken promises of a run."""
        with tempfile.TemporaryDirectory(prefix='soak-') as folder:
            try:
                await self._start(folder)
                callers = [
                    asyncio.create_task(self._call_forever())
                    for _ in range(CALLERS)
                ]
                # Two series of faults, so that they overlap.
                await asyncio.gather(
                    self._inject(folder), self._inject(folder)
                )
                self._heal()
                await self._check_recovery()
                await self._check_drained()
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
        return self.problems

    async def _start(self, folder):
        await self.platform.start(
            [
                standin.StandinTarget('e0', 'engine'),
                standin.StandinTarget('e1', 'engine'),
                standin.StandinTarget('p0', 'plain'),
                standin.StandinTarget('p1', 'plain'),
                standin.StandinTarget('d0', 'desk'),
                standin.StandinTarget('d1', 'desk'),
            ]
        )
        for target in self.platform.targets:
            target.address = await self._proxy(target.address)
            self.platform.announce(target)
        self.platform.configure(1, list(KEYS))
        for number in range(3):
            store = await self._proxy(self.platform.store_address)
            ports = processes.free_ports(4)
            peers = f'127.0.0.1:{ports[processes.PEERS_PORT]}'
            self.platform.store.aliases[peers] = await self._proxy(peers)
            self.instances.append(
                processes.start(folder, f'i{number}', store, ports)
            )
        for process in self.instances:
            await process.wait_ready()

    async def _proxy(self, address):
        proxy = FaultProxy(address)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    async def _call_forever(self):
        while True:
            process = self.callers.choice(self.instances)
            path = self.callers.choice(('/stream/x', '/plain/x'))
            await self._call(process, path, self.callers.choice(KEYS))
            await asyncio.sleep(self.callers.uniform(0.0, 0.1))

    async def _call(self, process, path, key):
        name = f'r{next(self._names)}'
        at_s = time.monotonic()
        try:
            async with asyncio.timeout(5):
                found = await processes.send(process, name, path, key)
        except (OSError, TimeoutError):
            found = test_forwarding.Response(0, {}, b'', False)
        sent = Sent(
            name, path, key, at_s, found.status, found.is_whole, found.body
        )
        self.sent.append(sent)
        return sent

    async def _inject(self, folder):
        end_s = time.monotonic() + FAULT_SECONDS
        while time.monotonic() < end_s:
            fault = self.faults.choice(
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
                )
            )
            self.log.append(fault.__name__)
            await fault(folder)
            await asyncio.sleep(self.faults.uniform(0.0, 1.0))

    def _heal(self):
        for proxy in self.proxies:
            proxy.mode = 'pass'
            proxy.reset()
        self.platform.store.is_unavailable = False

    async def _fault_link(self, folder):
        proxy = self.faults.choice(self.proxies)
        proxy.mode = self.faults.choice(MODES)
        if proxy.mode == 'reset':
            proxy.reset()
        await asyncio.sleep(self.faults.uniform(0.2, 2.0))
        proxy.mode = 'pass'

    @contextlib.contextmanager
    def _reserved(self):
        """Yield an instance that no other fault of its process holds."""
        free = sorted(set(range(len(self.instances))) - self.busy)
        index = self.faults.choice(free)
        self.busy.add(index)
        try:
            yield index
        finally:
            self.busy.remove(index)

    async def _pause(self, folder):
        with self._reserved() as index:
            process = self.instances[index]
            process.popen.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.faults.uniform(0.2, 3.0))
            process.popen.send_signal(signal.SIGCONT)

    async def _kill(self, folder):
        with self._reserved() as index:
            self.instances[index].popen.kill()
            self.instances[index].popen.wait()
            self._restart(folder, index)

    async def _terminate(self, folder):
        with self._reserved() as index:
            process = self.instances[index]
            # Before it serves, a process has nothing to finish and ends.
            had_started = process.has_started()
            process.popen.send_signal(signal.SIGTERM)
            code = await process.wait_exit()
            if code != 0 and had_started:
                self.problems.append(f'{process.name} stopped with {code}')
            self._restart(folder, index)

    async def _drain(self, folder):
        if self.drained is None:
            name = self.faults.choice(DRAINED)
            self.drained = next(
                target
                for target in self.platform.targets
                if target.target_id == name
            )
            self.platform.announce(self.drained, 'draining')

    def _restart(self, folder, index):
        old = self.instances[index]
        self.instances[index] = processes.start(
            folder, old.name, old.store_address, old.ports
        )

    async def _store_away(self, folder):
        self.platform.store.is_unavailable = True
        await asyncio.sleep(self.faults.uniform(0.2, 3.0))
        self.platform.store.is_unavailable = False

    async def _store_back_from_copy(self, folder):
        """Lose the last records; operator and targets write theirs again."""
        store = self.platform.store
        store.is_unavailable = True
        await asyncio.sleep(self.faults.uniform(0.1, 1.0))
        lost = self.faults.randint(1, 4)
        store.restore_from_copy(
            {
                topic: max(0, len(records) - lost)
                for topic, records in store.topics.items()
            }
        )
        store.is_unavailable = False
        await asyncio.sleep(self.faults.uniform(0.1, REWRITTEN_S))
        store.rewrite_lost_records()

    async def _revoke(self, folder):
        if self.revoked_at_s is None:
            self.platform.configure(2, [KEYS[0]])
            self.revoked_at_s = time.monotonic()

    async def _check_recovery(self):
        served = 0
        end_s = time.monotonic() + RECOVERY_S
        while served < 20 and time.monotonic() < end_s:
            process = self.callers.choice(self.instances)
            sent = await self._call(process, '/stream/x', KEYS[0])
            served = served + 1 if sent.status == 200 else 0
            await asyncio.sleep(0.02)
        if served < 20:
            self.problems.append('not serving again in time')

    async def _check_drained(self):
        """Well after the faults, a draining target gets nothing more."""
        if self.drained is None:
            return
        await asyncio.sleep(DRAIN_S)
        seen = len(self.drained.requests_run) + len(
            self.drained.stage_call_sizes
        )
        for path in ('/stream/x', '/plain/x') * 5:
            process = self.callers.choice(self.instances)
            await self._call(process, path, KEYS[0])
        if (
            len(self.drained.requests_run) + len(self.drained.stage_call_sizes)
            > seen
        ):
            self.problems.append(f'{self.drained.target_id} got work late')

    def _check_answers(self):
        runs = {}
        for target in self.platform.targets:
            for name, _ in target.requests_run:
                runs[name] = runs.get(name, 0) + 1
        for sent in self.sent:
            ran = runs.get(sent.name, 0)
            if sent.status == 200 and sent.is_whole:
                self._check_whole(sent)
            if ran > 1:
                self.problems.append(f'{sent.name} ran {ran} times')
            if sent.status == 503 and ran:
                self.problems.append(f'{sent.name}: 503, but it ran')
            if ran and self._is_revoked(sent):
                self.problems.append(f'{sent.name} ran with a revoked key')
        known = {sent.name for sent in self.sent}
        # The last request of each caller was cancelled with it.
        if len(runs.keys() - known) > CALLERS:
            self.problems.append('something ran that nobody sent')

    def _check_whole(self, sent):
        text = sent.body.decode()
        if sent.path.startswith('/plain/'):
            is_own = text == f'served {sent.name}'
        else:
            is_own = text.count(f'data: {sent.name}\n') == 3
        if not is_own:
            self.problems.append(f'{sent.name} got {text!r}')

    def _is_revoked(self, sent):
        if self.revoked_at_s is None or sent.key == KEYS[0]:
            return False
        return sent.at_s > self.revoked_at_s + REVOCATION_S


async def run_seed(seed):
    """Play a seed; return the broken promises and a line on the run."""
    soak = Soak(seed)
    problems = await soak.run()
    counts = {}
    for sent in soak.sent:
        counts[sent.status] = counts.get(sent.status, 0) + 1
    line = f'seed {seed}: {sorted(counts.items())} {" ".join(soak.log)}'
    return problems, line


def main():
    """Play the seeds of the command line."""
    failed = False
    for seed in map(int, sys.argv[1:]):
        problems, line = asyncio.run(run_seed(seed))
        failed = failed or bool(problems)
        print(line, *problems, sep='\n  ', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
