"""The settings of one instance."""

import attrs


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
    """Where the platform's services are, and how long to wait for them."""

    log: str
    instances: str
    log_timeout_ms: int = 1000
    log_appends_per_s: float = 40.0
    batch_linger_ms: int = 5


@attrs.frozen(kw_only=True)
class Bounds:
    """Bounds on what callers may send."""

    body_bytes: int = 262_144
    header_bytes: int = 8_190
    body_timeout_ms: int = 5_000
    idle_timeout_ms: int = 30_000
    max_deadline_ms: int = 600_000
    max_in_flight: int = 512


@attrs.frozen(kw_only=True)
class Shutdown:
    """How a planned stop proceeds."""

    balancer_lag_ms: int = 2_000
    drain_timeout_ms: int = 60_000


@attrs.frozen(kw_only=True)
class Statsd:
    """Where metrics go; None turns them off."""

    address: str | None = None
    prefix: str = 'sycamorebeam'


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one instance.

    ``region_link_share`` is the part of the link between regions, from 0
    to 1, that this instance may use. ``peer_secret_file`` names a file
    with the secret that instances prove to each other.
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
