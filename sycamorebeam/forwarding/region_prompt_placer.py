"""Asks one instance of a region where prompts go.

Only who knows of all prompts of a region can tell which engine reads the
next one soonest. The pick of that instance is an optimisation: who gets no
answer in time places by what it knows itself.
"""

from collections.abc import Collection

from sycamorebeam import clocks
from sycamorebeam.forwarding import membership
from sycamorebeam.forwarding import model
from sycamorebeam.forwarding import peer_links
from sycamorebeam.forwarding import prompt_placing
from sycamorebeam.forwarding import requests
from sycamorebeam.forwarding import target_choice
from sycamorebeam.forwarding import target_directory
from sycamorebeam.peering import messages

# Some round trips between zones; an engine reads a long prompt in more.
ANSWER_TIMEOUT_MS = 50


class RegionPromptPlacer:
    """Places prompts with the help of other instances, and for them."""

    def __init__(
        self,
        clock: clocks.Clock,
        instances: membership.Membership,
        links: peer_links.PeerLinks,
        directory: target_directory.TargetDirectory,
        chooser: target_choice.TargetChooser,
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._links = links
        self._directory = directory
        self._chooser = chooser
        self._placer = prompt_placing.PromptPlacer()
        self._placed_by: dict[str, peer_links.Link] = {}
        links.add_handler(self._serve)

    async def place(
        self,
        service: str,
        prompt: prompt_placing.Prompt,
        excluded: Collection[str],
    ) -> model.Target | None:
        """Return the engine for a prompt, None when none is left."""
        now_ms = self._clock.monotonic_ms()
        candidates = self._candidates(service, excluded, now_ms)
        placer_id = self._instances.placer(service)
        link = None
        if placer_id != self._instances.own_entry.instance_id:
            link = await self._links.connect(placer_id)
        if link is not None and len(candidates) > 1:
            target_id = await self._ask(link, service, prompt, excluded)
            for target in candidates:
                if target.target_id == target_id:
                    self._placed_by[prompt.attempt_id] = link
                    return target
            # It may be placed there all the same.
            link.send(messages.PromptEnded(prompt.attempt_id))
        return self._place_here(prompt, candidates, now_ms)

    def mark_read(self, attempt_id: str) -> None:
        """Tell that a prompt has been read."""
        link = self._placed_by.get(attempt_id)
        if link is None:
            self._placer.mark_read(attempt_id)
        else:
            link.send(messages.PromptRead(attempt_id))

    def remove(self, attempt_id: str) -> None:
        """Tell that a request has left its engine."""
        link = self._placed_by.pop(attempt_id, None)
        if link is None:
            self._placer.remove(attempt_id)
        else:
            link.send(messages.PromptEnded(attempt_id))

    def _place_here(
        self,
        prompt: prompt_placing.Prompt,
        candidates: Collection[model.Target],
        now_ms: int,
    ) -> model.Target | None:
        self._placer.keep_only(self._directory.targets)
        return self._placer.place(prompt, candidates, now_ms)

    def _candidates(
        self, service: str, excluded: Collection[str], now_ms: int
    ) -> list[model.Target]:
        return self._chooser.near_engines(
            self._directory.usable(service), excluded, now_ms
        )

    async def _ask(
        self,
        link: peer_links.Link,
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
                )
            )
            try:
                answer = await exchange.next(ANSWER_TIMEOUT_MS)
            except peer_links.LinkLostError:
                return None
        if isinstance(answer, messages.PromptPlaced):
            return answer.target_id
        return None

    def _serve(
        self, served: peer_links.InboundLink, message: messages.Message
    ) -> None:
        match message:
            case messages.PlacePrompt(call_id=call_id):
                now_ms = self._clock.monotonic_ms()
                target = self._place_here(
                    prompt_placing.Prompt(
                        attempt_id=message.attempt_id,
                        parts=tuple(
                            requests.PromptPart(part_id, tokens)
                            for part_id, tokens in message.parts
                        ),
                        zone=message.zone,
                        input_bytes=message.input_bytes,
                    ),
                    self._candidates(
                        message.service, message.excluded, now_ms
                    ),
                    now_ms,
                )
                target_id = '' if target is None else target.target_id
                served.stream.send(messages.PromptPlaced(call_id, target_id))
            case messages.PromptRead(attempt_id):
                self._placer.mark_read(attempt_id)
            case messages.PromptEnded(attempt_id):
                self._placer.remove(attempt_id)
