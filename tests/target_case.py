"""Stand-in targets and a client of them, for tests over loopback."""

import asyncio
import contextlib

import attrs

from sycamorebeam import catalogue
from sycamorebeam import clocks
from sycamorebeam.clients import engine
from sycamorebeam.clients import http
from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.clients import target_client
from sycamorebeam.clients import watch
from sycamorebeam.standins import replica
from sycamorebeam.standins import target_server

ENGINE = catalogue.TargetKind.ENGINE
POOL = catalogue.TargetKind.POOL
SERVICE = catalogue.TargetKind.SERVICE
OPERATIONS = {ENGINE: 'generate', POOL: 'encode', SERVICE: 'restart'}
CLOCK = clocks.Clock()
POLL_MS = 5

QUICK = target_client.TargetSettings(
    limits=http.HttpLimits(idle_age_ms=300, connect_timeout_ms=300),
    stream=engine.StreamSettings(silence_ms=150, resume_pause_ms=10),
    call_watch=watch.WatchSettings(
        first_probe_after_ms=60, initial_pause_ms=40
    ),
)


@attrs.define
class TargetFixture:
    """One replica, its client, and the tokens and byte counts received."""

    kind: catalogue.TargetKind
    client: target_client.HttpTargetClient
    server: target_server.TargetServer
    received_tokens: list = attrs.field(factory=list)
    byte_counts: list = attrs.field(factory=list)

    @property
    def runs(self):
        return self.server.replica.runs

    @property
    def faults(self):
        return self.server.replica.faults

    @property
    def replica(self):
        address = self.server.address
        return results.Replica('r1', 'group', address, 'zone', 'region')

    async def call(
        self,
        attempt_id='a1',
        deadline_ms=2_000,
        prompt=None,
        receiver=None,
        **fields,
    ):
        prompt = prompt or f'prompt of {attempt_id}'
        attempt = ports.Attempt(
            id=attempt_id,
            operation=OPERATIONS[self.kind],
            input={'prompt': prompt, 'key': attempt_id},
            deadline=clocks.deadline_in(CLOCK, deadline_ms),
            max_tokens=8,
            on_token=receiver or self._store_token,
            **fields,
        )
        return await self.client.call(self.kind, self.replica, attempt)

    async def _store_token(self, index, text):
        self.received_tokens.append((index, text))


@contextlib.asynccontextmanager
async def target_fixture(kind, settings=QUICK, **options):
    byte_counts = []
    client = target_client.new_target_client(
        CLOCK, settings, lambda _, *counts: byte_counts.append(counts)
    )
    server = await target_server.start_target(
        kind, options=replica.TargetOptions(**options)
    )
    try:
        yield TargetFixture(kind, client, server, byte_counts=byte_counts)
    finally:
        await client.close()
        await server.close()


async def wait_until(check, timeout_ms=1_000):
    """Wait until ``check`` returns true; fail after ``timeout_ms``."""
    for _ in range(timeout_ms // POLL_MS):
        if check():
            return
        await asyncio.sleep(POLL_MS / 1000)
    raise AssertionError('the condition did not hold in time')
