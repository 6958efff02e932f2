"""Sends stage requests to the owners of their queues, and serves own queues.

The owner of a service's queue is this instance or another one.
"""

import asyncio

import attrs

from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import peer_link
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import stage_owner
from sycamorebeam.forwarding import stages
from sycamorebeam.forwarding.regions import region_filter
from sycamorebeam.peering import messages

# Allows for a few round trips between regions and a busy owner.
QUEUED_TIMEOUT_MS = 300
MAX_OWNERS_TRIED = 3


class StageStreams:
    """Gets results from queue owners, and serves the queues owned here."""

    def __init__(
        self,
        instances: membership.Membership,
        owner: stage_owner.StageOwner,
        links: peer_links.PeerLinks,
    ) -> None:
        self._instances = instances
        self._owner = owner
        self._links = links
        links.add_handler(self._handle_message)

    @property
    def is_isolated(self) -> bool:
        """Whether no other instance can be reached."""
        return self._links.is_isolated

    async def produce(self, request: stages.StageRequest) -> stages.Outcome:
        """Return the results of a request, or why there are none.

        After ``MAX_OWNERS_TRIED`` lost owners, use the queue of this instance.
        """
        own_id = self._instances.own_entry.instance_id
        lost = stages.Failure(stages.FailureReason.OWNER_LOST, 0.0)
        for _ in range(MAX_OWNERS_TRIED):
            owner_id = self._choose_owner(request.service)
            if owner_id == own_id:
                outcome = await self._owner.submit(request)
            else:
                outcome = await self._submit_to(owner_id, request)
            if outcome != lost:
                return outcome
        return await self._owner.submit(request)

    async def announce(
        self, announcement: stages.Announcement
    ) -> stages.Failure | None:
        """Announce items to their owner; return why it refuses them, if so.

        Without a connection, or an answer in time, return None, so that a slow
        owner does not delay the request.
        """
        owner_id = self._choose_owner(announcement.service)
        if owner_id == self._instances.own_entry.instance_id:
            return self._owner.announce(announcement)
        link = await self._links.connect(owner_id)
        if link is None:
            return None
        with link.exchange() as exchange:
            link.send(_announce_message(exchange.call_id, announcement))
            try:
                message = await exchange.next(QUEUED_TIMEOUT_MS)
            except peer_link.LinkLostError:
                return None
        if isinstance(message, messages.ItemsFailed):
            return _failure_from(message)
        return None

    def withdraw(self, service: str, attempt_id: str, stage: int) -> None:
        """Withdraw announced items that will not be submitted."""
        owner_id = self._choose_owner(service)
        link = self._links.existing(owner_id)
        if owner_id == self._instances.own_entry.instance_id:
            self._owner.withdraw(service, attempt_id, stage)
        elif link is not None and not link.is_closed:
            link.send(messages.WithdrawItems(service, attempt_id, stage))

    def free(self, service: str, results: list[str]) -> None:
        """Free results through the queue's owner if connected, else here."""
        link = self._links.existing(self._choose_owner(service))
        if link is None or link.is_closed:
            self._owner.free(service, results)
            return
        link.send(messages.FreeResults(service, results))

    async def _submit_to(
        self, instance_id: str, request: stages.StageRequest
    ) -> stages.Outcome:
        link = await self._links.connect(instance_id)
        if self._choose_owner(request.service) != instance_id:
            # The handshake showed that the instance has restarted.
            return stages.Failure(stages.FailureReason.OWNER_LOST, 0.0)
        if link is not None and not link.is_stopping:
            try:
                return await _submit_and_wait(link, request)
            except peer_link.LinkLostError as error:
                self._links.mark_unreachable(instance_id, error)
        return stages.Failure(stages.FailureReason.OWNER_LOST, 0.0)

    def _choose_owner(self, service: str) -> str:
        for instance_id in self._instances.owners(service):
            if not self._links.is_stopping(instance_id):
                return instance_id
        return self._instances.own_entry.instance_id

    def _handle_message(
        self, inbound: peer_links.InboundLink, message: messages.Message
    ) -> None:
        match message:
            case messages.SubmitItems(call_id=call_id):
                inbound.stream.send(messages.ItemsQueued(call_id))
                future = self._owner.submit(_request_from(message))
                inbound.answer_when_done(
                    call_id,
                    future,
                    lambda done: _outcome_message(call_id, done),
                )
            case messages.AnnounceItems():
                self._handle_announcement(inbound, message)
            case messages.WithdrawItems(service, attempt_id, stage):
                self._owner.withdraw(service, attempt_id, stage)
            case messages.CancelItems(call_id):
                inbound.cancel(call_id)
            case messages.FreeResults(service, results):
                self._owner.free(service, results)

    def _handle_announcement(
        self, inbound: peer_links.InboundLink, message: messages.AnnounceItems
    ) -> None:
        fields = attrs.asdict(message)
        call_id = fields.pop('call_id')
        allowed = region_filter.decode(fields.pop('allowed_regions'))
        failure = self._owner.announce(
            stages.Announcement(**fields, allowed_regions=allowed)
        )
        inbound.stream.send(
            messages.ItemsQueued(call_id)
            if failure is None
            else _outcome_message(call_id, failure)
        )


async def _submit_and_wait(
    link: peer_link.Link, request: stages.StageRequest
) -> stages.Outcome:
    """Submit a request to the owner at the other end; return its outcome.

    Raises LinkLostError when the owner does not answer.
    """
    with link.exchange() as exchange:
        link.send(_submit_message(exchange.call_id, request))
        try:
            message = await exchange.next(QUEUED_TIMEOUT_MS)
            while isinstance(message, messages.ItemsQueued):
                message = await exchange.next()
        except (peer_link.LinkLostError, asyncio.CancelledError):
            link.send(messages.CancelItems(exchange.call_id))
            raise
    match message:
        case messages.ItemsDone(_, results):
            return stages.Results(tuple(results))
        case messages.ItemsFailed():
            return _failure_from(message)
    raise peer_link.LinkLostError(f'unexpected stage answer: {message!r}')


def _failure_from(message: messages.ItemsFailed) -> stages.Failure:
    return stages.Failure(
        stages.FailureReason(message.reason), message.retry_after_ms
    )


def _outcome_message(
    call_id: int, outcome: stages.Outcome
) -> messages.Message:
    match outcome:
        case stages.Results(results):
            return messages.ItemsDone(call_id, list(results))
        case stages.Failure(reason, retry_after_ms):
            return messages.ItemsFailed(call_id, reason.value, retry_after_ms)


def _announce_message(
    call_id: int, announcement: stages.Announcement
) -> messages.AnnounceItems:
    fields = attrs.asdict(announcement)
    fields['allowed_regions'] = region_filter.encode(
        announcement.allowed_regions
    )
    return messages.AnnounceItems(call_id=call_id, **fields)


def _submit_message(
    call_id: int, request: stages.StageRequest
) -> messages.SubmitItems:
    work = request.work
    return messages.SubmitItems(
        call_id=call_id,
        service=request.service,
        attempt_id=work.attempt_id,
        rank=request.rank,
        objective_in_ms=request.objective_in_ms,
        accept_within_ms=request.accept_within_ms,
        expires_in_ms=request.expires_in_ms,
        zone=request.zone,
        input_bytes=request.input_bytes,
        result_bytes=request.result_bytes,
        stage=work.stage,
        key=work.key,
        takes_inputs=work.takes_inputs,
        inputs=list(work.inputs),
        positions=list(request.positions),
        allowed_regions=region_filter.encode(request.allowed_regions),
        in_time_within_ms=request.in_time_within_ms,
        engine_gain_ms=request.engine_gain_ms,
        is_retry=request.is_retry,
        reports_pace=request.reports_pace,
    )


def _request_from(message: messages.SubmitItems) -> stages.StageRequest:
    return stages.StageRequest(
        service=message.service,
        rank=message.rank,
        objective_in_ms=message.objective_in_ms,
        accept_within_ms=message.accept_within_ms,
        expires_in_ms=message.expires_in_ms,
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
        allowed_regions=region_filter.decode(message.allowed_regions),
        in_time_within_ms=message.in_time_within_ms,
        engine_gain_ms=message.engine_gain_ms,
        is_retry=message.is_retry,
        reports_pace=message.reports_pace,
    )
