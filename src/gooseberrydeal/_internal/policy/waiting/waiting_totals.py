"""Add up how many requests wait at all hosts, by service and rank."""

from collections.abc import Iterable

from gooseberrydeal._internal.models.ids import HostId, ServiceName
from gooseberrydeal._internal.models.routing.usage_report import WaitingCount


class WaitingTotals:
    """Keep the newest counts of each host that has requests waiting."""

    def __init__(self) -> None:
        self._counts: dict[HostId, tuple[float, tuple[WaitingCount, ...]]] = {}

    def apply(self, host: HostId, counts: Iterable[WaitingCount], now: float) -> None:
        """Replace what a host reported before."""
        counts = tuple(counts)
        if counts:
            self._counts[host] = (now, counts)
        else:
            self._counts.pop(host, None)

    def of_service(
        self, service: ServiceName, now: float, timeout: float
    ) -> tuple[tuple[int, int], ...]:
        """Return pairs of a rank and the number of requests that wait, by rank.

        Hosts that have not reported for ``timeout`` seconds are left out.
        """
        totals: dict[int, int] = {}
        for host, (at, counts) in list(self._counts.items()):
            if now - at > timeout:
                del self._counts[host]
                continue
            for item in counts:
                if item.service == service:
                    totals[item.rank] = totals.get(item.rank, 0) + item.count
        return tuple(sorted(totals.items()))
