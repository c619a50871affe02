"""Take the ownership of engines, and give it up."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import Final

from gooseberrydeal._internal.exceptions import LeaseLostError, StoreError
from gooseberrydeal._internal.models.ids import FencingNumber, ServerId
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.engine_owner import EngineOwner
from gooseberrydeal._internal.operations.router.lease_keeper import (
    BELIEF_SECONDS,
    LeaseKeeper,
)
from gooseberrydeal._internal.operations.router.metadata_view import (
    OWNER_PREFIX,
    MetadataView,
)
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.policy.engine_assignment import preferred_owner
from gooseberrydeal._internal.policy.load_time import LoadTime
from gooseberrydeal._internal.utils.tasks import TaskOwner

logger = logging.getLogger(__name__)

_LOOK_SECONDS: Final = 0.5
# Two hosts' clocks and the time that calls take, beside the bounds themselves.
_MARGIN_SECONDS: Final = 0.5


class EngineOwnership:
    """Own engines by records bound to this host's lease.

    A record's revision is the fencing number. After another host's ownership the
    first order waits until that host can neither believe in its lease nor have given
    an order within the bound on taking turns. A host that restarts takes its own
    records over at once, since its machine stays the same holder.
    """

    def __init__(
        self,
        membership: HostMembership,
        store: MetadataStore,
        orders: EngineOrders,
        view: MetadataView,
        servers: ServerTable,
        lease: LeaseKeeper,
        turn_seconds: float,
        publish: Callable[[EngineStatus], None],
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._store = store
        self._orders = orders
        self._view = view
        self._servers = servers
        self._lease = lease
        self._turn_seconds = turn_seconds
        self._publish = publish
        self._clock = clock
        self._owners: dict[ServerId, EngineOwner] = {}
        self._running: dict[ServerId, asyncio.Task[None]] = {}
        self._order_after: dict[ServerId, float] = {}
        self._load_times: dict[ServerId, LoadTime] = {}
        self._tasks = TaskOwner()
        self._wake = asyncio.Event()

    @property
    def owners(self) -> Mapping[ServerId, EngineOwner]:
        """Return the owners of the engines held by this host."""
        return self._owners

    def set_turn_seconds(self, seconds: float) -> None:
        """Take over how long another host's orders must be past before the first."""
        self._turn_seconds = seconds

    def changed(self) -> None:
        """Look at the records soon."""
        self._wake.set()

    async def run(self) -> None:
        """Follow the records until cancelled."""
        while True:
            try:
                await self._look()
            except StoreError as error:
                logger.info("engines without an owner wait: %s", error)
            try:
                async with asyncio.timeout(_LOOK_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue
            finally:
                self._wake.clear()

    async def stop(self) -> None:
        """End all owners."""
        await self._tasks.stop()

    async def _look(self) -> None:
        if not self._view.is_complete:
            return
        engines = {
            record.id: record
            for record in self._servers.records
            if record.service.engine is not None
        }
        for server in list(self._owners):
            claim = self._view.owners.get(server)
            is_ours = claim is not None and self._is_own(claim)
            if server not in engines or not is_ours:
                self._drop(server)
        for record in engines.values():
            await self._look_at(record)

    async def _look_at(self, record: ServerRecord) -> None:
        claim = self._view.owners.get(record.id)
        owner = self._owners.get(record.id)
        if owner is not None:
            owner.entry_changed(record.entry)
            return
        if not self._lease.is_valid:
            return
        if claim is None:
            hosts = self._view.hosts.values()
            wanted = preferred_owner(record.id, record.entry.domain, hosts)
            if wanted == self._membership.host:
                is_new = record.id in self._view.never_owned
                pause = 0.0 if is_new else self._takeover_seconds()
                await self._take(record, 0, pause)
        elif claim.owner == self._membership.host:
            if self._is_own(claim):
                self._begin(record, claim, self._order_after.get(record.id, 0.0))
            else:
                await self._take(record, claim.revision, 0.0)

    def _takeover_seconds(self) -> float:
        return BELIEF_SECONDS + self._turn_seconds + _MARGIN_SECONDS

    async def _take(self, record: ServerRecord, revision: int, pause: float) -> None:
        lease = self._lease.lease
        if lease is None:
            return
        own = OwnerClaim(self._membership.host, lease)
        self._order_after[record.id] = self._clock() + pause
        try:
            taken = await self._store.put(
                OWNER_PREFIX + record.id,
                own.encode(),
                if_revision=revision,
                lease=lease,
            )
        except LeaseLostError:
            logger.info("an engine was not taken: the lease has ended")
            return
        if taken is None:
            return
        claim = OwnerClaim(own.owner, own.lease, taken)
        self._view.owners[record.id] = claim
        logger.info(
            "engine taken; orders begin in %.1f s",
            pause,
            extra={"server": record.id, "epoch": taken},
        )
        self._begin(record, claim, self._order_after[record.id])

    def _begin(self, record: ServerRecord, claim: OwnerClaim, after: float) -> None:
        owner = EngineOwner(
            record,
            self._orders,
            self._view,
            self._membership.host,
            FencingNumber(claim.revision),
            lambda: (
                self._lease.is_valid
                and self._lease.lease == claim.lease
                and self._clock() >= after
            ),
            lambda: self._servers.fetching,
            self._publish,
            self._load_times.setdefault(record.id, LoadTime()),
            self._clock,
        )
        self._owners[record.id] = owner
        self._running[record.id] = self._tasks.start(
            owner.run(), f"owner of {record.id}"
        )

    def _drop(self, server: ServerId) -> None:
        logger.info("engine given up", extra={"server": server})
        del self._owners[server]
        self._running.pop(server).cancel()

    def _is_own(self, claim: OwnerClaim) -> bool:
        """Return whether a claim is ours and its lease the one that we hold."""
        is_ours = claim.owner == self._membership.host
        return is_ours and claim.lease == self._lease.lease
