"""Write this host's claims to engines to the store."""

import logging
from collections.abc import Callable
from dataclasses import replace

from gooseberrydeal._internal.exceptions import LeaseLostError
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.claim_reason import ClaimReason
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.models.routing.store_revision import epoch_of
from gooseberrydeal._internal.network.interfaces.metadata_store import MetadataStore
from gooseberrydeal._internal.operations.router.lease_keeper import LeaseKeeper
from gooseberrydeal._internal.operations.router.metadata_view import (
    OWNER_PREFIX,
    MetadataView,
)

logger = logging.getLogger(__name__)


class ClaimWriter:
    """Claim engines, and remember when their first order is allowed."""

    def __init__(
        self,
        membership: HostMembership,
        store: MetadataStore,
        view: MetadataView,
        lease: LeaseKeeper,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._store = store
        self._view = view
        self._lease = lease
        self._clock = clock
        self._first_order_at: dict[ServerId, float] = {}

    def first_order_at(self, server: ServerId) -> float:
        """Return when orders to an engine are allowed, on the monotonic clock."""
        return self._first_order_at.get(server, 0.0)

    async def claim(
        self, server: ServerId, revision: int, delay: float, reason: ClaimReason
    ) -> OwnerClaim | None:
        """Replace the owner record of a revision; return the claim if that succeeds.

        Orders are allowed after ``delay`` seconds. Raises ``StoreError`` if the store
        fails.
        """
        lease = self._lease.lease
        if lease is None:
            return None
        # A claim may be renewed while an earlier one still waits for its first order.
        now = self._clock()
        first_order_at = max(self.first_order_at(server), now + delay)
        self._first_order_at[server] = first_order_at
        new_claim = OwnerClaim(
            self._membership.host,
            lease,
            epoch=self._view.store_epoch,
            delay=first_order_at - now,
        )
        try:
            new_revision = await self._store.put(
                OWNER_PREFIX + server,
                new_claim.encode(),
                if_revision=revision,
                lease=lease,
            )
        except LeaseLostError:
            logger.info(
                "engine %s not claimed: the lease of this host has ended", server
            )
            return None
        if new_revision is None:
            return None
        if epoch_of(new_revision) != self._view.store_epoch:
            # The store was restored meanwhile; what this host has read is outdated.
            return None
        claim = replace(new_claim, revision=new_revision)
        self._view.owners[server] = claim
        logger.info(
            "engine claimed; first order allowed in %.1f s",
            new_claim.delay,
            extra={"server": server, "epoch": new_revision, "reason": reason.value},
        )
        return claim
