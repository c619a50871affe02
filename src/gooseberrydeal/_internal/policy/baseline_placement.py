"""Simple placement policies that serve as benchmark baselines."""

from collections.abc import Sequence
from typing import Final

from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.placement_query import PlacementQuery
from gooseberrydeal._internal.models.server_view import ServerView
from gooseberrydeal._internal.utils import rendezvous
from gooseberrydeal._internal.utils.clock import Clock

_SNAPSHOT_INTERVAL_SECONDS: Final = 2.0


def _placement_on(query: PlacementQuery, view: ServerView) -> Placement:
    needs_load = query.adapter is not None and query.adapter not in view.ready
    return Placement(view.server, view.owner_address, view.wait_seconds, needs_load)


class RoundRobinPlacement:
    """Use the servers in turn."""

    def __init__(self) -> None:
        self._placement_count = 0

    def choose(
        self, query: PlacementQuery, servers: Sequence[ServerView]
    ) -> Placement | None:
        """Return the next server, or ``None`` if all are excluded."""
        candidates = sorted(
            (view for view in servers if view.server not in query.excluded),
            key=lambda view: view.server,
        )
        if not candidates:
            return None
        self._placement_count += 1
        return _placement_on(query, candidates[self._placement_count % len(candidates)])


class LeastLoadedPlacement:
    """Use the server with the lowest load in a periodic snapshot.

    The snapshot simulates load reports that arrive late. Requests placed since it was
    taken are counted as well.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[str, int] = {}
        self._snapshot_at = float("-inf")

    def choose(
        self, query: PlacementQuery, servers: Sequence[ServerView]
    ) -> Placement | None:
        """Return the least loaded server, or ``None`` if all are excluded."""
        candidates = [view for view in servers if view.server not in query.excluded]
        if not candidates:
            return None
        now = self._clock.monotonic()
        if now - self._snapshot_at >= _SNAPSHOT_INTERVAL_SECONDS:
            self._snapshot_at = now
            self._loads = {v.server: v.running + v.queued for v in servers}
        best = min(
            candidates, key=lambda view: (self._loads.get(view.server, 0), view.server)
        )
        self._loads[best.server] = self._loads.get(best.server, 0) + 1
        return _placement_on(query, best)


class HashPlacement:
    """Use the server with the highest rendezvous hash weight.

    The hash key is the adapter, or the request's affinity if it needs no adapter.
    """

    def choose(
        self, query: PlacementQuery, servers: Sequence[ServerView]
    ) -> Placement | None:
        """Return the server for the key, or ``None`` if all are excluded."""
        candidates = {
            view.server: view for view in servers if view.server not in query.excluded
        }
        key = str(query.adapter) if query.adapter is not None else query.affinity
        name = rendezvous.first(key, candidates)
        return None if name is None else _placement_on(query, candidates[name])
