"""Runs the stand-in platform in a thread, for tests of commands."""

import asyncio
import threading

from aiohttp import web

from sycamorebeam.standins import platform_server


class PlatformThread:
    """Serves the log, the instance list and the status of one instance.

    ``offset`` is the catalogue offset that the status reports as in force.
    """

    def __init__(self):
        self.offset = 0
        self.status_address = ''
        self.log_url = ''
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._stop = asyncio.Event()

    def start(self):
        self._thread.start()
        self._ready.wait()

    def stop(self):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()

    def set_faults(self, **faults):
        def change():
            for name, value in faults.items():
                setattr(self.server.log.faults, name, value)

        self._loop.call_soon_threadsafe(change)

    def _run(self):
        with asyncio.Runner(loop_factory=lambda: self._loop) as runner:
            runner.run(self._serve())

    async def _serve(self):
        self.server = await platform_server.start_platform()
        self.log_url = f'http://{self.server.address}'
        app = web.Application()
        app.router.add_get('/admin/status', self._status)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self.status_address = '{}:{}'.format(*runner.addresses[0])
        self._ready.set()
        await self._stop.wait()
        await runner.cleanup()
        await self.server.close()

    async def _status(self, request):
        return web.json_response({'catalogue': {'offset': self.offset}})
