"""Starts stand-ins of targets: replicas of engines, pools and services."""

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
    """A running replica; tests may read and change its state."""

    replica: replica.Replica
    _server: server.Server

    @property
    def address(self) -> str:
        """The address that it listens on, ``IP:port``."""
        return self._server.address

    async def stop_listening(self) -> None:
        """Refuse new connections, but keep the open ones."""
        await self._server.stop_listening()

    async def close(self) -> None:
        """Stop the server."""
        await self._server.close()


@attrs.frozen(kw_only=True)
class TargetSpec:
    """A replica to serve: its address, kind, group and options."""

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
    new_replica = _new_replica(kind, group, options or replica.TargetOptions())
    app = web.Application(client_max_size=REQUEST_BYTES)
    new_replica.add_routes(app.router)
    return TargetServer(new_replica, await server.start(app, host, port))


async def serve_target(
    listen: str,
    kind: catalogue.TargetKind,
    group: str,
    options: replica.TargetOptions | None = None,
) -> None:
    """Serve one replica at ``listen`` until SIGINT or SIGTERM."""
    spec = TargetSpec(
        listen=listen,
        kind=kind,
        group=group,
        options=options or replica.TargetOptions(),
    )
    await serve_targets([spec])


async def serve_targets(specs: Sequence[TargetSpec]) -> None:
    """Serve each replica on its own port until SIGINT or SIGTERM."""
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
