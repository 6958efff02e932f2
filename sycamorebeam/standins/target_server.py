"""Stand-ins of targets: replicas of engines, pools and plain services."""

from collections.abc import Sequence

from aiohttp import web
import attrs

from sycamorebeam import catalogue
from sycamorebeam.standins import engine
from sycamorebeam.standins import pool
from sycamorebeam.standins import replica
from sycamorebeam.standins import server
from sycamorebeam.standins import service

REQUEST_BYTES = 4_194_304


@attrs.define
class TargetServer:
    """A running replica whose state a test may look at and change."""

    replica: replica.Replica
    _server: server.Server

    @property
    def address(self) -> str:
        """Where it listens, ``IP:port``."""
        return self._server.address

    async def stop_listening(self) -> None:
        """Refuse new connections, and keep those that are open."""
        await self._server.stop_listening()

    async def close(self) -> None:
        """Stop the server."""
        await self._server.close()


@attrs.frozen(kw_only=True)
class TargetSpec:
    """A replica to host: where it listens, its kind, group and options."""

    listen: str
    kind: catalogue.TargetKind
    group: str
    options: replica.TargetOptions = attrs.field(factory=replica.TargetOptions)


async def start_target(
    kind: catalogue.TargetKind,
    group: str = 'standin',
    options: replica.TargetOptions | None = None,
    host: str = '127.0.0.1',
    port: int = 0,
) -> TargetServer:
    """Return a running replica; port 0 picks a free one."""
    standin = _new_replica(kind, group, options or replica.TargetOptions())
    app = web.Application(client_max_size=REQUEST_BYTES)
    standin.add_routes(app.router)
    return TargetServer(standin, await server.start(app, host, port))


async def serve_target(
    listen: str,
    kind: catalogue.TargetKind,
    group: str,
    options: replica.TargetOptions | None = None,
) -> None:
    """Serve one replica at ``listen`` until a signal ends it."""
    spec = TargetSpec(
        listen=listen,
        kind=kind,
        group=group,
        options=options or replica.TargetOptions(),
    )
    await serve_targets([spec])


async def serve_targets(specs: Sequence[TargetSpec]) -> None:
    """Serve many replicas, each on its own port, until a signal."""
    servers = []
    for spec in specs:
        host, port = server.split_address(spec.listen)
        servers.append(
            await start_target(spec.kind, spec.group, spec.options, host, port)
        )
    await server.run_until_signal(servers)


def _new_replica(
    kind: catalogue.TargetKind, group: str, options: replica.TargetOptions
) -> replica.Replica:
    match kind:
        case catalogue.TargetKind.ENGINE:
            return engine.Engine(group, options)
        case catalogue.TargetKind.POOL:
            return pool.Pool(group, options)
        case catalogue.TargetKind.SERVICE:
            return service.Service(group, options)
