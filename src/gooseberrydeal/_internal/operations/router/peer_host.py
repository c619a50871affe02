"""Hold this host's view of another host that it passes requests on to."""

from typing import Final

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.network.http1.connection_pool import ConnectionPool

_MAX_CONNECTIONS: Final = 256
# What a host said of its load or its reach counts for this long.
_REPORT_SECONDS: Final = 1.0
# A host that could not serve is not asked again for this long.
_AVOIDED_SECONDS: Final = 1.0
# For this long afterwards other hosts are preferred.
_DOUBTFUL_SECONDS: Final = 10.0


class PeerHost:
    """Track the load of a host, and which services it could not serve."""

    def __init__(self, membership: HostMembership) -> None:
        self._membership = membership
        self._pool = ConnectionPool(membership.address, _MAX_CONNECTIONS)
        self._in_flight = 0
        self._reported = 0
        self._reported_at = float("-inf")
        self._failed_at: dict[ServiceName | None, float] = {}

    @property
    def membership(self) -> HostMembership:
        """Return the host's record."""
        return self._membership

    @property
    def pool(self) -> ConnectionPool:
        """Return the pool of connections to the host."""
        return self._pool

    def begin(self) -> None:
        """Count a request that is passed on to the host."""
        self._in_flight += 1

    def end(self) -> None:
        """Count a request that has ended."""
        self._in_flight -= 1

    def note_load(self, requests: int, now: float) -> None:
        """Record how many requests the host said that it serves."""
        self._reported = requests
        self._reported_at = now

    def note_failure(self, service: ServiceName | None, now: float) -> None:
        """Record that the host could not serve a service, ``None`` for all of them."""
        self._failed_at[service] = now

    def note_served(self, service: ServiceName) -> None:
        """Record that the host serves a service."""
        self._failed_at.pop(service, None)
        self._failed_at.pop(None, None)

    def requests(self, now: float) -> int:
        """Return how many requests the host serves, as far as it is known."""
        is_recent = now - self._reported_at < _REPORT_SECONDS
        return max(self._in_flight, self._reported if is_recent else 0)

    def is_avoided(self, service: ServiceName, now: float) -> bool:
        """Return whether the host could not serve a service just now."""
        return now - self._last_failure(service) < _AVOIDED_SECONDS

    def is_doubtful(self, service: ServiceName, now: float) -> bool:
        """Return whether the host could not serve a service when it was last asked."""
        return now - self._last_failure(service) < _DOUBTFUL_SECONDS

    def _last_failure(self, service: ServiceName) -> float:
        never = float("-inf")
        return max(
            self._failed_at.get(service, never), self._failed_at.get(None, never)
        )
