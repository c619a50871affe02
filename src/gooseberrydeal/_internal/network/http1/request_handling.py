"""Define what serves the requests of callers' connections."""

from collections.abc import Coroutine
from typing import Any, Protocol

from gooseberrydeal._internal.models.routing.routing_configuration import CallerLimits
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange


class RequestHandler(Protocol):
    """Serve the requests of all callers' connections."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on sizes and times of callers' requests."""
        ...

    @property
    def is_draining(self) -> bool:
        """Return whether connections are closed after the current response."""
        ...

    def handle(self, exchange: CallerExchange) -> Coroutine[Any, Any, None]:
        """Serve one request; the exchange is aborted if this leaves it unfinished."""
        ...
