"""Define what hosts tell each other about the limits that servers state."""

from collections.abc import Mapping
from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import HostId, ServerId, ServiceName


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """Hold what one start of a server stated ``seconds_ago`` about its limit.

    ``requests_per_second`` is what it takes from all hosts together, ``None`` if it
    lifted its limit.
    """

    server: ServerId
    started_at: int
    requests_per_second: float | None
    seconds_ago: float


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Send a host's statements of servers, and its own demand for their services.

    The demand is in requests per second.
    """

    host: HostId
    demands: Mapping[ServiceName, float]
    statements: tuple[LimitStatement, ...]
