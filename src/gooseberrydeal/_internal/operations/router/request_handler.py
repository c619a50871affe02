"""Take the requests of callers."""

import logging
import random
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.models.routing.routing_configuration import (
    CallerLimits,
    RoutingConfiguration,
)
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.refusals import refuse
from gooseberrydeal._internal.operations.router.request_run import RequestRun
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.retry_window import RetryWindow
from gooseberrydeal._internal.policy.route_table import RouteTable

logger = logging.getLogger(__name__)

_NOT_CONFIGURED_SECONDS: Final = 1.0
# Another host serves the caller as soon as it comes back.
_OTHER_HOST_SECONDS: Final = 0.05


class RequestHandler:
    """Find the route of each request and start its run."""

    def __init__(
        self,
        view: MetadataView,
        codec: RelayCodec,
        dispatcher: Dispatcher,
        metrics: RouterMetrics,
        bounds: RoutingBounds,
        on_use: Callable[[ServerRecord], None],
        on_freed: Callable[[ServerRecord], None],
        on_lost: Callable[[ServerRecord], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._codec = codec
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._bounds = bounds
        self._on_use = on_use
        self._on_freed = on_freed
        self._on_lost = on_lost
        self._clock = clock
        self._rng = rng
        self._configuration: RoutingConfiguration | None = None
        self._routes = RouteTable(())
        self._retries: dict[ServiceName, RetryWindow] = {}
        self._is_draining = False
        self._is_refusing = False
        self._in_progress = 0

    @property
    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        if self._view.configuration is None:
            return CallerLimits()
        return self._view.configuration.limits

    @property
    def is_draining(self) -> bool:
        """Return whether connections end after their reply."""
        return self._is_draining

    @property
    def in_progress(self) -> int:
        """Return how many requests are being served."""
        return self._in_progress

    def set_bounds(self, bounds: RoutingBounds) -> None:
        """Take changed bounds over; retries of the running window count anew."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._retries.clear()

    def drain(self) -> None:
        """End each connection after its reply."""
        self._is_draining = True

    def refuse_new(self) -> None:
        """Refuse further requests, since their end would be cut off."""
        self._is_refusing = True

    async def handle(self, exchange: CallerExchange) -> None:
        """Serve one request."""
        if self._is_refusing:
            refuse(exchange, RefusalReason.SHUTTING_DOWN, _OTHER_HOST_SECONDS)
            return
        arrived = self._clock()
        facts = self._codec.read_request(exchange.head)
        self._follow_configuration()
        if self._configuration is None:
            refuse(exchange, RefusalReason.NO_CONFIGURATION, _NOT_CONFIGURED_SECONDS)
            return
        route = self._routes.find(facts.host, facts.path)
        if route is None:
            refuse(exchange, RefusalReason.UNKNOWN_OPERATION, None)
            return
        patience = route.timeout
        if facts.patience is not None:
            patience = min(patience, facts.patience)
        request = RoutedRequest(
            facts, route, self._service(route), arrived, arrived + patience
        )
        self._window(request.service).note_first_attempt(arrived)
        self._in_progress += 1
        try:
            await RequestRun(
                request,
                exchange,
                self._codec,
                self._dispatcher,
                self._metrics,
                self._may_retry,
                self._on_use,
                self._on_freed,
                self._on_lost,
                self._clock,
            ).serve()
        finally:
            self._in_progress -= 1

    def _follow_configuration(self) -> None:
        configuration = self._view.configuration
        if configuration is not self._configuration and configuration is not None:
            self._configuration = configuration
            self._routes = RouteTable(configuration.routes)

    def _service(self, route: Route) -> ServiceName:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [item.weight for item in route.services]
        return self._rng.choices(route.services, weights)[0].service

    def _may_retry(self, request: RoutedRequest) -> bool:
        window = self._window(request.service)
        allowed = window.take(self._clock(), len(self._view.hosts))
        self._metrics.retry_decided(is_allowed=allowed)
        if not allowed:
            logger.info(
                "no retry: the budget of %s is used up",
                request.service,
                extra={"request_id": request.facts.request_id},
            )
        return allowed

    def _window(self, service: ServiceName) -> RetryWindow:
        window = self._retries.get(service)
        if window is None:
            bounds = self._bounds
            window = RetryWindow(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
            self._retries[service] = window
        return window
