"""An HTTP server that bounds what callers send outside of bodies."""

from typing import Any

import aiohttp
from aiohttp import web
from aiohttp import web_protocol

from sycamorebeam import telemetry
from sycamorebeam.clients import sliced_input


class ExcessOverheadError(aiohttp.ClientPayloadError):
    """A request exceeds the limit on bytes outside its body."""


class BoundedRequestHandler(
    sliced_input.SlicedInput, web_protocol.RequestHandler
):
    """Refuses a request that has too much overhead."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._noted_requests = 0

    def _note_new_message(self) -> None:
        if self._noted_requests != self._request_count:
            self._noted_requests = self._request_count
            # Its handler takes it out of the queue in a later turn.
            self._start_message(self._messages[-1][1])

    def _handle_excess(self) -> None:
        telemetry.log_event(
            'request_aborted',
            'WARNING',
            caller=self.peername,
            overhead_bytes=self._overhead_bytes,
            body_bytes=self.body_bytes,
        )
        error = ExcessOverheadError(
            f'{self._overhead_bytes} bytes outside the body'
        )
        if self._body is not None and not self._body.is_eof():
            # The handler reads the body, and refuses the request.
            self._body.set_exception(error)
            self.close()
        else:
            self.force_close()


class CallerServer(web.Server):
    """Serves each connection by a ``BoundedRequestHandler``."""

    def __call__(self) -> web_protocol.RequestHandler:
        """Return the protocol of a new connection."""
        return BoundedRequestHandler(self, loop=self._loop, **self._kwargs)
