"""Checks the references between the entries of a catalogue.

Only the entries whose references a change can break are checked: those that
it edits, and those that refer to one of them.
"""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping

from sycamorebeam import catalogue
from sycamorebeam import checking

KnownEntries = Mapping[str, catalogue.AnyEntry | None]
"""Entries by key; None stands for one that exists but is not valid."""

OPERATIONS: dict[catalogue.TargetKind, tuple[str, ...]] = {
    catalogue.TargetKind.ENGINE: ('generate',),
    catalogue.TargetKind.POOL: ('encode', 'retrieve', 'rerank'),
}


def check_references(
    entries: Mapping[str, catalogue.AnyEntry], edited_keys: Collection[str]
) -> list[str]:
    """Return the problems that edits of ``edited_keys`` cause.

    ``entries`` is the catalogue with the edits applied; an edited key that
    is missing was removed. Only entries that the edits can break are
    checked.
    """
    faults = reference_faults(
        entries, _affected_keys(entries, set(edited_keys))
    )
    return [f'{key}: {fault}' for key, fault in faults]


def reference_faults(
    entries: KnownEntries, keys: Collection[str]
) -> list[tuple[str, checking.Fault]]:
    """Return the faults of the references, each with its entry's key."""
    return [
        (key, fault)
        for key in sorted(keys)
        for fault in _entry_faults(entries, entries[key])
    ]


def _affected_keys(
    entries: Mapping[str, catalogue.AnyEntry], edited_keys: set[str]
) -> set[str]:
    return {
        key
        for key, entry in entries.items()
        if key in edited_keys
        or not edited_keys.isdisjoint(_referenced_keys(entry))
    }


def _referenced_keys(entry: catalogue.AnyEntry) -> Iterator[str]:
    """Yield the keys of the entries that an entry refers to."""
    match entry:
        case catalogue.Pipeline(stages=stages, teams=teams):
            for stage in stages:
                yield f'target/{stage.target}'
                if stage.model is not None:
                    yield f'model/{stage.model}'
            for team in teams:
                yield f'team/{team}'
        case catalogue.Model(target=target):
            yield f'target/{target}'


def _entry_faults(
    entries: KnownEntries, entry: catalogue.AnyEntry | None
) -> Iterator[checking.Fault]:
    match entry:
        case catalogue.Pipeline(stages=stages, teams=teams):
            for index, stage in enumerate(stages):
                yield from _stage_faults(entries, stage, ('stages', index))
            for index, team in enumerate(teams):
                yield from _missing_entry_faults(
                    entries, 'team', team, ('teams', index)
                )
        case catalogue.Model(target=name):
            yield from _model_faults(entries, name)
        case catalogue.Team(token_sha256=digests):
            yield from _shared_token_faults(entries, entry, digests)


def _stage_faults(
    entries: KnownEntries,
    stage: catalogue.Stage,
    path: checking.Path,
) -> Iterator[checking.Fault]:
    target = entries.get(f'target/{stage.target}')
    if not isinstance(target, catalogue.Target):
        yield from _missing_entry_faults(
            entries, 'target', stage.target, (*path, 'target')
        )
        return
    allowed = OPERATIONS.get(target.kind)
    if allowed is not None and stage.operation not in allowed:
        yield checking.Fault(
            (*path, 'operation'),
            checking.show(stage.operation),
            f'{", ".join(allowed)} of a target of kind {target.kind.value}',
            'change the operation or the target',
        )
    if not stage.idempotent and target.kind != catalogue.TargetKind.SERVICE:
        yield checking.Fault(
            (*path, 'idempotent'),
            f'false on a target of kind {target.kind.value}',
            'false on a target of kind service',
            'route the stage to a service',
        )
    yield from _stage_model_faults(entries, stage, target, (*path, 'model'))


def _stage_model_faults(
    entries: KnownEntries,
    stage: catalogue.Stage,
    target: catalogue.Target,
    path: checking.Path,
) -> Iterator[checking.Fault]:
    is_engine = target.kind == catalogue.TargetKind.ENGINE
    if stage.model is None:
        if is_engine:
            yield checking.Fault(
                path, 'nothing', 'a model of the target', 'name a model'
            )
        return
    model = entries.get(f'model/{stage.model}')
    if not isinstance(model, catalogue.Model):
        yield from _missing_entry_faults(entries, 'model', stage.model, path)
    elif model.target != stage.target:
        yield checking.Fault(
            path,
            f'{checking.show(stage.model)} of target {model.target}',
            f'a model of target {stage.target}',
            'name a model of that target or change the target',
        )


def _model_faults(
    entries: KnownEntries, name: str
) -> Iterator[checking.Fault]:
    target = entries.get(f'target/{name}')
    if not isinstance(target, catalogue.Target):
        yield from _missing_entry_faults(entries, 'target', name, ('target',))
    elif target.kind != catalogue.TargetKind.ENGINE:
        yield checking.Fault(
            ('target',),
            f'{checking.show(name)} of kind {target.kind.value}',
            'a target of kind engine',
            'name a target of engines',
        )


def _shared_token_faults(
    entries: KnownEntries, team: catalogue.Team, digests: Collection[str]
) -> Iterator[checking.Fault]:
    """Yield a fault when another team has one of this team's tokens."""
    for key in sorted(entries):
        other = entries[key]
        if not isinstance(other, catalogue.Team) or other is team:
            continue
        if not set(digests).isdisjoint(other.token_sha256):
            yield checking.Fault(
                ('token_sha256',),
                f'a token that {key} has too',
                'tokens of this team alone',
                'give each team a token of its own',
            )


def _missing_entry_faults(
    entries: KnownEntries, kind: str, name: str, path: checking.Path
) -> Iterator[checking.Fault]:
    """Yield a fault when no entry of a kind has the name."""
    if f'{kind}/{name}' in entries:
        return
    prefix = f'{kind}/'
    known = [
        key.removeprefix(prefix)
        for key in sorted(entries)
        if key.startswith(prefix)
    ]
    yield checking.unknown_name(
        path, name, known, f'add the {kind} or name one that exists'
    )
