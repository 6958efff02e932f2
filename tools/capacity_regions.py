"""Measures the bytes of each stage of the sample pipelines."""

import asyncio
import pathlib
from typing import Any

import attrs

from sycamorebeam import catalogue
from sycamorebeam import catalogue_file
from sycamorebeam import clocks
from sycamorebeam.clients import ports
from sycamorebeam.clients import results
from sycamorebeam.clients import target_client
from sycamorebeam.pipeline import inputs
from sycamorebeam.standins import target_server
from tools import fits

SAMPLES = pathlib.Path(__file__).parents[1] / 'samples'
USERS = ('cedarline', 'kovacik')
TOKENS = (4, 16, 64, 256, 512)
TEXT = 'Why did the level at station 7 fall between two and four at night?'
CLOCK = clocks.Clock()


@attrs.frozen(kw_only=True)
class StageBytes:
    """Bytes that one stage of a sample pipeline transfers, with headers."""

    user: str
    pipeline: str
    stage: str
    kind: str
    tokens: int
    sent: int
    received: int


@attrs.define
class _StandinTargets:
    """One stand-in replica of each kind, and a client that counts bytes."""

    replicas: dict[catalogue.TargetKind, results.Replica]
    client: target_client.HttpTargetClient
    transfers: list[tuple[int, int]]
    calls: int = 0

    async def call(
        self,
        kind: catalogue.TargetKind,
        stage: catalogue.Stage,
        stage_input: dict[str, Any],
    ) -> tuple[dict[str, Any], int, int]:
        """Return the output, sent bytes and received bytes of a stage."""
        self.transfers.clear()
        self.calls += 1
        answer = await self.client.call(
            kind,
            self.replicas[kind],
            ports.Attempt(
                id=f'request-0123456789abcdef.{self.calls:03}',
                operation=stage.operation,
                input=stage_input,
                deadline=clocks.deadline_in(CLOCK, 60_000),
                model=stage.model,
                max_tokens=stage.max_tokens,
                fresh_connection=not stage.idempotent,
            ),
        )
        assert isinstance(answer, results.TargetAnswer), answer
        sent = sum(transfer[0] for transfer in self.transfers)
        received = sum(transfer[1] for transfer in self.transfers)
        return answer.output, sent, received


def measure() -> tuple[list[StageBytes], fits.Series]:
    """Measure the bytes of each stage, and of a stream by its tokens."""
    return asyncio.run(_measure())


async def _measure() -> tuple[list[StageBytes], fits.Series]:
    servers = {
        kind: await target_server.start_target(kind)
        for kind in catalogue.TargetKind
    }
    transfers: list[tuple[int, int]] = []
    client = target_client.new_target_client(
        CLOCK,
        on_bytes=lambda _, sent, received: transfers.append((sent, received)),
    )
    replicas = {
        kind: results.Replica(kind.value, kind.value, server.address, 'a', 'a')
        for kind, server in servers.items()
    }
    standins = _StandinTargets(replicas, client, transfers)
    rows = []
    for user in USERS:
        rows += await _stages_of_user(standins, user)
    series = await _tokens_series(standins)
    await client.close()
    for server in servers.values():
        await server.close()
    return rows, series


async def _stages_of_user(
    standins: _StandinTargets, user: str
) -> list[StageBytes]:
    entries = catalogue_file.load_catalogue_file(
        SAMPLES / user / 'catalogue.jsonc'
    )
    rows: list[StageBytes] = []
    for key, entry in entries.items():
        if not isinstance(entry, catalogue.Pipeline):
            continue
        outputs: dict[str, dict[str, Any]] = {}
        for index, stage in enumerate(entry.stages):
            group = entries[f'target/{stage.target}']
            assert isinstance(group, catalogue.Target)
            needed = inputs.needed_stages(entry, index)
            stage_input = inputs.stage_input(
                group.kind,
                {'text': TEXT},
                {name: outputs[name] for name in needed},
            )
            output, sent, received = await standins.call(
                group.kind, stage, stage_input
            )
            outputs[stage.name] = output
            generates = group.kind is catalogue.TargetKind.ENGINE
            rows.append(
                StageBytes(
                    user=user,
                    pipeline=key.removeprefix('pipeline/'),
                    stage=stage.name,
                    kind=group.kind.value,
                    tokens=stage.max_tokens if generates else 0,
                    sent=sent,
                    received=received,
                )
            )
    return rows


async def _tokens_series(standins: _StandinTargets) -> fits.Series:
    points = []
    for count in TOKENS:
        stage = catalogue.Stage(
            name='g',
            target='engine',
            operation='generate',
            model='m',
            max_tokens=count,
        )
        _, _, received = await standins.call(
            catalogue.TargetKind.ENGINE, stage, {'prompt': TEXT}
        )
        points.append(fits.Point(count, received))
    return fits.Series(
        name='regions.tokens',
        size_unit='tokens',
        value_unit='bytes',
        points=tuple(points),
    )
