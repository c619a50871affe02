"""Serve the requests that other hosts pass on."""

from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.routing_configuration import CallerLimits
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.peer_fields import (
    decode_peer_request,
    in_progress_field,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.refusals import refuse
from gooseberrydeal._internal.operations.router.request_handler import RequestHandler

# Longer than the hosts that pass requests on keep a connection, so that no request
# crosses the close of its connection.
_IDLE_TIMEOUT_SECONDS: Final = 30.0
# The fields of the host that passes a request on, of the account, whose name has up to
# 200 characters and is sent twice, once in percent-encoding, and of the time left.
_PEER_FIELDS_BYTES: Final = 2_048


class PeerRequestHandler:
    """Check that a host passed a request on, and serve it like one of a caller."""

    def __init__(self, handler: RequestHandler, view: MetadataView) -> None:
        self._handler = handler
        self._view = view

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests, with room for the hosts' fields."""
        limits = self._handler.limits
        return replace(
            limits,
            idle_timeout=_IDLE_TIMEOUT_SECONDS,
            header_bytes=limits.header_bytes + _PEER_FIELDS_BYTES,
        )

    @property
    def is_draining(self) -> bool:
        """Return whether connections are closed after the current reply."""
        return self._handler.is_draining

    async def handle(self, exchange: CallerExchange) -> None:
        """Serve one request, or refuse it if no host of this deployment sent it."""
        exchange.mark_for_peer(in_progress_field(self._handler.in_progress))
        request = decode_peer_request(exchange.head.headers)
        known = None if request is None else self._view.hosts.get(request.host)
        if request is None or known is None or known.incarnation != request.incarnation:
            refuse(exchange, RefusalReason.UNAUTHENTICATED, None)
            return
        await self._handler.handle_for_peer(exchange, request)
