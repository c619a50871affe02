"""Define how servers are chosen."""

from collections.abc import Sequence
from typing import Protocol

from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.placement_query import PlacementQuery
from gooseberrydeal._internal.models.server_view import ServerView


class PlacementPolicy(Protocol):
    """Choose a server for a request."""

    def choose(
        self, query: PlacementQuery, servers: Sequence[ServerView]
    ) -> Placement | None:
        """Return the choice, or ``None`` if no server can be used."""
        ...
