"""Handle the requests of callers."""

import logging
import math
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds
from gooseberrydeal._internal.models.routing.peer_request import PeerRequest
from gooseberrydeal._internal.models.routing.request_facts import RequestAttributes
from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.models.routing.routing_configuration import (
    CallerLimits,
    RoutingConfiguration,
)
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.accounts.account_gate import (
    AccountGate,
)
from gooseberrydeal._internal.operations.router.crash_protection import (
    CrashProtection,
)
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.error_answers import answer_errors
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.passing_on.route_agreement import (
    RouteAgreement,
)
from gooseberrydeal._internal.operations.router.peer_relay import PeerRelay
from gooseberrydeal._internal.operations.router.quotas.quota_gate import QuotaGate
from gooseberrydeal._internal.operations.router.refusals import (
    refuse,
    refuse_crashing,
)
from gooseberrydeal._internal.operations.router.request_run import RequestRun
from gooseberrydeal._internal.operations.router.retry_windows import RetryWindows
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_callbacks import ServerCallbacks
from gooseberrydeal._internal.operations.router.stream_versions import StreamVersions
from gooseberrydeal._internal.policy.request_durations import RequestDurations
from gooseberrydeal._internal.policy.request_identity import RequestIdentity
from gooseberrydeal._internal.policy.route_table import RouteTable

logger = logging.getLogger(__name__)

_UNCONFIGURED_RETRY_AFTER_SECONDS: Final = 1.0
# Short, since the load balancer routes the caller's retry to another host.
_SHUTDOWN_RETRY_AFTER_SECONDS: Final = 0.05
# Another host may know where a stream began.
_ORIGIN_RETRY_AFTER_SECONDS: Final = 0.05


class RequestHandler:
    """Match each request to a route and a service, and serve it."""

    def __init__(
        self,
        view: MetadataView,
        codec: RelayCodec,
        dispatcher: Dispatcher,
        crash_protection: CrashProtection,
        stream_versions: StreamVersions,
        metrics: RouterMetrics,
        bounds: RoutingBounds,
        callbacks: ServerCallbacks,
        peers: PeerRelay,
        quota_gate: QuotaGate,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._codec = codec
        self._dispatcher = dispatcher
        self._crash_protection = crash_protection
        self._stream_versions = stream_versions
        self._metrics = metrics
        self._callbacks = callbacks
        self._peers = peers
        self._quota_gate = quota_gate
        self._clock = clock
        self._rng = rng
        self._configuration: RoutingConfiguration | None = None
        self._routes = RouteTable(())
        self._retries = RetryWindows(view, metrics, bounds, clock)
        self._accounts = AccountGate(view, metrics, bounds)
        self._agreement = RouteAgreement(view, clock)
        self._is_draining = False
        self._is_refusing = False
        self._in_progress = 0
        self._stops_at = math.inf
        self._durations = RequestDurations()

    @property
    def limits(self) -> CallerLimits:
        """Return the configured limits on callers' requests, or the defaults."""
        configuration = self._view.configuration
        return CallerLimits() if configuration is None else configuration.limits

    @property
    def is_draining(self) -> bool:
        """Return whether connections are closed after the current reply."""
        return self._is_draining

    @property
    def in_progress(self) -> int:
        """Return the number of requests being served."""
        return self._in_progress

    @property
    def accounts(self) -> AccountGate:
        """Return what authenticates the requests of client accounts."""
        return self._accounts

    def set_bounds(self, bounds: RoutingBounds) -> None:
        """Apply changed bounds, which resets the retry budgets of all services."""
        self._retries.set_bounds(bounds)
        self._accounts.set_bounds(bounds)

    def drain(self, deadline: float = math.inf) -> None:
        """Close each connection after its current reply.

        Requests are refused that are not expected to end until ``deadline``, on the
        host's clock: they would be cut off with the process.
        """
        self._is_draining = True
        self._stops_at = deadline

    def refuse_new(self) -> None:
        """Refuse further requests, which might not finish before the shutdown."""
        self._is_refusing = True

    async def handle(self, exchange: CallerExchange) -> None:
        """Serve one request of a caller, or refuse it if no route applies."""
        await answer_errors(self._handle(exchange, None), exchange)

    async def handle_for_peer(
        self, exchange: CallerExchange, peer: PeerRequest
    ) -> None:
        """Serve one request that another host has passed on, or refuse it."""
        await answer_errors(self._handle(exchange, peer), exchange)

    async def _handle(self, exchange: CallerExchange, peer: PeerRequest | None) -> None:
        if self._is_refusing:
            refuse(exchange, RefusalReason.SHUTTING_DOWN, _SHUTDOWN_RETRY_AFTER_SECONDS)
            return
        arrived_at = self._clock()
        attributes = self._codec.read_request(exchange.head)
        self._refresh_routes()
        if self._configuration is None:
            reason = RefusalReason.NO_CONFIGURATION
            refuse(exchange, reason, _UNCONFIGURED_RETRY_AFTER_SECONDS)
            return
        route = self._find_route(exchange, attributes, peer)
        if route is None:
            return
        admission = self._accounts.admit(exchange, attributes, route, peer)
        if admission is None:
            return
        identity = RequestIdentity(
            attributes.request_id,
            attributes.path,
            admission.caller(attributes),
            exchange.body,
            attributes.shared_prompt_parts,
            attributes.query,
        )
        cause = self._crash_protection.guard.final_cause(identity)
        if cause is not None:
            refuse_crashing(
                exchange, self._codec, self._metrics, identity, route, cause
            )
            return
        time_limit = route.timeout
        if attributes.time_limit is not None:
            time_limit = min(time_limit, attributes.time_limit)
        request = RoutedRequest(
            attributes,
            route,
            self._choose_service(route),
            arrived_at,
            arrived_at + time_limit,
            peer=peer,
            account=admission.account,
            hides_key=admission.hides_key,
        )
        if self._may_be_cut_off(request):
            refuse(exchange, RefusalReason.SHUTTING_DOWN, _SHUTDOWN_RETRY_AFTER_SECONDS)
            return
        if attributes.is_resumption and route.is_resumable:
            origin = await self._find_origin(attributes, route)
            if origin is None:
                refuse(
                    exchange,
                    RefusalReason.STREAM_ORIGIN_UNKNOWN,
                    _ORIGIN_RETRY_AFTER_SECONDS,
                )
                return
            request = replace(request, service=origin.service, origin=origin)
        if (charge := await self._quota_gate.enter(request, exchange)) is None:
            return
        if peer is None:
            self._retries.note_first_attempt(request.service, arrived_at)
        self._in_progress += 1
        try:
            await RequestRun(
                request,
                identity,
                exchange,
                self._codec,
                self._dispatcher,
                self._crash_protection,
                self._stream_versions,
                self._metrics,
                self._retries.consume,
                self._callbacks,
                self._peers,
                self._clock,
            ).serve()
            now = self._clock()
            self._durations.note(route.name, now - arrived_at, now)
        finally:
            self._in_progress -= 1
            self._quota_gate.leave(charge, exchange)

    def _find_route(
        self,
        exchange: CallerExchange,
        attributes: RequestAttributes,
        peer: PeerRequest | None,
    ) -> Route | None:
        """Return the route of a request; ``None`` if it was refused."""
        route = self._routes.find(attributes.host, attributes.path)
        if self._agreement.refuses(exchange, peer, route):
            return None
        if route is None:
            self._accounts.refuse_unknown_route(exchange, attributes)
        return route

    def _may_be_cut_off(self, request: RoutedRequest) -> bool:
        """Return whether a request may still run when the process ends."""
        if self._stops_at == math.inf or request.deadline <= self._stops_at:
            return False
        longest = self._durations.longest(request.route.name, request.arrived_at)
        expected = max(longest, request.route.target_latency)
        return request.arrived_at + expected > self._stops_at

    async def _find_origin(
        self, attributes: RequestAttributes, route: Route
    ) -> StreamOrigin | None:
        """Return where the stream began that a request goes on with.

        Returns ``None`` if that is not known, or if it began in a service that the
        route does not lead to any more.
        """
        services = [item.service for item in route.services]
        origin = await self._stream_versions.find(
            attributes.resumes, services, route.timeout
        )
        if origin is not None and origin.service in services:
            return origin
        self._metrics.count_refusal(RefusalReason.STREAM_ORIGIN_UNKNOWN)
        logger.info(
            "not resumed: it is not known which software version began the stream",
            extra={"request_id": attributes.request_id},
        )
        return None

    def _refresh_routes(self) -> None:
        configuration = self._view.configuration
        if configuration is not self._configuration and configuration is not None:
            self._configuration = configuration
            self._routes = RouteTable(configuration.routes)

    def _choose_service(self, route: Route) -> ServiceName:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [item.weight for item in route.services]
        return self._rng.choices(route.services, weights)[0].service
