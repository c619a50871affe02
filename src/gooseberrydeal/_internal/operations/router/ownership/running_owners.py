"""Run the owners of the engines that this host owns."""

import asyncio
import logging
from collections.abc import Callable, Mapping

from gooseberrydeal._internal.models.ids import FencingNumber, HostId, ServerId
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.operations.router.engine_owner import EngineOwner
from gooseberrydeal._internal.operations.router.lease_keeper import LeaseKeeper
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.status_sender import StatusSender
from gooseberrydeal._internal.policy.load_time import LoadTime
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)


class RunningOwners:
    """Start and stop an owner for each claim of this host."""

    def __init__(
        self,
        host: HostId,
        orders: EngineOrders,
        view: MetadataView,
        servers: ServerTable,
        lease: LeaseKeeper,
        publish: StatusSender,
        clock: Callable[[], float],
    ) -> None:
        self._host = host
        self._orders = orders
        self._view = view
        self._servers = servers
        self._lease = lease
        self._publish = publish
        self._clock = clock
        self._owners: dict[ServerId, EngineOwner] = {}
        self._running: dict[ServerId, asyncio.Task[None]] = {}
        self._started_at: dict[ServerId, float] = {}
        self._load_times: dict[ServerId, LoadTime] = {}
        self._tasks = TaskOwner()

    @property
    def owners(self) -> Mapping[ServerId, EngineOwner]:
        """Return the running owner of each engine."""
        return self._owners

    def last_order_age(self, server: ServerId) -> float:
        """Return for how long, in seconds, an engine has surely got no order."""
        sequence = self._owners[server].sequence
        if sequence.is_sending:
            return 0.0
        # The orders of an earlier start of the owner are not known here.
        last_order_at = max(sequence.last_sent_at, self._started_at[server])
        return self._clock() - last_order_at

    def start(
        self, record: ServerRecord, claim: OwnerClaim, first_order_at: float
    ) -> None:
        """Let an owner give orders under a claim from ``first_order_at`` on."""
        owner = EngineOwner(
            record,
            self._orders,
            self._view,
            self._host,
            FencingNumber(claim.revision),
            lambda: (
                self._lease.is_valid
                and self._lease.lease == claim.lease
                and self._clock() >= first_order_at
            ),
            lambda: self._servers.loads_in_progress,
            self._publish,
            self._load_times.setdefault(record.id, LoadTime()),
            self._clock,
        )
        self._started_at[record.id] = self._clock()
        self._owners[record.id] = owner
        self._running[record.id] = self._tasks.keep_running(
            owner.run, f"owner of {record.id}"
        )

    def stop(self, server: ServerId, reason: str) -> None:
        """Stop the owner of an engine."""
        logger.info("engine ownership ended: %s", reason, extra={"server": server})
        del self._owners[server]
        self._running.pop(server).cancel()

    async def stop_all(self) -> None:
        """Stop all owners of engines."""
        await self._tasks.stop()
