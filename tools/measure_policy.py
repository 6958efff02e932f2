"""Measures the CPU time of single decisions on the request path."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any

import attrs

from sycamorebeam import catalogue
from sycamorebeam import catalogue_store
from sycamorebeam import clocks
from sycamorebeam import settings
from sycamorebeam.clients import results
from sycamorebeam.controllers import region_link
from sycamorebeam.controllers import target_registry
from sycamorebeam.pipeline import route
from sycamorebeam.policy import quantiles
from sycamorebeam.policy import subset

ENTRIES = (10, 1_000, 27_000)
REPLICAS = (12, 120, 1_200, 12_000)
DURATIONS = 400
MEANS_MS = (20, 2_000)
MIN_CPU_S = 0.15
SEED = 1
LINK_SHARE = 1.0
PLACEMENT = settings.Placement(zone='zone-1', region='region-1')


@attrs.frozen(kw_only=True)
class Cost:
    """The mean time of one decision at one size."""

    decision: str
    size: str
    us: float


@attrs.frozen
class FixedView:
    """A catalogue that does not change."""

    catalogue: catalogue.Catalogue

    def team_by_digest(self, token_sha256: str) -> str | None:
        """Return None: the measured code looks up no team."""
        return None


def measure() -> list[Cost]:
    """Return the costs of all decisions."""
    return asyncio.run(_measure())


async def _measure() -> list[Cost]:
    return [
        *[_weighting_cost(count) for count in ENTRIES],
        *[_quantile_cost(mean_ms) for mean_ms in MEANS_MS],
        *[_choice_cost(count) for count in REPLICAS],
        *[_subset_cost(count) for count in REPLICAS],
    ]


def _weighting_cost(count: int) -> Cost:
    store = catalogue_store.Store()
    common = {'owner': 'measure', 'class': 'normal', 'limits': {}}
    limit = {
        **common,
        'limits': {'bytes_per_s': 1_000_000},
        'resource': 'region_link',
        'weighting': 'cost',
    }
    store.put('limit/region-link', catalogue_store.pack(0, limit))
    for number in range(count - 1):
        team = {**common, 'token_sha256': [f'{number:064x}']}
        store.put(f'team/team-{number}', catalogue_store.pack(0, team))
    view = FixedView(catalogue.Catalogue(0, store.view()))
    link = region_link.RegionLink(view, clocks.Clock(), LINK_SHARE)
    return Cost(
        decision='weighting of a request',
        size=f'{count:,} entries',
        us=_mean_us(lambda: link.weighting),
    )


def _quantile_cost(mean_ms: float) -> Cost:
    durations = _durations(mean_ms)

    def decide() -> None:
        durations.add(mean_ms)
        durations.quantile_ms(0.5)

    return Cost(
        decision='add a duration and read the median',
        size=f'mean {mean_ms:,.0f} ms',
        us=_mean_us(decide),
    )


def _durations(mean_ms: float) -> quantiles.RecentDurations:
    generator = random.Random(SEED)
    durations = quantiles.RecentDurations()
    for _ in range(DURATIONS):
        durations.add(generator.expovariate(1 / mean_ms))
    return durations


def _choice_cost(count: int) -> Cost:
    registry = target_registry.TargetRegistry(
        'instance-1', PLACEMENT, clocks.Clock(), subset.SubsetSizes()
    )
    registry.apply_list(_replicas(count))
    for state in registry.groups['group'].values():
        state.durations = _durations(MEANS_MS[0])
    view = FixedView(catalogue.Catalogue())
    link = region_link.RegionLink(view, clocks.Clock(), LINK_SHARE)
    router = route.Router(registry, clocks.Clock(), random.Random(SEED), link)
    weighting_mode = catalogue.Weighting.ATTAINMENT
    return Cost(
        decision='choose a replica',
        size=f'{count:,} replicas',
        us=_mean_us(lambda: router.choose('group', weighting_mode)),
    )


def _subset_cost(count: int) -> Cost:
    registry = target_registry.TargetRegistry(
        'instance-1', PLACEMENT, clocks.Clock(), subset.SubsetSizes()
    )
    replicas = _replicas(count)
    return Cost(
        decision='take in a new instance list',
        size=f'{count:,} replicas',
        us=_mean_us(lambda: registry.apply_list(replicas)),
    )


def _replicas(count: int) -> list[results.Replica]:
    placements = (
        ('zone-1', 'region-1'),
        ('zone-2', 'region-1'),
        ('zone-3', 'region-2'),
    )
    return [
        results.Replica(
            f'replica-{number}',
            'group',
            f'10.0.0.1:{number}',
            *placements[index],
        )
        for number in range(count)
        for index in [number % len(placements)]
    ]


def _mean_us(decide: Callable[[], object]) -> float:
    decide()
    repeats = 0
    started_s = time.process_time()
    while time.process_time() - started_s < MIN_CPU_S:
        decide()
        repeats += 1
    return (time.process_time() - started_s) / repeats * 1_000_000


def rows(costs: list[Cost]) -> list[list[str]]:
    """Return the rows of the page's table."""
    return [[cost.decision, cost.size, f'{cost.us:.1f}'] for cost in costs]


def document(costs: list[Cost]) -> list[dict[str, Any]]:
    """Return the costs as plain data for JSON."""
    return [attrs.asdict(cost) for cost in costs]


def main() -> None:
    """Print the costs."""
    for cost in measure():
        print(f'{cost.decision:<40}{cost.size:>18}{cost.us:>12.1f} us')


if __name__ == '__main__':
    main()
