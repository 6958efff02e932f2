"""Computes the figures of ``docs/CAPACITY.md`` for the required fleet.

Every figure is slope x size + intercept of a measured series. Where the
requirements name no size, ``Fleet`` has an assumption, and the page lists it.
"""

from collections.abc import Iterable

import attrs

from sycamorebeam import batching
from sycamorebeam import claim_partition
from sycamorebeam.controllers import catalogue_follower
from sycamorebeam.controllers import claims_controller
from sycamorebeam.controllers import snapshot_scheduler
from sycamorebeam.controllers import target_registry
from sycamorebeam.policy import subset
from tools import capacity_regions
from tools import fits

DAY_S = 86_400
YEAR_DAYS = 365
CPU_MS_PER_S = 19
STATE_BYTES = 32_000_000
BYTES_PER_S = 4_000
CORE_MS_PER_S = 1_000
LOG_APPENDS_PER_S = 300
LINK_BYTES_PER_S = 15_000_000 / 8
PARTITIONS = 16
WINDOW_MS = 3_600_000
SETTING_APPENDS_PER_S = 40.0
NOT_MEASURED = float('nan')


@attrs.frozen(kw_only=True)
class Fleet:
    """The sizes of the required fleet; the last ones are assumptions."""

    instances: int = 410
    replicas: int = 12_000
    requests_per_s: int = 9_000
    tokens_per_s: int = 3_100_000
    pipelines: int = 24
    stages: float = 4.5
    teams: int = 27_000
    zones: int = 33
    changes_a_day: int = 21_000
    failed_a_day: int = 150
    restarted_a_day: int = 1_100
    groups: int = 28
    claim_share: float = 0.01
    edits: int = 1
    in_flight_s: float = 3.0


FLEET = Fleet()


@attrs.frozen
class Slopes:
    """The fitted lines, and the points of series without a line."""

    _lines: dict[str, fits.Fit]
    _single: dict[str, fits.Point]

    def at(self, name: str, size: float) -> float:
        """Return the value of a series at a size."""
        return self._lines[name].at(size)

    def slope(self, name: str) -> float:
        """Return the cost of one more unit of size."""
        return self._lines[name].slope

    def single(self, name: str) -> fits.Point:
        """Return the point of a series that was measured at one size."""
        return self._single[name]


@attrs.frozen(kw_only=True)
class BudgetLine:
    """One line of the budget.

    ``max_size`` is the size up to which the budget is kept, ``replacement``
    the mechanism that would be needed beyond it.
    """

    label: str
    formula: str
    value: float
    budget: float
    unit: str
    max_size: float
    max_size_unit: str
    replacement: str = ''

    @property
    def budget_share(self) -> float:
        """The share of the budget that is used."""
        return self.value / self.budget


@attrs.frozen
class Fact:
    """One figure and its formula."""

    label: str
    formula: str
    value: float
    unit: str


@attrs.frozen(kw_only=True)
class Role:
    """The costs of a role on one instance; None where it is not built."""

    name: str
    state_bytes: float | None
    bytes_per_s: float | None
    cpu_ms_per_s: float | None
    mechanism: str


@attrs.frozen(kw_only=True)
class AppendKind:
    """The appends of one kind of record in the whole fleet."""

    kind: str
    formula: str
    per_s: float

    @property
    def share(self) -> float:
        """The share of the log's limit that is used."""
        return self.per_s / LOG_APPENDS_PER_S


@attrs.frozen
class Placement:
    """The kinds of stages that run outside the region of the caller."""

    name: str
    remote_kinds: frozenset[str]


POOLS = ('encode', 'retrieve', 'rerank')
PLACEMENTS = (
    Placement('none', frozenset()),
    Placement('services', frozenset({'service'})),
    Placement('pools', frozenset({'pool'})),
    Placement('engine', frozenset({'engine'})),
    Placement('pools and engine', frozenset({'pool', 'engine'})),
    Placement('all', frozenset({'pool', 'engine', 'service'})),
)


def assumptions() -> Iterable[Fact]:
    """Yield the sizes that the requirements do not name."""
    yield Fact('groups of targets', '4 engines, 1 a pipeline', 28, 'groups')
    yield Fact('stages of a pipeline', 'three to six', FLEET.stages, 'stages')
    yield Fact(
        'requests that need a claim', '1 in 100', FLEET.claim_share, 'of all'
    )
    yield Fact('edits of a change', '1', FLEET.edits, 'edits')
    yield Fact(
        'time of a request', 'the whole deadline', FLEET.in_flight_s, 's'
    )
    yield Fact(
        'appends that the log takes',
        'several hundred',
        LOG_APPENDS_PER_S,
        'appends/s',
    )


def claims_per_s() -> float:
    """Return the claims per second of the whole fleet."""
    return FLEET.requests_per_s * FLEET.claim_share


def list_versions_per_s() -> float:
    """Return how often the instance list changes.

    Each instance that fails or restarts leaves the list and comes back.
    """
    return 2 * (FLEET.failed_a_day + FLEET.restarted_a_day) / DAY_S


def replicas_in_use() -> float:
    """Return the replicas in the subsets of one instance."""
    sizes = subset.SubsetSizes()
    each = sizes.same_zone + sizes.same_region + sizes.other_regions
    return float(FLEET.groups * each)


def polls_per_s() -> float:
    """Return the load polls per second of one instance."""
    return 1000 / target_registry.LOAD_POLL_MS


def ticks_per_s() -> float:
    """Return the ticks per second of the whole fleet."""
    ticking = min(FLEET.instances, claims_controller.TICKING_INSTANCES)
    return ticking * (
        claims_controller.TICKS_PER_WINDOW * PARTITIONS * 1000 / WINDOW_MS
    )


def snapshots_a_day() -> float:
    """Return the snapshots a day, by records and by age."""
    by_records = FLEET.changes_a_day / snapshot_scheduler.MAX_RECORDS_BEHIND
    return by_records + DAY_S * 1000 / snapshot_scheduler.MAX_AGE_MS


def list_item_count() -> int:
    """Return the number of items in the instance list."""
    return FLEET.replicas + FLEET.instances


def changes_per_s() -> float:
    """Return the changes of the catalogue per second."""
    return FLEET.changes_a_day / DAY_S


def change_bytes(slopes: Slopes) -> float:
    """Return the bytes of one change, with one HTTP exchange."""
    record_bytes = slopes.at('catalogue.change_bytes', FLEET.edits)
    return record_bytes + slopes.slope('polls.bytes')


def kept_keys() -> float:
    """Return the keys that one instance keeps for all partitions."""
    in_window = claims_per_s() * WINDOW_MS / 1000
    return min(in_window, PARTITIONS * claim_partition.MAX_KEYS)


def claim_read_bytes(slopes: Slopes) -> float:
    """Return the bytes that each instance reads for a claim and its outcome.

    Each partition is polled on its own with long polls, so that two records
    seldom share a response.
    """
    exchange_bytes = slopes.slope('polls.bytes')
    return slopes.slope('claims.log_bytes') + 2 * exchange_bytes


def claim_cpu_ms(slopes: Slopes) -> float:
    """Return the CPU time of reading one claim and its outcome."""
    exchange_cpu_ms = slopes.slope('polls.cpu')
    return slopes.slope('claims.fold') + 2 * exchange_cpu_ms


def claim_appends_per_s(slopes: Slopes) -> float:
    """Return the appends per second for claims and outcomes of the fleet."""
    each = 2 * claims_per_s() / FLEET.instances
    return FLEET.instances * min(
        each, slopes.at('claims.appends', each) if each > 5 else each
    )


def lines(slopes: Slopes) -> list[BudgetLine]:
    """Return every line of the budget of one instance and of the log."""
    control_lines = [
        *_list_lines(slopes),
        *_poll_lines(slopes),
        *_claim_lines(slopes),
        *_catalogue_lines(slopes),
        *_peer_lines(slopes),
    ]
    return [
        *control_lines,
        *_totals(control_lines),
        *_limit_lines(),
        *_log_lines(slopes),
        *_path_lines(slopes),
    ]


def _totals(control_lines: list[BudgetLine]) -> Iterable[BudgetLine]:
    """Yield the sums of the lines that share one budget."""
    for unit, name in (
        ('bytes/s', 'bytes'),
        ('ms/s', 'CPU'),
        ('bytes', 'memory, peaks included'),
    ):
        shared = [line for line in control_lines if line.unit == unit]
        total = sum(line.value for line in shared)
        budget = shared[0].budget
        yield BudgetLine(
            label=f'all control, {name}',
            formula='the lines of this budget together',
            value=total,
            budget=budget,
            unit=unit,
            max_size=FLEET.instances * budget / total,
            max_size_unit='instances, were all of it to grow with them',
            replacement='as for its parts',
        )


def _list_lines(slopes: Slopes) -> Iterable[BudgetLine]:
    size = list_item_count()
    rate = list_versions_per_s()
    sent_bytes = rate * slopes.at('list.answer', size)
    yield BudgetLine(
        label='instance list, bytes',
        formula=f'{rate:.3f} versions/s x `list.answer` at {size:,}',
        value=sent_bytes,
        budget=BYTES_PER_S,
        unit='bytes/s',
        max_size=size * BYTES_PER_S / sent_bytes,
        max_size_unit='items at this rate of versions',
        replacement='changes since a version in place of the whole list',
    )
    version_cpu_ms = slopes.at('list.parse', size) + slopes.at(
        'targets.replace', size
    )
    yield BudgetLine(
        label='instance list, CPU',
        formula=f'{rate:.3f} versions/s x (`list.parse` + `targets.replace`)',
        value=rate * version_cpu_ms,
        budget=CPU_MS_PER_S,
        unit='ms/s',
        max_size=size * CPU_MS_PER_S / (rate * version_cpu_ms),
        max_size_unit='items',
    )
    peak_bytes = slopes.at('list.peak', size)
    yield BudgetLine(
        label='instance list, memory while it is read',
        formula=f'`list.peak` at {size:,}',
        value=peak_bytes,
        budget=STATE_BYTES,
        unit='bytes',
        max_size=size * STATE_BYTES / peak_bytes,
        max_size_unit='items',
    )


def _poll_lines(slopes: Slopes) -> Iterable[BudgetLine]:
    rate = polls_per_s()
    sent_bytes = rate * slopes.slope('polls.bytes')
    yield BudgetLine(
        label='load polls, bytes',
        formula=f'{rate:.1f} polls/s x `polls.bytes`',
        value=sent_bytes,
        budget=BYTES_PER_S,
        unit='bytes/s',
        max_size=replicas_in_use() * BYTES_PER_S / sent_bytes,
        max_size_unit='replicas in use',
        replacement='load in the answers of calls; polls for idle replicas '
        'only',
    )
    cpu_ms = rate * slopes.slope('polls.cpu')
    yield BudgetLine(
        label='load polls, CPU',
        formula=f'{rate:.1f} polls/s x `polls.cpu`',
        value=cpu_ms,
        budget=CPU_MS_PER_S,
        unit='ms/s',
        max_size=replicas_in_use() * CPU_MS_PER_S / cpu_ms,
        max_size_unit='replicas in use',
        replacement='as for the bytes',
    )
    state_bytes = slopes.at('targets.state', replicas_in_use())
    yield BudgetLine(
        label='targets, state',
        formula=f'`targets.state` at {replicas_in_use():.0f} in use',
        value=state_bytes,
        budget=STATE_BYTES,
        unit='bytes',
        max_size=replicas_in_use() * STATE_BYTES / state_bytes,
        max_size_unit='replicas in use',
        replacement='smaller subsets of the groups that this instance uses '
        'little',
    )


def _claim_lines(slopes: Slopes) -> Iterable[BudgetLine]:
    rate = claims_per_s()
    read_bytes = rate * claim_read_bytes(slopes)
    replacement = 'a home for each partition, see below'
    yield BudgetLine(
        label='claims, bytes read by every instance',
        formula=f'{rate:.0f} claims/s x (`claims.log_bytes` '
        '+ 2 `polls.bytes`)',
        value=read_bytes,
        budget=BYTES_PER_S,
        unit='bytes/s',
        max_size=rate * BYTES_PER_S / read_bytes,
        max_size_unit='claims/s in the fleet',
        replacement=replacement,
    )
    cpu_ms = rate * claim_cpu_ms(slopes)
    yield BudgetLine(
        label='claims, CPU of reading',
        formula=f'{rate:.0f} claims/s x (`claims.fold` + 2 `polls.cpu`)',
        value=cpu_ms,
        budget=CPU_MS_PER_S,
        unit='ms/s',
        max_size=rate * CPU_MS_PER_S / cpu_ms,
        max_size_unit='claims/s in the fleet',
        replacement=replacement,
    )
    tick_bytes = ticks_per_s() * slopes.slope('polls.bytes')
    yield BudgetLine(
        label='claims, ticks read by every instance',
        formula=f'{ticks_per_s():.2f} ticks/s x `polls.bytes`',
        value=tick_bytes,
        budget=BYTES_PER_S,
        unit='bytes/s',
        max_size=float('inf'),
        max_size_unit='',
    )
    state_bytes = slopes.at('claims.state', kept_keys())
    yield BudgetLine(
        label='claims, state',
        formula=f'`claims.state` at {kept_keys():,.0f} keys',
        value=state_bytes,
        budget=STATE_BYTES,
        unit='bytes',
        max_size=rate * STATE_BYTES / state_bytes,
        max_size_unit='claims/s in the fleet',
        replacement=replacement,
    )


def _catalogue_lines(slopes: Slopes) -> Iterable[BudgetLine]:
    teams = FLEET.teams
    state_bytes = slopes.at('catalogue.state', teams)
    state_bytes += 2 * slopes.at('catalogue.in_force', teams)
    state_bytes += catalogue_follower.RECENT_BYTES
    yield BudgetLine(
        label='catalogue, state',
        formula='`catalogue.state` + 2 `catalogue.in_force` + recent records',
        value=state_bytes,
        budget=STATE_BYTES,
        unit='bytes',
        max_size=teams * STATE_BYTES / state_bytes,
        max_size_unit='teams',
        replacement='',
    )
    peak_bytes = slopes.at('catalogue.start_peak', teams)
    yield BudgetLine(
        label='catalogue, memory at the start',
        formula='`catalogue.start_peak`',
        value=peak_bytes,
        budget=STATE_BYTES,
        unit='bytes',
        max_size=teams * STATE_BYTES / peak_bytes,
        max_size_unit='teams',
        replacement='chunks read and dropped one by one',
    )
    read_bytes = changes_per_s() * change_bytes(slopes)
    yield BudgetLine(
        label='catalogue, changes read',
        formula=f'{changes_per_s():.3f} changes/s x (`catalogue.change_bytes` '
        '+ `polls.bytes`)',
        value=read_bytes,
        budget=BYTES_PER_S,
        unit='bytes/s',
        max_size=FLEET.changes_a_day * BYTES_PER_S / read_bytes,
        max_size_unit='changes a day',
    )
    change_cpu_ms = slopes.at('catalogue.change', teams) + slopes.slope(
        'polls.cpu'
    )
    yield BudgetLine(
        label='catalogue, CPU of changes',
        formula=f'{changes_per_s():.3f} changes/s x (`catalogue.change` '
        '+ `polls.cpu`)',
        value=changes_per_s() * change_cpu_ms,
        budget=CPU_MS_PER_S,
        unit='ms/s',
        max_size=CPU_MS_PER_S / change_cpu_ms * DAY_S,
        max_size_unit='changes a day',
    )
    manifest_bytes = slopes.at('snapshot.manifest', 512)
    poll_bytes = (
        slopes.slope('polls.bytes') * 1000 / snapshot_scheduler.CHECK_MS
    )
    poll_bytes += snapshots_a_day() * manifest_bytes / DAY_S
    yield BudgetLine(
        label='snapshots, looking at the newest',
        formula=f'`polls.bytes` every {snapshot_scheduler.CHECK_MS // 1000} s '
        f'+ {snapshots_a_day():.0f} a day x `snapshot.manifest`',
        value=poll_bytes,
        budget=BYTES_PER_S,
        unit='bytes/s',
        max_size=512 * BYTES_PER_S / poll_bytes,
        max_size_unit='audit rows in a manifest',
    )


def _peer_lines(slopes: Slopes) -> Iterable[BudgetLine]:
    count = FLEET.instances
    ping_bytes = 2 * slopes.at('peers.most_bytes', count)
    yield BudgetLine(
        label='peers, pings both ways at the busiest instance',
        formula=f'2 `peers.most_bytes` at {count}',
        value=ping_bytes,
        budget=BYTES_PER_S,
        unit='bytes/s',
        max_size=float('inf'),
        max_size_unit='',
    )
    announcement_bytes = (
        list_versions_per_s() / 2 * 2 * slopes.at('peers.news', count)
    )
    yield BudgetLine(
        label='peers, news of leaving targets both ways',
        formula=f'{list_versions_per_s() / 2:.4f} news/s x 2 `peers.news`',
        value=announcement_bytes,
        budget=BYTES_PER_S,
        unit='bytes/s',
        max_size=float('inf'),
        max_size_unit='',
    )
    yield BudgetLine(
        label='peers, CPU',
        formula=f'`peers.cpu` at {count}',
        value=slopes.at('peers.cpu', count),
        budget=CPU_MS_PER_S,
        unit='ms/s',
        max_size=float('inf'),
        max_size_unit='',
    )


def _limit_lines() -> Iterable[BudgetLine]:
    smallest = 16
    yield BudgetLine(
        label=f'limits, concurrency of a team that may have {smallest}',
        formula='at least 1 at each instance',
        value=FLEET.instances,
        budget=smallest,
        unit='requests at once',
        max_size=smallest,
        max_size_unit='instances',
        replacement='shares leased from a home of the team, see below',
    )


def _log_lines(slopes: Slopes) -> Iterable[BudgetLine]:
    total = sum(item.per_s for item in appends(slopes))
    yield BudgetLine(
        label='log, appends of all kinds',
        formula='the table below',
        value=total,
        budget=LOG_APPENDS_PER_S,
        unit='appends/s',
        max_size=claims_per_s() * LOG_APPENDS_PER_S / total,
        max_size_unit='claims/s in the fleet',
    )
    allowed = min(LOG_APPENDS_PER_S, FLEET.instances * SETTING_APPENDS_PER_S)
    yield BudgetLine(
        label='log, appends that the settings allow',
        formula='`log_appends_per_s` of each, '
        'at most `log_limit_appends_per_s`',
        value=allowed,
        budget=LOG_APPENDS_PER_S,
        unit='appends/s',
        max_size=float('inf'),
        max_size_unit='',
    )
    allowed_after_outage = allowed * batching.MIN_RATE_SHARE + FLEET.instances
    yield BudgetLine(
        label='log, appends in the first second after an outage',
        formula=f'{batching.MIN_RATE_SHARE} of the above + 1 saved by each',
        value=allowed_after_outage,
        budget=LOG_APPENDS_PER_S,
        unit='appends/s',
        max_size=LOG_APPENDS_PER_S * (1 - batching.MIN_RATE_SHARE),
        max_size_unit='instances',
        replacement='nothing saved up by an instance that was refused',
    )


def request_ms(slopes: Slopes) -> float:
    """Return the CPU time of one request without its tokens."""
    return (
        slopes.at('path.stages', FLEET.stages)
        + slopes.slope('path.teams') * FLEET.teams
    )


def path_ms_per_s(slopes: Slopes) -> float:
    """Return the CPU time per second of the request path of an instance."""
    requests = FLEET.requests_per_s / FLEET.instances
    tokens = FLEET.tokens_per_s / FLEET.instances
    return requests * request_ms(slopes) + tokens * slopes.slope('path.tokens')


def _path_lines(slopes: Slopes) -> Iterable[BudgetLine]:
    yield BudgetLine(
        label='request path, CPU of the core that serves it',
        formula='`path.stages` + `path.teams` a request, '
        '`path.tokens` a token',
        value=path_ms_per_s(slopes),
        budget=CORE_MS_PER_S - CPU_MS_PER_S,
        unit='ms/s',
        max_size=FLEET.requests_per_s
        * (CORE_MS_PER_S - CPU_MS_PER_S)
        / path_ms_per_s(slopes),
        max_size_unit='requests/s in the fleet',
        replacement='more instances, or tokens passed on in groups',
    )
    idle = slopes.single('path.idle')
    yield BudgetLine(
        label='an instance without load, resident memory',
        formula='`path.idle`: the program, its libraries and this measurement',
        value=idle.value,
        budget=STATE_BYTES,
        unit='bytes',
        max_size=0,
        max_size_unit='instances',
        replacement='fewer imports; the program itself is not control state',
    )


def appends(slopes: Slopes) -> list[AppendKind]:
    """Return the appends of the fleet by kind of record."""
    appends_per_snapshot = slopes.at('snapshot.appends', FLEET.teams)
    return [
        AppendKind(
            kind='claims and their outcomes',
            formula=f'2 x {claims_per_s():.0f} claims/s, '
            'each instance for itself',
            per_s=claim_appends_per_s(slopes),
        ),
        AppendKind(
            kind='ticks of the claim streams',
            formula=f'as of {claims_controller.TICKING_INSTANCES} instances, '
            f'{claims_controller.TICKS_PER_WINDOW} a window and partition '
            f'each',
            per_s=ticks_per_s(),
        ),
        AppendKind(
            kind='changes of the catalogue',
            formula=f'{FLEET.changes_a_day:,} a day',
            per_s=changes_per_s(),
        ),
        AppendKind(
            kind='snapshots',
            formula=f'{snapshots_a_day():.0f} a day x `snapshot.appends`',
            per_s=snapshots_a_day() * appends_per_snapshot / DAY_S,
        ),
    ]


def roles(slopes: Slopes) -> list[Role]:
    """Return the costs of each role on one instance."""
    count = FLEET.instances
    in_flight = FLEET.requests_per_s / count * FLEET.in_flight_s
    rate = list_versions_per_s()
    list_cpu_ms = slopes.at('list.parse', list_item_count())
    list_cpu_ms += slopes.at('targets.replace', list_item_count())
    catalogue_bytes = slopes.at('catalogue.state', FLEET.teams)
    catalogue_bytes += 2 * slopes.at('catalogue.in_force', FLEET.teams)
    snapshot_bytes = slopes.at('snapshot.size', FLEET.teams)
    return [
        Role(
            name='entry instance on the request path',
            state_bytes=slopes.at('path.memory', in_flight),
            bytes_per_s=FLEET.tokens_per_s
            / count
            * slopes.slope('regions.tokens')
            * 2,
            cpu_ms_per_s=path_ms_per_s(slopes),
            mechanism='`server`, `filters`, `pipeline`',
        ),
        Role(
            name='catalogue follower',
            state_bytes=catalogue_bytes + catalogue_follower.RECENT_BYTES,
            bytes_per_s=changes_per_s() * change_bytes(slopes),
            cpu_ms_per_s=changes_per_s()
            * slopes.at('catalogue.change', FLEET.teams),
            mechanism='`controllers.catalogue_follower`, `catalogue_fold`',
        ),
        Role(
            name='claims of all partitions, at every instance',
            state_bytes=slopes.at('claims.state', kept_keys()),
            bytes_per_s=claims_per_s() * claim_read_bytes(slopes),
            cpu_ms_per_s=claims_per_s() * claim_cpu_ms(slopes),
            mechanism='`controllers.claims_controller`, `batching`',
        ),
        Role(
            name='limits (no home yet)',
            state_bytes=slopes.at('limits.state', 4_096),
            bytes_per_s=0,
            cpu_ms_per_s=FLEET.requests_per_s
            / count
            * slopes.at('limits.live_instances', count),
            mechanism='`controllers.limits`, `policy.bucket`',
        ),
        Role(
            name='limit home',
            state_bytes=None,
            bytes_per_s=None,
            cpu_ms_per_s=None,
            mechanism='to be built, see below',
        ),
        Role(
            name='targets: list and load',
            state_bytes=slopes.at('targets.state', replicas_in_use()),
            bytes_per_s=rate * slopes.at('list.answer', list_item_count())
            + polls_per_s() * slopes.slope('polls.bytes'),
            cpu_ms_per_s=rate * list_cpu_ms
            + polls_per_s() * slopes.slope('polls.cpu'),
            mechanism='`controllers.target_registry`, '
            '`controllers.instance_list`',
        ),
        Role(
            name='peer',
            state_bytes=NOT_MEASURED,
            bytes_per_s=2 * slopes.at('peers.most_bytes', count),
            cpu_ms_per_s=slopes.at('peers.cpu', count),
            mechanism='`controllers.peers`, `peering`',
        ),
        Role(
            name='order holder',
            state_bytes=None,
            bytes_per_s=None,
            cpu_ms_per_s=None,
            mechanism='to be built',
        ),
        Role(
            name='snapshot writer, one at a time',
            state_bytes=snapshot_bytes,
            bytes_per_s=snapshots_a_day() * snapshot_bytes / DAY_S,
            cpu_ms_per_s=snapshots_a_day()
            * slopes.at('snapshot.write', FLEET.teams)
            / DAY_S,
            mechanism='`controllers.snapshot_scheduler`, `snapshot_writer`',
        ),
    ]


def cross_region_bytes(
    rows: Iterable[capacity_regions.StageBytes],
    user: str,
    placement: Placement,
) -> float:
    """Return the cross-region bytes of the most expensive pipeline."""
    total: dict[str, float] = {}
    for row in rows:
        if row.user == user and row.kind in placement.remote_kinds:
            total.setdefault(row.pipeline, 0)
            total[row.pipeline] += row.sent + row.received
    return max(total.values(), default=0.0)


def cross_region_bytes_at_target(
    rows: Iterable[capacity_regions.StageBytes],
    user: str,
    placement: Placement,
    slopes: Slopes,
) -> float:
    """Return the same with the tokens that the required fleet generates."""
    tokens = FLEET.tokens_per_s / FLEET.requests_per_s
    total: dict[str, float] = {}
    for row in rows:
        if row.user == user and row.kind in placement.remote_kinds:
            extra_tokens = max(0.0, tokens - row.tokens) if row.tokens else 0.0
            stage_bytes = float(row.sent + row.received)
            stage_bytes += extra_tokens * slopes.slope('regions.tokens')
            total[row.pipeline] = total.get(row.pipeline, 0) + stage_bytes
    return max(total.values(), default=0.0)


def failure_figures(slopes: Slopes) -> Iterable[Fact]:
    """Yield the figures of starts, a lost zone and separated regions."""
    starts = FLEET.failed_a_day + FLEET.restarted_a_day
    zone_instances = -(-FLEET.instances // FLEET.zones)
    zone_replicas = -(-FLEET.replicas // FLEET.zones)
    snapshot_bytes = slopes.at('snapshot.size', FLEET.teams)
    start_cpu_ms = slopes.at('catalogue.start', FLEET.teams)
    in_window = claims_per_s() * WINDOW_MS / 1000
    claim_bytes = in_window * slopes.slope('claims.log_bytes')
    list_bytes = slopes.at('list.answer', list_item_count())
    yield Fact('starts', 'failed + restarted', starts, 'a day')
    yield Fact(
        'a start reads of the catalogue',
        '`snapshot.size`',
        snapshot_bytes,
        'bytes',
    )
    yield Fact(
        'a start folds it in', '`catalogue.start`', start_cpu_ms, 'ms of CPU'
    )
    yield Fact('a start appends', 'nothing', 0, 'appends')
    yield Fact(
        'a start reads of the claims',
        f'{claims_per_s():.0f} claims/s x the window x `claims.log_bytes`',
        claim_bytes,
        'bytes',
    )
    yield Fact(
        'it folds them in',
        'the same claims x `claims.fold`',
        claims_per_s() * WINDOW_MS / 1000 * slopes.slope('claims.fold'),
        'ms of CPU',
    )
    yield Fact('a lost zone', 'instances / zones', zone_instances, 'instances')
    yield Fact(
        'they read at once when they come back',
        'instances x (catalogue + claims + list)',
        zone_instances * (snapshot_bytes + claim_bytes + list_bytes),
        'bytes',
    )
    yield Fact(
        'the others serve each',
        'requests / instances that remain',
        FLEET.requests_per_s / (FLEET.instances - zone_instances),
        'requests/s',
    )
    yield Fact(
        'a lost zone changes the list',
        'one version for each replica and instance',
        zone_instances + zone_replicas,
        'versions',
    )
    yield Fact(
        'each instance reads of them at most',
        'versions x `list.answer`',
        (zone_instances + zone_replicas) * list_bytes,
        'bytes',
    )
    yield Fact(
        'news that go round',
        'replicas of the zone x `peers.news`',
        zone_replicas * slopes.at('peers.news', FLEET.instances),
        'bytes at each instance',
    )
    yield Fact(
        'regions apart for 5 minutes: changes to catch up on',
        'changes/s x 300 s',
        changes_per_s() * 300,
        'changes',
    )
    yield Fact(
        'bytes of them at each instance',
        'x `catalogue.change_bytes`',
        changes_per_s()
        * 300
        * slopes.at('catalogue.change_bytes', FLEET.edits),
        'bytes',
    )
    yield Fact(
        'a region comes back to the log: instances',
        'instances / 11 regions',
        -(-FLEET.instances // 11),
        'instances',
    )
    yield Fact(
        'their appends right after',
        f'their share of the limit x {batching.MIN_RATE_SHARE} + 1 saved each',
        -(-FLEET.instances // 11)
        * (LOG_APPENDS_PER_S / FLEET.instances * batching.MIN_RATE_SHARE + 1),
        'appends/s',
    )


def growth(slopes: Slopes) -> Iterable[Fact]:
    """Yield the catalogue's state and its growth over a year."""
    teams = FLEET.teams
    changes = FLEET.changes_a_day * YEAR_DAYS
    record_bytes = slopes.at('catalogue.change_bytes', FLEET.edits)
    yield Fact('changes in a year', 'a day x 365', changes, 'offsets')
    yield Fact(
        'bytes that they take on the log',
        'x `catalogue.change_bytes`',
        changes * record_bytes,
        'bytes',
    )
    yield Fact(
        'state of an instance, whatever the year',
        f'`catalogue.state` at {teams:,} teams',
        slopes.at('catalogue.state', teams),
        'bytes',
    )
    yield Fact(
        'state with twice the teams',
        'the same at the double',
        slopes.at('catalogue.state', 2 * teams),
        'bytes',
    )
    yield Fact(
        'one team more', 'its slope', slopes.slope('catalogue.state'), 'bytes'
    )
    yield Fact(
        'changes that the audit trail of an instance still has',
        '512 rows / changes/s',
        512 / changes_per_s() / 60,
        'minutes',
    )
    yield Fact(
        'snapshots in a year',
        'a day x 365 x `snapshot.size`',
        snapshots_a_day() * YEAR_DAYS * slopes.at('snapshot.size', teams),
        'bytes',
    )


def replacements(slopes: Slopes) -> Iterable[Fact]:
    """Yield the costs of the mechanisms that could replace today's."""
    rate = claims_per_s()
    home_claims_per_s = rate / PARTITIONS
    message_bytes = slopes.slope('claims.log_bytes') / 2
    item_bytes = slopes.slope('list.answer')
    requests = FLEET.requests_per_s / FLEET.instances
    streams = slopes.at('peers.streams', FLEET.instances)
    peer_message = slopes.at('peers.news', FLEET.instances) / streams
    yield Fact(
        'claims with homes: claims/s of one partition',
        'claims/s / 16 partitions',
        home_claims_per_s,
        'claims/s',
    )
    yield Fact(
        'bytes at a home',
        'claims/s of it x 4 x half of `claims.log_bytes`: asked, appended, '
        'read, answered',
        home_claims_per_s * 4 * 2 * message_bytes,
        'bytes/s',
    )
    yield Fact(
        'bytes at the others',
        'own claims/s x 2 x half of `claims.log_bytes`',
        rate / FLEET.instances * 2 * 2 * message_bytes,
        'bytes/s',
    )
    yield Fact(
        'appends with a linger of 20 ms',
        'at most 50/s for each of 16 partitions, at most one a record',
        min(PARTITIONS * 50.0, 2 * rate),
        'appends/s',
    )
    yield Fact(
        'state at a home',
        '`claims.state` at the keys of one partition',
        slopes.at('claims.state', home_claims_per_s * WINDOW_MS / 1000),
        'bytes',
    )
    yield Fact(
        'list by changes',
        'versions/s x (`list.answer` of one item + `polls.bytes`)',
        list_versions_per_s() * (item_bytes + slopes.slope('polls.bytes')),
        'bytes/s',
    )
    yield Fact(
        'limit shares: a lease a request at worst',
        'requests/s of an instance x 2 messages at both ends, each of '
        '`peers.news` / `peers.streams`',
        requests * 2 * 2 * peer_message,
        'bytes/s',
    )
