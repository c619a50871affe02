"""Serve the readiness and the metrics of a host."""

import math
from collections.abc import Callable
from http import HTTPStatus

from gooseberrydeal._internal.models.routing.host_settings import HostSettings
from gooseberrydeal._internal.network.http1.caller_listener import CallerListener
from gooseberrydeal._internal.network.http1.host_resources import HostResources
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.accounts.account_gate import (
    AccountGate,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.ownership.engine_ownership import (
    EngineOwnership,
)
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.speeds.speed_gauges import (
    export_speeds,
)
from gooseberrydeal._internal.operations.router.status_endpoint import (
    StatusEndpoint,
)


class HostEndpoints:
    """Answer the load balancer and those who read the metrics."""

    def __init__(
        self,
        settings: HostSettings,
        view: MetadataView,
        servers: ServerTable,
        ownership: EngineOwnership,
        callers: CallerListener,
        metrics: RouterMetrics,
        resources: HostResources,
        is_stopping: Callable[[], bool],
        accounts: AccountGate,
        show_quotas: Callable[[], None],
    ) -> None:
        self._view = view
        self._servers = servers
        self._ownership = ownership
        self._callers = callers
        self._metrics = metrics
        self._resources = resources
        self._is_stopping = is_stopping
        self._accounts = accounts
        self._show_quotas = show_quotas
        limits = resources.budget.status_connections, resources.count_limit
        self._readiness = StatusEndpoint(
            settings.readiness, self._readiness_response, *limits
        )
        self._metrics_endpoint = StatusEndpoint(
            settings.metrics, self._metrics_response, *limits
        )

    async def start(self) -> None:
        """Listen; raise ``OSError`` if an address cannot be bound."""
        await self._readiness.start()
        await self._metrics_endpoint.start()

    def stop(self) -> None:
        """Stop listening."""
        self._readiness.stop()
        self._metrics_endpoint.stop()

    def _is_ready(self) -> bool:
        return (
            not self._is_stopping()
            and self._view.configuration is not None
            and not self._accounts.has_lapsed
            and any(True for _ in self._servers.records)
        )

    def _readiness_response(self) -> tuple[HTTPStatus, bytes]:
        is_ready = self._is_ready()
        return HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE, b""

    def _metrics_response(self) -> tuple[HTTPStatus, bytes]:
        configuration = self._view.configuration
        version = configuration.version if configuration is not None else 0
        self._metrics.set_state("configuration_version", version)
        if math.isfinite(age := self._view.proof.age):
            self._metrics.set_state("changes_age_seconds", age)
        records = list(self._servers.records)
        unreachable = sum(record.health.is_unreachable for record in records)
        self._metrics.set_state("servers", len(records))
        self._metrics.set_state("servers_unreachable", unreachable)
        self._metrics.set_state("hosts", len(self._view.hosts))
        self._metrics.set_state("engines_owned", len(self._ownership.owners))
        self._metrics.set_state("callers_connected", self._callers.open_count)
        self._accounts.publish()
        self._show_quotas()
        export_speeds(self._servers, self._metrics)
        for name, value in self._resources.state().items():
            self._metrics.set_state(name, value)
        return HTTPStatus.OK, self._metrics.render()
