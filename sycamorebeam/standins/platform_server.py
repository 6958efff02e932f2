"""The stand-in of the platform: log service and instance list."""

from aiohttp import web
import attrs

from sycamorebeam.standins import instancelist
from sycamorebeam.standins import logservice
from sycamorebeam.standins import server

REQUEST_BYTES = 2 * logservice.RECORD_BYTES


@attrs.define
class PlatformServer:
    """A running platform; tests may change ``log`` and ``instances``."""

    log: logservice.LogService
    instances: instancelist.InstanceListing
    _server: server.Server

    @property
    def address(self) -> str:
        """The address that it listens on, ``IP:port``."""
        return self._server.address

    async def close(self) -> None:
        """Stop the server."""
        await self._server.close()


async def start_platform(
    host: str = '127.0.0.1', port: int = 0
) -> PlatformServer:
    """Return a running platform; port 0 picks a free one."""
    log = logservice.LogService()
    instances = instancelist.InstanceListService()
    app = web.Application(client_max_size=REQUEST_BYTES)
    log.add_routes(app.router)
    instances.add_routes(app.router)
    running = await server.start(app, host, port)
    return PlatformServer(log, instances.listing, running)


async def serve_platform(listen: str) -> None:
    """Serve the platform at ``listen`` until SIGINT or SIGTERM."""
    host, port = server.split_address(listen)
    running = await start_platform(host, port)
    await server.run_until_signal([running])
