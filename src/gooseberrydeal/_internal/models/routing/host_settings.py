"""Describe the facts that a host is started with."""

from dataclasses import dataclass, field

from gooseberrydeal._internal.models.ids import DomainName, HostId


@dataclass(frozen=True, slots=True)
class RoutingBounds:
    """Hold the deployment's bounds; times are in seconds."""

    grace: float = 8.0
    lease: float = 3.0
    adapter_version: float = 5.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 50.0


@dataclass(frozen=True, slots=True)
class StoreFacts:
    """Say where the metadata store is, and its shortest lease in seconds."""

    address: str
    shortest_lease: float = 1.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Hold addresses as ``IP:port``; ``is_first_start`` marks a new deployment."""

    host: HostId
    domain: DomainName
    callers: str
    readiness: str
    peers: str
    metrics: str
    store: StoreFacts
    is_first_start: bool = False
    bounds: RoutingBounds = field(default_factory=RoutingBounds)
