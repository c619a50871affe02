"""Define the entry that a backend server registers in the metadata store."""

from dataclasses import dataclass
from enum import Enum

from gooseberrydeal._internal.models.ids import (
    DomainName,
    ServerId,
    ServiceName,
    SoftwareVersion,
)
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin


class ServerState(Enum):
    """List the states of a registered server."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class HeldModels:
    """List the base models on an engine, each with its version, and the adapters."""

    base_models: tuple[tuple[str, int], ...] = ()
    adapters: tuple[AdapterCopyKey, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """Hold the properties that a backend server registers.

    ``slots`` is how many requests it can run at once. ``started_at`` is the Unix time
    of its start in milliseconds; a server that restarts under the same id has lost all
    loaded models. ``order_count`` is the number of orders accepted since that start.
    ``software_version`` is ``None`` if the entry does not say it.
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
    software_version: SoftwareVersion | None = None

    def is_other_start(self, known: "ServerEntry") -> bool:
        """Return whether the server has started again since a known entry."""
        versions = {self.software_version, known.software_version} - {None}
        return self.started_at != known.started_at or len(versions) > 1

    def began(self, origin: StreamOrigin) -> bool:
        """Return whether this entry, read after a stream began, is of its origin."""
        return (self.id, self.started_at, self.software_version) == (
            origin.server,
            origin.started_at,
            origin.version,
        )

    def can_continue(self, origin: StreamOrigin) -> bool:
        """Return whether the server may go on with a stream that began elsewhere."""
        if self.service != origin.service:
            return False
        if origin.version is not None:
            return self.software_version == origin.version
        return (self.id, self.started_at) == (origin.server, origin.started_at)
