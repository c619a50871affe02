"""Connect the parts that share the places of plain servers."""

from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.place_messages import (
    PlaceGrant,
    PlaceRelease,
    PlaceRequest,
)
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.report_exchange import ReportExchange
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.waiting.place_client import (
    PlaceClient,
)
from gooseberrydeal._internal.operations.router.waiting.place_keeper import (
    PlaceKeeper,
)
from gooseberrydeal._internal.operations.router.waiting.place_link import PlaceLink
from gooseberrydeal._internal.utils.clock import SystemClock


class PlaceSharing:
    """Let this host ask for places, and allocate those of the servers it keeps.

    Places go by the clock that counts the time while the host is suspended.
    """

    def __init__(
        self,
        membership: HostMembership,
        view: MetadataView,
        servers: ServerTable,
        exchange: ReportExchange,
        metrics: RouterMetrics,
        clock: SystemClock,
    ) -> None:
        elapsed = clock.seconds_since_boot
        link = PlaceLink(membership, view, exchange.send, elapsed)
        self._client = PlaceClient(link, view, servers, metrics, elapsed)
        self._keeper = PlaceKeeper(link, servers, metrics, clock.monotonic, elapsed)
        exchange.set_handler(PlaceRequest, self._keeper.request_received)
        exchange.set_handler(PlaceRelease, self._keeper.release_received)
        exchange.set_handler(PlaceGrant, self._client.grant_received)

    @property
    def client(self) -> PlaceClient:
        """Return the part that gets places for this host's requests."""
        return self._client

    def stop(self) -> None:
        """Stop allocating places."""
        self._keeper.stop()
