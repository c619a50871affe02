"""Define the routing configuration set by the operators."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.routing.account_directory import (
    AccountDirectory,
)
from gooseberrydeal._internal.models.routing.route import Route


@dataclass(frozen=True, slots=True)
class BaseModel:
    """Describe a base model; ``megabytes`` is the size of its weights."""

    name: str
    megabytes: float
    load_seconds: float


@dataclass(frozen=True, slots=True)
class EngineCapacity:
    """Describe the capacity of each engine of a service.

    ``models`` are the base models by name. ``token_capacity`` is the maximum number of
    tokens in flight, and ``event_tokens`` the number of tokens in a stream event.
    """

    models: Mapping[str, BaseModel]
    adapter_slots: int
    token_capacity: int
    event_tokens: int = 1


@dataclass(frozen=True, slots=True)
class ServiceConfiguration:
    """Describe a service; ``engine`` is ``None`` for a plain service."""

    name: ServiceName
    max_connections: int
    engine: EngineCapacity | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the size of callers' requests and the time to receive them, in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingConfiguration:
    """Hold one complete version of the routing configuration.

    ``accounts`` is ``None`` where the deployment has no client accounts.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[ServiceName, ServiceConfiguration] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    accounts: AccountDirectory | None = None
