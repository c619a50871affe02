"""Hold plain placement policies to compare with."""

from collections.abc import Sequence
from typing import Final

from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.placement_query import PlacementQuery
from gooseberrydeal._internal.models.server_view import ServerView
from gooseberrydeal._internal.utils import rendezvous
from gooseberrydeal._internal.utils.clock import Clock

REPORT_LAG_SECONDS: Final = 2.0


def _placement(query: PlacementQuery, view: ServerView) -> Placement:
    needs_load = query.adapter is not None and query.adapter not in view.ready
    return Placement(view.server, view.owner_address, view.wait_seconds, needs_load)


class RoundRobinPlacement:
    """Take the servers in turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, query: PlacementQuery, servers: Sequence[ServerView]
    ) -> Placement | None:
        """Return the next server."""
        usable = sorted(
            (view for view in servers if view.server not in query.excluded),
            key=lambda view: view.server,
        )
        if not usable:
            return None
        self._next += 1
        return _placement(query, usable[self._next % len(usable)])


class LeastLoadedPlacement:
    """Take the server with the least load in its late report."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[str, int] = {}
        self._read_at = float("-inf")

    def choose(
        self, query: PlacementQuery, servers: Sequence[ServerView]
    ) -> Placement | None:
        """Return the least loaded server."""
        usable = [view for view in servers if view.server not in query.excluded]
        if not usable:
            return None
        now = self._clock.monotonic()
        if now - self._read_at >= REPORT_LAG_SECONDS:
            self._read_at = now
            self._loads = {v.server: v.running + v.queued for v in servers}
        best = min(
            usable, key=lambda view: (self._loads.get(view.server, 0), view.server)
        )
        self._loads[best.server] = self._loads.get(best.server, 0) + 1
        return _placement(query, best)


class HashPlacement:
    """Take the server that the adapter's name hashes to."""

    def choose(
        self, query: PlacementQuery, servers: Sequence[ServerView]
    ) -> Placement | None:
        """Return the home server."""
        usable = {
            view.server: view for view in servers if view.server not in query.excluded
        }
        key = str(query.adapter) if query.adapter is not None else query.affinity
        home = rendezvous.first(key, usable)
        return None if home is None else _placement(query, usable[home])
