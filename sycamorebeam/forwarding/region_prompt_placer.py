"""Places prompts on one instance for all instances of a region.

Only an instance that has all prompts of a region can compute which engine
reads the next one first. Its choice is an optimisation: an instance that
gets no answer in time places the prompt from its own data.
"""

from collections.abc import Collection

from sycamorebeam import clocks
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import peer_link
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import prompt_placing
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.forwarding.cold_targets import cold_targets
from sycamorebeam.forwarding.regions import region_filter
from sycamorebeam.peering import messages

# A few round trips between zones, and less than the prefill of a long prompt.
ANSWER_TIMEOUT_MS = 50


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
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._links = links
        self._directory = directory
        self._chooser = chooser
        self._cold = cold
        self._placer = prompt_placing.PromptPlacer()
        self._link_by_attempt: dict[str, peer_link.Link] = {}
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
        placer_id = self._instances.placer(
            service,
            self._cold.placing_region(
                self._placing_region(prompt), service, candidates
            ),
        )
        link = None
        if placer_id != self._instances.own_entry.instance_id:
            link = await self._links.connect(placer_id)
        if link is not None and (
            len(candidates) > 1 or self._cold.applies_to(service)
        ):
            target_id = await self._request_placement(
                link, service, prompt, excluded
            )
            for target in candidates:
                if target.target_id == target_id:
                    self._link_by_attempt[prompt.attempt_id] = link
                    return target
            # The placer may have recorded the prompt nevertheless.
            link.send(messages.PromptEnded(prompt.attempt_id))
        return self._place_locally(prompt, candidates, now_ms)

    def mark_read(self, attempt_id: str) -> None:
        """Report to the placer that an engine has read all of a prompt."""
        link = self._link_by_attempt.get(attempt_id)
        if link is None:
            self._placer.mark_read(attempt_id)
        else:
            link.send(messages.PromptRead(attempt_id))

    def remove(self, attempt_id: str) -> None:
        """Report to the placer that a request has ended."""
        link = self._link_by_attempt.pop(attempt_id, None)
        if link is None:
            self._placer.remove(attempt_id)
        else:
            link.send(messages.PromptEnded(attempt_id))

    def _place_locally(
        self,
        prompt: prompt_placing.Prompt,
        candidates: Collection[model.Target],
        now_ms: int,
    ) -> model.Target | None:
        self._placer.keep_only(self._directory.targets)
        preferred = self._cold.preferred(candidates)
        target = self._placer.place(prompt, preferred, now_ms)
        if target is not None:
            self._cold.take(target)
        return target

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
    ) -> str | None:
        with link.exchange() as exchange:
            link.send(
                messages.PlacePrompt(
                    exchange.call_id,
                    service,
                    prompt.attempt_id,
                    [[part.part_id, part.tokens] for part in prompt.parts],
                    prompt.zone,
                    prompt.input_bytes,
                    list(excluded),
                    region_filter.encode(prompt.allowed_regions),
                )
            )
            try:
                answer = await exchange.next(ANSWER_TIMEOUT_MS)
            except peer_link.LinkLostError:
                return None
        if isinstance(answer, messages.PromptPlaced):
            return answer.target_id
        return None

    def _on_message(
        self, inbound: peer_links.InboundLink, message: messages.Message
    ) -> None:
        match message:
            case messages.PlacePrompt(call_id=call_id):
                now_ms = self._clock.monotonic_ms()
                allowed = region_filter.decode(message.allowed_regions)
                target = self._place_locally(
                    prompt_placing.Prompt(
                        attempt_id=message.attempt_id,
                        parts=tuple(
                            requests.PromptPart(part_id, tokens)
                            for part_id, tokens in message.parts
                        ),
                        zone=message.zone,
                        input_bytes=message.input_bytes,
                        allowed_regions=allowed,
                    ),
                    self._candidates(
                        message.service, message.excluded, allowed, now_ms
                    ),
                    now_ms,
                )
                target_id = '' if target is None else target.target_id
                inbound.stream.send(messages.PromptPlaced(call_id, target_id))
            case messages.PromptRead(attempt_id):
                self._placer.mark_read(attempt_id)
            case messages.PromptEnded(attempt_id):
                self._placer.remove(attempt_id)
