"""Measures the catalogue: its state, its changes and its snapshots."""

import asyncio
from collections.abc import Iterator
import hashlib

import attrs

from sycamorebeam import catalogue_fold
from sycamorebeam import catalogue_records
from sycamorebeam import catalogue_store
from sycamorebeam import records
from sycamorebeam import snapshots
from tools import fits

TEAMS = (270, 900, 2_700, 9_000, 27_000)
AUDIT_ROWS = (5, 16, 51, 160, 512)
EDITS = (1, 4, 16, 64, 200)
EDITS_PER_CHANGE = 100
CHANGES = 50


def team_value(number: int, rate: int = 10) -> dict[str, object]:
    """Return the entry of a team as plain data, with every field."""
    return {
        'owner': f'desk-{number % 50}',
        'class': 'normal',
        'limits': {
            'requests_per_s': rate,
            'concurrency': 16,
            'tokens_per_s': None,
            'bytes_per_s': None,
        },
        'token_sha256': [hashlib.sha256(f't{number}'.encode()).hexdigest()],
    }


def pack_change(number: int, edits: Iterator[catalogue_records.Edit]) -> bytes:
    """Return one change, packed for the log."""
    catalogue_change = catalogue_records.Change(
        id=hashlib.md5(b'%d' % number).hexdigest(),
        author='operator-on-duty',
        time_ms=1_800_000_000_000 + number,
        reason='raise the limits of a team for the end of the quarter',
        edits=tuple(edits),
    )
    return records.pack_envelope(
        [catalogue_records.to_record(catalogue_change)]
    )


def team_edits(
    first: int, last: int, base: int, rate: int = 10
) -> Iterator[catalogue_records.Edit]:
    """Yield an edit for each team of a range."""
    for number in range(first, last):
        yield catalogue_records.Edit(
            f'team/team-{number:05}', base, team_value(number, rate)
        )


def new_fold(teams: int) -> catalogue_fold.Fold:
    """Return a fold that accepted ``teams`` teams."""
    fold = catalogue_fold.Fold()
    for offset, first in enumerate(range(0, teams, EDITS_PER_CHANGE)):
        last = min(teams, first + EDITS_PER_CHANGE)
        data = pack_change(
            offset, team_edits(first, last, catalogue_store.ABSENT)
        )
        [decision] = fold.apply(offset, data)
        assert decision.accepted, decision
    return fold


@attrs.frozen
class _CatalogueCosts:
    state_bytes: int
    in_force_bytes: int
    change_ms: float
    snapshot_bytes: int
    append_count: int
    write_ms: float
    start_ms: float
    start_peak_bytes: int


def measure() -> list[fits.Series]:
    """Measure the series by teams, by audit rows and by edits."""
    measured = [(teams, _catalogue_costs(teams)) for teams in TEAMS]

    def series(name: str, unit: str, field: str) -> fits.Series:
        points = tuple(
            fits.Point(teams, getattr(costs, field))
            for teams, costs in measured
        )
        return fits.Series(
            name=name, size_unit='teams', value_unit=unit, points=points
        )

    return [
        series('catalogue.state', 'bytes', 'state_bytes'),
        series('catalogue.in_force', 'bytes', 'in_force_bytes'),
        series('catalogue.change', 'ms', 'change_ms'),
        series('snapshot.size', 'bytes', 'snapshot_bytes'),
        series('snapshot.appends', 'appends', 'append_count'),
        series('snapshot.write', 'ms', 'write_ms'),
        series('catalogue.start', 'ms', 'start_ms'),
        series('catalogue.start_peak', 'bytes', 'start_peak_bytes'),
        _manifest_series(),
        _change_series(),
    ]


def _catalogue_costs(teams: int) -> _CatalogueCosts:
    state_bytes, _ = fits.held_bytes(lambda: new_fold(teams))
    fold = new_fold(teams)
    in_force_bytes, _ = fits.held_bytes(fold.catalogue)
    frozen = snapshots.freeze(fold)
    chunks = list(snapshots.pack_chunks(frozen))
    whole = snapshots.pack_whole(frozen)
    _, peak_bytes = fits.held_bytes(lambda: _restore(whole))
    return _CatalogueCosts(
        state_bytes=state_bytes,
        in_force_bytes=in_force_bytes,
        change_ms=_change_ms(fold, teams),
        snapshot_bytes=sum(map(len, chunks)),
        append_count=len(chunks) + 1,
        write_ms=fits.cpu_ms(
            lambda: list(snapshots.pack_chunks(snapshots.freeze(fold)))
        ),
        start_ms=fits.cpu_ms(lambda: _restore(whole)),
        start_peak_bytes=peak_bytes,
    )


def _restore(whole: bytes) -> catalogue_fold.Fold:
    return asyncio.run(snapshots.unpack_whole(whole))


def _change_ms(fold: catalogue_fold.Fold, teams: int) -> float:
    """Return the CPU time of putting a change of one team in force."""
    copy = fold.copy()
    revisions = [
        copy.store.revision(f'team/team-{number:05}')
        for number in range(CHANGES)
    ]
    first = copy.offset + 1
    data = [
        pack_change(
            number, team_edits(number, number + 1, revisions[number], 20)
        )
        for number in range(CHANGES)
    ]

    def work() -> None:
        for number in range(CHANGES):
            [decision] = copy.apply(first + number, data[number])
            assert decision.accepted, decision
            copy.catalogue()

    return fits.cpu_ms(work, repeats=1) / CHANGES


def _manifest_series() -> fits.Series:
    points = []
    for rows in AUDIT_ROWS:
        fold = new_fold(100)
        for number in range(rows - 1):
            base = fold.store.revision('team/team-00000')
            fold.apply(
                fold.offset + 1, pack_change(number, team_edits(0, 1, base))
            )
        manifest = snapshots.new_manifest(
            snapshots.freeze(fold), '0' * 32, 1, 0, 1_800_000_000_000
        )
        data = records.pack_envelope([snapshots.to_record(manifest)])
        points.append(fits.Point(rows, len(data)))
    return fits.Series(
        name='snapshot.manifest',
        size_unit='audit rows',
        value_unit='bytes',
        points=tuple(points),
    )


def _change_series() -> fits.Series:
    points = tuple(
        fits.Point(count, len(pack_change(0, team_edits(0, count, 12_345))))
        for count in EDITS
    )
    return fits.Series(
        name='catalogue.change_bytes',
        size_unit='edits',
        value_unit='bytes',
        points=points,
    )
