"""Places prompts on one instance for all instances of a region.

Only an instance that has all prompts of a region can compute which engine
reads the next one first. Its choice is an optimisation: an instance that
gets no answer in time places the prompt from its own data.
"""

from collections.abc import Collection
from typing import Any

from sycamorebeam import clocks
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import peer_link
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import preparation
from sycamorebeam.forwarding import prompt_placing
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.cold_targets import cold_targets
from sycamorebeam.forwarding.placement import timed_placer as timed_placing
from sycamorebeam.forwarding.regions import region_filter
from sycamorebeam.peering import messages
from sycamorebeam.peering import placement_messages

# A few round trips between zones, and less than the prefill of a long prompt.
ANSWER_TIMEOUT_MS = 50
MAX_PLACERS_ASKED = 2


class RegionPromptPlacer:
    """Places prompts through the placer of the region, or as the placer."""

    def __init__(
        self,
        clock: clocks.Clock,
        instances: membership.Membership,
        links: peer_links.PeerLinks,
        directory: target_directory.TargetDirectory,
        chooser: target_choice.TargetChooser,
        cold: cold_targets.ColdTargets,
        timed_placer: timed_placing.TimedPlacer | None = None,
        find_service: preparation.ServiceLookup = lambda name: None,
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._links = links
        self._directory = directory
        self._chooser = chooser
        self._cold = cold
        self._placer = prompt_placing.PromptPlacer()
        # Used for services whose engines report their pace.
        self._timed_placer = timed_placer
        self._find_service = find_service
        self._link_by_attempt: dict[str, tuple[peer_link.Link, str]] = {}
        links.add_handler(self._on_message)

    async def place(
        self,
        service: str,
        prompt: prompt_placing.Prompt,
        excluded: Collection[str],
    ) -> model.Target | None:
        """Return the engine for a prompt, None if all are excluded."""
        now_ms = self._clock.monotonic_ms()
        candidates = self._candidates(
            service, excluded, prompt.allowed_regions, now_ms
        )
        if len(candidates) > 1 or self._cold.applies_to(service):
            placer_ids = self._placers(service, prompt, candidates)
        else:
            placer_ids = []
        for placer_id in placer_ids:
            if placer_id == self._instances.own_entry.instance_id:
                if self._cold.preferred(candidates):
                    break
                # This instance has no share left; the next placer may.
                continue
            link = await self._links.connect(placer_id)
            if link is None:
                continue
            # Set before the wait, so that remove() notifies the placer also
            # of a request that is cancelled meanwhile.
            self._link_by_attempt[prompt.attempt_id] = link, service
            placed = await self._request_placement(
                link, service, prompt, excluded
            )
            for target in candidates:
                if placed and target.target_id == placed.target_id:
                    return target
            self._link_by_attempt.pop(prompt.attempt_id, None)
            if placed is not None and placed.lacks_memory:
                return None
            # The placer may have recorded the prompt nevertheless.
            link.send(placement_messages.PromptEnded(prompt.attempt_id))
        return self._place_locally(service, prompt, candidates, now_ms)

    def mark_read(self, attempt_id: str) -> None:
        """Report to the placer that an engine has read all of a prompt."""
        placer = self._link_by_attempt.get(attempt_id)
        if placer is None:
            self._mark_read_here(attempt_id)
        else:
            link, service = placer
            link.send(
                placement_messages.PromptRead(
                    attempt_id, service, self._take_rows(service)
                )
            )

    def remove(self, attempt_id: str) -> None:
        """Report to the placer that a request has ended."""
        placer = self._link_by_attempt.pop(attempt_id, None)
        if placer is None:
            self._remove_here(attempt_id)
        else:
            link, service = placer
            link.send(
                placement_messages.PromptEnded(
                    attempt_id, service, self._take_rows(service)
                )
            )

    def _mark_read_here(self, attempt_id: str) -> None:
        self._placer.mark_read(attempt_id)
        if self._timed_placer is not None:
            now_ms = self._clock.monotonic_ms()
            self._timed_placer.mark_read(attempt_id, now_ms)

    def _remove_here(self, attempt_id: str) -> None:
        self._placer.remove(attempt_id)
        if self._timed_placer is not None:
            self._timed_placer.remove(attempt_id, self._clock.monotonic_ms())

    def _take_rows(self, service: str) -> list[list[Any]]:
        """Return the loads of engines that the placer has not been sent."""
        return self._chooser.loads.take_rows(
            service, self._clock.monotonic_ms()
        )

    def _add_rows(self, service: str, rows: list[list[Any]]) -> None:
        self._chooser.loads.add_rows(service, rows, self._clock.monotonic_ms())

    def _place_locally(
        self,
        service: str,
        prompt: prompt_placing.Prompt,
        candidates: Collection[model.Target],
        now_ms: int,
    ) -> model.Target | None:
        self._placer.keep_only(self._directory.targets)
        preferred = self._cold.preferred(candidates)
        target = self._choose(service, prompt, preferred, now_ms)
        if target is not None:
            self._cold.take(target)
        return target

    def _choose(
        self,
        service: str,
        prompt: prompt_placing.Prompt,
        candidates: Collection[model.Target],
        now_ms: int,
    ) -> model.Target | None:
        found = self._find_service(service)
        if (
            self._timed_placer is not None
            and found is not None
            and self._chooser.loads.is_paced(service, now_ms)
        ):
            self._timed_placer.keep_only(self._directory.targets)
            return self._timed_placer.place(found, prompt, candidates, now_ms)
        return self._placer.place(prompt, candidates, now_ms)

    def _placers(
        self,
        service: str,
        prompt: prompt_placing.Prompt,
        candidates: Collection[model.Target],
    ) -> list[str]:
        """Return the instances to ask for a placement, in this order.

        Where targets may be cold a second placer has a share of its own,
        which the requester lacks.
        """
        region = self._placing_region(prompt)
        if not self._cold.applies_to(service):
            return [self._instances.placer(service, region)]
        region = self._cold.placing_region(region, service, candidates)
        ranked = self._instances.placers_by_listing(service, region)
        return ranked[:MAX_PLACERS_ASKED]

    def _placing_region(self, prompt: prompt_placing.Prompt) -> str:
        """Return the region whose placer knows the load of the engines."""
        own_region = self._instances.own_entry.region
        allowed = prompt.allowed_regions
        if not allowed or own_region in allowed:
            return own_region
        return min(allowed)

    def _candidates(
        self,
        service: str,
        excluded: Collection[str],
        allowed: region_filter.AllowedRegions,
        now_ms: int,
    ) -> list[model.Target]:
        usable = self._directory.usable(service)
        return self._chooser.near_engines(
            self._chooser.only_allowed(usable, allowed), excluded, now_ms
        )

    async def _request_placement(
        self,
        link: peer_link.Link,
        service: str,
        prompt: prompt_placing.Prompt,
        excluded: Collection[str],
    ) -> placement_messages.PromptPlaced | None:
        with link.exchange() as exchange:
            link.send(
                placement_messages.PlacePrompt(
                    exchange.call_id,
                    service,
                    prompt.attempt_id,
                    [[part.part_id, part.tokens] for part in prompt.parts],
                    prompt.zone,
                    prompt.input_bytes,
                    list(excluded),
                    region_filter.encode(prompt.allowed_regions),
                    prompt.output_tokens,
                    prompt.caller_zone,
                    prompt.objective_in_ms,
                    self._take_rows(service),
                )
            )
            try:
                answer = await exchange.next(ANSWER_TIMEOUT_MS)
            except peer_link.LinkLostError:
                return None
        if isinstance(answer, placement_messages.PromptPlaced):
            return answer
        return None

    def _on_message(
        self, inbound: peer_links.InboundLink, message: messages.Message
    ) -> None:
        match message:
            case placement_messages.PlacePrompt(call_id=call_id):
                now_ms = self._clock.monotonic_ms()
                allowed = region_filter.decode(message.allowed_regions)
                self._add_rows(message.service, message.loads)
                candidates = self._candidates(
                    message.service, message.excluded, allowed, now_ms
                )
                target = self._place_locally(
                    message.service,
                    prompt_placing.Prompt(
                        attempt_id=message.attempt_id,
                        parts=tuple(
                            requests.PromptPart(part_id, tokens)
                            for part_id, tokens in message.parts
                        ),
                        zone=message.zone,
                        input_bytes=message.input_bytes,
                        allowed_regions=allowed,
                        output_tokens=message.output_tokens,
                        caller_zone=message.caller_zone,
                        objective_in_ms=message.objective_in_ms,
                    ),
                    candidates,
                    now_ms,
                )
                target_id = '' if target is None else target.target_id
                # Without a share left, another placer may have one.
                lacks_memory = target is None and bool(
                    self._cold.preferred(candidates)
                )
                inbound.stream.send(
                    placement_messages.PromptPlaced(
                        call_id, target_id, lacks_memory
                    )
                )
            case placement_messages.PromptRead(attempt_id, service, loads):
                self._add_rows(service, loads)
                self._mark_read_here(attempt_id)
            case placement_messages.PromptEnded(attempt_id, service, loads):
                self._add_rows(service, loads)
                self._remove_here(attempt_id)
