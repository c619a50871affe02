"""Hold the retry budgets of all services."""

import logging
from collections.abc import Callable

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.policy.retry_window import RetryWindow

logger = logging.getLogger(__name__)


class RetryWindows:
    """Count first attempts and retries for each service."""

    def __init__(
        self,
        view: MetadataView,
        metrics: RouterMetrics,
        bounds: RoutingBounds,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._metrics = metrics
        self._bounds = bounds
        self._clock = clock
        self._windows: dict[ServiceName, RetryWindow] = {}

    def set_bounds(self, bounds: RoutingBounds) -> None:
        """Apply changed bounds, which resets the budgets of all services."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._windows.clear()

    def note_first_attempt(self, service: ServiceName, now: float) -> None:
        """Count a request, which allows for a fraction of a retry."""
        self._window(service).note_first_attempt(now)

    def consume(self, request: RoutedRequest) -> bool:
        """Take a retry from the budget; return whether there was one."""
        window = self._window(request.service)
        is_within_budget = window.take(self._clock(), len(self._view.hosts))
        self._metrics.count_retry(is_allowed=is_within_budget)
        if not is_within_budget:
            logger.info(
                "not retried: retry budget of service %s exhausted",
                request.service,
                extra={"request_id": request.attributes.request_id},
            )
        return is_within_budget

    def _window(self, service: ServiceName) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            bounds = self._bounds
            window = RetryWindow(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
            self._windows[service] = window
        return window
