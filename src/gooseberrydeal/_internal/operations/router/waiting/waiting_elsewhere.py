"""Tell how many requests wait at other hosts for the engines of a service."""

from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_table import ServerTable

# Statuses are looked through again after this time; owners send them less often.
_REFRESH_SECONDS: Final = 0.1


class WaitingElsewhere:
    """Read from the engines' statuses how many requests of each rank wait.

    Each owner hears of a part of the hosts, so the largest of their counts is used.
    ``own`` returns how many requests of each rank wait at this host.
    """

    def __init__(
        self,
        service: ServiceName,
        view: MetadataView,
        servers: ServerTable,
        own: Callable[[], dict[int, int]],
    ) -> None:
        self._service = service
        self._view = view
        self._servers = servers
        self._own = own
        self._counts: dict[int, int] = {}
        self._read_at = float("-inf")

    @property
    def hosts(self) -> int:
        """Return the number of hosts."""
        return max(1, len(self._view.hosts))

    def more_urgent(self, rank: int, now: float) -> int:
        """Return how many requests of lower ranks wait at other hosts."""
        if now - self._read_at >= _REFRESH_SECONDS:
            self._read_at = now
            self._counts = self._read(now)
        if not self._counts:
            return 0
        own = self._own()
        return sum(
            max(0, count - own.get(item, 0))
            for item, count in self._counts.items()
            if item < rank
        )

    def _read(self, now: float) -> dict[int, int]:
        counts: dict[int, int] = {}
        for record in self._servers.of_service(self._service):
            status = record.owner.status
            if status is None or not status.waiting or not record.owner.is_fresh(now):
                continue
            for rank, count in status.waiting:
                counts[rank] = max(counts.get(rank, 0), count)
        return counts
