"""Converts catalogue entries to and from plain values and checks them.

The fold of the catalogue and the catalogue file share these checks, so
that the log accepts what a check of the file accepts. All instances must
decide a change in the same way: a rule that rejects what an earlier
version accepted needs a new version of the catalogue's records.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import enum
from typing import Any

import attrs

from sycamorebeam import catalogue
from sycamorebeam import checking
from sycamorebeam import errors
from sycamorebeam import references

NAME = checking.Pattern(
    '[a-z0-9][a-z0-9-]{0,62}',
    'lower-case letters, digits and hyphens, at most 63',
)
TOKEN_DIGEST = checking.Pattern(
    '[0-9a-f]{64}', 'a SHA-256 digest, 64 lower-case hex digits'
)
RESERVED_KIND = 'target'
RESERVED_NAME = 'entry'
"""The group of the instances of this system in the platform's list."""
MAX_DEADLINE_MS = 600_000
MAX_TOKENS = 1_000_000
MAX_COST = 1e9
MAX_CONCURRENCY = 1_000_000
MAX_STAGES = 32
MAX_TEAMS = 1_000
MAX_ADAPTERS = 100
MAX_TOKEN_DIGESTS = 16

SCHEMA = checking.Schema(
    keys={'service_class': 'class'},
    rules={
        catalogue.Limits: {
            'requests_per_s': checking.Positive(),
            'concurrency': checking.Range(1, MAX_CONCURRENCY),
            'tokens_per_s': checking.Positive(),
            'bytes_per_s': checking.Positive(),
        },
        catalogue.Stage: {
            'name': NAME,
            'max_tokens': checking.Range(1, MAX_TOKENS),
            'after': checking.Items(0, MAX_STAGES),
        },
        catalogue.Pipeline: {
            'deadline_ms': checking.Range(1, MAX_DEADLINE_MS),
            'stages': checking.Items(1, MAX_STAGES),
            'teams': checking.Items(0, MAX_TEAMS),
        },
        catalogue.Target: {
            'cost_per_call': checking.Range(0, MAX_COST),
            'cost_per_token': checking.Range(0, MAX_COST),
            'role': NAME,
        },
        catalogue.Model: {'adapters': checking.Items(0, MAX_ADAPTERS)},
        catalogue.Team: {
            'token_sha256': checking.Items(1, MAX_TOKEN_DIGESTS, TOKEN_DIGEST)
        },
        catalogue.SharedLimit: {
            'resource': checking.OneOf(('region_link', 'weight_store')),
        },
    },
)


def split_key(key: str) -> tuple[str, str]:
    """Return kind and name of an entry's key.

    Raises SettingsError when the key is not ``kind/name``.
    """
    kind, slash, name = key.partition('/')
    faults = check_name(kind, name, (name,)) if slash else []
    if kind in catalogue.KINDS and slash and not faults:
        return kind, name
    raise errors.SettingsError(
        f'{checking.show(key)} is not the key of an entry',
        f'write kind/name; kinds are {", ".join(catalogue.KINDS)}, a name is '
        f'{NAME.meaning}; {RESERVED_KIND}/{RESERVED_NAME} is reserved',
    )


def check_name(
    kind: str, name: str, path: checking.Path
) -> list[checking.Fault]:
    """Return the fault of an entry's name, if it has one."""
    allowed = NAME.meaning
    if kind == RESERVED_KIND:
        allowed = f'{allowed}, not "{RESERVED_NAME}"'
    is_reserved = (kind, name) == (RESERVED_KIND, RESERVED_NAME)
    if checking.holds(NAME, name) and not is_reserved:
        return []
    found = checking.show(name)
    return [checking.Fault(path, found, allowed, 'choose another name')]


def to_plain(entry: catalogue.AnyEntry) -> dict[str, Any]:
    """Return an entry as JSON-like values, with every field.

    Fields at their default are written too: an accepted entry stays the
    same when a later version of the program has other defaults.
    """
    plain = attrs.asdict(entry, value_serializer=_serialise)
    return {SCHEMA.key_of(name): value for name, value in plain.items()}


def _serialise(_: type, __: 'attrs.Attribute[Any]', value: Any) -> Any:
    match value:
        case enum.Enum():
            return value.value
        case tuple():
            return list(value)
        case _:
            return value


def from_plain(kind: str, value: object) -> catalogue.AnyEntry:
    """Return the entry of a kind from JSON-like values.

    Raises SettingsError, which lists every problem of the entry.
    """
    entry, faults = build(kind, value)
    if entry is None:
        raise errors.SettingsError(
            '; '.join(str(fault) for fault in faults),
            f'correct the {kind} and publish it again',
            tuple(str(fault) for fault in faults),
        )
    return entry


def build(
    kind: str, value: object, path: checking.Path = ()
) -> tuple[catalogue.AnyEntry | None, list[checking.Fault]]:
    """Return the entry, None when faults were found, and the faults."""
    if kind not in catalogue.KINDS:
        known = list(catalogue.KINDS)
        return None, [checking.unknown_key((*path, kind), known)]
    entry, faults = checking.build(catalogue.KINDS[kind], value, SCHEMA, path)
    if entry is not None:
        faults = [*_entry_faults(entry, path)]
    return (None if faults else entry), faults


def _entry_faults(
    entry: catalogue.AnyEntry, path: checking.Path
) -> Iterator[checking.Fault]:
    match entry:
        case catalogue.Pipeline():
            yield from _stage_faults(entry.stages, (*path, 'stages'))
        case catalogue.SharedLimit():
            yield from _limit_faults(entry, (*path, 'limits'))


def _stage_faults(
    stages: Sequence[catalogue.Stage], path: checking.Path
) -> Iterator[checking.Fault]:
    earlier: list[str] = []
    for index, stage in enumerate(stages):
        if stage.name in earlier:
            yield checking.Fault(
                (*path, index, 'name'),
                f'"{stage.name}" twice',
                'names that differ within the pipeline',
                'rename one of the stages',
            )
        for position, name in enumerate(stage.after or ()):
            if name not in earlier:
                yield checking.Fault(
                    (*path, index, 'after', position),
                    checking.show(name),
                    f'earlier stages: {", ".join(earlier) or "none"}',
                    'name an earlier stage or reorder the stages',
                )
        if not stage.idempotent and index < len(stages) - 1:
            yield checking.Fault(
                (*path, index, 'idempotent'),
                'false before the last stage',
                'false on the last stage only',
                'move the stage to the end; split what follows it into '
                'another pipeline',
            )
        earlier.append(stage.name)


def _limit_faults(
    limit: catalogue.SharedLimit, path: checking.Path
) -> Iterator[checking.Fault]:
    limits = limit.limits
    if limit.resource == 'region_link' and limits.bytes_per_s is None:
        yield checking.Fault(
            (*path, 'bytes_per_s'),
            'nothing',
            'a number above 0 for a region_link',
            'add the key',
        )


check_references = references.check_references
