"""The settings of one instance: a file, overridden by the environment.

``SYCAMOREBEAM_PLATFORM__LOG`` overrides ``platform.log``. Secrets are kept
in separate files, never in the settings or the environment.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import functools
import pathlib

import attrs

from sycamorebeam import checking
from sycamorebeam import entries
from sycamorebeam import errors
from sycamorebeam import jsonc
from sycamorebeam import overrides

MIN_SECRET_BYTES = 16
MAX_SECRET_BYTES = 4096
ANY_ADDRESS = ('0.0.0.0:', '[::]:')


@attrs.frozen(kw_only=True)
class Placement:
    """Where a process runs."""

    zone: str
    region: str


@attrs.frozen(kw_only=True)
class Addresses:
    """Where this instance listens: IP numbers with ports.

    ``admin`` serves the operators' pages; None serves them with the
    callers' interface.
    """

    callers: str
    peers: str
    admin: str | None = None
    advertised_callers: str | None = None
    advertised_peers: str | None = None


@attrs.frozen(kw_only=True)
class Platform:
    """URLs of the platform's services, and limits on calls to them.

    ``log_appends_per_s`` limits this instance, and
    ``log_limit_appends_per_s`` all live instances together.
    """

    log: str
    instances: str
    log_timeout_ms: int = 1000
    log_appends_per_s: float = 40.0
    log_limit_appends_per_s: float = 300.0
    batch_linger_ms: int = 5


@attrs.frozen(kw_only=True)
class Bounds:
    """Limits on callers' requests and connections."""

    body_bytes: int = 262_144
    header_bytes: int = 8_190
    body_timeout_ms: int = 5_000
    idle_timeout_ms: int = 30_000
    max_deadline_ms: int = 600_000
    max_in_flight: int = 512


@attrs.frozen(kw_only=True)
class Shutdown:
    """Timing of a planned stop."""

    balancer_lag_ms: int = 2_000
    drain_timeout_ms: int = 60_000


@attrs.frozen(kw_only=True)
class Statsd:
    """Where metrics are sent; an ``address`` of None disables them."""

    address: str | None = None
    prefix: str = 'sycamorebeam'


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one instance.

    ``region_link_share`` is the part of the link between regions, from 0
    to 1, that this instance may use. ``peer_secret_file`` names the file
    with the shared secret by which instances authenticate each other.
    """

    instance_id: str
    placement: Placement
    addresses: Addresses
    platform: Platform
    peer_secret_file: str
    region_link_share: float = 0.1
    bounds: Bounds = attrs.field(factory=Bounds)
    shutdown: Shutdown = attrs.field(factory=Shutdown)
    statsd: Statsd = attrs.field(factory=Statsd)
    catalogue_stale_after_ms: int = 30_000
    claim_partitions: int = 16
    claim_window_ms: int = 3_600_000


SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS
DAY_MS = 24 * 60 * MINUTE_MS
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
MAX_PARTITIONS = 1024
MAX_APPENDS_PER_S = 1000
MAX_LOG_APPENDS_PER_S = 100_000
MAX_IN_FLIGHT = 65_536

SCHEMA = checking.Schema(
    rules={
        Placement: {'zone': entries.NAME, 'region': entries.NAME},
        Addresses: {
            'callers': checking.Address(),
            'peers': checking.Address(),
            'admin': checking.Address(),
            'advertised_callers': checking.Address(),
            'advertised_peers': checking.Address(),
        },
        Platform: {
            'log': checking.Url(),
            'instances': checking.Url(),
            'log_timeout_ms': checking.Range(10, MINUTE_MS),
            'log_appends_per_s': checking.Range(0.1, MAX_APPENDS_PER_S),
            'log_limit_appends_per_s': checking.Range(
                1, MAX_LOG_APPENDS_PER_S
            ),
            'batch_linger_ms': checking.Range(0, SECOND_MS),
        },
        Bounds: {
            'body_bytes': checking.Range(1024, MAX_BODY_BYTES),
            'header_bytes': checking.Range(1024, MAX_HEADER_BYTES),
            'body_timeout_ms': checking.Range(100, 10 * MINUTE_MS),
            'idle_timeout_ms': checking.Range(100, 60 * MINUTE_MS),
            'max_in_flight': checking.Range(1, MAX_IN_FLIGHT),
            'max_deadline_ms': checking.Range(1, entries.MAX_DEADLINE_MS),
        },
        Shutdown: {
            'balancer_lag_ms': checking.Range(0, 5 * MINUTE_MS),
            'drain_timeout_ms': checking.Range(0, 60 * MINUTE_MS),
        },
        Statsd: {'address': checking.Address(), 'prefix': entries.NAME},
        Settings: {
            'instance_id': entries.NAME,
            'region_link_share': checking.Range(0, 1),
            'catalogue_stale_after_ms': checking.Range(
                SECOND_MS, 60 * MINUTE_MS
            ),
            'claim_partitions': checking.Range(1, MAX_PARTITIONS),
            'claim_window_ms': checking.Range(MINUTE_MS, 7 * DAY_MS),
        },
    }
)


def load_settings(
    path: pathlib.Path | str, environ: Mapping[str, str]
) -> Settings:
    """Return the settings of a file with the overrides in ``environ``.

    A relative ``peer_secret_file`` is relative to the directory of the
    settings file. Raises SettingsError, which lists every problem.
    """
    path = pathlib.Path(path)
    document, override_faults = overrides.apply(
        jsonc.load(path), Settings, environ
    )
    settings, faults = checking.build(Settings, document.value, SCHEMA)
    if settings is not None:
        faults = _cross_check(settings)
    jsonc.raise_faults(document, [*override_faults, *faults], 'settings')
    secret_file = path.parent.absolute() / settings.peer_secret_file
    return attrs.evolve(settings, peer_secret_file=str(secret_file))


def read_secret(path: pathlib.Path | str) -> bytes:
    """Return the secret in a file, without white space around it.

    Raises SettingsError if the file cannot be read or the secret is too
    short or too long.
    """
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise errors.SettingsError(
            f'the secret file {path} cannot be read ({error.strerror})',
            'set peer_secret_file to a file that this user may read',
        ) from error
    if MIN_SECRET_BYTES <= len(secret) <= MAX_SECRET_BYTES:
        return secret
    raise errors.SettingsError(
        f'the secret in {path} has {len(secret)} bytes',
        f'write {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} random bytes to it',
    )


@attrs.frozen
class Setting:
    """One setting in effect; ``origin`` says where its value comes from."""

    key: str
    value: str | float | None
    origin: str


def effective_settings(
    path: pathlib.Path | str, environ: Mapping[str, str]
) -> list[Setting]:
    """Return every setting in effect, defaults included.

    Raises SettingsError like ``load_settings``.
    """
    found = load_settings(path, environ)
    document, _ = overrides.apply(
        jsonc.load(pathlib.Path(path)), Settings, environ
    )
    return [
        Setting(
            checking.render_path(key),
            functools.reduce(getattr, key, found),  # type: ignore[arg-type]
            document.origin(key) if document.defines(key) else 'default',
        )
        for key in overrides.paths(Settings)
    ]


def _cross_check(settings: Settings) -> list[checking.Fault]:
    addresses = settings.addresses
    return [
        *_repeated_addresses(addresses),
        *_unreachable_addresses(addresses),
    ]


def _repeated_addresses(addresses: Addresses) -> Iterator[checking.Fault]:
    """Yield a fault for each listener at the address of an earlier one."""
    seen: dict[str, str] = {}
    for name in ('callers', 'peers', 'admin'):
        address = getattr(addresses, name)
        if address is None:
            continue
        if address in seen:
            yield checking.Fault(
                ('addresses', name),
                f'the address of {seen[address]} again',
                'an address of its own',
                'choose another port',
            )
        seen.setdefault(address, name)


def _unreachable_addresses(addresses: Addresses) -> Iterator[checking.Fault]:
    """Yield a fault for each listener that others could not address."""
    for name in ('callers', 'peers'):
        address = getattr(addresses, name)
        advertised = getattr(addresses, f'advertised_{name}')
        if advertised is None and address.startswith(ANY_ADDRESS):
            yield checking.Fault(
                ('addresses', f'advertised_{name}'),
                'nothing',
                f'an IP number with a port, as {name} is {address}',
                'add the address at which others reach this instance',
            )
