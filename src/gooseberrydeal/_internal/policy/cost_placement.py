"""Choose the server with the lowest expected cost for a request."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.placement_query import PlacementQuery
from gooseberrydeal._internal.models.server_view import ServerView
from gooseberrydeal._internal.utils import rendezvous

_CROSS_DOMAIN_COST_SECONDS: Final = 0.002
_TIE_TOLERANCE_SECONDS: Final = 0.01
_FIRST_TOKEN_FRACTION: Final = 0.25
_EVICTION_SECONDS_PER_DEMAND: Final = 1.0
_DEMAND_STEP_LOG2: Final = 0.5
_MIN_DEMAND: Final = 0.01


@dataclass(frozen=True, slots=True)
class _Candidate:
    server: ServerView
    wait_seconds: float
    needs_load: bool
    cost: float


class CostPlacement:
    """Compare servers by queue wait, adapter load, eviction and slowdown.

    The cost of a server is in seconds. A server with the adapter ready costs its
    expected wait. Any other server also costs the adapter load and the demand for the
    adapter that the load would evict. A further copy is therefore loaded only if the
    wait for the existing ones exceeds the cost of a load.

    Among servers of nearly equal cost, one that needs no load is preferred, then the
    one with the highest rendezvous weight, so that all entry hosts make the same choice
    without communicating.
    """

    def __init__(self, load_seconds: float) -> None:
        self._load_seconds = load_seconds

    @property
    def load_seconds(self) -> float:
        """Return the expected duration of an adapter load in seconds."""
        return self._load_seconds

    @load_seconds.setter
    def load_seconds(self, value: float) -> None:
        self._load_seconds = value

    def choose(
        self, query: PlacementQuery, servers: Sequence[ServerView]
    ) -> Placement | None:
        """Return the server of lowest cost, or ``None`` if none is usable."""
        usable = [view for view in servers if view.server not in query.excluded]
        candidates = [
            candidate for view in usable if (candidate := self._candidate(query, view))
        ]
        if not candidates:
            return None
        lowest_cost = min(candidate.cost for candidate in candidates)
        tied = [
            candidate
            for candidate in candidates
            if candidate.cost <= lowest_cost + _TIE_TOLERANCE_SECONDS
        ]
        best = max(tied, key=lambda candidate: self._tie_break_key(query, candidate))
        return Placement(
            best.server.server,
            best.server.owner_address,
            best.wait_seconds,
            best.needs_load,
        )

    def _candidate(self, query: PlacementQuery, view: ServerView) -> _Candidate | None:
        wait = expected_wait(view, query.slot_seconds)
        cost = wait
        if view.domain != query.local_domain:
            cost += _CROSS_DOMAIN_COST_SECONDS
        if query.adapter is None or query.adapter in view.ready:
            return _Candidate(view, wait, needs_load=False, cost=cost)
        wait += self._load_seconds
        cost += self._load_seconds
        if query.adapter in view.loading:
            cost += query.load_wait_seconds / 2
            return _Candidate(view, wait, needs_load=False, cost=cost)
        wait += query.load_wait_seconds
        cost += query.load_wait_seconds
        if view.victim_demand is None:
            return None
        cost += _EVICTION_SECONDS_PER_DEMAND * _quantise_demand(view.victim_demand)
        return _Candidate(view, wait, needs_load=True, cost=cost)

    def _tie_break_key(
        self, query: PlacementQuery, candidate: _Candidate
    ) -> tuple[bool, int]:
        key = f"{query.adapter or ''}|{query.affinity}"
        weight = rendezvous.weight(key, candidate.server.server)
        return (not candidate.needs_load, weight)


def expected_wait(view: ServerView, slot_seconds: float) -> float:
    """Return the expected seconds until a server can start another request.

    The wait that the server's owner reports already accounts for the slowdown. A slow
    server also takes longer to produce the first token; that time is estimated as a
    fixed fraction of ``slot_seconds``, the time that a request occupies a slot.

    A partly occupied server costs up to the tie tolerance more than an idle one.
    """
    ahead = view.running + view.queued + view.outstanding
    excess = max(0, ahead + 1 - view.concurrency)
    estimated_wait = excess * slot_seconds / view.concurrency * view.slowdown
    wait = max(view.wait_seconds, estimated_wait)
    occupancy_cost = min(1.0, ahead / view.concurrency) * _TIE_TOLERANCE_SECONDS
    first_token_delay = (view.slowdown - 1.0) * slot_seconds * _FIRST_TOKEN_FRACTION
    return wait + occupancy_cost + first_token_delay


def _quantise_demand(demand: float) -> float:
    """Round a demand to coarse steps.

    Entry hosts whose figures differ slightly then see the same eviction cost.
    """
    if demand <= _MIN_DEMAND:
        return 0.0
    steps = round(math.log2(demand / _MIN_DEMAND) / _DEMAND_STEP_LOG2)
    return float(_MIN_DEMAND * 2 ** (steps * _DEMAND_STEP_LOG2))
