"""Choose the server where a request is expected to start first."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.placement_query import PlacementQuery
from gooseberrydeal._internal.models.server_view import ServerView
from gooseberrydeal._internal.utils import rendezvous

_CROSS_DOMAIN_SECONDS: Final = 0.002
_NEAR_SECONDS: Final = 0.01
_FIRST_PART: Final = 0.25
_EVICTION_WEIGHT: Final = 1.0
_VALUE_STEP: Final = 0.5
_VALUE_FLOOR: Final = 0.01


@dataclass(frozen=True, slots=True)
class _Option:
    server: ServerView
    wait_seconds: float
    needs_load: bool
    cost: float


class CostPlacement:
    """Weigh the queue, the load, the eviction and the pace of each server.

    A server that holds the adapter costs its wait. Another one costs a load as well,
    and the demand that the load would evict, so that a copy is added only when the
    present ones are behind by more than a load takes. Equal costs fall to the
    highest rendezvous weight, so that all entry hosts choose alike without talking.
    """

    def __init__(self, load_seconds: float) -> None:
        self._load_seconds = load_seconds

    @property
    def load_seconds(self) -> float:
        """Return the expected time of a load."""
        return self._load_seconds

    @load_seconds.setter
    def load_seconds(self, value: float) -> None:
        self._load_seconds = value

    def choose(
        self, query: PlacementQuery, servers: Sequence[ServerView]
    ) -> Placement | None:
        """Return the cheapest server, or ``None`` if none can be used."""
        usable = [view for view in servers if view.server not in query.excluded]
        options = [option for view in usable if (option := self._option(query, view))]
        if not options:
            return None
        least = min(option.cost for option in options)
        near = [option for option in options if option.cost <= least + _NEAR_SECONDS]
        best = max(near, key=lambda option: self._preference(query, option))
        return Placement(
            best.server.server,
            best.server.owner_address,
            best.wait_seconds,
            best.needs_load,
        )

    def _option(self, query: PlacementQuery, view: ServerView) -> _Option | None:
        wait = expected_wait(view, query.slot_seconds)
        cost = wait
        if view.domain != query.local_domain:
            cost += _CROSS_DOMAIN_SECONDS
        if query.adapter is None or query.adapter in view.ready:
            return _Option(view, wait, needs_load=False, cost=cost)
        wait += self._load_seconds
        cost += self._load_seconds
        if query.adapter in view.loading:
            cost += query.load_wait_seconds / 2
            return _Option(view, wait, needs_load=False, cost=cost)
        wait += query.load_wait_seconds
        cost += query.load_wait_seconds
        if view.victim_demand is None:
            return None
        cost += _EVICTION_WEIGHT * quantised(view.victim_demand)
        return _Option(view, wait, needs_load=True, cost=cost)

    def _preference(self, query: PlacementQuery, option: _Option) -> tuple[bool, int]:
        key = f"{query.adapter or ''}|{query.affinity}"
        weight = rendezvous.weight(key, option.server.server)
        return (not option.needs_load, weight)


def expected_wait(view: ServerView, slot_seconds: float) -> float:
    """Return the seconds until a server could start a further request.

    The owner's report already stretches its queue by the slowdown. A slowed server
    also takes longer to its first token, a part of what a request takes.
    """
    ahead = view.running + view.queued + view.outstanding
    over = max(0, ahead + 1 - view.concurrency)
    own = over * slot_seconds / view.concurrency * view.slowdown
    wait = max(view.wait_seconds, own)
    fill = min(1.0, ahead / view.concurrency) * _NEAR_SECONDS
    first = (view.slowdown - 1.0) * slot_seconds * _FIRST_PART
    return wait + fill + first


def quantised(demand: float) -> float:
    """Round a demand to coarse steps, so that equal victims look equal to all."""
    if demand <= _VALUE_FLOOR:
        return 0.0
    steps = round(math.log2(demand / _VALUE_FLOOR) / _VALUE_STEP)
    return float(_VALUE_FLOOR * 2 ** (steps * _VALUE_STEP))
