"""Run the components of a router host."""

import logging
import random

from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.host_settings import HostSettings
from gooseberrydeal._internal.models.routing.limit_report import LimitReport
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.network.interfaces.metadata_decoder import (
    MetadataDecoder,
)
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.brittle_servers import BrittleServers
from gooseberrydeal._internal.operations.router.change_signal import ChangeSignal
from gooseberrydeal._internal.operations.router.crash_protection import (
    CrashProtection,
)
from gooseberrydeal._internal.operations.router.dispatcher import Dispatcher
from gooseberrydeal._internal.operations.router.eligible_servers import (
    EligibleServers,
)
from gooseberrydeal._internal.operations.router.engine_scope import EngineScope
from gooseberrydeal._internal.operations.router.entry_reader import EntryReader
from gooseberrydeal._internal.operations.router.host_endpoints import HostEndpoints
from gooseberrydeal._internal.operations.router.host_listeners import HostListeners
from gooseberrydeal._internal.operations.router.host_metadata import HostMetadata
from gooseberrydeal._internal.operations.router.lease_keeper import LeaseKeeper
from gooseberrydeal._internal.operations.router.limit_exchange import LimitExchange
from gooseberrydeal._internal.operations.router.limited_engine_orders import (
    LimitedEngineOrders,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.ownership.engine_ownership import (
    EngineOwnership,
)
from gooseberrydeal._internal.operations.router.ownership.handover_exchange import (
    HandoverExchange,
)
from gooseberrydeal._internal.operations.router.peer_relay import PeerRelay
from gooseberrydeal._internal.operations.router.quotas.host_quotas import HostQuotas
from gooseberrydeal._internal.operations.router.reachability import ReachabilityProber
from gooseberrydeal._internal.operations.router.report_exchange import ReportExchange
from gooseberrydeal._internal.operations.router.request_handler import RequestHandler
from gooseberrydeal._internal.operations.router.server_callbacks import ServerCallbacks
from gooseberrydeal._internal.operations.router.server_limits import ServerLimits
from gooseberrydeal._internal.operations.router.server_notices import ServerNotices
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.silence_watch import SilenceWatch
from gooseberrydeal._internal.operations.router.stall_monitor import StallMonitor
from gooseberrydeal._internal.operations.router.stream_versions import StreamVersions
from gooseberrydeal._internal.operations.router.waiting.place_sharing import (
    PlaceSharing,
)
from gooseberrydeal._internal.utils.clock import SystemClock
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)


class RouterNode:
    """Create the components of one host, and start and stop them in order."""

    def __init__(
        self,
        settings: HostSettings,
        store: MetadataStore,
        orders: EngineOrders,
        codec: RelayCodec,
        decoder: MetadataDecoder,
        clock: SystemClock,
        rng: random.Random,
    ) -> None:
        now = clock.monotonic
        self._settings = settings
        self._is_stopping = False
        membership = HostMembership(
            settings.host, settings.domain, settings.peers, rng.getrandbits(48)
        )
        self._metrics = RouterMetrics()
        self._view = MetadataView.create(settings.bounds, clock)
        self._servers = ServerTable(now)
        signal = ChangeSignal()
        self._report_exchange = ReportExchange(
            membership, self._view, self._servers, signal, now
        )
        self._crash_protection = CrashProtection(
            membership,
            store,
            self._view,
            self._servers,
            self._metrics,
            self._report_exchange.send,
            now,
            rng,
        )
        self._crash_protection.listen(self._report_exchange)
        self._stream_versions = StreamVersions(
            membership,
            self._view,
            self._servers,
            EntryReader(store, decoder),
            self._report_exchange.send,
            now,
            rng,
        )
        self._stream_versions.listen(self._report_exchange)
        limits = ServerLimits(
            self._servers, settings.host, lambda: self._view.hosts, now
        )
        notices = ServerNotices(self._view, self._servers, now)
        self._limit_exchange = LimitExchange(
            membership, self._view, limits, self._report_exchange.send, rng
        )
        self._report_exchange.set_handler(LimitReport, limits.merge)
        self._lease_keeper = LeaseKeeper(
            store, membership, clock.seconds_since_boot, self._on_new_lease
        )
        self._quotas = HostQuotas(
            membership,
            self._view,
            settings.bounds,
            lambda: self._lease_keeper.is_valid,
            self._report_exchange.send,
            self._metrics,
            clock.seconds_since_boot,
            now,
            rng,
            is_first_start=settings.is_first_start,
        )
        self._quotas.listen(self._report_exchange)
        self._ownership = EngineOwnership(
            membership,
            store,
            LimitedEngineOrders(orders, self._servers, limits, notices),
            self._view,
            self._servers,
            self._lease_keeper,
            settings.bounds.handover_gap,
            self._report_exchange.publish,
            now,
        )
        self._report_exchange.set_ownership(self._ownership)
        self._handover = HandoverExchange(
            membership,
            self._view,
            self._servers,
            self._ownership,
            self._report_exchange.send,
            now,
        )
        self._handover.listen(self._report_exchange)
        self._metadata = HostMetadata(
            membership,
            store,
            decoder,
            self._view,
            self._servers,
            now,
            self._on_metadata_change,
            self._crash_protection.record_read,
            is_first_start=settings.is_first_start,
        )
        exchange = self._report_exchange
        self._places = PlaceSharing(
            membership, self._view, self._servers, exchange, self._metrics, clock
        )
        places = self._places.client
        crashes = self._crash_protection
        brittle = BrittleServers(
            self._servers, settings.host, lambda: self._view.hosts, now
        )
        self._dispatcher = Dispatcher(
            self._servers,
            self._view,
            EligibleServers(
                self._servers, limits, notices, brittle, crashes.turns, now
            ),
            EngineScope(self._servers, self._view, signal, exchange.ask, now),
            settings.domain,
            settings.bounds.adapter_version,
            signal,
            self._report_exchange.report_soon,
            now,
            rng,
            places,
            places if settings.shares_plain_places else None,
            self._metrics,
        )
        self._report_exchange.set_waiting(self._dispatcher.queues.waiting)
        self._reachability = ReachabilityProber(
            self._servers,
            settings.domain,
            self._crash_protection.detector.probed,
            rng,
        )
        self._peers = PeerRelay(
            membership, self._view, codec, notices, brittle, self._metrics, now, rng
        )
        self._handler = RequestHandler(
            self._view,
            codec,
            self._dispatcher,
            self._crash_protection,
            self._stream_versions,
            self._metrics,
            settings.bounds,
            ServerCallbacks(
                self._report_exchange.usage_changed,
                self._report_exchange.copy_released,
                self._reachability.mark_unreachable,
                self._reachability.connect_failed,
                SilenceWatch(self._reachability.probe_silent).request_sent,
                self._reachability.is_gone,
            ),
            self._peers,
            self._quotas.gate,
            now,
            rng,
        )
        self._listeners = HostListeners(
            settings, self._handler, self._view, self._metrics.count_host_limit
        )
        self._endpoints = HostEndpoints(
            settings,
            self._view,
            self._servers,
            self._ownership,
            self._listeners.callers,
            self._metrics,
            self._listeners.resources,
            lambda: self._is_stopping,
            self._handler.accounts,
            self._quotas.admission.show_used_shares,
        )
        self._stall_monitor = StallMonitor(clock.seconds_since_boot)
        self._tasks = TaskOwner()

    async def start(self) -> None:
        """Start all components; raise ``OSError`` if an address cannot be bound."""
        await self._report_exchange.open()
        await self._endpoints.start()
        await self._listeners.start()
        self._metadata.start(self._tasks)
        self._tasks.keep_running(self._lease_keeper.run, "lease")
        self._tasks.keep_running(self._stall_monitor.run, "stall monitor")
        self._tasks.keep_running(self._ownership.run, "ownership")
        self._tasks.keep_running(self._handover.run, "handover of engines")
        self._tasks.keep_running(self._report_exchange.run, "report exchange")
        self._tasks.keep_running(self._limit_exchange.run, "limit exchange")
        self._crash_protection.start()
        self._stream_versions.start()
        self._quotas.start()
        logger.info("started", extra={"host": self._settings.host})

    def apply(self, settings: HostSettings) -> None:
        """Apply changed settings; only changes of ``bounds`` take effect."""
        self._settings = settings
        self._handler.set_bounds(settings.bounds)
        self._quotas.set_bounds(settings.bounds)
        self._view.change_bound = settings.bounds.store_change
        self._dispatcher.rollout.set_bound(settings.bounds.adapter_version)
        self._ownership.set_handover_gap(settings.bounds.handover_gap)

    async def stop(self) -> int:
        """Leave the load balancer's rotation, drain connections, then shut down.

        Returns the number of connections whose request was not finished.
        """
        logger.info("stopping", extra={"host": self._settings.host})
        self._is_stopping = True
        aborted = await self._listeners.drain(self._settings.bounds.grace)
        await self.abort()
        logger.info("stopped; %d connections with unfinished requests closed", aborted)
        return aborted

    async def abort(self) -> None:
        """Shut down at once, without draining."""
        self._listeners.abort()
        self._peers.close()
        self._places.stop()
        self._endpoints.stop()
        await self._reachability.stop()
        await self._handover.stop()
        await self._ownership.stop()
        await self._crash_protection.stop()
        await self._stream_versions.stop()
        await self._quotas.stop()
        await self._tasks.stop()
        self._report_exchange.close()
        for record in self._servers.records:
            record.pool.close()

    def _on_metadata_change(self) -> None:
        self._ownership.metadata_changed()
        self._metadata.changed()
        self._handler.accounts.metadata_changed()
        self._quotas.metadata_changed()

    def _on_new_lease(self) -> None:
        self._quotas.registered()
        self._on_metadata_change()
