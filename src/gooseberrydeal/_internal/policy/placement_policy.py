"""Define the interface of placement policies."""

from collections.abc import Sequence
from typing import Protocol

from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.placement_query import PlacementQuery
from gooseberrydeal._internal.models.server_view import ServerView


class PlacementPolicy(Protocol):
    """Choose the server that a request is sent to."""

    def choose(
        self, query: PlacementQuery, servers: Sequence[ServerView]
    ) -> Placement | None:
        """Return the placement, or ``None`` if no server is usable."""
        ...
