"""Define the routes and how their requests are served."""

import hashlib
import math
from dataclasses import dataclass
from enum import Enum
from typing import Final

from gooseberrydeal._internal.models.ids import ServiceName

_DIGEST_LENGTH: Final = 16


class RequestKind(Enum):
    """List the kinds of requests by whether they may be executed more than once.

    A streaming request may be repeated only if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Assign a service its relative share of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Match requests by host and path prefix and define how they are served.

    Times are in seconds. At most ``max_servers`` servers may execute one request.
    ``rank`` is the priority, 0 being the most urgent. A response is late if it starts
    after ``target_latency``, a stream also if two of its events are further apart than
    ``longest_pause``. Callers are assumed to time out if they receive nothing for
    ``caller_idle_timeout``. ``is_open`` routes serve requests without a key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout: float
    target_latency: float
    services: tuple[WeightedService, ...]
    max_servers: int
    rank: int = 0
    is_resumable: bool = False
    longest_pause: float = 1.0
    caller_idle_timeout: float = math.inf
    is_open: bool = False

    @property
    def digest(self) -> str:
        """Return a text that differs if a request would be handled otherwise."""
        services = [(item.service, item.weight) for item in self.services]
        handling = (
            self.name,
            self.host,
            self.path_prefix,
            self.kind.value,
            self.timeout,
            services,
            self.max_servers,
            self.is_resumable,
            self.is_open,
        )
        return hashlib.sha256(repr(handling).encode()).hexdigest()[:_DIGEST_LENGTH]

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAMING and self.is_resumable
        )
