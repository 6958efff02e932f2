"""Asks the owner of a queue for results, at this instance or another."""

import asyncio
from collections.abc import Coroutine
import contextlib
import itertools
from typing import Any

import attrs

from sycamorebeam import clock as clocks
from sycamorebeam import telemetry
from sycamorebeam.forwarding import instances as instances_module
from sycamorebeam.forwarding import stage_owner
from sycamorebeam.forwarding import stages
from sycamorebeam.peering import messages
from sycamorebeam.peering import stream as streams

# A few round trips between regions and a busy processor at the other end.
DIAL_TIMEOUT_MS = 300
QUEUED_TIMEOUT_MS = 300
PING_MS = 400
SILENCE_MS = 1_300  # three pings unanswered: the stream is dead
IDLE_TIMEOUT_S = 20.0
# Instances of one deployment reach each other on a closed network, and the
# platform hands out no secret for them to share.
NO_SECRET = b''
TRIED_OWNERS = 3
REGAIN_INTERVAL_MS = 500  # between tries to reach a lost owner


@attrs.define
class _Submitted:
    queued: asyncio.Event
    outcome: asyncio.Future[stages.Outcome]


class _OwnerLostError(Exception):
    """The owner of the queue does not answer."""


class _Link:
    """A stream to one owner, and what was asked of it."""

    def __init__(
        self, stream: streams.PeerStream, clock: clocks.Clock
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._call_ids = itertools.count(1)
        self._submitted: dict[int, _Submitted] = {}
        self._heard_ms = clock.monotonic_ms()
        self.is_stopping = False
        self.is_closed = False

    async def ask(self, request: stages.StageRequest) -> stages.Outcome:
        """Return what the owner made of a request.

        Raises _OwnerLostError when it does not answer.
        """
        call_id = next(self._call_ids)
        submitted = _Submitted(
            asyncio.Event(), asyncio.get_running_loop().create_future()
        )
        self._submitted[call_id] = submitted
        self._stream.send(_submission(call_id, request))
        try:
            async with asyncio.timeout(QUEUED_TIMEOUT_MS / 1000):
                await submitted.queued.wait()
            return await submitted.outcome
        except TimeoutError as error:
            self._stream.send(messages.CancelItems(call_id))
            raise _OwnerLostError('the owner did not queue') from error
        except asyncio.CancelledError:
            self._stream.send(messages.CancelItems(call_id))
            raise
        finally:
            del self._submitted[call_id]

    def free(self, service: str, results: list[str]) -> None:
        """Tell the owner that results were used."""
        self._stream.send(messages.FreeResults(service, results))

    def abandon(self) -> None:
        """Close the stream at once: nothing is expected of it."""
        self._stream.abort()

    async def receive(self) -> None:
        """Take messages until the stream ends or falls silent."""
        pings = asyncio.create_task(self._ping())
        try:
            async for message in self._stream.receive():
                self._heard_ms = self._clock.monotonic_ms()
                self._take(message)
        finally:
            pings.cancel()
            self.is_closed = True
            await self._stream.close()
            for submitted in self._submitted.values():
                submitted.queued.set()
                if not submitted.outcome.done():
                    submitted.outcome.set_exception(
                        _OwnerLostError('the stream to the owner ended')
                    )
                    # Who asked may have left: then nobody takes the error.
                    submitted.outcome.exception()

    async def _ping(self) -> None:
        while True:
            await self._clock.sleep_ms(PING_MS)
            silent_ms = self._clock.monotonic_ms() - self._heard_ms
            if silent_ms > SILENCE_MS:
                self._stream.abort()
                return
            self._stream.send(messages.Ping(-1, b''))

    def _take(self, message: messages.Message) -> None:
        match message:
            case messages.ItemsQueued(call_id):
                submitted = self._submitted.get(call_id)
                if submitted is not None:
                    submitted.queued.set()
            case messages.ItemsDone(call_id, results):
                self._end(call_id, stages.Results(tuple(results)))
            case messages.ItemsFailed(call_id, reason, retry_after_ms):
                failure = stages.Failure(stages.Reason(reason), retry_after_ms)
                self._end(call_id, failure)
            case messages.Stopping():
                self.is_stopping = True

    def _end(self, call_id: int, outcome: stages.Outcome) -> None:
        submitted = self._submitted.get(call_id)
        if submitted is None:
            return
        submitted.queued.set()
        if not submitted.outcome.done():
            submitted.outcome.set_result(outcome)


class StageStreams:
    """Gets results from the owners of queues."""

    def __init__(
        self,
        clock: clocks.Clock,
        instances: instances_module.Instances,
        owner: stage_owner.StageOwner,
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._owner = owner
        self._links: dict[str, _Link] = {}
        self._dialling: dict[str, asyncio.Task[_Link | None]] = {}
        self._served: set[streams.PeerStream] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopping = False

    async def produce(self, request: stages.StageRequest) -> stages.Outcome:
        """Return the results of a request, or why there are none."""
        own_id = self._instances.own.instance_id
        lost = stages.Failure(stages.Reason.OWNER_LOST, 0.0)
        for _ in range(TRIED_OWNERS):
            owner_id = self._next_owner(request.service)
            if owner_id == own_id:
                outcome = await self._owner.submit(request)
            else:
                outcome = await self._ask(owner_id, request)
            if outcome != lost:
                return outcome
        return await self._owner.submit(request)

    async def _ask(
        self, instance_id: str, request: stages.StageRequest
    ) -> stages.Outcome:
        link = await self._link(instance_id)
        if link is not None and not link.is_stopping:
            try:
                return await link.ask(request)
            except _OwnerLostError as error:
                self._lose(instance_id, error)
        return stages.Failure(stages.Reason.OWNER_LOST, 0.0)

    def _next_owner(self, service: str) -> str:
        for instance_id in self._instances.owners(service):
            link = self._links.get(instance_id)
            if link is None or not link.is_stopping:
                return instance_id
        return self._instances.own.instance_id

    def free(self, service: str, results: list[str]) -> None:
        """Give up results; their replica's owner passes it on."""
        owner_id = self._next_owner(service)
        link = self._links.get(owner_id)
        if link is None or link.is_closed:
            self._owner.free(service, results)
            return
        link.free(service, results)

    def stop(self) -> None:
        """Tell the others to send no more items to this instance."""
        self._is_stopping = True
        for stream in self._served:
            stream.send(messages.Stopping())

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a stream on which another instance asks for results."""
        stream = streams.PeerStream(reader, writer, IDLE_TIMEOUT_S)
        asked: dict[int, asyncio.Future[stages.Outcome]] = {}
        try:
            await stream.handshake(self._instances.own.instance_id, NO_SECRET)
            self._served.add(stream)
            if self._is_stopping:
                stream.send(messages.Stopping())
            async for message in stream.receive():
                self._serve(stream, asked, message)
        except streams.HandshakeError as error:
            telemetry.log_event('peer_refused', 'WARNING', reason=str(error))
        except asyncio.CancelledError:
            # The process ends; asyncio would report the cancelled task.
            return
        finally:
            self._served.discard(stream)
            for future in asked.values():
                future.cancel()
            await stream.close()

    def _serve(
        self,
        stream: streams.PeerStream,
        asked: dict[int, asyncio.Future[stages.Outcome]],
        message: messages.Message,
    ) -> None:
        match message:
            case messages.Ping():
                stream.send(message)
            case messages.SubmitItems(call_id=call_id):
                stream.send(messages.ItemsQueued(call_id))
                future = self._owner.submit(_request(message))
                asked[call_id] = future
                future.add_done_callback(
                    lambda done: _answer(stream, asked, call_id, done)
                )
            case messages.CancelItems(call_id):
                if call_id in asked:
                    asked[call_id].cancel()
            case messages.FreeResults(service, results):
                self._owner.free(service, results)

    async def _link(self, instance_id: str) -> _Link | None:
        link = self._links.get(instance_id)
        if link is not None and not link.is_closed:
            return link
        dialling = self._dialling.get(instance_id)
        if dialling is None:
            dialling = asyncio.create_task(self._dial(instance_id))
            self._dialling[instance_id] = dialling
            dialling.add_done_callback(
                lambda _: self._dialling.pop(instance_id, None)
            )
        return await asyncio.shield(dialling)

    async def _dial(self, instance_id: str) -> _Link | None:
        address = self._instances.address(instance_id)
        if address is None:
            return None
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_MS / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                stream = streams.PeerStream(reader, writer, IDLE_TIMEOUT_S)
                await stream.handshake(
                    self._instances.own.instance_id, NO_SECRET
                )
        except (OSError, TimeoutError, streams.HandshakeError) as error:
            self._lose(instance_id, error)
            return None
        link = _Link(stream, self._clock)
        self._links[instance_id] = link
        self._start(self._receive(instance_id, link))
        telemetry.log_event('owner_connected', peer=instance_id)
        return link

    async def _receive(self, instance_id: str, link: _Link) -> None:
        with contextlib.suppress(OSError):
            await link.receive()
        if self._links.get(instance_id) is link:
            del self._links[instance_id]
        telemetry.log_event('owner_disconnected', peer=instance_id)

    def _lose(self, instance_id: str, error: BaseException) -> None:
        """Pass an instance over until it can be reached again."""
        link = self._links.pop(instance_id, None)
        if link is not None:
            link.abandon()
        if not self._instances.lost(instance_id):
            return
        telemetry.log_event(
            'owner_lost', 'WARNING', peer=instance_id, error=repr(error)
        )
        self._start(self._regain(instance_id))

    async def _regain(self, instance_id: str) -> None:
        while self._instances.address(instance_id) is not None:
            await self._clock.sleep_ms(REGAIN_INTERVAL_MS)
            if await self._link(instance_id) is not None:
                self._instances.regained(instance_id)
                telemetry.log_event('owner_regained', peer=instance_id)
                return

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _answer(
    stream: streams.PeerStream,
    asked: dict[int, asyncio.Future[stages.Outcome]],
    call_id: int,
    future: asyncio.Future[stages.Outcome],
) -> None:
    asked.pop(call_id, None)
    if future.cancelled():
        return
    match future.result():
        case stages.Results(results):
            stream.send(messages.ItemsDone(call_id, list(results)))
        case stages.Failure(reason, retry_after_ms):
            stream.send(
                messages.ItemsFailed(call_id, reason.value, retry_after_ms)
            )


def _submission(
    call_id: int, request: stages.StageRequest
) -> messages.SubmitItems:
    work = request.work
    return messages.SubmitItems(
        call_id=call_id,
        service=request.service,
        attempt_id=work.attempt_id,
        rank=request.rank,
        objective_in_ms=request.objective_in_ms,
        accept_in_ms=request.accept_in_ms,
        useless_in_ms=request.useless_in_ms,
        zone=request.zone,
        input_bytes=request.input_bytes,
        result_bytes=request.result_bytes,
        stage=work.stage,
        key=work.key,
        takes_inputs=work.takes_inputs,
        inputs=list(work.inputs),
        positions=list(request.positions),
    )


def _request(message: messages.SubmitItems) -> stages.StageRequest:
    return stages.StageRequest(
        service=message.service,
        rank=message.rank,
        objective_in_ms=message.objective_in_ms,
        accept_in_ms=message.accept_in_ms,
        useless_in_ms=message.useless_in_ms,
        zone=message.zone,
        input_bytes=message.input_bytes,
        result_bytes=message.result_bytes,
        work=stages.Work(
            message.attempt_id,
            message.stage,
            message.key,
            message.takes_inputs,
            tuple(message.inputs),
        ),
        positions=tuple(message.positions),
    )
