"""A stand-in of the platform's instance list, which lags behind changes."""

import asyncio
from typing import Any

from aiohttp import web
import attrs

WAIT_MS = 60_000


@attrs.define
class InstanceListing:
    """The current list, and the version that readers see ``lag_ms`` later.

    While ``down`` is set, reads fail.
    """

    lag_ms: float = 0
    down: bool = False
    _version: int = 0
    _items: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    _visible: tuple[int, list[dict[str, Any]]] = (0, [])
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _pending: set[asyncio.TimerHandle] = attrs.field(factory=set)

    @property
    def visible(self) -> tuple[int, list[dict[str, Any]]]:
        """The version and items that readers see."""
        return self._visible

    def put(self, items: list[dict[str, Any]]) -> None:
        """Add or replace items by their id."""
        self._items.update({item['id']: dict(item) for item in items})
        self._publish()

    def remove(self, ids: list[str]) -> None:
        """Remove items by id."""
        for item_id in ids:
            self._items.pop(item_id, None)
        self._publish()

    async def wait(self, after: int, wait_ms: float) -> None:
        """Wait until a version above ``after`` is visible, or time out."""
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self._visible[0] <= after and not self.down:
                    await self._changed.wait()
        except TimeoutError:
            return

    def wake_readers(self) -> None:
        """Wake the waiting readers, which check the list again."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _publish(self) -> None:
        self._version += 1
        page = (self._version, list(self._items.values()))
        if not self.lag_ms:
            self._make_visible(page)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_ms / 1000, self._make_visible, page)

    def _make_visible(self, page: tuple[int, list[dict[str, Any]]]) -> None:
        if page[0] <= self._visible[0]:
            return
        self._visible = page
        self.wake_readers()


class InstanceListService:
    """The HTTP handlers of the instance list."""

    def __init__(self) -> None:
        self._listing = InstanceListing()

    @property
    def listing(self) -> InstanceListing:
        """The list itself."""
        return self._listing

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of the list to ``router``."""
        router.add_get('/v1/instances', self._get)
        router.add_post('/standin/instances', self._change)

    async def _get(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get('after', 0))
            wait_ms = min(float(request.query.get('wait_ms', 0)), WAIT_MS)
        except ValueError:
            return web.Response(status=400)
        if wait_ms:
            await self._listing.wait(after, wait_ms)
        if self._listing.down:
            return web.Response(status=503)
        version, items = self._listing.visible
        return web.json_response({'version': version, 'items': items})

    async def _change(self, request: web.Request) -> web.Response:
        fields = await request.json()
        self._listing.lag_ms = fields.get('lag_ms', self._listing.lag_ms)
        self._listing.down = fields.get('down', self._listing.down)
        self._listing.wake_readers()
        if fields.get('put'):
            self._listing.put(fields['put'])
        if fields.get('remove'):
            self._listing.remove(fields['remove'])
        version, items = self._listing.visible
        return web.json_response({'version': version, 'items': items})
