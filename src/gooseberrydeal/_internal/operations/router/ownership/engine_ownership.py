"""Claim and release the ownership of engines."""

import asyncio
import logging
import math
from collections.abc import Callable, Mapping
from typing import Final

from gooseberrydeal._internal.exceptions import StoreError
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.claim_reason import ClaimReason
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.network.interfaces.engine_orders import EngineOrders
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.engine_owner import EngineOwner
from gooseberrydeal._internal.operations.router.lease_keeper import (
    LOCAL_VALIDITY_SECONDS,
    LeaseKeeper,
)
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.ownership.claim_writer import (
    ClaimWriter,
)
from gooseberrydeal._internal.operations.router.ownership.own_claims import OwnClaims
from gooseberrydeal._internal.operations.router.ownership.running_owners import (
    RunningOwners,
)
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.operations.router.status_sender import StatusSender
from gooseberrydeal._internal.policy.engine_assignment import preferred_owner
from gooseberrydeal._internal.policy.ownership.handover import (
    first_order_delay,
    may_claim_again,
)

logger = logging.getLogger(__name__)

# Longest time between two checks of the owner records.
_CHECK_INTERVAL_SECONDS: Final = 0.5
# After the store was restored from a copy, owners of engines claim them again in this
# time, before other hosts may.
_RECLAIM_SECONDS: Final = 2.0
# Part of the takeover delay for clock differences between hosts and call durations.
_TAKEOVER_MARGIN_SECONDS: Final = 0.5


class EngineOwnership:
    """Own engines through owner records bound to this host's lease.

    A record's revision is the fencing number. After another host owned the engine, the
    first order waits until that host no longer considers its lease valid and the
    required gap between the orders of two hosts has passed. A restarted host takes over
    its own records without another delay, since its orders still come from the same
    holder.
    """

    def __init__(
        self,
        membership: HostMembership,
        store: MetadataStore,
        orders: EngineOrders,
        view: MetadataView,
        servers: ServerTable,
        lease: LeaseKeeper,
        handover_gap_seconds: float,
        publish: StatusSender,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._view = view
        self._servers = servers
        self._lease = lease
        self._handover_gap_seconds = handover_gap_seconds
        self._clock = clock
        self._epoch: int | None = None
        self._epoch_began_at = -math.inf
        self._own_claims = OwnClaims(lease)
        self._writer = ClaimWriter(membership, store, view, lease, clock)
        self._running = RunningOwners(
            membership.host, orders, view, servers, lease, publish, clock
        )
        self._wake = asyncio.Event()

    @property
    def lease(self) -> LeaseKeeper:
        """Return this host's lease."""
        return self._lease

    @property
    def own_claims(self) -> Mapping[ServerId, OwnerClaim]:
        """Return the claims under which this host gives orders."""
        claims = {server: self._own_claims.get(server) for server in self.owners}
        return {server: claim for server, claim in claims.items() if claim is not None}

    @property
    def owners(self) -> Mapping[ServerId, EngineOwner]:
        """Return the running owner of each engine that this host owns."""
        return self._running.owners

    def set_handover_gap(self, seconds: float) -> None:
        """Set the required gap, in seconds, between the orders of two hosts."""
        self._handover_gap_seconds = seconds

    def metadata_changed(self) -> None:
        """Check the owner records soon."""
        self._wake.set()

    async def run(self) -> None:
        """Claim and release engines as the metadata changes, until cancelled."""
        while True:
            try:
                await self._check_engines()
            except StoreError as error:
                logger.info(
                    "metadata store failed; engines without an owner wait for the"
                    " next check: %s",
                    error,
                )
            try:
                async with asyncio.timeout(_CHECK_INTERVAL_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue
            finally:
                self._wake.clear()

    async def stop(self) -> None:
        """Stop all owners of engines."""
        await self._running.stop_all()

    async def _check_engines(self) -> None:
        if not self._view.is_complete:
            return
        engines = {
            record.id: record
            for record in self._servers.records
            if record.service.engine is not None
        }
        if self._view.store_epoch != self._epoch:
            self._begin_epoch()
        for server in list(self.owners):
            claim = self._view.owners.get(server)
            is_held = (
                claim is not None
                and self._is_own_claim(claim)
                and self._own_claims.holds(server, claim)
            )
            if server not in engines or not is_held:
                self._running.stop(server, "claim lost or engine removed")
        self._own_claims.update(self._view.owners, engines, self.owners.keys())
        for record in engines.values():
            await self._check_engine(record)

    async def _check_engine(self, record: ServerRecord) -> None:
        claim = self._view.owners.get(record.id)
        owner = self.owners.get(record.id)
        if owner is not None:
            owner.reconcile_entry(record.entry)
            if claim is not None and claim.delay > 0:
                await self._confirm_claim(record, claim)
            return
        if not self._lease.is_valid:
            return
        if claim is None or claim.is_stale:
            revision = 0 if claim is None else claim.revision
            if self._own_claims.may_resume(record.id):
                # The engine's orders still come from the same holder.
                reason = ClaimReason.OWNER_UNTIL_RESTORATION
                await self._claim_engine(record, revision, 0.0, reason)
                return
            if self._clock() - self._epoch_began_at < _RECLAIM_SECONDS:
                return
            hosts = self._view.hosts.values()
            preferred = preferred_owner(record.id, record.entry.domain, hosts)
            if preferred == self._membership.host:
                is_new = record.id in self._view.never_owned
                delay = 0.0 if is_new else self._takeover_seconds()
                reason = ClaimReason.NEW_ENGINE if is_new else ClaimReason.NO_OWNER
                await self._claim_engine(record, revision, delay, reason)
        elif claim.owner == self._membership.host:
            if self._own_claims.is_released(claim):
                await self._claim_if_in_touch(record, claim)
            elif self._is_own_claim(claim):
                self._start_owner(record, claim)
            else:
                # An earlier start of this host may still have waited.
                reason = ClaimReason.OWN_RECORD
                await self._claim_engine(record, claim.revision, claim.delay, reason)

    async def _claim_if_in_touch(self, record: ServerRecord, claim: OwnerClaim) -> None:
        """Claim an engine again that no other host took over.

        The new claim replaces the one that was released, so that the other host either
        wrote first or can't write any more.
        """
        if may_claim_again(
            self._lease.seconds_since_renewal, has_lease=self._lease.is_valid
        ):
            reason = ClaimReason.OWN_RELEASE
            await self._claim_engine(record, claim.revision, 0.0, reason)

    async def _confirm_claim(self, record: ServerRecord, claim: OwnerClaim) -> None:
        """Write a claim again once its delay is over, so that a restart need not wait.

        Orders do not depend on it.
        """
        is_over = self._clock() >= self._writer.first_order_at(record.id)
        if is_over and may_claim_again(
            self._lease.seconds_since_renewal, has_lease=self._lease.is_valid
        ):
            reason = ClaimReason.DELAY_OVER
            await self._claim_engine(record, claim.revision, 0.0, reason)

    def release(self, server: ServerId, revision: int) -> float | None:
        """Give an engine up for good under a claim; return the age of its last order.

        The age is in seconds. Returns ``None`` if this host does not own the engine
        under that claim.
        """
        claim = self._own_claims.get(server)
        if claim is None or claim.revision != revision or server not in self.owners:
            return None
        if self._clock() < self._writer.first_order_at(server):
            # The owner before this one may still give orders.
            return None
        age = self._running.last_order_age(server)
        self._own_claims.release(server)
        self._running.stop(server, "handed over to a host that reaches the store")
        return age

    def can_take_over(self, server: ServerId, revision: int) -> bool:
        """Return whether this host could replace the owner record of a revision.

        The store lost the record if it was restored since, and this host has read that.
        """
        claim = self._view.owners.get(server)
        is_known = claim is not None and claim.revision == revision
        return is_known and self._lease.is_valid

    async def take_over(
        self, server: ServerId, revision: int, last_order_age: float
    ) -> None:
        """Claim an engine that its owner released under the claim of a revision.

        Raises ``StoreError`` if the store fails.
        """
        record = self._servers.get(server)
        if record is not None and self.can_take_over(server, revision):
            delay = first_order_delay(self._handover_gap_seconds, last_order_age)
            reason = ClaimReason.HANDED_OVER
            await self._claim_engine(record, revision, delay, reason)

    def _begin_epoch(self) -> None:
        """Give up all leases and claims if the store was restored from a copy."""
        if self._epoch is not None:
            self._own_claims.begin_epoch(self._view.store_epoch - self._epoch)
            self._epoch_began_at = self._clock()
            self._lease.discard()
        self._epoch = self._view.store_epoch

    def _takeover_seconds(self) -> float:
        return (
            LOCAL_VALIDITY_SECONDS
            + self._handover_gap_seconds
            + _TAKEOVER_MARGIN_SECONDS
        )

    async def _claim_engine(
        self, record: ServerRecord, revision: int, delay: float, reason: ClaimReason
    ) -> None:
        claim = await self._writer.claim(record.id, revision, delay, reason)
        if claim is not None:
            if record.id in self.owners:
                self._running.stop(record.id, "claimed again after its delay")
            self._start_owner(record, claim)

    def _start_owner(self, record: ServerRecord, claim: OwnerClaim) -> None:
        self._own_claims.add(record.id, claim)
        self._running.start(record, claim, self._writer.first_order_at(record.id))

    def _is_own_claim(self, claim: OwnerClaim) -> bool:
        """Return whether a claim names this host and its current lease."""
        is_ours = claim.owner == self._membership.host
        is_current = not claim.is_stale and claim.lease == self._lease.lease
        return is_ours and is_current
