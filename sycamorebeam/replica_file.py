"""Reads the file of replicas for the stand-ins and their instance list."""

from collections.abc import Iterator
import pathlib

import attrs

from sycamorebeam import checking
from sycamorebeam import entries
from sycamorebeam import jsonc

ENTRY_GROUP = 'entry'
STATES = ('live', 'leaving')


@attrs.frozen(kw_only=True)
class ListedReplica:
    """One item of the platform's instance list."""

    id: str
    group: str
    address: str
    zone: str
    region: str
    state: str = 'live'
    peer_address: str | None = None

    def to_plain(self) -> dict[str, str]:
        """Return the item in the format of ``docs/protocols/instances.md``."""
        return attrs.asdict(self, filter=_is_set)


def _is_set(_: 'attrs.Attribute[object]', value: object) -> bool:
    return value is not None


SCHEMA = checking.Schema(
    rules={
        ListedReplica: {
            'id': entries.NAME,
            'group': entries.NAME,
            'address': checking.Address(),
            'zone': entries.NAME,
            'region': entries.NAME,
            'state': checking.OneOf(STATES),
            'peer_address': checking.Address(),
        }
    }
)


def load_replicas(path: pathlib.Path) -> list[ListedReplica]:
    """Return the items of a file, a list in JSON with comments.

    Raises SettingsError, which lists every problem of the file.
    """
    document = jsonc.load(path)
    faults: list[checking.Fault] = []
    replicas = []
    items = document.value
    if not isinstance(items, list):
        shown = checking.show(items)
        faults.append(checking.Fault((), shown, 'a list', 'write a list'))
        items = []
    for index, item in enumerate(items):
        replica, item_faults = checking.build(
            ListedReplica, item, SCHEMA, (index,)
        )
        faults.extend(item_faults)
        replicas.append(replica)
    if not faults:
        faults.extend(_duplicate_faults(replicas))
    jsonc.raise_faults(document, faults, 'list of replicas')
    return replicas


def _duplicate_faults(
    replicas: list[ListedReplica],
) -> Iterator[checking.Fault]:
    """Yield a fault for each id or address that an earlier item has."""
    used_values: set[str] = set()
    for index, replica in enumerate(replicas):
        for name in ('id', 'address'):
            value = getattr(replica, name)
            if value in used_values:
                yield checking.Fault(
                    (index, name),
                    f'{checking.show(value)} again',
                    'a value of its own',
                    'choose another one',
                )
            used_values.add(value)
