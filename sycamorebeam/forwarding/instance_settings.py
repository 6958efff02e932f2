"""Settings of an instance that forwards requests on a platform."""

import json
import pathlib

import attrs

from sycamorebeam import checking
from sycamorebeam import errors
from sycamorebeam.forwarding.cold_targets import rate_shares

DEFAULT_MEMORY_MB = 300


@attrs.frozen(kw_only=True)
class Addresses:
    """The addresses that the instance listens on."""

    callers: str
    readiness: str
    peers: str
    metrics: str


@attrs.frozen(kw_only=True)
class Zone:
    """An availability zone and the region that it belongs to."""

    name: str
    region: str


@attrs.frozen(kw_only=True)
class Store:
    """The platform's store."""

    address: str


@attrs.frozen(kw_only=True)
class Bounds:
    """Limits that the platform's operator sets."""

    grace_period_s: float
    drain_timeout_ms: float
    strict_revocation: bool
    revocation_ms: int
    retry_budget_ratio: float
    retry_budget_extra: float
    budget_window_s: float
    # Reading a part of a prompt again within this time incurs a cost.
    reuse_window_s: float | None = None
    cold_overshoot: float | None = None
    cold_tolerance: float | None = None
    # Time after the acknowledgement of a zone's record from which the zone's
    # targets get no requests. Records apply as soon as they are read, so no
    # decision depends on it.
    evacuation_ms: float | None = None

    @property
    def cold_bounds(self) -> rate_shares.Bounds | None:
        """The bounds on requests to cold targets, None without them."""
        if self.cold_overshoot is None or self.cold_tolerance is None:
            return None
        return rate_shares.Bounds(
            overshoot=self.cold_overshoot, tolerance=self.cold_tolerance
        )


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the size of a request's head and on a caller's idle time."""

    header_bytes: int
    idle_timeout_ms: int


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one instance."""

    instance_id: str
    availability_zone: str
    region: str
    cpu_cores: float
    link_mbps: float
    zones: tuple[Zone, ...]
    addresses: Addresses
    store: Store
    bounds: Bounds
    caller_limits: CallerLimits
    memory_mb: float = DEFAULT_MEMORY_MB
    # See docs/design/stage-admission.md for why it is off.
    stage_admission: bool = False

    @property
    def region_of_zone(self) -> dict[str, str]:
        """The region of each availability zone."""
        return {zone.name: zone.region for zone in self.zones}


_ADDRESS = checking.Address()
SCHEMA = checking.Schema(
    rules={
        Settings: {
            'cpu_cores': checking.Positive(),
            'link_mbps': checking.Positive(),
            'memory_mb': checking.Positive(),
        },
        Addresses: {
            'callers': _ADDRESS,
            'readiness': _ADDRESS,
            'peers': _ADDRESS,
            'metrics': _ADDRESS,
        },
        Store: {
            'address': _ADDRESS,
        },
        Bounds: {
            'grace_period_s': checking.Positive(),
            'drain_timeout_ms': checking.Positive(),
            'revocation_ms': checking.Positive(),
            'retry_budget_ratio': checking.Range(0, 10),
            'retry_budget_extra': checking.Range(0, 1_000_000),
            'budget_window_s': checking.Positive(),
            'reuse_window_s': checking.Positive(),
            'cold_overshoot': checking.Range(0, 1_000),
            'cold_tolerance': checking.Range(0, 1_000_000),
            'evacuation_ms': checking.Positive(),
        },
        CallerLimits: {
            'header_bytes': checking.Positive(),
            'idle_timeout_ms': checking.Positive(),
        },
    }
)


def load(path: str) -> Settings:
    """Read and check the settings file.

    Raises SettingsError with every fault and its remedy.
    """
    try:
        value = json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            f'{path} cannot be read: {error}',
            'render deploy/settings.json.template again and check the result',
        ) from error
    settings, faults = checking.build(Settings, value, SCHEMA)
    if faults:
        raise errors.SettingsError(
            f'{path} has {len(faults)} problems',
            'correct the settings file',
            tuple(str(fault) for fault in faults),
        )
    return settings
