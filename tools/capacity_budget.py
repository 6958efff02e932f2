"""The arithmetic of ``docs/CAPACITY.md``: slopes at the target's size.

Every figure is slope x size + intercept of a measured series. Where the
target names no size, ``Fleet`` has an assumption and the page lists it.
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
    """The sizes of the target; the last ones are assumptions."""

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
    """The measured lines, and what was measured at one size only."""

    _lines: dict[str, fits.Fit]
    _single: dict[str, fits.Point]

    def at(self, name: str, size: float) -> float:
        """Return the value of a series at a size."""
        return self._lines[name].at(size)

    def slope(self, name: str) -> float:
        """Return what one more costs."""
        return self._lines[name].slope

    def single(self, name: str) -> fits.Point:
        """Return a measurement of one size."""
        return self._single[name]


@attrs.frozen(kw_only=True)
class Line:
    """One line of the budget.

    ``breaks_at`` is the size up to which it is kept, ``answer`` what
    replaces the mechanism beyond it.
    """

    what: str
    sum: str
    value: float
    budget: float
    unit: str
    breaks_at: float
    breaks_unit: str
    answer: str = ''

    @property
    def factor(self) -> float:
        """The part of the budget that it takes."""
        return self.value / self.budget


@attrs.frozen
class Fact:
    """One figure with its sum."""

    what: str
    sum: str
    value: float
    unit: str


@attrs.frozen(kw_only=True)
class Role:
    """One role on one instance; None where it is not built."""

    name: str
    state_bytes: float | None
    bytes_per_s: float | None
    cpu_ms_per_s: float | None
    mechanism: str


@attrs.frozen(kw_only=True)
class AppendKind:
    """The appends of one kind of record in the whole fleet."""

    kind: str
    sum: str
    per_s: float

    @property
    def share(self) -> float:
        """The part of the log's limit."""
        return self.per_s / LOG_APPENDS_PER_S


@attrs.frozen
class Placement:
    """Which kinds of stages run in the region that the caller is not in."""

    name: str
    far: frozenset[str]


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
    """Yield the sizes that the target does not name."""
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
    """Return the claims of the whole fleet."""
    return FLEET.requests_per_s * FLEET.claim_share


def list_versions_per_s() -> float:
    """Return how often the instance list changes.

    Each instance that fails or restarts leaves the list and comes back.
    """
    return 2 * (FLEET.failed_a_day + FLEET.restarted_a_day) / DAY_S


def in_use() -> float:
    """Return the replicas in the subsets of one instance."""
    sizes = subset.SubsetSizes()
    each = sizes.same_zone + sizes.same_region + sizes.other_regions
    return float(FLEET.groups * each)


def polls_per_s() -> float:
    """Return the load polls of one instance."""
    return 1000 / target_registry.LOAD_POLL_MS


def ticks_per_s() -> float:
    """Return the ticks of the whole fleet."""
    ticking = min(FLEET.instances, claims_controller.TICKING_INSTANCES)
    return ticking * (
        claims_controller.TICKS_PER_WINDOW * PARTITIONS * 1000 / WINDOW_MS
    )


def snapshots_a_day() -> float:
    """Return the snapshots, by records and by age."""
    by_records = FLEET.changes_a_day / snapshot_scheduler.MAX_RECORDS_BEHIND
    return by_records + DAY_S * 1000 / snapshot_scheduler.MAX_AGE_MS


def list_size() -> int:
    """Return the items of the instance list."""
    return FLEET.replicas + FLEET.instances


def changes_per_s() -> float:
    """Return the changes of the catalogue."""
    return FLEET.changes_a_day / DAY_S


def change_bytes(slopes: Slopes) -> float:
    """Return the bytes of one change, with one HTTP exchange."""
    record = slopes.at('catalogue.change_bytes', FLEET.edits)
    return record + slopes.slope('polls.bytes')


def kept_keys() -> float:
    """Return the keys that one instance keeps of all partitions."""
    in_window = claims_per_s() * WINDOW_MS / 1000
    return min(in_window, PARTITIONS * claim_partition.MAX_KEYS)


def claim_read_bytes(slopes: Slopes) -> float:
    """Return the bytes of one claim and its outcome, read by everyone.

    Each partition is long polled, so a record seldom shares an answer.
    """
    exchange = slopes.slope('polls.bytes')
    return slopes.slope('claims.log_bytes') + 2 * exchange


def claim_cpu_ms(slopes: Slopes) -> float:
    """Return the CPU of reading one claim and its outcome."""
    exchange = slopes.slope('polls.cpu')
    return slopes.slope('claims.fold') + 2 * exchange


def claim_appends_per_s(slopes: Slopes) -> float:
    """Return the appends for claims and outcomes of the whole fleet."""
    each = 2 * claims_per_s() / FLEET.instances
    return FLEET.instances * min(
        each, slopes.at('claims.appends', each) if each > 5 else each
    )


def lines(slopes: Slopes) -> list[Line]:
    """Return every line of the budget of one instance and of the log."""
    control = [
        *_list_lines(slopes),
        *_poll_lines(slopes),
        *_claim_lines(slopes),
        *_catalogue_lines(slopes),
        *_peer_lines(slopes),
    ]
    return [
        *control,
        *_totals(control),
        *_limit_lines(),
        *_log_lines(slopes),
        *_path_lines(slopes),
    ]


def _totals(control: list[Line]) -> Iterable[Line]:
    """Yield the sums of the lines that share one budget."""
    for unit, name in (
        ('bytes/s', 'bytes'),
        ('ms/s', 'CPU'),
        ('bytes', 'memory, peaks included'),
    ):
        shared = [line for line in control if line.unit == unit]
        total = sum(line.value for line in shared)
        budget = shared[0].budget
        yield Line(
            what=f'all control, {name}',
            sum='the lines of this budget together',
            value=total,
            budget=budget,
            unit=unit,
            breaks_at=FLEET.instances * budget / total,
            breaks_unit='instances, were all of it to grow with them',
            answer='as for its parts',
        )


def _list_lines(slopes: Slopes) -> Iterable[Line]:
    size = list_size()
    rate = list_versions_per_s()
    sent = rate * slopes.at('list.answer', size)
    yield Line(
        what='instance list, bytes',
        sum=f'{rate:.3f} versions/s x `list.answer` at {size:,}',
        value=sent,
        budget=BYTES_PER_S,
        unit='bytes/s',
        breaks_at=size * BYTES_PER_S / sent,
        breaks_unit='items at this rate of versions',
        answer='changes since a version in place of the whole list',
    )
    work = slopes.at('list.parse', size) + slopes.at('targets.replace', size)
    yield Line(
        what='instance list, CPU',
        sum=f'{rate:.3f} versions/s x (`list.parse` + `targets.replace`)',
        value=rate * work,
        budget=CPU_MS_PER_S,
        unit='ms/s',
        breaks_at=size * CPU_MS_PER_S / (rate * work),
        breaks_unit='items',
    )
    peak = slopes.at('list.peak', size)
    yield Line(
        what='instance list, memory while it is read',
        sum=f'`list.peak` at {size:,}',
        value=peak,
        budget=STATE_BYTES,
        unit='bytes',
        breaks_at=size * STATE_BYTES / peak,
        breaks_unit='items',
    )


def _poll_lines(slopes: Slopes) -> Iterable[Line]:
    rate = polls_per_s()
    sent = rate * slopes.slope('polls.bytes')
    yield Line(
        what='load polls, bytes',
        sum=f'{rate:.1f} polls/s x `polls.bytes`',
        value=sent,
        budget=BYTES_PER_S,
        unit='bytes/s',
        breaks_at=in_use() * BYTES_PER_S / sent,
        breaks_unit='replicas in use',
        answer='load in the answers of calls; polls for idle replicas only',
    )
    work = rate * slopes.slope('polls.cpu')
    yield Line(
        what='load polls, CPU',
        sum=f'{rate:.1f} polls/s x `polls.cpu`',
        value=work,
        budget=CPU_MS_PER_S,
        unit='ms/s',
        breaks_at=in_use() * CPU_MS_PER_S / work,
        breaks_unit='replicas in use',
        answer='as for the bytes',
    )
    held = slopes.at('targets.state', in_use())
    yield Line(
        what='targets, state',
        sum=f'`targets.state` at {in_use():.0f} in use',
        value=held,
        budget=STATE_BYTES,
        unit='bytes',
        breaks_at=in_use() * STATE_BYTES / held,
        breaks_unit='replicas in use',
        answer='smaller subsets of the groups that this instance uses little',
    )


def _claim_lines(slopes: Slopes) -> Iterable[Line]:
    rate = claims_per_s()
    moved = rate * claim_read_bytes(slopes)
    answer = 'a home for each partition, see below'
    yield Line(
        what='claims, bytes read by every instance',
        sum=f'{rate:.0f} claims/s x (`claims.log_bytes` + 2 `polls.bytes`)',
        value=moved,
        budget=BYTES_PER_S,
        unit='bytes/s',
        breaks_at=rate * BYTES_PER_S / moved,
        breaks_unit='claims/s in the fleet',
        answer=answer,
    )
    work = rate * claim_cpu_ms(slopes)
    yield Line(
        what='claims, CPU of reading',
        sum=f'{rate:.0f} claims/s x (`claims.fold` + 2 `polls.cpu`)',
        value=work,
        budget=CPU_MS_PER_S,
        unit='ms/s',
        breaks_at=rate * CPU_MS_PER_S / work,
        breaks_unit='claims/s in the fleet',
        answer=answer,
    )
    ticks = ticks_per_s() * slopes.slope('polls.bytes')
    yield Line(
        what='claims, ticks read by every instance',
        sum=f'{ticks_per_s():.2f} ticks/s x `polls.bytes`',
        value=ticks,
        budget=BYTES_PER_S,
        unit='bytes/s',
        breaks_at=float('inf'),
        breaks_unit='',
    )
    held = slopes.at('claims.state', kept_keys())
    yield Line(
        what='claims, state',
        sum=f'`claims.state` at {kept_keys():,.0f} keys',
        value=held,
        budget=STATE_BYTES,
        unit='bytes',
        breaks_at=rate * STATE_BYTES / held,
        breaks_unit='claims/s in the fleet',
        answer=answer,
    )


def _catalogue_lines(slopes: Slopes) -> Iterable[Line]:
    teams = FLEET.teams
    held = slopes.at('catalogue.state', teams)
    held += 2 * slopes.at('catalogue.in_force', teams)
    held += catalogue_follower.RECENT_BYTES
    yield Line(
        what='catalogue, state',
        sum='`catalogue.state` + 2 `catalogue.in_force` + recent records',
        value=held,
        budget=STATE_BYTES,
        unit='bytes',
        breaks_at=teams * STATE_BYTES / held,
        breaks_unit='teams',
        answer='',
    )
    peak = slopes.at('catalogue.start_peak', teams)
    yield Line(
        what='catalogue, memory at the start',
        sum='`catalogue.start_peak`',
        value=peak,
        budget=STATE_BYTES,
        unit='bytes',
        breaks_at=teams * STATE_BYTES / peak,
        breaks_unit='teams',
        answer='chunks read and dropped one by one',
    )
    sent = changes_per_s() * change_bytes(slopes)
    yield Line(
        what='catalogue, changes read',
        sum=f'{changes_per_s():.3f} changes/s x (`catalogue.change_bytes` '
        '+ `polls.bytes`)',
        value=sent,
        budget=BYTES_PER_S,
        unit='bytes/s',
        breaks_at=FLEET.changes_a_day * BYTES_PER_S / sent,
        breaks_unit='changes a day',
    )
    work = slopes.at('catalogue.change', teams) + slopes.slope('polls.cpu')
    yield Line(
        what='catalogue, CPU of changes',
        sum=f'{changes_per_s():.3f} changes/s x (`catalogue.change` '
        '+ `polls.cpu`)',
        value=changes_per_s() * work,
        budget=CPU_MS_PER_S,
        unit='ms/s',
        breaks_at=CPU_MS_PER_S / work * DAY_S,
        breaks_unit='changes a day',
    )
    manifest = slopes.at('snapshot.manifest', 512)
    looks = slopes.slope('polls.bytes') * 1000 / snapshot_scheduler.CHECK_MS
    looks += snapshots_a_day() * manifest / DAY_S
    yield Line(
        what='snapshots, looking at the newest',
        sum=f'`polls.bytes` every {snapshot_scheduler.CHECK_MS // 1000} s + '
        f'{snapshots_a_day():.0f} a day x `snapshot.manifest`',
        value=looks,
        budget=BYTES_PER_S,
        unit='bytes/s',
        breaks_at=512 * BYTES_PER_S / looks,
        breaks_unit='audit rows in a manifest',
    )


def _peer_lines(slopes: Slopes) -> Iterable[Line]:
    count = FLEET.instances
    moved = 2 * slopes.at('peers.most_bytes', count)
    yield Line(
        what='peers, pings both ways at the busiest instance',
        sum=f'2 `peers.most_bytes` at {count}',
        value=moved,
        budget=BYTES_PER_S,
        unit='bytes/s',
        breaks_at=float('inf'),
        breaks_unit='',
    )
    news = list_versions_per_s() / 2 * 2 * slopes.at('peers.news', count)
    yield Line(
        what='peers, news of leaving targets both ways',
        sum=f'{list_versions_per_s() / 2:.4f} news/s x 2 `peers.news`',
        value=news,
        budget=BYTES_PER_S,
        unit='bytes/s',
        breaks_at=float('inf'),
        breaks_unit='',
    )
    yield Line(
        what='peers, CPU',
        sum=f'`peers.cpu` at {count}',
        value=slopes.at('peers.cpu', count),
        budget=CPU_MS_PER_S,
        unit='ms/s',
        breaks_at=float('inf'),
        breaks_unit='',
    )


def _limit_lines() -> Iterable[Line]:
    smallest = 16
    yield Line(
        what=f'limits, concurrency of a team that may have {smallest}',
        sum='at least 1 at each instance',
        value=FLEET.instances,
        budget=smallest,
        unit='requests at once',
        breaks_at=smallest,
        breaks_unit='instances',
        answer='shares leased from a home of the team, see below',
    )


def _log_lines(slopes: Slopes) -> Iterable[Line]:
    total = sum(item.per_s for item in appends(slopes))
    yield Line(
        what='log, appends of all kinds',
        sum='the table below',
        value=total,
        budget=LOG_APPENDS_PER_S,
        unit='appends/s',
        breaks_at=claims_per_s() * LOG_APPENDS_PER_S / total,
        breaks_unit='claims/s in the fleet',
    )
    allowed = min(LOG_APPENDS_PER_S, FLEET.instances * SETTING_APPENDS_PER_S)
    yield Line(
        what='log, appends that the settings allow',
        sum='`log_appends_per_s` of each, at most `log_limit_appends_per_s`',
        value=allowed,
        budget=LOG_APPENDS_PER_S,
        unit='appends/s',
        breaks_at=float('inf'),
        breaks_unit='',
    )
    slowest = allowed * batching.MIN_RATE_SHARE + FLEET.instances
    yield Line(
        what='log, appends in the first second after an outage',
        sum=f'{batching.MIN_RATE_SHARE} of the above + 1 saved by each',
        value=slowest,
        budget=LOG_APPENDS_PER_S,
        unit='appends/s',
        breaks_at=LOG_APPENDS_PER_S * (1 - batching.MIN_RATE_SHARE),
        breaks_unit='instances',
        answer='nothing saved up by an instance that was refused',
    )


def request_ms(slopes: Slopes) -> float:
    """Return the CPU of one request without its tokens."""
    return (
        slopes.at('path.stages', FLEET.stages)
        + slopes.slope('path.teams') * FLEET.teams
    )


def path_ms_per_s(slopes: Slopes) -> float:
    """Return the CPU of the request path of one instance."""
    requests = FLEET.requests_per_s / FLEET.instances
    tokens = FLEET.tokens_per_s / FLEET.instances
    return requests * request_ms(slopes) + tokens * slopes.slope('path.tokens')


def _path_lines(slopes: Slopes) -> Iterable[Line]:
    yield Line(
        what='request path, CPU of the core that serves it',
        sum='`path.stages` + `path.teams` a request, `path.tokens` a token',
        value=path_ms_per_s(slopes),
        budget=CORE_MS_PER_S - CPU_MS_PER_S,
        unit='ms/s',
        breaks_at=FLEET.requests_per_s
        * (CORE_MS_PER_S - CPU_MS_PER_S)
        / path_ms_per_s(slopes),
        breaks_unit='requests/s in the fleet',
        answer='more instances, or tokens passed on in groups',
    )
    idle = slopes.single('path.idle')
    yield Line(
        what='an instance without load, resident memory',
        sum='`path.idle`: the program, its libraries and this measurement',
        value=idle.value,
        budget=STATE_BYTES,
        unit='bytes',
        breaks_at=0,
        breaks_unit='instances',
        answer='fewer imports; the program itself is not control state',
    )


def appends(slopes: Slopes) -> list[AppendKind]:
    """Return the appends of the fleet by kind of record."""
    of_snapshots = slopes.at('snapshot.appends', FLEET.teams)
    return [
        AppendKind(
            kind='claims and their outcomes',
            sum=f'2 x {claims_per_s():.0f} claims/s, each instance for itself',
            per_s=claim_appends_per_s(slopes),
        ),
        AppendKind(
            kind='ticks of the claim streams',
            sum=f'as of {claims_controller.TICKING_INSTANCES} instances, '
            f'{claims_controller.TICKS_PER_WINDOW} a window and partition '
            f'each',
            per_s=ticks_per_s(),
        ),
        AppendKind(
            kind='changes of the catalogue',
            sum=f'{FLEET.changes_a_day:,} a day',
            per_s=changes_per_s(),
        ),
        AppendKind(
            kind='snapshots',
            sum=f'{snapshots_a_day():.0f} a day x `snapshot.appends`',
            per_s=snapshots_a_day() * of_snapshots / DAY_S,
        ),
    ]


def roles(slopes: Slopes) -> list[Role]:
    """Return what each role takes of one instance."""
    count = FLEET.instances
    busy = FLEET.requests_per_s / count * FLEET.in_flight_s
    rate = list_versions_per_s()
    of_list = slopes.at('list.parse', list_size())
    of_list += slopes.at('targets.replace', list_size())
    held = slopes.at('catalogue.state', FLEET.teams)
    held += 2 * slopes.at('catalogue.in_force', FLEET.teams)
    whole = slopes.at('snapshot.size', FLEET.teams)
    return [
        Role(
            name='entry instance on the request path',
            state_bytes=slopes.at('path.memory', busy),
            bytes_per_s=FLEET.tokens_per_s
            / count
            * slopes.slope('regions.tokens')
            * 2,
            cpu_ms_per_s=path_ms_per_s(slopes),
            mechanism='`server`, `filters`, `pipeline`',
        ),
        Role(
            name='catalogue follower',
            state_bytes=held + catalogue_follower.RECENT_BYTES,
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
            state_bytes=slopes.at('targets.state', in_use()),
            bytes_per_s=rate * slopes.at('list.answer', list_size())
            + polls_per_s() * slopes.slope('polls.bytes'),
            cpu_ms_per_s=rate * of_list
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
            state_bytes=whole,
            bytes_per_s=snapshots_a_day() * whole / DAY_S,
            cpu_ms_per_s=snapshots_a_day()
            * slopes.at('snapshot.write', FLEET.teams)
            / DAY_S,
            mechanism='`controllers.snapshot_scheduler`, `snapshot_writer`',
        ),
    ]


def crossing(
    rows: Iterable[capacity_regions.StageBytes],
    user: str,
    placement: Placement,
) -> float:
    """Return the bytes between regions of the costliest pipeline."""
    total: dict[str, float] = {}
    for row in rows:
        if row.user == user and row.kind in placement.far:
            total.setdefault(row.pipeline, 0)
            total[row.pipeline] += row.sent + row.received
    return max(total.values(), default=0.0)


def at_target_tokens(
    rows: Iterable[capacity_regions.StageBytes],
    user: str,
    placement: Placement,
    slopes: Slopes,
) -> float:
    """Return the same with the tokens of a request of the target."""
    tokens = FLEET.tokens_per_s / FLEET.requests_per_s
    total: dict[str, float] = {}
    for row in rows:
        if row.user == user and row.kind in placement.far:
            more = max(0.0, tokens - row.tokens) if row.tokens else 0.0
            moved = float(row.sent + row.received)
            moved += more * slopes.slope('regions.tokens')
            total[row.pipeline] = total.get(row.pipeline, 0) + moved
    return max(total.values(), default=0.0)


def bad_day(slopes: Slopes) -> Iterable[Fact]:
    """Yield the figures of a bad day."""
    starts = FLEET.failed_a_day + FLEET.restarted_a_day
    zone = -(-FLEET.instances // FLEET.zones)
    zone_replicas = -(-FLEET.replicas // FLEET.zones)
    whole = slopes.at('snapshot.size', FLEET.teams)
    start_ms = slopes.at('catalogue.start', FLEET.teams)
    in_window = claims_per_s() * WINDOW_MS / 1000
    streams = in_window * slopes.slope('claims.log_bytes')
    size = slopes.at('list.answer', list_size())
    yield Fact('starts', 'failed + restarted', starts, 'a day')
    yield Fact(
        'a start reads of the catalogue', '`snapshot.size`', whole, 'bytes'
    )
    yield Fact(
        'a start folds it in', '`catalogue.start`', start_ms, 'ms of CPU'
    )
    yield Fact('a start appends', 'nothing', 0, 'appends')
    yield Fact(
        'a start reads of the claims',
        f'{claims_per_s():.0f} claims/s x the window x `claims.log_bytes`',
        streams,
        'bytes',
    )
    yield Fact(
        'it folds them in',
        'the same claims x `claims.fold`',
        claims_per_s() * WINDOW_MS / 1000 * slopes.slope('claims.fold'),
        'ms of CPU',
    )
    yield Fact('a lost zone', 'instances / zones', zone, 'instances')
    yield Fact(
        'they read at once when they come back',
        'instances x (catalogue + claims + list)',
        zone * (whole + streams + size),
        'bytes',
    )
    yield Fact(
        'the others serve each',
        'requests / instances that remain',
        FLEET.requests_per_s / (FLEET.instances - zone),
        'requests/s',
    )
    yield Fact(
        'a lost zone changes the list',
        'one version for each replica and instance',
        zone + zone_replicas,
        'versions',
    )
    yield Fact(
        'each instance reads of them at most',
        'versions x `list.answer`',
        (zone + zone_replicas) * size,
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
    record = slopes.at('catalogue.change_bytes', FLEET.edits)
    yield Fact('changes in a year', 'a day x 365', changes, 'offsets')
    yield Fact(
        'bytes that they take on the log',
        'x `catalogue.change_bytes`',
        changes * record,
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
    """Yield the cost of what replaces today's mechanisms."""
    rate = claims_per_s()
    home = rate / PARTITIONS
    message = slopes.slope('claims.log_bytes') / 2
    item = slopes.slope('list.answer')
    requests = FLEET.requests_per_s / FLEET.instances
    streams = slopes.at('peers.streams', FLEET.instances)
    peer_message = slopes.at('peers.news', FLEET.instances) / streams
    yield Fact(
        'claims with homes: claims/s of one partition',
        'claims/s / 16 partitions',
        home,
        'claims/s',
    )
    yield Fact(
        'bytes at a home',
        'claims/s of it x 4 x half of `claims.log_bytes`: asked, appended, '
        'read, answered',
        home * 4 * 2 * message,
        'bytes/s',
    )
    yield Fact(
        'bytes at the others',
        'own claims/s x 2 x half of `claims.log_bytes`',
        rate / FLEET.instances * 2 * 2 * message,
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
        slopes.at('claims.state', home * WINDOW_MS / 1000),
        'bytes',
    )
    yield Fact(
        'list by changes',
        'versions/s x (`list.answer` of one item + `polls.bytes`)',
        list_versions_per_s() * (item + slopes.slope('polls.bytes')),
        'bytes/s',
    )
    yield Fact(
        'limit shares: a lease a request at worst',
        'requests/s of an instance x 2 messages at both ends, each of '
        '`peers.news` / `peers.streams`',
        requests * 2 * 2 * peer_message,
        'bytes/s',
    )
