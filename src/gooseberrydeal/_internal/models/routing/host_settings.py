"""Define the settings with which a router host is started."""

from dataclasses import dataclass, field

from gooseberrydeal._internal.models.ids import DomainName, HostId


@dataclass(frozen=True, slots=True)
class RoutingBounds:
    """Hold the deployment's time limits, in seconds, and retry limits.

    ``grace`` is the maximum time of a graceful shutdown. ``handover_gap`` is the
    minimum time between the orders of two successive owners of an engine.
    ``adapter_version`` is the maximum time until a newly declared adapter version is
    in use, and ``store_change`` that until a change of the configuration or a leaving
    server is heeded. Within any ``retry_window``, all hosts together may send a service
    ``retry_ratio`` retries per request, plus ``retry_slack``.

    With ``has_strict_revocation``, no request that is sent later than ``revocation``
    after its key was taken away may run. Within any ``quota_window``, requests of an
    account may exceed its quota by the fraction ``quota_overshoot``, plus
    ``quota_slack`` in the quota's unit.
    """

    grace: float = 8.0
    handover_gap: float = 3.0
    adapter_version: float = 5.0
    store_change: float = 2.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 50.0
    has_strict_revocation: bool = False
    revocation: float = 5.0
    quota_window: float = 8.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Hold the metadata store's address and its shortest lease time in seconds."""

    address: str
    shortest_lease: float = 1.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Hold a host's settings; addresses have the form ``IP:port``.

    The host listens for callers at ``callers``, for readiness probes at ``readiness``,
    for reports of other hosts at ``peers`` and for metrics scrapes at ``metrics``.
    ``is_first_start`` is set for the first start of a new deployment. With
    ``shares_plain_places``, hosts ask for places at contended plain servers. The host
    has ``memory_bytes`` of memory, ``max_descriptors`` file descriptors and a link of
    ``link_bytes_per_second``, each ``None`` if that is not stated.
    """

    host: HostId
    domain: DomainName
    callers: str
    readiness: str
    peers: str
    metrics: str
    store: StoreSettings
    is_first_start: bool = False
    shares_plain_places: bool = False
    bounds: RoutingBounds = field(default_factory=RoutingBounds)
    memory_bytes: int | None = None
    max_descriptors: int | None = None
    link_bytes_per_second: float | None = None
