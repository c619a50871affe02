"""Assemble and run the tasks of a keeper process."""

import asyncio
import logging
from typing import Final

from gooseberrydeal._internal.models.alarm import Alarm
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.host_record import HostRecord
from gooseberrydeal._internal.models.lifecycle import Lifecycle
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.models.messages.permit_request import PermitRequest
from gooseberrydeal._internal.models.settings import KeeperSettings
from gooseberrydeal._internal.network.interfaces.peer_transport import PeerTransport
from gooseberrydeal._internal.network.metrics import Metrics
from gooseberrydeal._internal.network.peer_dialer import PeerDialer
from gooseberrydeal._internal.network.peer_listener import PeerListener
from gooseberrydeal._internal.network.websocket_transport import WebsocketTransport
from gooseberrydeal._internal.operations.alarms import Alarms
from gooseberrydeal._internal.operations.configuration_task import ConfigurationTask
from gooseberrydeal._internal.operations.keeper.budget_division import BudgetDivision
from gooseberrydeal._internal.operations.keeper.claim_lease import ClaimLease
from gooseberrydeal._internal.operations.keeper.claim_writer import ClaimWriter
from gooseberrydeal._internal.operations.keeper.current_configuration import (
    CurrentConfiguration,
)
from gooseberrydeal._internal.operations.keeper.external_clients import ExternalClients
from gooseberrydeal._internal.operations.keeper.host_lease import HostLease
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.keeper_reports import KeeperReports
from gooseberrydeal._internal.operations.keeper.load_permit_queue import LoadPermitQueue
from gooseberrydeal._internal.operations.keeper.message_router import MessageRouter
from gooseberrydeal._internal.operations.keeper.owned_server_set import OwnedServerSet
from gooseberrydeal._internal.operations.keeper.ownership import Ownership
from gooseberrydeal._internal.operations.keeper.server_factory import ServerFactory
from gooseberrydeal._internal.operations.keeper.server_owner import ServerOwner
from gooseberrydeal._internal.operations.keeper.suspect_sharing import SuspectSharing
from gooseberrydeal._internal.operations.keeper.view_exchange import ViewExchange
from gooseberrydeal._internal.operations.peers import Peers
from gooseberrydeal._internal.policy.crash_suspects import CrashSuspects
from gooseberrydeal._internal.policy.demand import DemandTracker
from gooseberrydeal._internal.policy.fleet_view import FleetView
from gooseberrydeal._internal.policy.permit_pool import PermitPool
from gooseberrydeal._internal.utils.clock import Clock
from gooseberrydeal._internal.utils.journal import Journal
from gooseberrydeal._internal.utils.tasks import TaskOwner
from gooseberrydeal._internal.utils.tls import TlsContexts

logger = logging.getLogger(__name__)

_VIEW_CHECK_INTERVAL_SECONDS: Final = 0.1


class KeeperNode:
    """Run a keeper, which owns backend servers of its host's failure domain."""

    def __init__(
        self,
        settings: KeeperSettings,
        clients: ExternalClients,
        transport: PeerTransport,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._clients = clients
        self._clock = clock
        self._incarnation = clock.wall()
        self._lifecycle = Lifecycle()
        self._tasks = TaskOwner()
        self._owners: dict[str, ServerOwner] = {}
        self._metrics = Metrics("keeper")
        self._alarms = Alarms(self._metrics)
        self._context = KeeperContext(
            host=settings.host,
            domain=settings.domain,
            address=settings.listen,
            clock=clock,
            metrics=self._metrics,
            journal=Journal(clock),
            suspects=CrashSuspects(),
            demand=DemandTracker(),
            view=FleetView(settings.domain),
            is_plain=settings.policy == "plain",
        )
        self._router = MessageRouter(self._context, self._owners)
        hello = Hello(
            settings.host,
            settings.domain,
            "keeper",
            settings.listen,
            f"{self._incarnation:.6f}",
        )
        self._dialer = PeerDialer(hello, self._router.receive, transport)
        self._listener = PeerListener(hello, self._router.receive, transport)
        self._peers = Peers(self._dialer, self._listener)
        self._create_tasks()
        self._connect_tasks()

    @classmethod
    def from_settings(cls, settings: KeeperSettings, clock: Clock) -> "KeeperNode":
        """Create a keeper that uses real network connections."""
        transport = WebsocketTransport(TlsContexts.from_files(settings.tls))
        return cls(settings, ExternalClients.from_settings(settings), transport, clock)

    @property
    def context(self) -> KeeperContext:
        """Return the state that the tasks share."""
        return self._context

    @property
    def metrics(self) -> Metrics:
        """Return the metrics of the process."""
        return self._metrics

    @property
    def lifecycle(self) -> Lifecycle:
        """Return the lifecycle phase of the process."""
        return self._lifecycle

    @property
    def owners(self) -> dict[str, ServerOwner]:
        """Return the owners of the servers that this keeper owns, by server name."""
        return self._owners

    @property
    def configuration(self) -> ConfigurationTask:
        """Return the task that keeps the configuration up to date."""
        return self._configuration

    @property
    def permit_queue(self) -> LoadPermitQueue:
        """Return the queue of adapter loads that need a permit."""
        return self._permit_queue

    @property
    def incarnation(self) -> float:
        """Return the start time of the process, in seconds since the epoch."""
        return self._incarnation

    @property
    def alarms(self) -> Alarms:
        """Return the alarms of the process."""
        return self._alarms

    @property
    def is_platform_reachable(self) -> bool:
        """Return whether the platform's store answered the last lease update."""
        return self._lease.is_reachable

    @property
    def peers(self) -> Peers:
        """Return the open connections to peers."""
        return self._peers

    async def start(self) -> None:
        """Listen for peers and start all tasks."""
        await self._listener.start(self._settings.listen)
        self._view.start()
        self._configuration.start()
        self._lease.start()
        self._ownership.start()
        self._budget.start()
        self._permit_queue.start()
        self._claims.start()
        self._tasks.start(self._watch_view(), "watch view")
        self._tasks.start(self._poll_host_list(), "poll host list")
        self._lifecycle.serve()
        logger.info("keeper is serving", extra={"host": self._settings.host})

    async def stop(self) -> int:
        """Release the servers and drain; return the number of interrupted streams."""
        self._lifecycle.drain()
        await self._view.announce()
        await self._ownership.stop()
        await self._lease.stop()
        interrupted = await self._owned.finish(self._settings.drain_seconds)
        await self._budget.stop()
        await self._owned.stop()
        await self._stop_tasks()
        self._lifecycle.stop()
        return interrupted

    async def abort(self) -> None:
        """Stop at once without releasing anything, as a crash would."""
        await self._ownership.abort()
        await self._budget.stop()
        await self._lease.abort()
        await self._owned.stop()
        await self._stop_tasks()
        self._lifecycle.stop()

    def _create_tasks(self) -> None:
        settings = self._settings
        self._reports = KeeperReports(self)
        self._current = CurrentConfiguration(lambda: self._configuration)
        self._view = ViewExchange(
            self._context,
            self._peers,
            settings.peers,
            self._reports.host_report,
            self._reports.server_reports,
        )
        self._configuration = ConfigurationTask(
            self._clients.store,
            self._reports.is_reader,
            self._peers.connections,
            self._alarms,
            self._configuration_changed,
        )
        record = HostRecord(
            settings.host,
            settings.domain,
            settings.listen,
            f"{settings.listen}/{self._incarnation:.6f}",
        )
        self._lease = HostLease(self._clients.store, record, self._lease_changed)
        pool = PermitPool()
        self._permit_queue = LoadPermitQueue(self._context, pool, self._request_permits)
        self._factory = ServerFactory(
            self._context, self._clients, self._permit_queue, self._current.work_class
        )
        self._owned = OwnedServerSet(self._owners, self._factory, self._view.flush_soon)
        self._ownership = Ownership(
            self._clients.store,
            self._clients.host_list,
            record,
            self._owned,
            self._current.servers,
            lambda: self._lease.is_held,
            self._view.set_listed_hosts,
        )
        self._budget = BudgetDivision(
            self._clients.store,
            self._clients.host_list,
            self._context,
            pool,
            self._current.limits,
        )
        self._claims = ClaimWriter(
            self._clients.store,
            ClaimLease(self._clients.store, self._clock, self._current.claim_window),
        )
        self._suspects = SuspectSharing(self._context, self._peers)

    def _connect_tasks(self) -> None:
        self._context.report_changed = self._view.flush_soon
        self._context.share_suspect = self._suspects.share
        self._context.configuration = self._current.current
        self._router.register_handlers(
            self._configuration,
            self._claims,
            self._permit_queue,
            self._suspects,
            self._view,
        )

    def _configuration_changed(self, configuration: Configuration, number: int) -> None:
        self._metrics.set_revision(number)
        self._owned.apply_configuration(configuration)
        self._ownership.wake()
        self._view.flush_soon()

    def _lease_changed(self) -> None:
        is_unreachable = not self._lease.is_reachable
        self._alarms.set(Alarm.PLATFORM_UNREACHABLE, is_raised=is_unreachable)
        self._ownership.wake()
        self._view.flush_soon()

    async def _request_permits(self, address: str, request: PermitRequest) -> None:
        await self._router.send_to(self._peers, address, request)

    async def _watch_view(self) -> None:
        """Trigger actions promptly when hosts join or leave, ahead of the next poll."""
        last_live: set[str] = set()
        while True:
            self._budget.confirm()
            has_foreign = self._factory.has_foreign(self._owners)
            self._alarms.set(Alarm.FOREIGN_COPIES, is_raised=has_foreign)
            now = self._clock.monotonic()
            live = {report.host for report in self._context.view.live_hosts(now)}
            if live != last_live:
                last_live = live
                self._ownership.wake()
            await asyncio.sleep(_VIEW_CHECK_INTERVAL_SECONDS)

    async def _poll_host_list(self) -> None:
        await self._factory.follow_host_list(self._owners)

    async def _stop_tasks(self) -> None:
        await self._tasks.stop()
        await self._claims.stop()
        await self._permit_queue.stop()
        await self._configuration.stop()
        await self._view.stop()
        await self._dialer.stop()
        await self._listener.stop()
        await self._router.stop()
        await self._suspects.stop()
        await self._clients.close()
