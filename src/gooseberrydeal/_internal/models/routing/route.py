"""Describe a route and what may be done with its requests."""

import math
from dataclasses import dataclass
from enum import Enum

from gooseberrydeal._internal.models.ids import ServiceName


class RequestKind(Enum):
    """List what may be repeated.

    A streaming request may be repeated only if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Give a service its share of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Select requests by host and path prefix and say how to serve them.

    Times are in seconds. ``max_servers`` bounds the servers that may run one request.
    ``rank`` is 0 for the most urgent kind of request. A stream is late if two of its
    events are further apart than ``longest_pause``. Callers give a request up when
    nothing comes for ``caller_patience``.
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
    caller_patience: float = math.inf

    @property
    def is_repeatable(self) -> bool:
        """Return whether a second run is allowed."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAMING and self.is_resumable
        )
