"""Run all tasks of a host that routes requests."""

import asyncio
import logging
import random
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.host_settings import HostSettings
from gooseberrydeal._internal.network.http1.caller_listener import CallerListener
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.engine_ownership import EngineOwnership
from gooseberrydeal._internal.operations.router.lease_keeper import LeaseKeeper
from gooseberrydeal._internal.operations.router.metadata_follower import (
    MetadataFollower,
    MetadataNames,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.reachability import Reachability
from gooseberrydeal._internal.operations.router.report_exchange import ReportExchange
from gooseberrydeal._internal.operations.router.request_handler import RequestHandler
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.stall_monitor import StallMonitor
from gooseberrydeal._internal.operations.router.status_endpoint import (
    StatusEndpoint,
)
from gooseberrydeal._internal.utils.clock import SystemClock
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

# The balancer asks once a second and takes a host out after two refusals.
_LEAVE_ROTATION_SECONDS: Final = 2.6
_LOOK_SECONDS: Final = 0.05
# Kept free of the grace period for the process's own end.
_END_MARGIN_SECONDS: Final = 0.6


class RouterNode:
    """Wire the tasks of one host and stop them in order."""

    def __init__(
        self,
        settings: HostSettings,
        store: MetadataStore,
        orders: EngineOrders,
        codec: RelayCodec,
        names: MetadataNames,
        clock: SystemClock,
        rng: random.Random,
    ) -> None:
        now = clock.monotonic
        self._settings = settings
        self._is_leaving = False
        membership = HostMembership(
            settings.host,
            settings.domain,
            settings.peers,
            rng.getrandbits(48),
        )
        self._metrics = RouterMetrics()
        self._view = MetadataView()
        self._servers = ServerTable(now)
        signal = ChangeSignal()
        self._exchange = ReportExchange(
            membership, self._view, self._servers, signal, now
        )
        self._lease = LeaseKeeper(
            store, membership, clock.elapsed, self._metadata_changed
        )
        self._ownership = EngineOwnership(
            membership,
            store,
            orders,
            self._view,
            self._servers,
            self._lease,
            settings.bounds.lease,
            self._exchange.publish,
            now,
        )
        self._exchange.serve(self._ownership)
        self._follower = MetadataFollower(
            store,
            names,
            self._view,
            self._servers,
            now,
            self._metadata_changed,
            is_first_start=settings.is_first_start,
        )
        self._dispatcher = Dispatcher(
            self._servers,
            self._view,
            settings.domain,
            settings.bounds.adapter_version,
            signal,
            self._exchange.want,
            now,
            rng,
        )
        self._reachability = Reachability(self._servers, settings.domain)
        self._handler = RequestHandler(
            self._view,
            codec,
            self._dispatcher,
            self._metrics,
            settings.bounds,
            self._exchange.used,
            self._exchange.freed,
            self._reachability.lost,
            now,
            rng,
        )
        self._listener = CallerListener(settings.callers, self._handler)
        self._readiness = StatusEndpoint(settings.readiness, self._readiness_answer)
        self._metrics_listener = StatusEndpoint(settings.metrics, self._metrics_answer)
        self._stalls = StallMonitor(clock.elapsed)
        self._tasks = TaskOwner()

    async def start(self) -> None:
        """Begin all tasks, or raise ``OSError``."""
        await self._exchange.open()
        await self._readiness.start()
        await self._metrics_listener.start()
        await self._listener.start()
        self._tasks.start(self._follower.run(), "metadata follower")
        self._tasks.start(self._lease.run(), "lease")
        self._tasks.start(self._stalls.run(), "stall monitor")
        self._tasks.start(self._ownership.run(), "ownership")
        self._tasks.start(self._exchange.run(), "report exchange")
        logger.info("started", extra={"host": self._settings.host})

    def apply(self, settings: HostSettings) -> None:
        """Take changed bounds over."""
        self._settings = settings
        self._handler.set_bounds(settings.bounds)
        self._dispatcher.set_version_bound(settings.bounds.adapter_version)
        self._ownership.set_handover_gap(settings.bounds.lease)

    async def stop(self) -> int:
        """Leave the balancer's rotation, finish the requests, then end."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        logger.info("stopping", extra={"host": self._settings.host})
        self._is_leaving = True
        self._handler.drain()
        await asyncio.sleep(_LEAVE_ROTATION_SECONDS)
        self._listener.stop_accepting()
        self._handler.refuse_new()
        self._listener.close_idle()
        last = begun + self._settings.bounds.grace - _END_MARGIN_SECONDS
        while self._listener.busy_count and loop.time() < last:
            await asyncio.sleep(_LOOK_SECONDS)
            self._listener.close_idle()
        cut = self._listener.busy_count
        await self.abort()
        logger.info("stopped with %d answers cut", cut)
        return cut

    async def abort(self) -> None:
        """End at once."""
        self._listener.abort()
        self._readiness.stop()
        self._metrics_listener.stop()
        await self._reachability.stop()
        await self._ownership.stop()
        await self._tasks.stop()
        self._exchange.close()
        for record in self._servers.records:
            record.pool.close()

    def _is_ready(self) -> bool:
        return (
            not self._is_leaving
            and self._view.configuration is not None
            and any(True for _ in self._servers.records)
        )

    def _readiness_answer(self) -> tuple[HTTPStatus, bytes]:
        if self._is_ready():
            return HTTPStatus.OK, b""
        return HTTPStatus.SERVICE_UNAVAILABLE, b""

    def _metrics_answer(self) -> tuple[HTTPStatus, bytes]:
        configuration = self._view.configuration
        version = configuration.version if configuration is not None else 0
        self._metrics.set_state("configuration_version", version)
        self._metrics.set_state("servers", len(list(self._servers.records)))
        self._metrics.set_state("hosts", len(self._view.hosts))
        self._metrics.set_state("engines_owned", len(self._ownership.owners))
        self._metrics.set_state("callers_connected", self._listener.open_count)
        return HTTPStatus.OK, self._metrics.render()

    def _metadata_changed(self) -> None:
        self._ownership.metadata_changed()
