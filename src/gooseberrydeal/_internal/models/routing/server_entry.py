"""Describe a backend server as it registers itself."""

from dataclasses import dataclass
from enum import Enum

from gooseberrydeal._internal.models.ids import DomainName, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey


class ServerState(Enum):
    """List the states of a registered server."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class HeldModels:
    """List what an engine holds: base models with their versions, and adapters."""

    base_models: tuple[tuple[str, int], ...] = ()
    adapters: tuple[AdapterCopyKey, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """Hold what a server says of itself.

    ``started_at`` is the Unix time of its start in milliseconds: a server that starts
    again under its old id has lost all it held. ``order_count`` counts the orders that
    the server has accepted since.
    """

    id: ServerId
    service: ServiceName
    address: str
    domain: DomainName
    slots: int
    state: ServerState
    started_at: int = 0
    order_count: int = 0
    held: HeldModels | None = None
