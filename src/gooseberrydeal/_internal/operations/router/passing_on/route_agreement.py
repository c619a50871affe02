"""Refuse requests that this host would handle otherwise than the one it is from."""

import logging
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.peer_request import PeerRequest
from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.peer_fields import revision_field
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.refusals import refuse

logger = logging.getLogger(__name__)

# The host that is behind reads the store meanwhile.
_RETRY_AFTER_SECONDS: Final = 0.1


class RouteAgreement:
    """Compare the routes of two hosts, so that no caller sees a change undone.

    Of two hosts with different configurations, the one that is behind reads the
    metadata store at once. A host that has not read it in time serves nothing for one
    that has, since it may use servers that are leaving.
    """

    def __init__(self, view: MetadataView, clock: Callable[[], float]) -> None:
        self._view = view
        self._clock = clock

    def refuses(
        self, exchange: CallerExchange, peer: PeerRequest | None, route: Route | None
    ) -> bool:
        """Refuse the request of another host if the two do not agree on its route."""
        if peer is None or peer.route is None:
            return False
        own = self._view.revision_in_use
        if peer.route.revision > own:
            self._view.proof.read_soon()
        is_behind = peer.route.is_current and not self._view.is_current(self._clock())
        if route is not None and route.digest == peer.route.digest and not is_behind:
            return False
        logger.info(
            "request of host %s refused: %s",
            peer.host,
            "the metadata store was not read in time"
            if is_behind
            else f"its configuration has revision {peer.route.revision}, ours {own}",
        )
        exchange.add_peer_field(revision_field(own))
        refuse(exchange, RefusalReason.CONFIGURATION_DIFFERS, _RETRY_AFTER_SECONDS)
        return True
