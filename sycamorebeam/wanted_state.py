"""The wanted state of engines, and the orders that lead to it."""

import attrs

from sycamorebeam import catalogue
from sycamorebeam.clients import orders

WEIGHT_STORE = 'weight_store'
LOADS = frozenset({'load_model', 'load_adapter'})


@attrs.frozen
class WantedState:
    """The state that the catalogue requires of every engine of a group.

    A ``role`` of None leaves the role as it is.
    """

    models: dict[str, str]
    adapters: tuple[str, ...] = ()
    role: str | None = None


@attrs.frozen
class Action:
    """One declarative order, without its fencing number."""

    kind: str
    name: str
    version: str = ''

    @property
    def is_load(self) -> bool:
        """Whether the engine reads from the weight store for this order."""
        return self.kind in LOADS

    def __str__(self) -> str:
        return ' '.join(part for part in attrs.astuple(self) if part)


@attrs.frozen(kw_only=True)
class Plan:
    """The wanted states and weight store limits of one catalogue.

    ``wanted`` has the engine groups for which the catalogue has a model;
    engines of other groups get no orders. ``loads_per_s`` and
    ``concurrency`` are the lowest limits on the store, None for no limit.
    """

    catalogue: catalogue.Catalogue
    wanted: dict[str, WantedState]
    loads_per_s: float | None
    concurrency: int | None


def plan_of(accepted: catalogue.Catalogue) -> Plan:
    """Return the plan for a catalogue."""
    store_limits = _store_limits(accepted)
    rates = [limits.requests_per_s for limits in store_limits]
    concurrencies = [limits.concurrency for limits in store_limits]
    return Plan(
        catalogue=accepted,
        wanted=_wanted_by_group(accepted),
        loads_per_s=min((rate for rate in rates if rate), default=None),
        concurrency=min(
            (count for count in concurrencies if count), default=None
        ),
    )


def _wanted_by_group(accepted: catalogue.Catalogue) -> dict[str, WantedState]:
    models: dict[str, dict[str, str]] = {}
    adapters: dict[str, set[str]] = {}
    for name, entry in accepted.of_kind('model').items():
        if not isinstance(entry, catalogue.Model):
            continue
        models.setdefault(entry.target, {})[name] = entry.version
        adapters.setdefault(entry.target, set()).update(entry.adapters)
    return {
        group: WantedState(
            models[group], tuple(sorted(adapters[group])), target.role
        )
        for group in models
        if (target := accepted.target(group)) is not None
        and target.kind is catalogue.TargetKind.ENGINE
    }


def _store_limits(accepted: catalogue.Catalogue) -> list[catalogue.Limits]:
    return [
        entry.limits
        for entry in accepted.of_kind('limit').values()
        if isinstance(entry, catalogue.SharedLimit)
        and entry.resource == WEIGHT_STORE
    ]


def missing_actions(
    wanted: WantedState, reported: orders.EngineState
) -> list[Action]:
    """Return the orders that lead from ``reported`` to ``wanted``.

    Loads precede unloads, so that an engine is not emptied first.
    """
    actions = []
    if wanted.role is not None and wanted.role != reported.role:
        actions.append(Action('set_role', wanted.role))
    for name, version in sorted(wanted.models.items()):
        if reported.models.get(name) != version:
            actions.append(Action('load_model', name, version))
    for name in wanted.adapters:
        if name not in reported.adapters:
            actions.append(Action('load_adapter', name))
    kept = {*wanted.models, *wanted.adapters}
    loaded = {*reported.models, *reported.adapters}
    actions.extend(Action('unload', name) for name in sorted(loaded - kept))
    return actions
