"""Identifies the team and the pipeline of a request."""

import hashlib
import hmac

from sycamorebeam import answers
from sycamorebeam import catalogue
from sycamorebeam.controllers import catalogue_view
from sycamorebeam.filters import chain


class Identity:
    """Sets the request's team and pipeline, or refuses it."""

    def __init__(self, view: catalogue_view.CatalogueView) -> None:
        self._view = view

    async def __call__(
        self, request: chain.Request, proceed: chain.Handler
    ) -> answers.Answer:
        """Pass a request on only with a known team and pipeline."""
        team_name = self._authenticate(request.token)
        if team_name is None:
            return _unauthenticated()
        pipeline = self._view.catalogue.pipeline(request.pipeline_name)
        if pipeline is None:
            return _unknown_pipeline(request.pipeline_name)
        if pipeline.teams and team_name not in pipeline.teams:
            return _forbidden(team_name, request.pipeline_name)
        request.team_name = team_name
        request.team = self._view.catalogue.team(team_name)
        request.pipeline = pipeline
        return await proceed(request)

    def _authenticate(self, token: str | None) -> str | None:
        if not token:
            return None
        digest = hashlib.sha256(token.encode()).hexdigest()
        name = self._view.team_by_digest(digest)
        team = self._view.catalogue.team(name) if name else None
        return name if team and _matches_token(team, digest) else None


def _matches_token(team: catalogue.Team, digest: str) -> bool:
    """Compare all digests, so that timing does not reveal which matches."""
    matches = [
        hmac.compare_digest(known, digest) for known in team.token_sha256
    ]
    return any(matches)


def _unauthenticated() -> answers.Problem:
    return answers.Problem(
        answers.ProblemKind.UNAUTHENTICATED,
        answers.Outcome.NOT_RUN,
        'the request has no token of a known team',
        'send "Authorization: Bearer TOKEN" with the token of your team',
    )


def _unknown_pipeline(name: str) -> answers.Problem:
    return answers.Problem(
        answers.ProblemKind.UNKNOWN_PIPELINE,
        answers.Outcome.NOT_RUN,
        f'no accepted pipeline is called {name!r}',
        'check the name, or publish the pipeline in the catalogue',
    )


def _forbidden(team: str, pipeline: str) -> answers.Problem:
    return answers.Problem(
        answers.ProblemKind.FORBIDDEN,
        answers.Outcome.NOT_RUN,
        f'team {team!r} is not listed for pipeline {pipeline!r}',
        "ask the pipeline's owner to add the team to its entry",
    )
